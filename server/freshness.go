package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dillchute/dillchute/replica"
)

const (
	// staleLimit is how long a change may wait for its turn in the loop before nothing more is
	// begun until it is taken in: a step may have ended meanwhile, and none of it may reach an
	// engine for long after that. Of the 3 s that the users allow, a start may spend
	// maxPendingTime and maxReportAge of package runner on its way, and up to 0.7 s on a
	// connection.
	staleLimit = 300 * time.Millisecond
	// confirmInterval is the time between two questions whether this replica still leads, and
	// confirmLimit how long the newest answer holds. A leader that is short of processor time
	// may not have noticed yet that another one has taken over.
	confirmInterval = 200 * time.Millisecond
	confirmLimit    = 700 * time.Millisecond
)

// freshness tells whether a leader's state may be decided by. It may be used concurrently.
type freshness struct {
	// changedAt is when the oldest change became known that was not taken in yet, and
	// confirmedAt when the newest question began to which a quorum has answered that this
	// replica leads; both in milliseconds, 0 for none.
	changedAt, confirmedAt atomic.Int64
}

// noteChange notes that there is a change to be taken in.
func (f *freshness) noteChange(now int64) { f.changedAt.CompareAndSwap(0, now) }

// noteTaken notes that all changes so far are being taken in.
func (f *freshness) noteTaken() { f.changedAt.Store(0) }

// isStale tells whether the state may have passed: a change waits for its turn, or no quorum
// has confirmed the leader lately.
func (f *freshness) isStale(now int64) bool {
	if changed := f.changedAt.Load(); changed != 0 && now-changed > staleLimit.Milliseconds() {
		return true
	}
	return now-f.confirmedAt.Load() > confirmLimit.Milliseconds()
}

// confirm has a quorum confirm the leader again and again, and says when it was for the first
// time: what has waited for that may begin.
func (f *freshness) confirm(ctx context.Context, opened *replica.Replica, first func()) {
	for ctx.Err() == nil {
		began := nowMillis()
		limited, cancel := context.WithTimeout(ctx, confirmLimit)
		if opened.Confirm(limited) == nil {
			if f.confirmedAt.Swap(began) == 0 {
				first()
			}
		}
		cancel()
		sleep(ctx, confirmInterval)
	}
}
