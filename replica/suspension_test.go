package replica

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
)

// TestSuspendedLeaderLeadsNoMore: a leader whose machine was suspended for longer than an
// election gives up its leadership at the first tick on waking, although its steady clock shows
// no pause: the others may have elected another.
func TestSuspendedLeaderLeadsNoMore(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	g := newGroupWith(t, 3, 3, electionTicks)
	for g.leader() == nil {
		g.step()
	}
	logger := zerolog.Nop()
	r := newReplica(Settings{}, &refusingStore{}, g.leader().core, &logger)
	r.pulse = clock.NewPauseDetector()
	r.context = context.Background()
	r.tick()
	require.True(t, r.core.Leading(), "no time has passed")
	source.Suspend(3 * electionTicks * TickInterval)
	r.tick()
	require.False(t, r.core.Leading())
}

// TestPulseTellsSuspensionsApart: what a process stood still for and what of it was a
// suspension of its machine.
func TestPulseTellsSuspensionsApart(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	pulse := clock.NewPauseDetector()
	source.Suspend(time.Hour)
	elapsed, suspended := pulse.Check()
	require.Greater(t, elapsed, time.Hour-time.Minute)
	require.Greater(t, suspended, time.Hour-time.Minute)
	_, suspended = pulse.Check()
	require.Less(t, suspended, time.Minute)
}
