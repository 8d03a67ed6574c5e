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

// TestSameFileGivesSameTable: the comparison does not depend on how the runs
// are spread over cores.
func TestSameFileGivesSameTable(t *testing.T) {
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
	require.Zero(t, outcomes[0].failed())
	_, _, highest := outcomes[1].staleness()
	require.Zero(t, highest, "a bound of no version lets nothing stale through")
	path := filepath.Join(t.TempDir(), "figures.csv")
	require.NoError(t, WriteCSV(path, outcomes))
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, 1+2*3, bytes.Count(data, []byte("\n")))
}

func TestWrongFilesAreNamed(t *testing.T) {
	for text, part := range map[string]string{
		"name: x\nvariants: []\n":                         "there must be variants",
		"name: x\nvariants: [{scenario: {}}]\n":           "variants[0].name",
		"name: x\nvariants: [{name: a, scenaro: {}}]\n":   "scenaro",
		"variants: [{name: a, scenario: {faults: [x]}}]":  "unknown kind x",
		"seeds: 0\nvariants: [{name: a, scenario: {}}]\n": "seeds must be at least 1",
	} {
		_, err := load(t, text)
		require.Error(t, err)
		require.True(t, errorx.IsOfType(err, ErrInvalid))
		require.ErrorContains(t, err, part)
	}
}
