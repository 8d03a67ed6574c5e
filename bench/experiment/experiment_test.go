package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
)

func load(t *testing.T, text string) (*Experiment, error) {
	path := filepath.Join(t.TempDir(), "experiment.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

// The table must not depend on how the runs are scheduled.
func TestRunIsDeterministic(t *testing.T) {
	loaded, err := load(t, `
name: bounds
seeds: 3
variants:
  - {name: one, scenario: {load: {max_staleness_versions: 1}}}
  - {name: none, scenario: {load: {max_staleness_versions: 0}}}
`)
	require.NoError(t, err)
	var first, second bytes.Buffer
	loaded.Print(&first, loaded.Run())
	outcomes := loaded.Run()
	loaded.Print(&second, outcomes)
	require.Equal(t, first.String(), second.String())
	require.Zero(t, outcomes[0].failedRuns())
	_, _, maximum := outcomes[1].staleness()
	require.Zero(t, maximum, "a staleness bound of 0 must not admit stale samples")
	path := filepath.Join(t.TempDir(), "figures.csv")
	require.NoError(t, WriteCSV(path, outcomes))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 1+2*3, bytes.Count(data, []byte("\n")))
}

func TestLoadRejectsInvalidFiles(t *testing.T) {
	for text, message := range map[string]string{
		"name: x\nvariants: []\n":                         "there must be variants",
		"name: x\nvariants: [{scenario: {}}]\n":           "variants[0].name",
		"name: x\nvariants: [{name: a, scenaro: {}}]\n":   "scenaro",
		"variants: [{name: a, scenario: {faults: [x]}}]":  "unknown kind x",
		"seeds: 0\nvariants: [{name: a, scenario: {}}]\n": "seeds must be at least 1",
	} {
		_, err := load(t, text)
		require.Error(t, err)
		require.True(t, errorx.IsOfType(err, ErrInvalid))
		require.ErrorContains(t, err, message)
	}
}
