package server

import (
	"sync/atomic"
	"time"
)

const (
	// refreshTimeout limits a refresh of the copy, which takes a few round trips to the directory's
	// leader.
	refreshTimeout = 250 * time.Millisecond
	// sendMargin is reserved for sending the request to the backend over a new connection.
	sendMargin = 300 * time.Millisecond
	// refreshAhead is how long before its maximum age a copy is refreshed, so that requests rarely wait for a
	// refresh. ageCheckInterval is the time between two checks of the age.
	refreshAhead     = refreshTimeout + ageCheckInterval
	ageCheckInterval = 200 * time.Millisecond
	// refreshFailureTTL is how long after a failed refresh the directory counts as unreachable. After
	// refreshBackoff, the next refresh may start in the background. This limits the load of many processes on
	// a directory without a leader.
	refreshFailureTTL = 1200 * time.Millisecond
	refreshBackoff    = 600 * time.Millisecond
)

// copyState classifies a copy of the directory by its age.
type copyState uint8

const (
	// copyFresh: the copy may be used.
	copyFresh copyState = iota
	// copyAging: the copy may be used, and should be refreshed.
	copyAging
	// copyStale: the copy must be refreshed before use.
	copyStale
	// copyUnreachable: the copy is stale, and a refresh has failed recently.
	copyUnreachable
)

// String returns the state's name in logs.
func (s copyState) String() string {
	return [...]string{"fresh", "aging", "too_old", "out_of_touch"}[s]
}

// copyAge tracks the age of a copy. Times are in milliseconds, see nowMillis. It is safe for concurrent use.
type copyAge struct {
	// limit is the maximum age, including sendMargin; 0 for none.
	limit time.Duration
	// confirmedAt is the latest time at which the copy is known to have been complete. failedAt is when the
	// last refresh failed, or 0 if one has succeeded since.
	confirmedAt, failedAt atomic.Int64
}

// state returns the copy's state.
func (a *copyAge) state(now int64) copyState {
	if a.limit == 0 {
		return copyFresh
	}
	age, maxAge := now-a.confirmedAt.Load(), (a.limit - sendMargin).Milliseconds()
	switch {
	case age <= maxAge-refreshAhead.Milliseconds():
		return copyFresh
	case age <= maxAge:
		return copyAging
	case a.hasFailedWithin(now, refreshFailureTTL):
		return copyUnreachable
	}
	return copyStale
}

// mayRefresh reports whether a background refresh may start.
func (a *copyAge) mayRefresh(now int64) bool { return !a.hasFailedWithin(now, refreshBackoff) }

// hasFailedWithin reports whether the last refresh failed, within the duration before now.
func (a *copyAge) hasFailedWithin(now int64, within time.Duration) bool {
	at := a.failedAt.Load()
	return at > 0 && now-at <= within.Milliseconds()
}

// recordConfirmed records that the copy was complete at the time.
func (a *copyAge) recordConfirmed(at int64) {
	for {
		known := a.confirmedAt.Load()
		if at <= known || a.confirmedAt.CompareAndSwap(known, at) {
			return
		}
	}
}

// recordFailure records a failed refresh.
func (a *copyAge) recordFailure(now int64) { a.failedAt.Store(now) }

// recordSuccess records the success of a refresh that started at the time.
func (a *copyAge) recordSuccess(startedAt int64) {
	a.failedAt.Store(0)
	a.recordConfirmed(startedAt)
}

// maxKeepaliveAge is the maximum age of a replica's confirmation when it sends a keepalive; see
// maxConfirmationAge.
const maxKeepaliveAge = maxConfirmationAge + confirmationCheckInterval

// watchTracker computes how recent a replica's state is from the keepalives of its watches. A stalled process
// may read keepalives long after they were sent, so the tracker uses the earliest time at which the replica
// can have sent one: one interval per keepalive after the watch was requested. Times are in milliseconds.
type watchTracker struct {
	address string
	// confirmingSince is when the first data arrived from the replica, or 0 if none has. The replica may
	// serve watches for a short time after that without a confirmation of its state.
	confirmingSince int64
	// requestedAt is when the watch was requested, keepalives counts its keepalives, and sentAfter is the
	// earliest time at which the latest keepalive of any watch can have been sent.
	requestedAt, keepalives, sentAfter int64
}

// start records that a watch is requested.
func (t *watchTracker) start(now int64, address string) {
	if t.address != address {
		*t = watchTracker{address: address}
	}
	t.requestedAt, t.keepalives = now, 0
}

// reset discards the state when the watcher leaves the replica.
func (t *watchTracker) reset() { *t = watchTracker{} }

// recordKeepalive records that a keepalive was read. If it confirms that the replica's state was complete at
// some time, it returns that time and true.
func (t *watchTracker) recordKeepalive(now int64) (confirmedAt int64, ok bool) {
	t.recordReceived(now)
	t.sentAfter = t.requestedAt + t.keepalives*keepaliveInterval.Milliseconds()
	t.keepalives++
	if t.keepalives == 1 {
		// The first keepalive only shows that the watch has started.
		return 0, false
	}
	return t.sentAfter - maxKeepaliveAge.Milliseconds(), t.sentAfter-t.confirmingSince >= maxKeepaliveAge.Milliseconds()
}

// recordReceived records that data arrived from the replica. After more than readConfirmLinger without
// keepalives, confirmingSince is set again.
func (t *watchTracker) recordReceived(now int64) {
	if t.keepalives == 0 && (t.confirmingSince == 0 || now-t.sentAfter > readConfirmLinger.Milliseconds()) {
		t.confirmingSince = now
	}
}
