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
	most := (testCopyLimit - sendMargin).Milliseconds()
	early := most - askAhead.Milliseconds()
	for name, one := range map[string]struct {
		age int64
		// unanswered is how long ago a question was in vain, -1 for never.
		unanswered int64
		state      copyState
		mayAsk     bool
	}{
		"fresh":                       {early, -1, copyFresh, true},
		"aging":                       {early + 1, -1, copyAging, true},
		"aging and nobody answers":    {most, 0, copyAging, false},
		"too old":                     {most + 1, -1, copyTooOld, true},
		"nobody answers":              {most + 1, 0, copyOutOfTouch, false},
		"nobody answered lately":      {most + 1, unansweredPause.Milliseconds() + 1, copyOutOfTouch, true},
		"nobody answered a while ago": {most + 1, unansweredLife.Milliseconds() + 1, copyTooOld, true},
	} {
		t.Run(name, func(t *testing.T) {
			age := copyAge{limit: testCopyLimit}
			age.noteProven(start)
			now := start + one.age
			if one.unanswered >= 0 {
				age.noteQuestionUnanswered(now - one.unanswered)
			}
			require.Equal(t, one.state, age.state(now), age.state(now).String())
			require.Equal(t, one.mayAsk, age.mayAsk(now))
			age.noteQuestionAnswered(now)
			age.noteProven(start)
			require.Equal(t, copyFresh, age.state(now), "what was proven stays")
		})
	}
	var unlimited copyAge
	require.Equal(t, copyFresh, unlimited.state(start))
}

// watched plays a watch whose lines are read at the times, and returns what the last one proves.
func watched(followed *watchProof, askedAt int64, readAt ...int64) (provenAt int64, proves bool) {
	followed.begin(askedAt, "replica")
	for _, at := range readAt {
		provenAt, proves = followed.noteLine(at)
	}
	return provenAt, proves
}

// TestLinesProve: the lines of a replica that is followed for a while say what it held when they
// were sent at the earliest, however late they are read.
func TestLinesProve(t *testing.T) {
	const start = int64(1_000_000)
	line, proof := keepaliveInterval.Milliseconds(), lineProof.Milliseconds()
	var followed watchProof
	_, proves := watched(&followed, start, start)
	require.False(t, proves, "a first line")
	_, proves = watched(&followed, start, start, start+line, start+2*line)
	require.False(t, proves, "a replica holds watches for a while without a proof")
	at, proves := watched(&followed, start, start, start+line, start+2*line, start+3*line)
	require.True(t, proves)
	require.Equal(t, start+3*line-proof, at)

	next := start + 10*line
	at, proves = watched(&followed, next, next, next+line)
	require.True(t, proves, "its next watch goes on where the last was")
	require.Equal(t, next+line-proof, at)

	woken := next + time.Hour.Milliseconds()
	at, _ = watched(&followed, next, next, woken, woken, woken)
	require.Equal(t, next+3*line-proof, at, "lines that were read late")

	_, proves = watched(&followed, woken, woken, woken+line)
	require.False(t, proves, "nobody may have watched it meanwhile")

	followed.end()
	_, proves = watched(&followed, woken, woken, woken+line)
	require.False(t, proves, "a replica that was left")
}
