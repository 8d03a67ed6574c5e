package plays

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTableKeepsOneRowForEachPlaySeedAndCommit(t *testing.T) {
	path := filepath.Join(t.TempDir(), "played.csv")
	table, err := LoadTable(path)
	require.NoError(t, err)
	require.Empty(t, table.Rows)
	table.Add(Row{Site: "b", Play: "p", Seed: 1, Commit: "c1", Worth: "0.5"})
	table.Add(Row{Site: "a", Play: "p", Seed: 1, Commit: "c1", Unplayed: "exit status 2: no, \"never\""})
	table.Add(Row{Site: "b", Play: "p", Seed: 1, Commit: "c1", Worth: "0.6", Broken: "LOST 1, CONFIG 2"})
	table.Add(Row{Site: "b", Play: "p", Seed: 1, Commit: "c2", Worth: "0.7", Found: "two-leaders 1"})
	require.NoError(t, table.Write(path))
	read, err := LoadTable(path)
	require.NoError(t, err)
	require.Equal(t, table.Rows, read.Rows)
	require.Len(t, read.Rows, 3)
	require.True(t, read.Played("b", "p", "c2"))
	require.True(t, read.Played("a", "p", ""))
	require.False(t, read.Played("a", "p", "c2"))
}

func TestLoadTableRejectsUnknownColumns(t *testing.T) {
	path := filepath.Join(t.TempDir(), "played.csv")
	require.NoError(t, os.WriteFile(path, []byte("a,b,c,d,e,f,g,h,i\n"), 0o600))
	_, err := LoadTable(path)
	require.Error(t, err)
}

// fakeBench prints a result for each day; for series of wipes also a broken rule and a replica that
// does not join its group.
const fakeBench = `#!/bin/sh
case "$3" in
*series-wipe*) echo '    3.0 s to     5.5 s  after_ack_wipe core-b-1'; echo '10.0 core-a-1 {"event":1010,"replica":7}'; echo '40.0 core-a-1 {"event":5017}'; echo 'rules broken: CONFIG 3' ;;
*series-replace*) echo 'too busy'; exit 3 ;;
esac
echo 'worth 0.900 = whole day 0.9 (weight 1)'
`

func newTestDriver(t *testing.T, out *bytes.Buffer) *Driver {
	t.Helper()
	folder := t.TempDir()
	site, program := filepath.Join(folder, "site.toml"), filepath.Join(folder, "bench")
	require.NoError(t, os.WriteFile(site, []byte(testSite), 0o600))
	require.NoError(t, os.WriteFile(program, []byte(fakeBench), 0o700))
	repository := filepath.Join(folder, "repository")
	for _, arguments := range [][]string{
		{"init", "-q", repository},
		{"-C", repository, "-c", "user.name=a", "-c", "user.email=a@b", "commit", "-q", "--allow-empty", "-m", "first"},
	} {
		require.NoError(t, exec.Command("git", arguments...).Run())
	}
	return &Driver{Program: program, Repository: repository, Sites: []string{site}, TableFile: filepath.Join(folder, "played.csv"),
		Folder: filepath.Join(folder, "found"), Jobs: 2, Why: "test", Out: out}
}

func TestDriverSavesArtifactsOfFindings(t *testing.T) {
	var out bytes.Buffer
	driver := newTestDriver(t, &out)
	found, err := driver.Run(context.Background(), Selection{MaxPlays: 2, NamePart: "series-power-core"})
	require.NoError(t, err)
	require.Zero(t, found)
	files, err := os.ReadDir(driver.Folder)
	require.NoError(t, err)
	require.Empty(t, files)

	found, err = driver.Run(context.Background(), Selection{MaxPlays: 1, NamePart: "series-wipe-core-x4"})
	require.NoError(t, err)
	require.Equal(t, 1, found)
	files, err = os.ReadDir(driver.Folder)
	require.NoError(t, err)
	require.Len(t, files, 3)

	table, err := LoadTable(driver.TableFile)
	require.NoError(t, err)
	require.Len(t, table.Rows, 3)
	last := table.Rows[2]
	require.Equal(t, "CONFIG 3", last.Broken)
	require.Equal(t, "replica-outside 1", last.Found)
	require.Equal(t, "0.900", last.Worth)
	require.Equal(t, "1/4", last.Struck)
}

func TestDriverPlaysOncePerCommit(t *testing.T) {
	var out bytes.Buffer
	driver := newTestDriver(t, &out)
	selection := Selection{MaxPlays: 100, NamePart: "series-power-core-power-x"}
	_, err := driver.Run(context.Background(), selection)
	require.NoError(t, err)
	rows := len(driver.table.Rows)
	require.Equal(t, 3, rows)
	selection.Replay = true
	out.Reset()
	_, err = driver.Run(context.Background(), selection)
	require.NoError(t, err)
	require.Empty(t, out.String())
}

func TestDriverRecordsReasonForMissingResult(t *testing.T) {
	var out bytes.Buffer
	driver := newTestDriver(t, &out)
	_, err := driver.Run(context.Background(), Selection{MaxPlays: 1, NamePart: "series-replace-core-x4"})
	require.NoError(t, err)
	require.Equal(t, "exit status 3: too busy", driver.table.Rows[0].Unplayed)
}

// On another commit, plays that had findings are repeated first.
func TestReplayStartsWithFindings(t *testing.T) {
	var out bytes.Buffer
	driver := newTestDriver(t, &out)
	driver.Jobs = 1
	_, err := driver.Run(context.Background(), Selection{MaxPlays: 3, NamePart: "series-power-core-power-x"})
	require.NoError(t, err)
	_, err = driver.Run(context.Background(), Selection{MaxPlays: 1, NamePart: "series-wipe-store-x4"})
	require.NoError(t, err)
	commit := []string{"-C", driver.Repository, "-c", "user.name=a", "-c", "user.email=a@b", "commit", "-q", "--allow-empty", "-m", "second"}
	require.NoError(t, exec.Command("git", commit...).Run())
	require.NoError(t, os.WriteFile(filepath.Join(driver.Repository, "source"), nil, 0o600))
	require.NoError(t, exec.Command("git", "-C", driver.Repository, "add", "source").Run())
	require.NoError(t, exec.Command("git", commit...).Run())
	out.Reset()
	found, err := driver.Run(context.Background(), Selection{MaxPlays: 1, Replay: true})
	require.NoError(t, err)
	require.Equal(t, 1, found)
	require.Contains(t, out.String(), "series-wipe-store-x4")
}
