package duty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

const lease = 3 * time.Second

func TestSuccessorWaitsForLease(t *testing.T) {
	tracker := NewTracker()
	require.Zero(t, tracker.FreeAt("usage", "b", lease))
	actions := map[string]Action{"usage": {Subject: "usage", Holder: "a", At: 1}}
	tracker.Observe(1000, actions)
	tracker.Observe(2000, actions)
	require.Equal(t, int64(4800), tracker.FreeAt("usage", "b", lease), "the lease runs from the first observation")
	require.Zero(t, tracker.FreeAt("usage", "a", lease), "the holder itself may continue")
	actions["usage"] = Action{Subject: "usage", Holder: "a", At: 2}
	tracker.Observe(3000, actions)
	require.Equal(t, int64(6800), tracker.FreeAt("usage", "b", lease))
	require.Equal(t, map[string]int64{"usage": 3000}, tracker.ObservedFromOthers("b"))
	tracker.Observe(4000, nil)
	require.Zero(t, tracker.FreeAt("usage", "b", lease))
}

// holder is a simulated process with its own clock offset.
type holder struct {
	name        string
	tracker     *Tracker
	clockOffset int64
}

// TestHoldersActAtLeastOneLeaseApart verifies, under leader changes, slow records and slow calls, that
// actions of different holders reach the receiver in order and at least a lease apart, except for the
// duration of a call.
func TestHoldersActAtLeastOneLeaseApart(t *testing.T) {
	const maxCallTime = 800
	rapid.Check(t, func(t *rapid.T) {
		holders := []*holder{}
		for _, name := range []string{"a", "b", "c"} {
			holders = append(holders, &holder{name: name, tracker: NewTracker(), clockOffset: rapid.Int64Range(-5000, 5000).Draw(t, "skew")})
		}
		recorded := map[string]Action{}
		type arrival struct {
			at     int64
			holder string
		}
		var arrivals []arrival
		now := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(1, 1500).Draw(t, "pause")
			leader := rapid.SampledFrom(holders).Draw(t, "leader")
			// A leader has applied all records before it acts.
			leader.tracker.Observe(now+leader.clockOffset, recorded)
			if now+leader.clockOffset < leader.tracker.FreeAt("s", leader.name, lease) {
				continue
			}
			start := now
			now += rapid.Int64Range(0, 600).Draw(t, "record")
			recorded["s"] = Action{Subject: "s", Holder: leader.name, At: start + leader.clockOffset}
			if time.Duration(now-start)*time.Millisecond > MaxStartDelay {
				continue
			}
			arrivals = append(arrivals, arrival{at: now + rapid.Int64Range(0, maxCallTime).Draw(t, "call"), holder: leader.name})
		}
		for later := range arrivals {
			for earlier := range arrivals[:later] {
				if arrivals[earlier].holder != arrivals[later].holder {
					gap := arrivals[later].at - arrivals[earlier].at
					require.GreaterOrEqual(t, gap, lease.Milliseconds()+LeaseMargin.Milliseconds()-maxCallTime)
				}
			}
		}
	})
}

// TestLeaseRunsFromFirstObservation verifies that the lease ignores the holder's clock, is not extended
// by repeated observations, and starts again with a newer action.
func TestLeaseRunsFromFirstObservation(t *testing.T) {
	tracker := NewTracker()
	early := Action{Subject: "e", Holder: "other", At: -1000000}
	tracker.Observe(100, map[string]Action{"e": early, "own": {Subject: "own", Holder: "me"}})
	tracker.Observe(200, map[string]Action{"e": early, "own": {Subject: "own", Holder: "me"}})
	require.Equal(t, map[string]int64{"e": 100}, tracker.ObservedFromOthers("me"))
	later := early
	later.At++
	tracker.Observe(300, map[string]Action{"e": later})
	require.Equal(t, map[string]int64{"e": 300}, tracker.ObservedFromOthers("me"))
	tracker.Observe(400, nil)
	require.Empty(t, tracker.ObservedFromOthers("me"))
}

// TestPacerLimitsRate verifies that reserved calls are at least the gap apart.
func TestPacerLimitsRate(t *testing.T) {
	const gap = 100 * time.Millisecond
	pacer := &Pacer{}
	require.Zero(t, pacer.Reserve(1000, gap))
	require.Equal(t, gap, pacer.Reserve(1000, gap))
	require.Equal(t, 150*time.Millisecond, pacer.Reserve(1050, gap))
	require.Zero(t, pacer.Reserve(5000, gap))
	require.Zero(t, (&Pacer{}).Reserve(1, 0))
	unlimited := &Pacer{}
	for range 3 {
		require.Zero(t, unlimited.Reserve(7, 0), "no limit")
	}
}

// TestPacerRoundsGapUp guards against exceeding a rate whose gap is not a whole number of milliseconds.
func TestPacerRoundsGapUp(t *testing.T) {
	var pacer Pacer
	require.Zero(t, pacer.Reserve(0, time.Second/3))
	require.Equal(t, 334*time.Millisecond, pacer.Reserve(0, time.Second/3))
	require.Equal(t, 668*time.Millisecond, pacer.Reserve(0, time.Second/3))
}
