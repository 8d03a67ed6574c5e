package replica

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
)

// TestSuspendedLeaderStepsDown: a leader whose machine was suspended for longer than an election timeout
// gives up leadership at the first tick after it resumes, although its monotonic clock shows no pause.
func TestSuspendedLeaderStepsDown(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	g := newGroupWith(t, 3, 3, electionTicks)
	for g.leader() == nil {
		g.step()
	}
	logger := zerolog.Nop()
	r := newReplica(Settings{}, &refusingStore{}, g.leader().core, &logger)
	r.pauseDetector = clock.NewPauseDetector()
	r.context = context.Background()
	r.tick()
	require.True(t, r.core.Leading(), "no time has passed")
	source.Suspend(3 * electionTicks * TickInterval)
	r.tick()
	require.False(t, r.core.Leading())
}

// TestPauseDetectorReportsSuspension: the detector reports the length of a pause and of the suspension in it.
func TestPauseDetectorReportsSuspension(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	detector := clock.NewPauseDetector()
	source.Suspend(time.Hour)
	elapsed, suspended := detector.Check()
	require.Greater(t, elapsed, time.Hour-time.Minute)
	require.Greater(t, suspended, time.Hour-time.Minute)
	_, suspended = detector.Check()
	require.Less(t, suspended, time.Minute)
}
