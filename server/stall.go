package server

import (
	"sync"
	"time"

	"github.com/dillchute/dillchute/clock"
)

// stallThreshold is the time between two checks above which this process has stalled. The directory's
// leader, the only one that evaluates silence, checks every reviewInterval.
const stallThreshold = 4 * reviewInterval

// stallDetector detects stalls of this process, such as by a freeze, a suspension of the machine or a
// lack of CPU time. It is safe for concurrent use.
type stallDetector struct {
	mutex     sync.Mutex
	lastCheck time.Time
}

// reset discards the time of the last check.
func (s *stallDetector) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastCheck = time.Time{}
}

// check returns the time since the last check if the process has stalled since then, and 0 otherwise.
func (s *stallDetector) check(now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	elapsed := now.Sub(s.lastCheck)
	first := s.lastCheck.IsZero()
	s.lastCheck = now
	if first || elapsed <= stallThreshold {
		return 0
	}
	return elapsed
}

// checkStall excludes a stall of this process from the silence of backends.
func (d *Directory) checkStall() {
	if stall := d.stalls.check(clock.Now()); stall > 0 {
		d.heartbeats.excludeStall(stall)
	}
}
