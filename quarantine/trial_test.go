package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newCrashedSuspect returns a suspect after rounds of concurrent crashes, whose senders knew of all
// earlier rounds. For a kind each crash has its own content.
func newCrashedSuspect(isKind bool, crashesPerRound ...int) Suspect {
	suspect, backends := Suspect{}, 0
	for round, crashes := range crashesPerRound {
		for range crashes {
			crash := Crash{Fingerprint: crashingRequest, Backend: fmt.Sprint(backends), Known: round}
			if isKind {
				crash.Of = crashingSubject(backends).Content
			}
			suspect, _ = suspect.WithCrash(crash)
			backends++
		}
	}
	return suspect
}

// TestQuickTrialsWithinSendBudget verifies that a quarantined request is tried at short intervals as
// often as the send budget allows; a content keeps reservedSends of it.
func TestQuickTrialsWithinSendBudget(t *testing.T) {
	cases := []struct {
		name            string
		isKind          bool
		crashesPerRound []int
		quickTrials     int
	}{
		{"content, sequential crashes", false, []int{1, 1, 1}, 2},
		{"content, two concurrent crashes first", false, []int{2, 1, 1}, 1},
		{"content, three concurrent crashes first", false, []int{3, 1, 1}, 1},
		{"kind, sequential crashes", true, []int{1, 1, 1}, 3},
		{"kind, two concurrent crashes, then one", true, []int{2, 1}, 3},
		{"kind, one crash, then two concurrent ones", true, []int{1, 2}, 3},
		{"kind, three concurrent crashes, then one", true, []int{3, 1}, 2},
		{"kind, eight concurrent crashes, then one", true, []int{8, 1}, 2},
	}
	for _, test := range cases {
		suspect, trials := newCrashedSuspect(test.isKind, test.crashesPerRound...), 0
		require.True(t, suspect.IsQuarantined(), test.name)
		for suspect.TrialDelay(0) <= maxQuickTrialDelay {
			suspect = suspect.WithTrialOffered().WithTrialTaken()
			suspect, _ = suspect.WithCrash(Crash{Fingerprint: crashingRequest, Backend: fmt.Sprint("trial-", trials), Known: suspect.Crashes, Of: suspect.firstContent()})
			trials++
		}
		require.Equal(t, test.quickTrials, trials, test.name)
	}
}

// maxQuickTrialDelay is an upper bound of the delay before a quick trial.
const maxQuickTrialDelay = 12 * time.Second

func (s Suspect) firstContent() Fingerprint {
	if len(s.Of) == 0 {
		return ""
	}
	return s.Of[0]
}

// TestSimultaneousCrashesDoNotQuarantineKind verifies that backends which crash together, as in a power
// loss, do not quarantine a kind without a later crash.
func TestSimultaneousCrashesDoNotQuarantineKind(t *testing.T) {
	require.False(t, newCrashedSuspect(true, 8).IsQuarantined())
	require.False(t, newCrashedSuspect(true, 1, 1).IsQuarantined(), "two crashes are below the threshold")
	require.True(t, newCrashedSuspect(true, 8, 1).IsQuarantined())
}

// TestExhaustedContentIsRarelyTried verifies that a content whose send budget is exhausted has no quick
// trials, even if none was made before.
func TestExhaustedContentIsRarelyTried(t *testing.T) {
	require.LessOrEqual(t, newCrashedSuspect(false, 3, 1, 1).TrialDelay(0), maxQuickTrialDelay)
	require.GreaterOrEqual(t, newCrashedSuspect(false, 3, 1, 1, 1).TrialDelay(0), exhaustedTrialDelay)
}

// TestExemptCrashesApplyToKindsOnly verifies that exempt crashes do not extend a content's budget.
func TestExemptCrashesApplyToKindsOnly(t *testing.T) {
	content := newCrashedSuspect(false, 1, 1, 1, 1, 1).WithTrialOffered().WithTrialTaken()
	require.GreaterOrEqual(t, content.TrialDelay(1), exhaustedTrialDelay)
	kind := newCrashedSuspect(true, 1, 1, 1, 1, 1, 1).WithTrialOffered().WithTrialTaken()
	require.GreaterOrEqual(t, kind.TrialDelay(0), exhaustedTrialDelay)
	require.LessOrEqual(t, kind.TrialDelay(1), maxQuickTrialDelay)
}

// TestUnreportedTrialsCount verifies that a trial without a reported result still uses up the budget.
func TestUnreportedTrialsCount(t *testing.T) {
	for _, isKind := range []bool{false, true} {
		suspect := newCrashedSuspect(isKind, 1, 1, 1)
		for range suspect.quickTrials() {
			require.LessOrEqual(t, suspect.TrialDelay(0), maxQuickTrialDelay)
			suspect = suspect.WithTrialOffered().WithTrialTaken()
		}
		require.GreaterOrEqual(t, suspect.TrialDelay(0), exhaustedTrialDelay)
	}
}
