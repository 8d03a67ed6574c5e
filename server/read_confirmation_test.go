package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReadConfirmationExpires checks that a confirmation is valid for a limited time, counted from the
// beginning of its query.
func TestReadConfirmationExpires(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	c := newReadConfirmations()
	require.False(t, c.isFresh(startedAt), "nothing is confirmed")
	c.beginWatch(startedAt)
	require.True(t, c.beginQuery(startedAt))
	c.record(confirmation{startedAt: startedAt, revision: 7})
	c.update(startedAt, 6)
	require.False(t, c.isFresh(startedAt), "the replica lacks the revision")
	c.update(startedAt, 7)
	require.True(t, c.isFresh(startedAt.Add(maxConfirmationAge)))
	require.False(t, c.isFresh(startedAt.Add(maxConfirmationAge+1)), "counted from the start of the query")
}

// TestWatchesAreSuspendedAndResumed checks that watches are suspended when the confirmation has expired,
// and resumed with a new one.
func TestWatchesAreSuspendedAndResumed(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	c := newReadConfirmations()
	c.beginWatch(startedAt)
	c.update(startedAt.Add(maxConfirmationAge), 1)
	require.False(t, c.areWatchesSuspended(), "the first query may still be running")
	expiredAt := startedAt.Add(maxConfirmationAge + time.Millisecond)
	c.update(expiredAt, 1)
	require.True(t, c.areWatchesSuspended())
	select {
	case <-c.Suspended():
	default:
		t.Fatal("open watches are not notified")
	}
	c.endWatch(expiredAt)
	c.beginWatch(expiredAt)
	require.True(t, c.areWatchesSuspended(), "a returning watcher is rejected at once")
	c.record(confirmation{startedAt: expiredAt, revision: 2})
	c.update(expiredAt, 1)
	require.True(t, c.areWatchesSuspended(), "the replica is stale")
	c.update(expiredAt, 2)
	require.False(t, c.areWatchesSuspended())
}

// TestNoQueriesWithoutWatches checks that a replica runs one query at a time, and none without watches.
// The next watch is not suspended because of that.
func TestNoQueriesWithoutWatches(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newReadConfirmations()
	require.False(t, c.beginQuery(now))
	c.beginWatch(now)
	require.True(t, c.beginQuery(now))
	require.False(t, c.beginQuery(now.Add(readConfirmInterval)), "one query at a time")
	c.endQuery()
	require.False(t, c.beginQuery(now.Add(readConfirmInterval-1)))
	require.True(t, c.beginQuery(now.Add(readConfirmInterval)))
	c.endQuery()
	c.endWatch(now)
	idleAt := now.Add(readConfirmLinger)
	require.False(t, c.beginQuery(idleAt))
	c.update(idleAt, 1)
	c.beginWatch(idleAt)
	c.update(idleAt, 1)
	require.False(t, c.areWatchesSuspended())
	require.False(t, c.isFresh(idleAt))
}
