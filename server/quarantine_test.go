package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/quarantine"
)

// TestSuspectsAreTriedAndForgottenInTime: waits count from when this leader learnt of the
// suspect as it is; a new leader counts anew, and never too early.
func TestSuspectsAreTriedAndForgottenInTime(t *testing.T) {
	now := time.Now()
	held := quarantine.Suspect{Fingerprint: "held", Crashes: quarantine.CrashThreshold}
	doubtful := quarantine.Suspect{Fingerprint: "doubtful", Crashes: 1}
	suspects := map[quarantine.Fingerprint]suspectAt{
		"held": {suspect: held, revision: 1}, "doubtful": {suspect: doubtful, revision: 2},
	}
	clock := suspectClock{}
	try, forget := clock.due(now, suspects)
	require.Empty(t, try)
	require.Empty(t, forget)
	now = now.Add(held.TrialDelay(0))
	try, forget = clock.due(now, suspects)
	require.Len(t, try, 1)
	require.Equal(t, quarantine.Fingerprint("held"), try[0].Fingerprint)
	require.Empty(t, forget)
	suspects["held"] = suspectAt{suspect: held.WithTrialOffered(), revision: 3}
	try, _ = clock.due(now.Add(time.Hour), suspects)
	require.Empty(t, try, "a trial that nobody has taken is offered already")
	_, forget = clock.due(now.Add(quarantine.ForgetAfter), suspects)
	require.Len(t, forget, 1)
	require.Equal(t, quarantine.Fingerprint("doubtful"), forget[0].Fingerprint)
	next := suspectClock{}
	_, forget = next.due(now.Add(quarantine.ForgetAfter), suspects)
	require.Empty(t, forget)
}

// TestEarlyEndsWereSentEarly: what ended within the time, as the leader's reviews see it, was sent
// before the users count.
func TestEarlyEndsWereSentEarly(t *testing.T) {
	require.Less(t, quarantine.CrashGracePeriod+2*reviewInterval, boundTime)
}

// TestEndsRightAfterTheThirdLeaveTheBoundWhole: a kind that ended one more backend within two seconds
// of the third is tried three times, one that did so later, or whose third end this leader has not
// seen come, twice.
func TestEndsRightAfterTheThirdLeaveTheBoundWhole(t *testing.T) {
	cases := []struct {
		name      string
		after     time.Duration
		newLeader bool
		trials    int
	}{
		{name: "at once", after: time.Second, trials: 3},
		{name: "later", after: quarantine.CrashGracePeriod + time.Second, trials: 2},
		{name: "a new leader", after: time.Second, newLeader: true, trials: 2},
	}
	for _, one := range cases {
		now, clock, revision := time.Now(), suspectClock{}, uint64(0)
		suspect := quarantine.Suspect{}
		due := func() bool {
			try, _ := clock.due(now, map[quarantine.Fingerprint]suspectAt{"kind": {suspect: suspect, revision: revision}})
			return len(try) > 0
		}
		end := func() {
			revision++
			crash := quarantine.Crash{
				Fingerprint: "kind", Backend: fmt.Sprint(revision), Known: suspect.Crashes, Of: quarantine.Fingerprint(fmt.Sprint(revision / 4)),
			}
			suspect, _ = suspect.WithCrash(crash)
			due()
		}
		end()
		end()
		end()
		now = now.Add(one.after)
		end()
		if one.newLeader {
			clock = suspectClock{}
		}
		trials := 0
		for range 60 {
			now = now.Add(time.Second)
			if due() {
				trials++
				suspect = suspect.WithTrialOffered().WithTrialTaken()
				end()
			}
		}
		require.Equal(t, one.trials, trials, one.name)
	}
}
