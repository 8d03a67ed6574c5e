// Package duty provides leases for actions that only one process may perform at a time, on receivers
// that cannot distinguish an earlier holder from a later one. The holder records an action in a replicated
// log under its own fencing token, and then starts it within MaxStartDelay or not at all. A successor waits
// for the lease and LeaseMargin from the moment it reads the record, so that the wait outlasts the earlier
// holder's lease without synchronized clocks. The package uses no clock, network or disk.
package duty

import (
	"sync"
	"time"
)

const (
	// MaxStartDelay is the longest time from the start of recording an action to its own start.
	MaxStartDelay = 400 * time.Millisecond
	// LeaseMargin is added to the lease, because an action reaches its receiver up to
	// MaxStartDelay and the duration of a call after it was recorded.
	LeaseMargin = 800 * time.Millisecond
)

// Action records that a holder is about to act on a subject.
type Action struct {
	Subject string `cbor:"1,keyasint"`
	// Holder is the name of the acting process.
	Holder string `cbor:"2,keyasint"`
	// At is the Unix time in milliseconds on the holder's clock. It distinguishes actions and may
	// be compared with the time of other actions, but not with another clock.
	At int64 `cbor:"3,keyasint"`
}

// Tracker stores when this process first observed the latest action on each subject. It is safe for
// concurrent use.
type Tracker struct {
	mutex    sync.Mutex
	observed map[string]observedAction
}

// observedAction is an action with the monotonic time of its first observation in milliseconds.
type observedAction struct {
	action     Action
	observedAt int64
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{observed: map[string]observedAction{}} }

// Observe stores the latest actions by subject and removes subjects that are missing. Now is the
// process's monotonic time in milliseconds.
func (t *Tracker) Observe(now int64, actions map[string]Action) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for subject, action := range actions {
		if t.observed[subject].action != action {
			t.observed[subject] = observedAction{action: action, observedAt: now}
		}
	}
	for subject := range t.observed {
		if _, ok := actions[subject]; !ok {
			delete(t.observed, subject)
		}
	}
}

// ObservedFromOthers returns, by subject, when this process first observed the latest action if it is
// another holder's.
func (t *Tracker) ObservedFromOthers(holder string) map[string]int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	times := map[string]int64{}
	for subject, observed := range t.observed {
		if observed.action.Holder != holder {
			times[subject] = observed.observedAt
		}
	}
	return times
}

// FreeAt returns the time from which the holder may act on the subject, in milliseconds of the
// monotonic time passed to Observe, or 0 if the latest action is not another holder's.
func (t *Tracker) FreeAt(subject, holder string, lease time.Duration) int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	observed, ok := t.observed[subject]
	if !ok || observed.action.Holder == holder {
		return 0
	}
	return observed.observedAt + (lease + LeaseMargin).Milliseconds()
}
