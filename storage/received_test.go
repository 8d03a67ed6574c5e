package storage

import (
	"io"
	"path/filepath"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
)

// receive stores the received snapshot with its data.
func receive(t require.TestingT, store *Store, snapshot consensus.Snapshot, data string) {
	require.NoError(t, store.ReceiveSnapshot(snapshot, strings.NewReader(data), int64(len(data))))
}

// TestNewerReceivedSnapshotSurvivesInstall guards against the loss of a replica's state: the installation of a
// received snapshot deleted a newer one that was still to be installed.
func TestNewerReceivedSnapshotSurvivesInstall(t *testing.T) {
	folder, store := folderWithLog(t)
	older, newer := consensus.Snapshot{Index: 20, Term: 2}, consensus.Snapshot{Index: 30, Term: 2}
	receive(t, store, older, "older")
	receive(t, store, newer, "newer")
	require.NoError(t, store.Save(consensus.Ready{Snapshot: &older, HardState: &consensus.HardState{Term: 2, Commit: 20}}))
	require.NoError(t, store.Save(consensus.Ready{Snapshot: &newer, HardState: &consensus.HardState{Term: 2, Commit: 30}}))
	require.Equal(t, newer, reopen(t, folder, store).Snapshot)
	require.Equal(t, "newer", snapshotData(t, folder))
	remaining, err := filepath.Glob(filepath.Join(folder, "*received*"))
	require.NoError(t, err)
	require.Empty(t, remaining)
}

// TestSnapshotWithoutDataIsNotSaved guards against the loss of a replica's state and log: a snapshot that had not
// been received was saved without its data.
func TestSnapshotWithoutDataIsNotSaved(t *testing.T) {
	folder, store := folderWithLog(t)
	err := store.Save(consensus.Ready{
		Snapshot: &consensus.Snapshot{Index: 20, Term: 2}, HardState: &consensus.HardState{Term: 2, Commit: 20},
	})
	require.True(t, errorx.IsOfType(err, ErrNotReceived), err)
	contents := reopen(t, folder, store)
	require.Equal(t, uint64(1), contents.Snapshot.Index)
	require.Equal(t, consensus.HardState{Term: 1, Commit: 9}, contents.HardState)
	require.Equal(t, entriesThrough(9), contents.Entries)
}

// TestSaveIsRepeatedAfterInstall guards against a replica that cannot go on: the file of the snapshot was in its
// place, and the transaction failed, as on a full disk.
func TestSaveIsRepeatedAfterInstall(t *testing.T) {
	folder, store := folderWithLog(t)
	snapshot := consensus.Snapshot{Index: 20, Term: 2}
	receive(t, store, snapshot, "state")
	require.NoError(t, store.installReceived(20))
	require.NoError(t, store.Save(consensus.Ready{Snapshot: &snapshot, HardState: &consensus.HardState{Term: 2, Commit: 20}}))
	require.Equal(t, snapshot, reopen(t, folder, store).Snapshot)
	require.Equal(t, "state", snapshotData(t, folder))
}

// TestEmptySnapshotIsNotReceived guards against a state that is replaced by the initial one: only the initial
// snapshot of a group has no data.
func TestEmptySnapshotIsNotReceived(t *testing.T) {
	_, store := folderWithLog(t)
	require.Error(t, store.ReceiveSnapshot(consensus.Snapshot{Index: 20, Term: 2}, strings.NewReader(""), 0))
	require.NoError(t, store.ReceiveSnapshot(consensus.Snapshot{Index: initialIndex, Term: 1}, strings.NewReader(""), 0))
	require.NoError(t, store.Close())
}

// TestSnapshotWithoutDataIsNotOpened guards against a state that is replaced by the initial one, here and at the
// replicas to which the snapshot is sent.
func TestSnapshotWithoutDataIsNotOpened(t *testing.T) {
	_, store := folderWithLog(t)
	store.setDatabaseSnapshot(consensus.Snapshot{Index: 20, Term: 2})
	_, _, _, err := store.OpenSnapshot()
	require.True(t, errorx.IsOfType(err, ErrCorrupt), err)
	require.NoError(t, store.Close())
}

// TestSaveWhileSnapshotIsReceived guards against a replica that stalls: a save waited until another snapshot had
// arrived completely.
func TestSaveWhileSnapshotIsReceived(t *testing.T) {
	folder, store := folderWithLog(t)
	older, newer := consensus.Snapshot{Index: 20, Term: 2}, consensus.Snapshot{Index: 30, Term: 2}
	receive(t, store, older, "older")
	arriving := readFunc(func(data []byte) (int, error) {
		require.NoError(t, store.Save(consensus.Ready{Snapshot: &older, HardState: &consensus.HardState{Term: 2, Commit: 20}}))
		return copy(data, "newer"), io.EOF
	})
	require.NoError(t, store.ReceiveSnapshot(newer, arriving, int64(len("newer"))))
	require.NoError(t, store.Save(consensus.Ready{Snapshot: &newer}))
	require.Equal(t, newer, reopen(t, folder, store).Snapshot)
	require.Equal(t, "newer", snapshotData(t, folder))
}

// readFunc is an io.Reader that calls a function.
type readFunc func(data []byte) (int, error)

// Read implements io.Reader.
func (f readFunc) Read(data []byte) (int, error) { return f(data) }

// TestUnusedReceivedSnapshotsAreDiscarded guards against a disk that fills up with snapshots that are never
// installed or have not arrived completely.
func TestUnusedReceivedSnapshotsAreDiscarded(t *testing.T) {
	folder, store := folderWithLog(t)
	files := func() []string {
		names, err := filepath.Glob(filepath.Join(folder, "*received*"))
		require.NoError(t, err)
		return names
	}
	require.Error(t, store.ReceiveSnapshot(consensus.Snapshot{Index: 12, Term: 2}, strings.NewReader("sta"), 5))
	require.Empty(t, files(), "not complete")
	for _, index := range []uint64{5, 8, 20} {
		receive(t, store, consensus.Snapshot{Index: index, Term: 2}, "state")
	}
	require.NoError(t, store.DiscardReceived(9))
	require.Equal(t, []string{store.receivedPath(20)}, files())
	require.True(t, store.HasReceived(20))
	require.False(t, store.HasReceived(8))
	// A process that is killed leaves a file that has not been renamed yet.
	_, err := writeSnapshotFile(store.receivedPath(30)+".new", consensus.Snapshot{Index: 30}, writeInHalves("st"))
	require.NoError(t, err)
	reopen(t, folder, store)
	require.Equal(t, []string{store.receivedPath(20)}, files())
}
