// Package duty keeps acts apart that only one process may carry out at a time and that
// reach somebody who cannot tell an earlier holder from a later one.
//
// Whoever is about to act records so in a replicated log first, under a fencing token that
// only it has, and acts within SendLimit of that or not at all. Whoever takes over learns of
// the record from the log, and waits for the lease and Margin from then on. It learns of it
// after it was recorded, so its wait ends after the earlier holder's time, whatever the
// clocks say. The package has no clock, socket or disk.
package duty

import (
	"sync"
	"time"
)

const (
	// SendLimit is how long after the beginning of its record an act may begin.
	SendLimit = 400 * time.Millisecond
	// Margin is added to the lease: an act reaches its receiver up to SendLimit and the
	// time of a call after it was recorded.
	Margin = 800 * time.Millisecond
)

// Act says that a holder is about to act for a subject.
type Act struct {
	Subject string `cbor:"1,keyasint"`
	// Holder is the name of the process that acts.
	Holder string `cbor:"2,keyasint"`
	// At is in milliseconds since 1970, by the holder's clock. It tells acts apart, and may be
	// compared with that of other acts but with no clock.
	At int64 `cbor:"3,keyasint"`
}

// Watch remembers when this process learnt of the newest act for each subject. It may be
// used concurrently.
type Watch struct {
	mutex sync.Mutex
	seen  map[string]seenAct
}

// seenAct is an act with the time at which this process learnt of it, in milliseconds of
// its own steady time.
type seenAct struct {
	act Act
	at  int64
}

// NewWatch returns a watch that has learnt of nothing.
func NewWatch() *Watch { return &Watch{seen: map[string]seenAct{}} }

// Note takes in the newest acts, by subject, and forgets subjects that are there no more.
// Now is in milliseconds of the process's steady time.
func (w *Watch) Note(now int64, acts map[string]Act) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for subject, act := range acts {
		if w.seen[subject].act != act {
			w.seen[subject] = seenAct{act: act, at: now}
		}
	}
	for subject := range w.seen {
		if _, ok := acts[subject]; !ok {
			delete(w.seen, subject)
		}
	}
}

// HeldByOthers returns when this process learnt of the subjects' newest acts that were
// another's.
func (w *Watch) HeldByOthers(holder string) map[string]int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	held := map[string]int64{}
	for subject, seen := range w.seen {
		if seen.act.Holder != holder {
			held[subject] = seen.at
		}
	}
	return held
}

// FreeAt returns from when on the holder may act for the subject, in milliseconds of the
// steady time that Note was given; 0 if no other process has.
func (w *Watch) FreeAt(subject, holder string, lease time.Duration) int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	seen, ok := w.seen[subject]
	if !ok || seen.act.Holder == holder {
		return 0
	}
	return seen.at + (lease + Margin).Milliseconds()
}
