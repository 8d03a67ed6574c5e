package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/dillchute/dillchute/replica"
)

const (
	// maxChangeDelay is how long a change may wait to be applied before nothing more is started: the
	// change may end a step, whose starts must stop within 3 s. maxPendingTime and maxReportAge of
	// package runner, and up to 0.7 s for a connection, add to it.
	maxChangeDelay = 300 * time.Millisecond
	// leaderConfirmInterval is the time between two confirmations of the leader by a quorum, and
	// maxLeaderConfirmAge how long one is valid. A leader short of processor time may not know yet that
	// another one was elected.
	leaderConfirmInterval = 200 * time.Millisecond
	maxLeaderConfirmAge   = 700 * time.Millisecond
)

// freshness tracks whether a leader's state is fresh enough to act on. It may be used concurrently.
type freshness struct {
	// changedAt is when the oldest change arrived that is not applied yet, and confirmedAt when the
	// newest confirmation began by which a quorum confirmed that this replica leads; both in
	// milliseconds, 0 for none.
	changedAt, confirmedAt atomic.Int64
}

// recordChange records that a change waits to be applied.
func (f *freshness) recordChange(now int64) { f.changedAt.CompareAndSwap(0, now) }

// recordApplied records that all changes so far are being applied.
func (f *freshness) recordApplied() { f.changedAt.Store(0) }

// isStale reports whether a change has waited for too long, or no quorum has confirmed the leader lately.
func (f *freshness) isStale(now int64) bool {
	if changed := f.changedAt.Load(); changed != 0 && now-changed > maxChangeDelay.Milliseconds() {
		return true
	}
	return now-f.confirmedAt.Load() > maxLeaderConfirmAge.Milliseconds()
}

// confirmLeadership has a quorum confirm the leader regularly, and calls onFirst after the first time.
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
