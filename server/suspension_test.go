package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/duty"
)

// suspension is far longer than any limit that a process keeps.
const suspension = time.Hour

// TestNothingBeginsAfterASuspension: a confirmation by the quorum that is older than the
// suspension holds no longer, though the steady clock has not moved.
func TestNothingBeginsAfterASuspension(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	var fresh freshness
	fresh.confirmedAt.Store(nowMillis())
	require.False(t, fresh.isStale(nowMillis()))
	source.Suspend(suspension)
	require.True(t, fresh.isStale(nowMillis()))
}

// TestDutyIsFreeAfterASuspension: a lease that ran out while the machine was suspended has run
// out, and one that another took then is waited for in full.
func TestDutyIsFreeAfterASuspension(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	watch, lease := duty.NewTracker(), suspension/2
	acts := map[string]duty.Action{"s": {Subject: "s", Holder: "other", At: 1}}
	watch.Observe(nowMillis(), acts)
	require.Less(t, nowMillis(), watch.FreeAt("s", "me", lease))
	source.Suspend(suspension)
	require.GreaterOrEqual(t, nowMillis(), watch.FreeAt("s", "me", lease))
	acts["s"] = duty.Action{Subject: "s", Holder: "other", At: 2}
	watch.Observe(nowMillis(), acts)
	require.Less(t, nowMillis(), watch.FreeAt("s", "me", lease))
}

// TestOwnPauseIsNotTheSilenceOfOthers: after this process has stood still, suspended or frozen,
// backends have the patience that they had before.
func TestOwnPauseIsNotTheSilenceOfOthers(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	d := &Directory{heartbeats: newHeartbeats()}
	d.noteStandstill()
	d.heartbeats.record(clock.Now(), "b", 1)
	source.Suspend(suspension)
	d.noteStandstill()
	require.Less(t, d.heartbeats.silence(clock.Now(), "b"), suspension/2)
}

// TestStandstillNeedsALongPause: looks that come in time tell of none, nor does the first.
func TestStandstillNeedsALongPause(t *testing.T) {
	var s standstill
	now := time.Unix(1000, 0)
	require.Zero(t, s.look(now))
	require.Zero(t, s.look(now.Add(stillLimit)))
	require.Equal(t, stillLimit+1, s.look(now.Add(2*stillLimit+1)))
	require.Zero(t, s.look(now.Add(2*stillLimit+2)))
	s.begin()
	require.Zero(t, s.look(now.Add(suspension)))
}
