package storage

import (
	"bytes"
	"compress/gzip"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/internal/golden"
)

const goldenSnapshotData = "the state at 40"

// goldenContents are what a golden folder holds.
func goldenContents() Contents {
	members := consensus.Membership{Members: []consensus.Member{{ID: 7, Address: "127.0.0.1:1", Voter: true}, {ID: 8, Address: "127.0.0.1:2"}}}
	return Contents{
		Identity:  Identity{Format: 2, Cluster: testCluster, Replica: 7},
		HardState: consensus.HardState{Term: 3, Vote: 8, Commit: 58},
		Snapshot:  consensus.Snapshot{Index: 40, Term: 2, Membership: members},
		Entries:   entries(41, 20, 2),
	}
}

// TestGoldenFolder opens the data folders of earlier builds, and goes on in them.
func TestGoldenFolder(t *testing.T) {
	if folder, ok := golden.OutputFile(); ok {
		writeGoldenFolder(t, folder)
		return
	}
	for _, written := range golden.Files(t, "folder-*") {
		t.Run(filepath.Base(written), func(t *testing.T) {
			folder := unpackFolder(t, written)
			store, held, err := Open(folder, testCluster)
			require.NoError(t, err)
			requireGolden(t, store, held)
			added := entries(61, 1, 3)
			require.NoError(t, store.Save(consensus.Ready{Entries: added}))
			require.NoError(t, store.Close())
			store, held, err = Open(folder, testCluster)
			require.NoError(t, err)
			require.Equal(t, append(goldenContents().Entries, added...), held.Entries)
			require.NoError(t, store.Close())
			reserved, err := Reserved(folder, testCluster)
			require.NoError(t, err)
			require.Equal(t, consensus.ReplicaID(9), reserved)
		})
	}
}

func requireGolden(t *testing.T, store *Store, held Contents) {
	wanted := goldenContents()
	require.Equal(t, wanted.Identity, held.Identity)
	require.Equal(t, wanted.HardState, held.HardState)
	require.Equal(t, wanted.Snapshot, held.Snapshot)
	require.Equal(t, wanted.Entries, held.Entries)
	snapshot, data, _, err := store.OpenSnapshot()
	require.NoError(t, err)
	defer func() { require.NoError(t, data.Close()) }()
	content, err := io.ReadAll(data)
	require.NoError(t, err)
	require.Equal(t, wanted.Snapshot, snapshot)
	require.Equal(t, goldenSnapshotData, string(content))
}

// TestFolderOfALaterFormatIsLeftAsItIs refuses a folder that a later build wrote.
func TestFolderOfALaterFormatIsLeftAsItIs(t *testing.T) {
	folder := t.TempDir()
	initialised(t, folder)
	path := filepath.Join(folder, fileName)
	database, err := bolt.Open(path, fileMode, nil)
	require.NoError(t, err)
	require.NoError(t, database.Update(func(transaction *bolt.Tx) error {
		return put(transaction.Bucket(metaBucket), identityKey, Identity{Format: formatVersion + 1, Cluster: testCluster, Replica: 7})
	}))
	require.NoError(t, database.Close())
	before, err := os.ReadFile(path)
	require.NoError(t, err)

	_, _, err = Open(folder, testCluster)
	require.True(t, errorx.IsOfType(err, ErrForeign), "%v", err)
	require.ErrorContains(t, err, "format 3; expected cluster \"cluster\", format 2")
	after, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, before, after)
	files, err := os.ReadDir(folder)
	require.NoError(t, err)
	require.Len(t, files, 1)
}

func writeGoldenFolder(t *testing.T, target string) {
	folder, wanted := t.TempDir(), goldenContents()
	require.NoError(t, Init(folder, testCluster, 7, consensus.Snapshot{Index: 1, Term: 1}))
	store, _, err := Open(folder, testCluster)
	require.NoError(t, err)
	require.NoError(t, store.Save(consensus.Ready{HardState: &wanted.HardState, Entries: entries(2, 59, 2)}))
	_, err = store.WriteSnapshot(wanted.Snapshot, func(writer io.Writer) error {
		_, err := io.WriteString(writer, goldenSnapshotData)
		return err
	})
	require.NoError(t, err)
	require.NoError(t, store.DropLog(wanted.Snapshot.Index))
	require.NoError(t, store.Close())
	require.NoError(t, Reserve(folder, testCluster, 9))
	packFolder(t, folder, target)
}

func packFolder(t *testing.T, folder, target string) {
	require.NoError(t, os.MkdirAll(target, 0o755))
	files, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(filepath.Join(folder, file.Name()))
		require.NoError(t, err)
		var packed bytes.Buffer
		writer := gzip.NewWriter(&packed)
		_, err = writer.Write(data)
		require.NoError(t, err)
		require.NoError(t, writer.Close())
		require.NoError(t, os.WriteFile(filepath.Join(target, file.Name()+".gz"), packed.Bytes(), 0o644))
	}
}

func unpackFolder(t *testing.T, written string) string {
	folder := t.TempDir()
	files, err := filepath.Glob(filepath.Join(written, "*.gz"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		packed, err := os.Open(file)
		require.NoError(t, err)
		reader, err := gzip.NewReader(packed)
		require.NoError(t, err)
		data, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.NoError(t, packed.Close())
		name := filepath.Base(file[:len(file)-len(".gz")])
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), data, fileMode))
	}
	return folder
}
