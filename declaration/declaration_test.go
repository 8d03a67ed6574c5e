package declaration

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/state"
)

const validPool = "pools:\n  - name: p\n    model: m\n    engine_group: g\n"

func writeFiles(t *testing.T, files map[string]string) string {
	folder := t.TempDir()
	for name, text := range files {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	return folder
}

func TestInvalidDeclarationsReported(t *testing.T) {
	tests := map[string]struct {
		files    map[string]string
		messages []string
	}{
		"no file":          {map[string]string{"README": "x"}, []string{"holds no .yaml file"}},
		"unknown key":      {map[string]string{"a.yaml": validPool + "    modle: m\n"}, []string{"a.yaml", "[5:5]", "modle"}},
		"invalid policy":   {map[string]string{"a.yaml": validPool + "    weight_policy: maybe\n"}, []string{"a.yaml: pools[0].weight_policy"}},
		"invalid unit":     {map[string]string{"a.yaml": validPool + "    max_staleness: 5 bananas\n"}, []string{"a.yaml", "[5:20]", "must be a duration"}},
		"invalid priority": {map[string]string{"a.yaml": validPool + "    live_priority: 12\n"}, []string{"a.yaml: pools[0].live_priority"}},
		"duplicate":        {map[string]string{"a.yaml": validPool, "b.yml": validPool}, []string{"b.yml: pools[0].name", "also declared in a.yaml"}},
		"two models for one group": {map[string]string{"a.yaml": validPool, "b.yaml": "pools:\n  - name: q\n    model: n\n    engine_group: g\n"},
			[]string{"pools[1].model", "serves model"}},
		"truncated": {map[string]string{"a.yaml": validPool[:20] + "\x00"}, []string{"a.yaml"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Load(writeFiles(t, test.files))
			require.Error(t, err)
			require.True(t, errorx.IsOfType(err, ErrInvalid))
			for _, part := range test.messages {
				require.ErrorContains(t, err, part)
			}
		})
	}
}

func TestValidDeclarations(t *testing.T) {
	pools, err := Load(writeFiles(t, map[string]string{"a.yaml": validPool + "    max_staleness: 90s\n", "notes.txt": "not read"}))
	require.NoError(t, err)
	require.Len(t, pools, 1)
	require.Equal(t, int64(90_000), pools[0].MaxStalenessMillis)
	require.Equal(t, state.FinishRunning, pools[0].Policy)
	require.Equal(t, pools[0], FromProto(ToProto(pools[0])))
}

// FuzzParse checks that parsing and validating malformed files does not panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validPool))
	f.Add([]byte("pools: [{name: 1, max_staleness: 1h}]"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		pools, err := Parse(data)
		if err == nil {
			state.ValidatePools(pools)
		}
	})
}
