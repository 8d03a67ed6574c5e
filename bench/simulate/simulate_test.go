package simulate

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/state"
)

func findScenario(t *testing.T, name string) Scenario {
	for _, candidate := range Scenarios() {
		if candidate.Name == name {
			return candidate
		}
	}
	t.Fatalf("unknown scenario %q", name)
	return Scenario{}
}

// TestRunIsDeterministic verifies that a seed always produces the same trace.
func TestRunIsDeterministic(t *testing.T) {
	for _, name := range []string{"calm", "everything", "everything-two-regions"} {
		first := Run(findScenario(t, name), 7, true)
		second := Run(findScenario(t, name), 7, true)
		require.Equal(t, first.Trace, second.Trace)
		require.Equal(t, first.Digest, second.Digest)
		other := Run(findScenario(t, name), 8, false)
		require.NotEqual(t, first.Digest, other.Digest)
	}
}

// TestRegressionSeeds runs seeds that once broke a promise. Their traces have changed since; unit
// tests of the packages cover the causes.
func TestRegressionSeeds(t *testing.T) {
	tests := []struct {
		scenario string
		seed     uint64
	}{
		{"planned-stops", 1},
		{"disk-losses", 33},
		{"leaving-engines", 65},
		{"everything", 192},
		{"everything-two-regions", 129},
	}
	for _, test := range tests {
		t.Run(test.scenario, func(t *testing.T) {
			result := Run(findScenario(t, test.scenario), test.seed, false)
			require.Empty(t, result.Violations)
			require.NotZero(t, result.Counts.Delivered)
		})
	}
}

// TestEachFaultIsInjected verifies that the simulator implements every fault kind.
func TestEachFaultIsInjected(t *testing.T) {
	base := findScenario(t, "calm")
	for _, kind := range faultKinds {
		modified := base
		modified.Timeline = []TimedFault{{At: 5000, Kind: kind, Duration: 1000}}
		result := Run(modified, 3, false)
		require.NotEmpty(t, result.Faults, kind)
		require.Empty(t, result.Violations, kind)
	}
}

// TestDetectsClocksThatSkipSuspensions verifies that the checks detect monotonic clocks that stop
// while the machine is suspended, and that runs with the product's clock pass.
func TestDetectsClocksThatSkipSuspensions(t *testing.T) {
	correct := findScenario(t, "suspensions")
	faulty := correct
	faulty.SteadyClocks = true
	failedRuns := 0
	for seed := range uint64(suspensionSeeds) {
		require.Empty(t, Run(correct, seed, false).Violations)
		if len(Run(faulty, seed, false).Violations) > 0 {
			failedRuns++
		}
	}
	require.Positive(t, failedRuns)
}

// suspensionSeeds is large enough for several of the faulty runs to fail.
const suspensionSeeds = 60

func TestLoadScenario(t *testing.T) {
	load := func(text string) (Scenario, error) {
		path := filepath.Join(t.TempDir(), "scenario.yaml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return LoadScenario(path)
	}
	loaded, err := load("name: mine\ntimeline:\n  - at_milliseconds: 4000\n    kind: kill-leader\n    duration_milliseconds: 2000\n")
	require.NoError(t, err)
	result := Run(loaded, 1, false)
	require.Empty(t, result.Violations)
	require.Equal(t, 1, result.Faults[string(KillLeader)])
	for text, want := range map[string]string{
		"name: x\ntimelin: []\n":               "timelin",
		"timeline: []\n":                       "name: must not be empty",
		"name: x\nfaults: [meteor]\n":          "unknown kind meteor",
		"name: x\ntopology: {controls: 0}\n":   "topology",
		"name: x\nload: {weight_policy: no}\n": "load.weight_policy",
	} {
		_, err := load(text)
		require.ErrorContains(t, err, want)
	}
}

// TestCheckLinearizability verifies that a read must see every change that completed before it
// began, while a concurrent read may miss it, and that only one change to a revision is accepted.
func TestCheckLinearizability(t *testing.T) {
	history := func(readSentAt int64, seen uint64) []porcupine.Operation {
		return []porcupine.Operation{
			{ClientId: 0, Input: declarationCall{base: 0}, Call: 0, Output: declarationResult{outcome: state.ApplyAccepted, revision: 5}, Return: 10},
			{ClientId: 1, Input: declarationCall{base: 0}, Call: 1, Output: declarationResult{outcome: state.ApplyConflict, revision: 5}, Return: 12},
			{ClientId: 2, Input: declarationCall{isRead: true}, Call: readSentAt, Output: declarationResult{revision: seen}, Return: 30},
		}
	}
	require.Empty(t, checkLinearizability(history(20, 5), 0))
	require.NotEmpty(t, checkLinearizability(history(20, 0), 0))
	require.Empty(t, checkLinearizability(history(5, 0), 0))
	twice := append(history(20, 5), porcupine.Operation{
		ClientId: 3, Input: declarationCall{base: 0}, Call: 3, Output: declarationResult{outcome: state.ApplyAccepted, revision: 6}, Return: 40,
	})
	require.NotEmpty(t, checkLinearizability(twice, 0))
}
