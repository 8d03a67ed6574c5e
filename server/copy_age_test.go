package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testCopyLimit is the maximum age of copies in tests.
const testCopyLimit = 2 * time.Second

// TestCopyAge checks when a copy is fresh, aging, stale or stale with an unreachable directory, and when a
// background refresh may start.
func TestCopyAge(t *testing.T) {
	const start = int64(1_000_000)
	maxAge := (testCopyLimit - sendMargin).Milliseconds()
	freshAge := maxAge - refreshAhead.Milliseconds()
	for name, test := range map[string]struct {
		age int64
		// failedAgo is how long ago a refresh failed, or -1 if none did.
		failedAgo  int64
		state      copyState
		mayRefresh bool
	}{
		"fresh":                     {freshAge, -1, copyFresh, true},
		"aging":                     {freshAge + 1, -1, copyAging, true},
		"aging and unreachable":     {maxAge, 0, copyAging, false},
		"stale":                     {maxAge + 1, -1, copyStale, true},
		"unreachable":               {maxAge + 1, 0, copyUnreachable, false},
		"unreachable after backoff": {maxAge + 1, refreshBackoff.Milliseconds() + 1, copyUnreachable, true},
		"failure expired":           {maxAge + 1, refreshFailureTTL.Milliseconds() + 1, copyStale, true},
	} {
		t.Run(name, func(t *testing.T) {
			age := copyAge{limit: testCopyLimit}
			age.recordConfirmed(start)
			now := start + test.age
			if test.failedAgo >= 0 {
				age.recordFailure(now - test.failedAgo)
			}
			require.Equal(t, test.state, age.state(now), age.state(now).String())
			require.Equal(t, test.mayRefresh, age.mayRefresh(now))
			age.recordSuccess(now)
			age.recordConfirmed(start)
			require.Equal(t, copyFresh, age.state(now), "the latest confirmation is kept")
		})
	}
	var unlimited copyAge
	require.Equal(t, copyFresh, unlimited.state(start))
}

// trackWatch tracks a watch whose keepalives are read at the times, and returns the result of the last one.
func trackWatch(tracker *watchTracker, requestedAt int64, readAt ...int64) (confirmedAt int64, ok bool) {
	tracker.start(requestedAt, "replica")
	for _, at := range readAt {
		confirmedAt, ok = tracker.recordKeepalive(at)
	}
	return confirmedAt, ok
}

// TestKeepalivesConfirmCopy checks that keepalives confirm the state as of the earliest time at which they
// can have been sent, however late they are read.
func TestKeepalivesConfirmCopy(t *testing.T) {
	const start = int64(1_000_000)
	interval, delay := keepaliveInterval.Milliseconds(), maxKeepaliveAge.Milliseconds()
	var tracker watchTracker
	_, ok := trackWatch(&tracker, start, start)
	require.False(t, ok, "the first keepalive confirms nothing")
	_, ok = trackWatch(&tracker, start, start, start+interval, start+2*interval)
	require.False(t, ok, "a replica may hold watches for a while without confirmation")
	confirmedAt, ok := trackWatch(&tracker, start, start, start+interval, start+2*interval, start+3*interval)
	require.True(t, ok)
	require.Equal(t, start+3*interval-delay, confirmedAt)

	next := start + 10*interval
	confirmedAt, ok = trackWatch(&tracker, next, next, next+interval)
	require.True(t, ok, "the next watch continues the confirmation")
	require.Equal(t, next+interval-delay, confirmedAt)

	resumed := next + time.Hour.Milliseconds()
	confirmedAt, _ = trackWatch(&tracker, next, next, resumed, resumed, resumed)
	require.Equal(t, next+3*interval-delay, confirmedAt, "keepalives read late")

	_, ok = trackWatch(&tracker, resumed, resumed, resumed+interval)
	require.False(t, ok, "the replica was not watched for too long")

	tracker.reset()
	_, ok = trackWatch(&tracker, resumed, resumed, resumed+interval)
	require.False(t, ok, "the tracker was reset")
}
