package declaration

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/state"
)

const goodPool = "pools:\n  - name: p\n    model: m\n    engine_group: g\n"

func folderOf(t *testing.T, files map[string]string) string {
	folder := t.TempDir()
	for name, text := range files {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	return folder
}

func TestWrongDeclarationsAreNamed(t *testing.T) {
	tests := map[string]struct {
		files map[string]string
		names []string
	}{
		"no file":        {map[string]string{"README": "x"}, []string{"holds no .yaml file"}},
		"unknown key":    {map[string]string{"a.yaml": goodPool + "    modle: m\n"}, []string{"a.yaml", "[5:5]", "modle"}},
		"wrong policy":   {map[string]string{"a.yaml": goodPool + "    weight_policy: maybe\n"}, []string{"a.yaml: pools[0].weight_policy"}},
		"wrong unit":     {map[string]string{"a.yaml": goodPool + "    max_staleness: 5 bananas\n"}, []string{"a.yaml", "[5:20]", "must be a duration"}},
		"wrong priority": {map[string]string{"a.yaml": goodPool + "    live_priority: 12\n"}, []string{"a.yaml: pools[0].live_priority"}},
		"duplicate":      {map[string]string{"a.yaml": goodPool, "b.yml": goodPool}, []string{"b.yml: pools[0].name", "a.yaml too"}},
		"two models for one group": {map[string]string{"a.yaml": goodPool, "b.yaml": "pools:\n  - name: q\n    model: n\n    engine_group: g\n"},
			[]string{"pools[1].model", "serves model"}},
		"truncated": {map[string]string{"a.yaml": goodPool[:20] + "\x00"}, []string{"a.yaml"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Load(folderOf(t, test.files))
			require.Error(t, err)
			require.True(t, errorx.IsOfType(err, ErrInvalid))
			for _, part := range test.names {
				require.ErrorContains(t, err, part)
			}
		})
	}
}

func TestGoodDeclarations(t *testing.T) {
	pools, err := Load(folderOf(t, map[string]string{"a.yaml": goodPool + "    max_staleness: 90s\n", "notes.txt": "not read"}))
	require.NoError(t, err)
	require.Len(t, pools, 1)
	require.Equal(t, int64(90_000), pools[0].MaxStalenessMillis)
	require.Equal(t, state.FinishRunning, pools[0].Policy)
	require.Equal(t, pools[0], FromProto(ToProto(pools[0])))
}

// FuzzParse: a file's bytes give pools or an error, never a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodPool))
	f.Add([]byte("pools: [{name: 1, max_staleness: 1h}]"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		pools, err := Parse(data)
		if err == nil {
			state.ValidatePools(pools)
		}
	})
}
