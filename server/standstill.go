package server

import (
	"sync"
	"time"

	"github.com/dillchute/dillchute/clock"
)

// stillLimit is the time between two looks beyond which this process has stood still. The
// directory's leader, which alone judges silences, looks each reviewInterval.
const stillLimit = 4 * reviewInterval

// standstill tells when a process has stood still, whatever kept it: a freeze, a suspension of
// its machine, or want of processor time. It may be used concurrently.
type standstill struct {
	mutex sync.Mutex
	last  time.Time
}

// begin forgets earlier looks.
func (s *standstill) begin() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last = time.Time{}
}

// look returns for how long the process has stood still since the last look, 0 if it has not.
func (s *standstill) look(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pause := now.Sub(s.last)
	first := s.last.IsZero()
	s.last = now
	if first || pause <= stillLimit {
		return 0
	}
	return pause
}

// noteStandstill gives backends a fresh patience if this process has stood still.
func (d *Directory) noteStandstill() {
	if pause := d.stalls.look(clock.Now()); pause > 0 {
		d.heartbeats.excludeStall(pause)
	}
}
