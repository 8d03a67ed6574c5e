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
	// readConfirmInterval is the time between two queries for the newest revision while the replica is
	// watched, and readConfirmTimeout limits one of them.
	readConfirmInterval = 400 * time.Millisecond
	readConfirmTimeout  = 400 * time.Millisecond
	// maxConfirmationAge is the maximum age of a valid confirmation that the replica holds everything
	// acknowledged. It limits how long a watcher stays with a stale replica, so that changes take effect
	// within a second.
	maxConfirmationAge = 700 * time.Millisecond
	// confirmationCheckInterval is the time between two checks of the confirmation's age.
	confirmationCheckInterval = 100 * time.Millisecond
	// readConfirmLinger is how long queries continue after the last watch, so that a watcher that returns
	// to a stale replica is rejected at once.
	readConfirmLinger = 3 * time.Second
)

// confirmation is a revision that a quorum has confirmed after startedAt.
type confirmation struct {
	startedAt time.Time
	revision  uint64
}

// readConfirmations tracks the latest time at which the replica is known to have held everything that the
// directory had acknowledged. Only a replica with a recent confirmation may report that nothing has changed.
// One query serves all watches; none is sent without watches. It is safe for concurrent use.
type readConfirmations struct {
	mutex sync.Mutex
	// watchCount is the number of open watches, and lastWatchAt when the last one began or ended.
	watchCount  int
	lastWatchAt time.Time
	// activeSince is when the first watch began after readConfirmLinger without any.
	activeSince time.Time
	// confirmedAt is the start time of the newest query whose revision the replica holds. pending are the
	// confirmations whose revisions it does not hold yet.
	confirmedAt time.Time
	pending     []confirmation
	// queriedAt is when the last query began, and isQuerying is set while it runs.
	queriedAt  time.Time
	isQuerying bool
	// suspended is closed while the confirmation is too old.
	suspended   chan struct{}
	isSuspended bool
}

func newReadConfirmations() *readConfirmations {
	return &readConfirmations{suspended: make(chan struct{})}
}

// beginWatch records the start of a watch.
func (c *readConfirmations) beginWatch(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.isActive(now) {
		c.activeSince = now
		c.resume()
	}
	c.watchCount++
	c.lastWatchAt = now
}

// endWatch records the end of a watch.
func (c *readConfirmations) endWatch(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.watchCount--
	c.lastWatchAt = now
}

// activeWatches returns the number of watches.
func (c *readConfirmations) activeWatches() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.watchCount
}

func (c *readConfirmations) isActive(now time.Time) bool {
	return c.watchCount > 0 || now.Sub(c.lastWatchAt) < readConfirmLinger
}

// beginQuery reports whether a query is due, and if so marks it as running.
func (c *readConfirmations) beginQuery(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.isQuerying || !c.isActive(now) || now.Sub(c.queriedAt) < readConfirmInterval {
		return false
	}
	c.queriedAt, c.isQuerying = now, true
	return true
}

// endQuery records the end of a query.
func (c *readConfirmations) endQuery() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.isQuerying = false
}

// record adds the answer to a query.
func (c *readConfirmations) record(confirmed confirmation) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending = append(c.pending, confirmed)
}

// update applies the revision that the replica holds, and suspends or resumes the watches. It reports
// whether that changed.
func (c *readConfirmations) update(now time.Time, revision uint64) (changed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending = slices.DeleteFunc(c.pending, func(confirmed confirmation) bool {
		if confirmed.revision <= revision && confirmed.startedAt.After(c.confirmedAt) {
			c.confirmedAt = confirmed.startedAt
		}
		return confirmed.revision <= revision || now.Sub(confirmed.startedAt) > maxConfirmationAge
	})
	if c.isFreshLocked(now) {
		return c.resume()
	}
	if c.isSuspended || !c.isActive(now) || now.Sub(c.activeSince) <= maxConfirmationAge {
		return false
	}
	c.isSuspended = true
	close(c.suspended)
	return true
}

// resume resumes the watches, and reports whether they were suspended.
func (c *readConfirmations) resume() bool {
	if !c.isSuspended {
		return false
	}
	c.isSuspended = false
	c.suspended = make(chan struct{})
	return true
}

// areWatchesSuspended reports whether the confirmation is too old to serve watches.
func (c *readConfirmations) areWatchesSuspended() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isSuspended
}

// isFresh reports whether the replica is known to hold everything acknowledged.
func (c *readConfirmations) isFresh(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.isFreshLocked(now)
}

func (c *readConfirmations) isFreshLocked(now time.Time) bool {
	return !c.confirmedAt.IsZero() && now.Sub(c.confirmedAt) <= maxConfirmationAge
}

// Suspended returns a channel that is closed while watches are suspended.
func (c *readConfirmations) Suspended() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.suspended
}

// confirmReads queries the leader for the newest confirmed revision while the replica is watched.
func (d *Directory) confirmReads(ctx context.Context) {
	every(ctx, confirmationCheckInterval, func() {
		if d.confirmations.update(clock.Now(), d.revision()) {
			d.logWatchState()
		}
		if d.confirmations.beginQuery(clock.Now()) {
			go d.confirmRead(ctx)
		}
	})
}

// logWatchState logs whether watches are suspended or resumed.
func (d *Directory) logWatchState() {
	transition := event.WatchesResumed
	if d.confirmations.areWatchesSuspended() {
		transition = event.WatchesSuspended
	}
	transition.On(d.logger).Uint("revision", d.revision()).Str("leader", d.replica.Status().Leader).Send()
}

// confirmRead runs one query. It also reports the backends that this replica has received heartbeats from,
// which saves a call.
func (d *Directory) confirmRead(ctx context.Context) {
	defer d.confirmations.endQuery()
	call := directoryCall{Newest: true}
	if !d.replica.Status().Leading {
		call.Heard = d.heartbeats.takeUnreported()
	}
	limited, cancel := context.WithTimeout(ctx, readConfirmTimeout)
	defer cancel()
	// Without an answer the confirmation expires, which suspends the watches.
	_, _ = d.confirmedRevision(limited, call)
}

// confirmedRevision returns a revision that a quorum confirms after the call.
func (d *Directory) confirmedRevision(ctx context.Context, call directoryCall) (uint64, error) {
	startedAt := clock.Now()
	answer, err := d.call(ctx, call)
	if err != nil {
		return 0, err
	}
	d.confirmations.record(confirmation{startedAt: startedAt, revision: answer.Revision})
	return answer.Revision, nil
}
