package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testCopyLimit is the limit of copies in tests.
const testCopyLimit = 2 * time.Second

// TestCopyAge: a copy is acted on while it is fresh, asked for aside before it is too old and first
// after that, and acted on again where nobody has answered just now.
func TestCopyAge(t *testing.T) {
	const start = int64(1_000_000)
	maxAge := (testCopyLimit - sendMargin).Milliseconds()
	freshAge := maxAge - refreshAhead.Milliseconds()
	for name, test := range map[string]struct {
		age int64
		// unanswered is how long ago a question was in vain, -1 for never.
		unanswered int64
		state      copyState
		mayAsk     bool
	}{
		"fresh":                       {freshAge, -1, copyFresh, true},
		"aging":                       {freshAge + 1, -1, copyAging, true},
		"aging and nobody answers":    {maxAge, 0, copyAging, false},
		"too old":                     {maxAge + 1, -1, copyStale, true},
		"nobody answers":              {maxAge + 1, 0, copyUnreachable, false},
		"nobody answered lately":      {maxAge + 1, refreshBackoff.Milliseconds() + 1, copyUnreachable, true},
		"nobody answered a while ago": {maxAge + 1, unansweredTTL.Milliseconds() + 1, copyStale, true},
	} {
		t.Run(name, func(t *testing.T) {
			age := copyAge{limit: testCopyLimit}
			age.recordConfirmed(start)
			now := start + test.age
			if test.unanswered >= 0 {
				age.recordUnanswered(now - test.unanswered)
			}
			require.Equal(t, test.state, age.state(now), age.state(now).String())
			require.Equal(t, test.mayAsk, age.mayRefresh(now))
			age.recordAnswered(now)
			age.recordConfirmed(start)
			require.Equal(t, copyFresh, age.state(now), "what was proven stays")
		})
	}
	var unlimited copyAge
	require.Equal(t, copyFresh, unlimited.state(start))
}

// watched plays a watch whose lines are read at the times, and returns what the last one proves.
func trackWatch(tracker *watchTracker, requestedAt int64, readAt ...int64) (confirmedAt int64, ok bool) {
	tracker.start(requestedAt, "replica")
	for _, at := range readAt {
		confirmedAt, ok = tracker.recordLine(at)
	}
	return confirmedAt, ok
}

// TestLinesProve: the lines of a replica that is followed for a while say what it held when they
// were sent at the earliest, however late they are read.
func TestWatchLinesConfirmCopy(t *testing.T) {
	const start = int64(1_000_000)
	line, delay := watchLineInterval.Milliseconds(), maxLineAge.Milliseconds()
	var tracker watchTracker
	_, ok := trackWatch(&tracker, start, start)
	require.False(t, ok, "a first line")
	_, ok = trackWatch(&tracker, start, start, start+line, start+2*line)
	require.False(t, ok, "a replica holds watches for a while without a proof")
	confirmedAt, ok := trackWatch(&tracker, start, start, start+line, start+2*line, start+3*line)
	require.True(t, ok)
	require.Equal(t, start+3*line-delay, confirmedAt)

	next := start + 10*line
	confirmedAt, ok = trackWatch(&tracker, next, next, next+line)
	require.True(t, ok, "its next watch goes on where the last was")
	require.Equal(t, next+line-delay, confirmedAt)

	resumed := next + time.Hour.Milliseconds()
	confirmedAt, _ = trackWatch(&tracker, next, next, resumed, resumed, resumed)
	require.Equal(t, next+3*line-delay, confirmedAt, "lines that were read late")

	_, ok = trackWatch(&tracker, resumed, resumed, resumed+line)
	require.False(t, ok, "nobody may have watched it meanwhile")

	tracker.reset()
	_, ok = trackWatch(&tracker, resumed, resumed, resumed+line)
	require.False(t, ok, "a replica that was left")
}
