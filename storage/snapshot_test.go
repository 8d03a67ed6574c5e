package storage

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
)

// entriesThrough returns the entries from 2 through last.
func entriesThrough(last uint64) []consensus.Entry {
	var entries []consensus.Entry
	for index := uint64(2); index <= last; index++ {
		entries = append(entries, consensus.Entry{Term: 1, Index: index, Data: []byte{byte(index)}})
	}
	return entries
}

// folderWithLog returns a folder whose log holds entries 2 to 9, and its open store.
func folderWithLog(t *testing.T) (string, *Store) {
	folder := t.TempDir()
	require.NoError(t, Init(folder, "c", 1, consensus.Snapshot{Index: 1, Term: 1}))
	store, _, err := Open(folder, "c")
	require.NoError(t, err)
	require.NoError(t, store.Save(consensus.Ready{
		HardState: &consensus.HardState{Term: 1, Commit: 9}, Entries: entriesThrough(9),
	}))
	return folder, store
}

// writeInHalves returns a function that writes the text in two pieces.
func writeInHalves(text string) func(io.Writer) error {
	return func(writer io.Writer) error {
		half := len(text) / 2
		if _, err := io.WriteString(writer, text[:half]); err != nil {
			return err
		}
		_, err := io.WriteString(writer, text[half:])
		return err
	}
}

// snapshotData returns the data of the newest snapshot.
func snapshotData(t *testing.T, folder string) string {
	store, _, err := Open(folder, "c")
	require.NoError(t, err)
	defer store.Close()
	_, state, size, err := store.OpenSnapshot()
	require.NoError(t, err)
	defer state.Close()
	data, err := io.ReadAll(state)
	require.NoError(t, err)
	require.Len(t, data, int(size))
	return string(data)
}

func reopen(t *testing.T, folder string, store *Store) Contents {
	require.NoError(t, store.Close())
	reopened, contents, err := Open(folder, "c")
	require.NoError(t, err)
	require.NoError(t, reopened.Close())
	return contents
}

// TestSnapshotFile: a snapshot is used once it is written, whether or not the log that it covers has been
// dropped.
func TestSnapshotFile(t *testing.T) {
	for _, dropped := range []bool{false, true} {
		folder, store := folderWithLog(t)
		snapshot := consensus.Snapshot{Index: 6, Term: 1}
		size, err := store.WriteSnapshot(snapshot, writeInHalves("state"))
		require.NoError(t, err)
		require.Equal(t, len("state"), size)
		if dropped {
			require.NoError(t, store.DropLog(6))
		}
		contents := reopen(t, folder, store)
		require.Equal(t, snapshot, contents.Snapshot)
		require.Equal(t, entriesThrough(9)[5:], contents.Entries)
		require.Equal(t, "state", snapshotData(t, folder))
	}
}

// TestNewerSnapshotReplacesFile: a newer snapshot from a leader replaces the log and takes precedence over an
// older snapshot file.
func TestNewerSnapshotReplacesFile(t *testing.T) {
	folder, store := folderWithLog(t)
	_, err := store.WriteSnapshot(consensus.Snapshot{Index: 6, Term: 1}, writeInHalves("old"))
	require.NoError(t, err)
	newer := consensus.Snapshot{Index: 20, Term: 1, Data: []byte("new")}
	require.NoError(t, store.Save(consensus.Ready{Snapshot: &newer}))
	contents := reopen(t, folder, store)
	require.Equal(t, uint64(20), contents.Snapshot.Index)
	require.Empty(t, contents.Entries)
	require.Equal(t, "new", snapshotData(t, folder))
}

// TestSnapshotOfWholeLog: a snapshot may cover the whole log.
func TestSnapshotOfWholeLog(t *testing.T) {
	folder, store := folderWithLog(t)
	_, err := store.WriteSnapshot(consensus.Snapshot{Index: 9, Term: 1}, writeInHalves("x"))
	require.NoError(t, err)
	require.NoError(t, store.DropLog(9))
	contents := reopen(t, folder, store)
	require.Equal(t, uint64(9), contents.Snapshot.Index)
	require.Empty(t, contents.Entries)
}

