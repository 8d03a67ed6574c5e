package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/event"
)

const (
	// evidenceInterval is the time between two questions of a replica whether it trails, while
	// it is watched, and evidenceTimeout bounds one of them: a leader answers within a round of
	// heartbeats, some milliseconds.
	evidenceInterval = 400 * time.Millisecond
	evidenceTimeout  = 400 * time.Millisecond
	// evidenceLimit is how old the newest proof may be that a replica holds all that was
	// acknowledged. It bounds how long a watcher stays with a replica that trails, so that a
	// change is in force there within a second. An answer has 300 ms to arrive.
	evidenceLimit = 700 * time.Millisecond
	// evidenceTick is the time between two looks at the proof's age.
	evidenceTick = 100 * time.Millisecond
	// evidenceLinger is how long after the last watch a replica goes on asking, so that a
	// watcher that comes round again is told at once if the replica still trails.
	evidenceLinger = 3 * time.Second
)

// confirmation is a revision that a quorum has confirmed after a moment.
type confirmation struct {
	began    time.Time
	revision uint64
}

// evidence tells how long ago a replica is known to have held all that the directory had
// acknowledged. "Nothing has changed" may be said only by it. One question serves all watches
// that are held; none is asked while nobody watches. It may be used concurrently.
type evidence struct {
	mutex sync.Mutex
	// held is the number of watches, and usedAt when the last one began or ended.
	held   int
	usedAt time.Time
	// wantedFrom is when the first watch began after a time without any.
	wantedFrom time.Time
	// provedAt is when the newest question began whose revision the replica holds, and open are
	// the newer answers, whose revisions it does not hold yet.
	provedAt time.Time
	open     []confirmation
	// askedAt is when the last question began, and asking is set while it is open.
	askedAt time.Time
	asking  bool
	// lapsed is closed while the proof is too old.
	lapsed   chan struct{}
	isLapsed bool
}

func newEvidence() *evidence { return &evidence{lapsed: make(chan struct{})} }

// beginWatch counts a watch.
func (e *evidence) beginWatch(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.isWanted(now) {
		e.wantedFrom = now
		e.renew()
	}
	e.held++
	e.usedAt = now
}

// endWatch ends what beginWatch has begun.
func (e *evidence) endWatch(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.held--
	e.usedAt = now
}

// watches returns the number of watches that are held.
func (e *evidence) watches() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.held
}

func (e *evidence) isWanted(now time.Time) bool {
	return e.held > 0 || now.Sub(e.usedAt) < evidenceLinger
}

// beginQuestion tells whether a question is due, and counts it as begun.
func (e *evidence) beginQuestion(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.asking || !e.isWanted(now) || now.Sub(e.askedAt) < evidenceInterval {
		return false
	}
	e.askedAt, e.asking = now, true
	return true
}

// endQuestion ends what beginQuestion has begun.
func (e *evidence) endQuestion() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.asking = false
}

// noteConfirmed takes in what a quorum has confirmed to a question.
func (e *evidence) noteConfirmed(answer confirmation) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.open = append(e.open, answer)
}

// review takes in the revision that the replica holds, and lets the watches go if the proof is
// too old. It tells whether that has changed.
func (e *evidence) review(now time.Time, held uint64) (changed bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.open = slices.DeleteFunc(e.open, func(answer confirmation) bool {
		if answer.revision <= held && answer.began.After(e.provedAt) {
			e.provedAt = answer.began
		}
		return answer.revision <= held || now.Sub(answer.began) > evidenceLimit
	})
	if e.isProved(now) {
		return e.renew()
	}
	if e.isLapsed || !e.isWanted(now) || now.Sub(e.wantedFrom) <= evidenceLimit {
		return false
	}
	e.isLapsed = true
	close(e.lapsed)
	return true
}

// renew has watches held again, and tells whether they were not.
func (e *evidence) renew() bool {
	if !e.isLapsed {
		return false
	}
	e.isLapsed = false
	e.lapsed = make(chan struct{})
	return true
}

// hasLapsed tells whether the proof is too old.
func (e *evidence) hasLapsed() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.isLapsed
}

// proves tells whether the replica may say that it holds everything.
func (e *evidence) proves(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.isProved(now)
}

func (e *evidence) isProved(now time.Time) bool {
	return !e.provedAt.IsZero() && now.Sub(e.provedAt) <= evidenceLimit
}

// Lapsed returns a channel that is closed while the proof is too old.
func (e *evidence) Lapsed() <-chan struct{} {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.lapsed
}

// keepEvidence asks the leader what a quorum has confirmed, as long as the replica is watched.
func (d *Directory) keepEvidence(ctx context.Context) {
	every(ctx, evidenceTick, func() {
		if d.evidence.review(clock.Now(), d.revision()) {
			d.logEvidence()
		}
		if d.evidence.beginQuestion(clock.Now()) {
			go d.askEvidence(ctx)
		}
	})
}

// logEvidence says whether watches are let go or held from now on.
func (d *Directory) logEvidence() {
	message := event.WatchesResumed
	if d.evidence.hasLapsed() {
		message = event.WatchesSuspended
	}
	message.On(d.logger).Uint("revision", d.revision()).Str("leader", d.replica.Status().Leader).Send()
}

// askEvidence asks once. The question takes along whom this replica has heard, which saves a
// call.
func (d *Directory) askEvidence(ctx context.Context) {
	defer d.evidence.endQuestion()
	question := directoryCall{Newest: true}
	if !d.replica.Status().Leading {
		question.Heard = d.heartbeats.takeUntold()
	}
	limited, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	// Without an answer the proof grows old, which ends the watches.
	_, _ = d.confirmedRevision(limited, question)
}

// confirmedRevision returns the revision that a quorum has confirmed after the call.
func (d *Directory) confirmedRevision(ctx context.Context, question directoryCall) (uint64, error) {
	began := clock.Now()
	answer, err := d.call(ctx, question)
	if err != nil {
		return 0, err
	}
	d.evidence.noteConfirmed(confirmation{began: began, revision: answer.Revision})
	return answer.Revision, nil
}
