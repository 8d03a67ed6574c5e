package clock

import (
	"sync/atomic"
	"time"
)

// Suspendable is a source for tests, whose machine can be suspended without waiting: the clock
// that counts suspensions and the time of day run ahead of the steady one.
type Suspendable struct{ ahead atomic.Int64 }

// Suspend has the machine have been suspended for the duration.
func (s *Suspendable) Suspend(duration time.Duration) { s.ahead.Add(int64(duration)) }

// Read implements Source.
func (s *Suspendable) Read() (steady, timeOfDay time.Duration) {
	steady, timeOfDay = machine{}.Read()
	return steady, timeOfDay + time.Duration(s.ahead.Load())
}

// Boot implements Source.
func (s *Suspendable) Boot() (time.Duration, error) {
	boot, err := machine{}.Boot()
	return boot + time.Duration(s.ahead.Load()), err
}
