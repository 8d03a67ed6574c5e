package clock

import "time"

// PauseDetector measures pauses of the process between checks.
type PauseDetector struct {
	last, lastMonotonic time.Time
}

// NewPauseDetector returns a detector whose last check is now.
func NewPauseDetector() *PauseDetector { return &PauseDetector{last: Now(), lastMonotonic: time.Now()} }

// Check returns the time since the last check, and how much of it the machine was suspended.
func (d *PauseDetector) Check() (elapsed, suspended time.Duration) {
	now, monotonic := Now(), time.Now()
	elapsed = now.Sub(d.last)
	suspended = max(elapsed-monotonic.Sub(d.lastMonotonic), 0)
	d.last, d.lastMonotonic = now, monotonic
	return elapsed, suspended
}
