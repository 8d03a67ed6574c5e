package simulate

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/state"
)

func scenario(t *testing.T, name string) Scenario {
	for _, candidate := range Scenarios() {
		if candidate.Name == name {
			return candidate
		}
	}
	t.Fatalf("there is no scenario %q", name)
	return Scenario{}
}

// TestSeedGivesOneTrace runs the same seed twice, with all faults.
func TestSeedGivesOneTrace(t *testing.T) {
	for _, name := range []string{"calm", "everything", "everything-two-regions"} {
		first := Run(scenario(t, name), 7, true)
		second := Run(scenario(t, name), 7, true)
		require.Equal(t, first.Trace, second.Trace)
		require.Equal(t, first.Digest, second.Digest)
		other := Run(scenario(t, name), 8, false)
		require.NotEqual(t, first.Digest, other.Digest)
	}
}

// TestSeedsThatFailed runs the seeds in which a promise was broken on the way.
// The traces have moved on since, so that a seed alone proves little; package
// tests hold the causes.
func TestSeedsThatFailed(t *testing.T) {
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
			result := Run(scenario(t, test.scenario), test.seed, false)
			require.Empty(t, result.Violations)
			require.NotZero(t, result.Counts.Delivered)
		})
	}
}

// TestEachFaultIsInjected: no scenario names a fault that the simulator leaves out.
func TestEachFaultIsInjected(t *testing.T) {
	base := scenario(t, "calm")
	for _, kind := range faultKinds {
		attacked := base
		attacked.Timeline = []TimedFault{{At: 5000, Kind: kind, Duration: 1000}}
		result := Run(attacked, 3, false)
		require.NotEmpty(t, result.Faults, kind)
		require.Empty(t, result.Violations, kind)
	}
}

// TestClocksThatMissSuspensionsAreFound: where processes go by clocks that stand still while
// their machines are suspended, runs break promises; with the product's clock none does.
func TestClocksThatMissSuspensionsAreFound(t *testing.T) {
	attacked := scenario(t, "suspensions")
	faulty := attacked
	faulty.SteadyClocks = true
	broken := 0
	for seed := range uint64(suspensionSeeds) {
		require.Empty(t, Run(attacked, seed, false).Violations)
		if len(Run(faulty, seed, false).Violations) > 0 {
			broken++
		}
	}
	require.Positive(t, broken)
}

// suspensionSeeds are enough for the faulty clock to be found several times.
const suspensionSeeds = 60

func TestScenarioFile(t *testing.T) {
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
	for text, part := range map[string]string{
		"name: x\ntimelin: []\n":               "timelin",
		"timeline: []\n":                       "name: must not be empty",
		"name: x\nfaults: [meteor]\n":          "unknown kind meteor",
		"name: x\ntopology: {controls: 0}\n":   "topology",
		"name: x\nload: {weight_policy: no}\n": "load.weight_policy",
	} {
		_, err := load(text)
		require.ErrorContains(t, err, part)
	}
}

// TestLinearizabilityIsJudged: a read that misses a change which was answered
// before it was sent is caught; one that was under way meanwhile is not.
func TestLinearizabilityIsJudged(t *testing.T) {
	history := func(readSentAt int64, seen uint64) []porcupine.Operation {
		return []porcupine.Operation{
			{ClientId: 0, Input: declarationCall{base: 0}, Call: 0, Output: declarationAnswer{outcome: state.ApplyAccepted, revision: 5}, Return: 10},
			{ClientId: 1, Input: declarationCall{base: 0}, Call: 1, Output: declarationAnswer{outcome: state.ApplyConflict, revision: 5}, Return: 12},
			{ClientId: 2, Input: declarationCall{isRead: true}, Call: readSentAt, Output: declarationAnswer{revision: seen}, Return: 30},
		}
	}
	require.Empty(t, judgeLinearizability(history(20, 5), 0))
	require.NotEmpty(t, judgeLinearizability(history(20, 0), 0))
	require.Empty(t, judgeLinearizability(history(5, 0), 0))
	twice := append(history(20, 5), porcupine.Operation{
		ClientId: 3, Input: declarationCall{base: 0}, Call: 3, Output: declarationAnswer{outcome: state.ApplyAccepted, revision: 6}, Return: 40,
	})
	require.NotEmpty(t, judgeLinearizability(twice, 0))
}
