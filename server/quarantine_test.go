package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/quarantine"
)

// TestSuspectsAreTriedAndForgottenInTime: waits count from when this leader learnt of the
// suspect as it is; a new leader counts anew, and never too early.
func TestSuspectsAreTriedAndForgottenInTime(t *testing.T) {
	now := time.Now()
	held := quarantine.Suspect{Fingerprint: "held", Crashes: quarantine.HeldFrom}
	doubtful := quarantine.Suspect{Fingerprint: "doubtful", Crashes: 1}
	suspects := map[quarantine.Fingerprint]suspectAt{
		"held": {suspect: held, revision: 1}, "doubtful": {suspect: doubtful, revision: 2},
	}
	clock := suspectClock{}
	try, forget := clock.due(now, suspects)
	require.Empty(t, try)
	require.Empty(t, forget)
	now = now.Add(held.TrialWait())
	try, forget = clock.due(now, suspects)
	require.Len(t, try, 1)
	require.Equal(t, quarantine.Fingerprint("held"), try[0].Fingerprint)
	require.Empty(t, forget)
	suspects["held"] = suspectAt{suspect: held.WithOffer(), revision: 3}
	try, _ = clock.due(now.Add(time.Hour), suspects)
	require.Empty(t, try, "a trial that nobody has taken is offered already")
	_, forget = clock.due(now.Add(quarantine.ForgetAfter), suspects)
	require.Len(t, forget, 1)
	require.Equal(t, quarantine.Fingerprint("doubtful"), forget[0].Fingerprint)
	next := suspectClock{}
	_, forget = next.due(now.Add(quarantine.ForgetAfter), suspects)
	require.Empty(t, forget)
}
