package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/command"
)

const testSite = `
name = "site"
length_s = 34.0
machines = [
  { class = "front", count = 9, spare = 1 },
  { class = "core", count = 6, spare = 1, disk = { mb = 128 } },
]
[timing]
catch_up_s = 6.0
[tolerate]
machines = 2
[bounds]
config_ms = 2500.0
touch_ms = 4000
grace_s = 8.0
[[day]]
name = "scale-1"
slot = "scale"
`

func runPlays(t *testing.T, arguments ...string) (code int, out, err string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = Main(append([]string{"plays"}, arguments...), command.Streams{Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestPlaysCheckReportsNonMemberReplica(t *testing.T) {
	site := writeFile(t, "site.toml", testSite)
	log := writeFile(t, "play.log", "10.0 core-a-1 {\"event\":1010}\n30.0 core-a-2 {\"event\":5012}\n")
	code, out, _ := runPlays(t, "check", "--site", site, log)
	require.Equal(t, 1, code)
	require.Contains(t, out, "play.log: replica-outside at 16.000 s, core-a-1")

	healthyLog := writeFile(t, "healthy.log", "10.0 core-a-1 {\"event\":1010}\n10.1 core-a-1 {\"event\":1012,\"members\":6}\n30.0 core-a-2 {\"event\":5012}\n")
	code, out, _ = runPlays(t, "check", "--site", site, healthyLog)
	require.Zero(t, code)
	require.Empty(t, out)
}

func TestPlaysWriteAndList(t *testing.T) {
	site, folder := writeFile(t, "site.toml", testSite), t.TempDir()
	code, out, _ := runPlays(t, "write", "--site", site, "--folder", folder, "--name", "series-wipe-core-x")
	require.Zero(t, code)
	require.Equal(t, "3 days written\n", out)
	written, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Len(t, written, 3)
	code, out, _ = runPlays(t, "list", "--site", site, "--table", filepath.Join(folder, "played.csv"))
	require.Zero(t, code)
	require.Contains(t, out, "series-wipe-core-x4")
	require.Contains(t, out, "\n0 of ")
}
