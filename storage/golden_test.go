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

// goldenContents returns the contents of the golden folders.
func goldenContents() Contents {
	members := consensus.Membership{Members: []consensus.Member{{ID: 7, Address: "127.0.0.1:1", Voter: true}, {ID: 8, Address: "127.0.0.1:2"}}}
	return Contents{
		Identity:  Identity{Format: 2, Cluster: testCluster, Replica: 7},
		HardState: consensus.HardState{Term: 3, Vote: 8, Commit: 58},
		Snapshot:  consensus.Snapshot{Index: 40, Term: 2, Membership: members},
		Entries:   entries(41, 20, 2),
	}
}

// TestGoldenFolder opens data folders written by earlier builds and appends to them.
func TestGoldenFolder(t *testing.T) {
	if folder, ok := golden.OutputFile(); ok {
		writeGoldenFolder(t, folder)
		return
	}
	for _, source := range golden.Files(t, "folder-*") {
		t.Run(filepath.Base(source), func(t *testing.T) {
			folder := unpackFolder(t, source)
			store, contents, err := Open(folder, testCluster)
			require.NoError(t, err)
			requireGoldenContents(t, store, contents)
			added := entries(61, 1, 3)
			require.NoError(t, store.Save(consensus.Ready{Entries: added}))
			require.NoError(t, store.Close())
			store, contents, err = Open(folder, testCluster)
			require.NoError(t, err)
			require.Equal(t, append(goldenContents().Entries, added...), contents.Entries)
			require.NoError(t, store.Close())
			reserved, err := ReservedIdentity(folder, testCluster)
			require.NoError(t, err)
			require.Equal(t, consensus.ReplicaID(9), reserved)
		})
	}
}

func requireGoldenContents(t *testing.T, store *Store, contents Contents) {
	expected := goldenContents()
	require.Equal(t, expected.Identity, contents.Identity)
	require.Equal(t, expected.HardState, contents.HardState)
	require.Equal(t, expected.Snapshot, contents.Snapshot)
	require.Equal(t, expected.Entries, contents.Entries)
	snapshot, data, _, err := store.OpenSnapshot()
	require.NoError(t, err)
	defer func() { require.NoError(t, data.Close()) }()
	content, err := io.ReadAll(data)
	require.NoError(t, err)
	require.Equal(t, expected.Snapshot, snapshot)
	require.Equal(t, goldenSnapshotData, string(content))
}

// TestOpenRefusesLaterFormat: a folder written by a later build is refused and left unchanged.
func TestOpenRefusesLaterFormat(t *testing.T) {
	folder := t.TempDir()
	initReplica(t, folder)
	path := filepath.Join(folder, databaseFileName)
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
	folder, expected := t.TempDir(), goldenContents()
	require.NoError(t, Init(folder, testCluster, 7, consensus.Snapshot{Index: 1, Term: 1}))
	store, _, err := Open(folder, testCluster)
	require.NoError(t, err)
	require.NoError(t, store.Save(consensus.Ready{HardState: &expected.HardState, Entries: entries(2, 59, 2)}))
	_, err = store.WriteSnapshot(expected.Snapshot, func(writer io.Writer) error {
		_, err := io.WriteString(writer, goldenSnapshotData)
		return err
	})
	require.NoError(t, err)
	require.NoError(t, store.DropLog(expected.Snapshot.Index))
	require.NoError(t, store.Close())
	require.NoError(t, ReserveIdentity(folder, testCluster, 9))
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

func unpackFolder(t *testing.T, source string) string {
	folder := t.TempDir()
	files, err := filepath.Glob(filepath.Join(source, "*.gz"))
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
