package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dillchute/dillchute/replica"
)

const (
	// maxChangeDelay is how long a change may wait to be applied before the leader starts no more runs. The
	// change may end a step, and no run of it may start more than 3 s later. This limit includes
	// maxPendingTime and maxReportAge of package runner, and up to 0.7 s for a connection.
	maxChangeDelay = 300 * time.Millisecond
	// leaderConfirmInterval is the time between two confirmations of the leader by a quorum, and
	// maxLeaderConfirmAge how long one is valid. A leader that lacks CPU time may not know yet that another
	// one was elected.
	leaderConfirmInterval = 200 * time.Millisecond
	maxLeaderConfirmAge   = 700 * time.Millisecond
)

// freshness tracks whether a leader's state is fresh enough to act on. It is safe for concurrent use.
type freshness struct {
	// changedAt is the arrival time of the oldest change that is not applied yet. confirmedAt is the start
	// time of the newest confirmation by a quorum that this replica leads. Both are in milliseconds, 0 for
	// none.
	changedAt, confirmedAt atomic.Int64
}

// recordChange records that a change waits to be applied.
func (f *freshness) recordChange(now int64) { f.changedAt.CompareAndSwap(0, now) }

// recordApplied records that all changes so far are being applied.
func (f *freshness) recordApplied() { f.changedAt.Store(0) }

// isStale reports whether a change has waited for too long, or no quorum has confirmed the leader recently.
func (f *freshness) isStale(now int64) bool {
	if changed := f.changedAt.Load(); changed != 0 && now-changed > maxChangeDelay.Milliseconds() {
		return true
	}
	return now-f.confirmedAt.Load() > maxLeaderConfirmAge.Milliseconds()
}

// confirmLeadership has a quorum confirm periodically that this replica leads, until the context ends. It
// calls onFirst after the first confirmation.
func (f *freshness) confirmLeadership(ctx context.Context, r *replica.Replica, onFirst func()) {
	for ctx.Err() == nil {
		startedAt := nowMillis()
		limited, cancel := context.WithTimeout(ctx, maxLeaderConfirmAge)
		if r.Confirm(limited) == nil {
			if f.confirmedAt.Swap(startedAt) == 0 {
				onFirst()
			}
		}
		cancel()
		sleep(ctx, leaderConfirmInterval)
	}
}