// TestCorruptSnapshotFile: a flipped bit is detected, and a file that has not been renamed yet is ignored.
func TestCorruptSnapshotFile(t *testing.T) {
	folder, store := folderWithLog(t)
	_, err := store.WriteSnapshot(consensus.Snapshot{Index: 6, Term: 1}, writeInHalves("state"))
	require.NoError(t, err)
	require.NoError(t, store.Close())
	path := filepath.Join(folder, snapshotFileName)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	data[len(data)-1] ^= 1
	require.NoError(t, os.WriteFile(path, data, fileMode))
	_, _, err = Open(folder, "c")
	require.ErrorContains(t, err, "checksum")
	require.NoError(t, os.Rename(path, path+".new"))
	reopened, contents, err := Open(folder, "c")
	require.NoError(t, err)
	require.Equal(t, uint64(1), contents.Snapshot.Index)
	require.NoError(t, reopened.Close())
}

// TestReceivedSnapshot: a received snapshot is used once Save is called with it. One that is truncated or
// that Save is not called with changes nothing.
func TestReceivedSnapshot(t *testing.T) {
	folder, store := folderWithLog(t)
	received := consensus.Snapshot{Index: 20, Term: 2}
	require.Error(t, store.ReceiveSnapshot(received, strings.NewReader("sta"), 5))
	require.NoError(t, store.ReceiveSnapshot(consensus.Snapshot{Index: 15, Term: 1}, strings.NewReader("other"), 5))
	require.NoError(t, store.ReceiveSnapshot(received, strings.NewReader("state"), 5))
	contents := reopen(t, folder, store)
	require.Equal(t, uint64(1), contents.Snapshot.Index)
	require.Equal(t, entriesThrough(9), contents.Entries)

	store, _, err := Open(folder, "c")
	require.NoError(t, err)
	require.NoError(t, store.Save(consensus.Ready{Snapshot: &received, HardState: &consensus.HardState{Term: 2, Commit: 20}}))
	contents = reopen(t, folder, store)
	require.Equal(t, received, contents.Snapshot)
	require.Empty(t, contents.Entries)
	require.Equal(t, "state", snapshotData(t, folder))
	remaining, err := filepath.Glob(filepath.Join(folder, "*received*"))
	require.NoError(t, err)
	require.Empty(t, remaining)
}

// TestCrashDuringSnapshotInstall: if the process ends after the received file is installed and before the log
// is cleared, the folder opens with the snapshot.
func TestCrashDuringSnapshotInstall(t *testing.T) {
	folder, store := folderWithLog(t)
	require.NoError(t, store.ReceiveSnapshot(consensus.Snapshot{Index: 20, Term: 2}, strings.NewReader("state"), 5))
	require.NoError(t, store.installReceived(20))
	contents := reopen(t, folder, store)
	require.Equal(t, uint64(20), contents.Snapshot.Index)
	require.Empty(t, contents.Entries)
	require.Equal(t, "state", snapshotData(t, folder))
}

// TestOwnSnapshotOlderThanReceived: an own snapshot does not replace a newer one that was received while
// it was being written.
func TestOwnSnapshotOlderThanReceived(t *testing.T) {
	folder, store := folderWithLog(t)
	received := consensus.Snapshot{Index: 20, Term: 2}
	_, err := store.WriteSnapshot(consensus.Snapshot{Index: 6, Term: 1}, func(writer io.Writer) error {
		require.NoError(t, store.ReceiveSnapshot(received, strings.NewReader("state"), 5))
		require.NoError(t, store.Save(consensus.Ready{Snapshot: &received}))
		_, err := io.WriteString(writer, "old")
		return err
	})
	require.NoError(t, err)
	require.Equal(t, uint64(20), reopen(t, folder, store).Snapshot.Index)
	require.Equal(t, "state", snapshotData(t, folder))
	require.NoError(t, os.Remove(filepath.Join(folder, snapshotFileName)))
	_, _, err = Open(folder, "c")
	require.ErrorContains(t, err, "missing")
}
