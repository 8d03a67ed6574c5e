package responsecheck

import (
	"sync"

	"github.com/dillchute/dillchute/intake"
)

// freeHeadBytes of the memory of each head need no reservation. They cover a usual head.
const freeHeadBytes = 8 << 10

// HeadMemory is the memory reserved for the heads of one response, which its holder releases once it holds the response no
// more. It is safe for concurrent use.
type HeadMemory struct {
	mutex       sync.Mutex
	reservation *intake.Reservation
	released    bool
}

// resize reserves memory for heads of that size in total, and returns false if there is no room. After Release it reserves
// nothing: the response's holder has its head, or has given it up.
func (m *HeadMemory) resize(bytes, lines int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.released || m.reservation.Resize(intake.HeadMemory(bytes, lines)) == nil
}

// Release ends the reservation. It may be called repeatedly.
func (m *HeadMemory) Release() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reservation.Release()
	m.released = true
}
