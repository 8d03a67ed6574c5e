package clock

import "time"

// Pulse tells, beat by beat, for how long a process has stood still.
type Pulse struct {
	last, lastSteady time.Time
}

// NewPulse returns a pulse whose last beat is now.
func NewPulse() *Pulse { return &Pulse{last: Now(), lastSteady: time.Now()} }

// Beat returns the time since the last beat, and how much of it the machine was suspended.
func (p *Pulse) Beat() (elapsed, suspended time.Duration) {
	now, steady := Now(), time.Now()
	elapsed = now.Sub(p.last)
	suspended = max(elapsed-steady.Sub(p.lastSteady), 0)
	p.last, p.lastSteady = now, steady
	return elapsed, suspended
}
