package clock

import (
	"sync/atomic"
	"time"
)

// Suspendable is a Source for tests that simulates suspensions: they advance the boot time and the
// wall clock but not the monotonic clock.
type Suspendable struct{ suspended atomic.Int64 }

// Suspend simulates a suspension of the given duration.
func (s *Suspendable) Suspend(duration time.Duration) { s.suspended.Add(int64(duration)) }

// Read implements Source.
func (s *Suspendable) Read() (monotonic, wall time.Duration) {
	monotonic, wall = systemSource{}.Read()
	return monotonic, wall + time.Duration(s.suspended.Load())
}

// BootTime implements Source.
func (s *Suspendable) BootTime() (time.Duration, error) {
	bootTime, err := systemSource{}.BootTime()
	return bootTime + time.Duration(s.suspended.Load()), err
}
