package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/duty"
)

// suspension is far longer than any timeout of a process.
const suspension = time.Hour

// TestConfirmationExpiresDuringSuspension checks that a confirmation by the quorum from before a suspension
// is stale, although the monotonic clock has not advanced.
func TestConfirmationExpiresDuringSuspension(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	var fresh freshness
	fresh.confirmedAt.Store(nowMillis())
	require.False(t, fresh.isStale(nowMillis()))
	source.Suspend(suspension)
	require.True(t, fresh.isStale(nowMillis()))
}

// TestLeaseExpiresDuringSuspension checks that a lease may expire during a suspension, and that the full
// duration of a lease acquired during it is awaited.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	tracker, lease := duty.NewTracker(), suspension/2
	actions := map[string]duty.Action{"s": {Subject: "s", Holder: "other", At: 1}}
	tracker.Observe(nowMillis(), actions)
	require.Less(t, nowMillis(), tracker.FreeAt("s", "me", lease))
	source.Suspend(suspension)
	require.GreaterOrEqual(t, nowMillis(), tracker.FreeAt("s", "me", lease))
	actions["s"] = duty.Action{Subject: "s", Holder: "other", At: 2}
	tracker.Observe(nowMillis(), actions)
	require.Less(t, nowMillis(), tracker.FreeAt("s", "me", lease))
}

// TestProcessStallIsNotCountedAsSilence checks that a stall or suspension of this process does not count as
// silence of backends.
func TestProcessStallIsNotCountedAsSilence(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	d := &Directory{heartbeats: newHeartbeats()}
	d.checkStall()
	d.heartbeats.record(clock.Now(), "b", 1)
	source.Suspend(suspension)
	d.checkStall()
	require.Less(t, d.heartbeats.silence(clock.Now(), "b"), suspension/2)
}

// TestStallDetectorThreshold checks that neither the first check nor one within stallThreshold reports a
// stall.
func TestStallDetectorThreshold(t *testing.T) {
	var s stallDetector
	now := time.Unix(1000, 0)
	require.Zero(t, s.check(now))
	require.Zero(t, s.check(now.Add(stallThreshold)))
	require.Equal(t, stallThreshold+1, s.check(now.Add(2*stallThreshold+1)))
	require.Zero(t, s.check(now.Add(2*stallThreshold+2)))
	s.reset()
	require.Zero(t, s.check(now.Add(suspension)))
}
