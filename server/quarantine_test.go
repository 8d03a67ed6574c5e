package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/quarantine"
)

// TestSuspectTrialAndExpiryTimes checks that trials and removals are due after their delays, and that a new
// leader restarts the delays.
func TestSuspectTrialAndExpiryTimes(t *testing.T) {
	now := time.Now()
	quarantined := quarantine.Suspect{Fingerprint: "quarantined", Crashes: quarantine.CrashThreshold}
	suspected := quarantine.Suspect{Fingerprint: "suspected", Crashes: 1}
	suspects := map[quarantine.Fingerprint]suspectVersion{
		"quarantined": {suspect: quarantined, revision: 1}, "suspected": {suspect: suspected, revision: 2},
	}
	tracker := suspectTracker{}
	offer, forget := tracker.due(now, suspects)
	require.Empty(t, offer)
	require.Empty(t, forget)
	now = now.Add(quarantined.TrialDelay(0))
	offer, forget = tracker.due(now, suspects)
	require.Len(t, offer, 1)
	require.Equal(t, quarantine.Fingerprint("quarantined"), offer[0].Fingerprint)
	require.Empty(t, forget)
	suspects["quarantined"] = suspectVersion{suspect: quarantined.WithTrialOffered(), revision: 3}
	offer, _ = tracker.due(now.Add(time.Hour), suspects)
	require.Empty(t, offer, "the trial is still offered")
	_, forget = tracker.due(now.Add(quarantine.ForgetAfter), suspects)
	require.Len(t, forget, 1)
	require.Equal(t, quarantine.Fingerprint("suspected"), forget[0].Fingerprint)
	nextLeader := suspectTracker{}
	_, forget = nextLeader.due(now.Add(quarantine.ForgetAfter), suspects)
	require.Empty(t, forget)
}

// TestGracePeriodEndsBeforeBudgetApplies checks that crashes which this leader counts as within the grace
// period were sent before the send budget applies, despite the review interval.
func TestGracePeriodEndsBeforeBudgetApplies(t *testing.T) {
	require.Less(t, quarantine.CrashGracePeriod+2*reviewInterval, sendBudgetDelay)
}

// TestCrashesInGracePeriodAreExempt checks that a crash within CrashGracePeriod leaves all trials of the
// budget, unless a new leader has not seen when the threshold was reached.
func TestCrashesInGracePeriodAreExempt(t *testing.T) {
	cases := []struct {
		name      string
		after     time.Duration
		newLeader bool
		trials    int
	}{
		{name: "in the grace period", after: time.Second, trials: 3},
		{name: "after the grace period", after: quarantine.CrashGracePeriod + time.Second, trials: 2},
		{name: "new leader", after: time.Second, newLeader: true, trials: 2},
	}
	for _, test := range cases {
		now, tracker, revision := time.Now(), suspectTracker{}, uint64(0)
		suspect := quarantine.Suspect{}
		due := func() bool {
			offer, _ := tracker.due(now, map[quarantine.Fingerprint]suspectVersion{"kind": {suspect: suspect, revision: revision}})
			return len(offer) > 0
		}
		recordCrash := func() {
			revision++
			crash := quarantine.Crash{
				Fingerprint: "kind", Backend: fmt.Sprint(revision), Known: suspect.Crashes, Of: quarantine.Fingerprint(fmt.Sprint(revision / 4)),
			}
			suspect, _ = suspect.WithCrash(crash)
			due()
		}
		recordCrash()
		recordCrash()
		recordCrash()
		now = now.Add(test.after)
		recordCrash()
		if test.newLeader {
			tracker = suspectTracker{}
		}
		trials := 0
		for range 60 {
			now = now.Add(time.Second)
			if due() {
				trials++
				suspect = suspect.WithTrialOffered().WithTrialTaken()
				recordCrash()
			}
		}
		require.Equal(t, test.trials, trials, test.name)
	}
}
