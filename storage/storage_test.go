package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	bolt "go.etcd.io/bbolt"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/consensus"
	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

const testCluster = "cluster"

func entries(first, count, term uint64) []consensus.Entry {
	result := make([]consensus.Entry, 0, count)
	for index := first; index < first+count; index++ {
		result = append(result, consensus.Entry{Term: term, Index: index, Data: []byte{byte(index), byte(term)}})
	}
	return result
}

func initReplica(t require.TestingT, folder string) {
	require.NoError(t, Init(folder, testCluster, 7, consensus.Snapshot{Index: 1, Term: 1}))
	store, _, err := Open(folder, testCluster)
	require.NoError(t, err)
	ready := consensus.Ready{HardState: &consensus.HardState{Term: 2, Vote: 3, Commit: 4}, Entries: entries(2, 100, 2)}
	require.NoError(t, store.Save(ready))
	require.NoError(t, store.Close())
}

// TestStoreKeepsSavedState saves in random order as a replica does and checks the state after reopening.
func TestStoreKeepsSavedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "storage")
		require.NoError(t, err)
		defer os.RemoveAll(folder)
		require.NoError(t, Init(folder, testCluster, 7, consensus.Snapshot{Index: 1, Term: 1}))
		store, expected, err := Open(folder, testCluster)
		require.NoError(t, err)
		defer func() { store.Close() }()
		require.Equal(t, Identity{Format: formatVersion, Cluster: testCluster, Replica: 7}, expected.Identity)
		last := func() uint64 { return expected.Snapshot.Index + uint64(len(expected.Entries)) }
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				first := rapid.Uint64Range(expected.Snapshot.Index+1, last()+1).Draw(t, "first")
				added := entries(first, rapid.Uint64Range(1, 40).Draw(t, "count"), expected.HardState.Term+1)
				state := consensus.HardState{Term: expected.HardState.Term + 1, Vote: 2, Commit: expected.Snapshot.Index}
				require.NoError(t, store.Save(consensus.Ready{HardState: &state, Entries: added}))
				expected.Entries = append(expected.Entries[:first-expected.Snapshot.Index-1:first-expected.Snapshot.Index-1], added...)
				expected.HardState = state
			},
			"compact": func(t *rapid.T) {
				index := rapid.Uint64Range(expected.Snapshot.Index, last()).Draw(t, "index")
				snapshot := consensus.Snapshot{Index: index, Term: 1, Data: []byte("state")}
				require.NoError(t, store.SaveSnapshot(snapshot))
				expected.Entries = expected.Entries[index-expected.Snapshot.Index:]
				expected.Snapshot = snapshot
			},
			"install": func(*rapid.T) {
				snapshot := consensus.Snapshot{Index: last() + 5, Term: 9, Data: []byte("installed")}
				state := consensus.HardState{Term: expected.HardState.Term + 1, Commit: snapshot.Index}
				require.NoError(t, store.Save(consensus.Ready{HardState: &state, Snapshot: &snapshot}))
				expected.Snapshot, expected.HardState, expected.Entries = snapshot, state, nil
			},
			"reopen": func(t *rapid.T) {
				require.NoError(t, store.Close())
				var contents Contents
				store, contents, err = Open(folder, testCluster)
				require.NoError(t, err)
				require.Equal(t, expected.HardState, contents.HardState)
				require.Equal(t, expected.Snapshot.Index, contents.Snapshot.Index)
				require.Equal(t, expected.Snapshot.Data, contents.Snapshot.Data)
				require.Equal(t, len(expected.Entries), len(contents.Entries))
				for position := range expected.Entries {
					require.Equal(t, expected.Entries[position], contents.Entries[position])
				}
			},
		})
	})
}

func TestOpenRefusesUnusableFolder(t *testing.T) {
	edit := func(t *testing.T, path string, change func(meta, log *bolt.Bucket) error) {
		database, err := bolt.Open(path, fileMode, nil)
		require.NoError(t, err)
		require.NoError(t, database.Update(func(transaction *bolt.Tx) error {
			return change(transaction.Bucket(metaBucket), transaction.Bucket(logBucket))
		}))
		require.NoError(t, database.Close())
	}
	tests := map[string]struct {
		corrupt func(t *testing.T, path string)
		cluster string
		kind    *errorx.Type
	}{
		"missing": {corrupt: func(t *testing.T, path string) { require.NoError(t, os.Remove(path)) }, kind: ErrMissing},
		"foreign": {corrupt: func(*testing.T, string) {}, cluster: "another", kind: ErrForeign},
		"another program's file": {kind: ErrForeign, corrupt: func(t *testing.T, path string) {
			edit(t, path, func(meta, _ *bolt.Bucket) error { return meta.Tx().DeleteBucket(logBucket) })
		}},
		"entry missing": {kind: ErrCorrupt, corrupt: func(t *testing.T, path string) {
			edit(t, path, func(_, log *bolt.Bucket) error { return log.Delete(indexKey(50)) })
		}},
		"committed entries missing": {kind: ErrCorrupt, corrupt: func(t *testing.T, path string) {
			edit(t, path, func(meta, _ *bolt.Bucket) error {
				return put(meta, stateKey, consensus.HardState{Term: 2, Commit: 1000})
			})
		}},
		"checksum": {kind: ErrCorrupt, corrupt: func(t *testing.T, path string) {
			edit(t, path, func(_, log *bolt.Bucket) error {
				record := append([]byte(nil), log.Get(indexKey(50))...)
				record[len(record)-1] ^= 1
				return log.Put(indexKey(50), record)
			})
		}},
		"short record": {kind: ErrCorrupt, corrupt: func(t *testing.T, path string) {
			edit(t, path, func(meta, _ *bolt.Bucket) error { return meta.Tx().Bucket(snapshotBucket).Put(snapshotKey, []byte{1}) })
		}},
		"snapshot missing": {kind: ErrCorrupt, corrupt: func(t *testing.T, path string) {
			edit(t, path, func(meta, _ *bolt.Bucket) error { return meta.Tx().Bucket(snapshotBucket).Delete(snapshotKey) })
		}},
		"truncated": {kind: ErrCorrupt, corrupt: func(t *testing.T, path string) {
			info, err := os.Stat(path)
			require.NoError(t, err)
			require.NoError(t, os.Truncate(path, info.Size()/2))
		}},
		"emptied": {kind: ErrCorrupt, corrupt: func(t *testing.T, path string) {
			require.NoError(t, os.Truncate(path, 0))
		}},
		"overwritten": {kind: ErrCorrupt, corrupt: func(t *testing.T, path string) {
			data, err := os.ReadFile(path)
			require.NoError(t, err)
			for position := len(data) / 8; position < len(data); position++ {
				data[position] = 0xa5
			}
			require.NoError(t, os.WriteFile(path, data, fileMode))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			initReplica(t, folder)
			test.corrupt(t, filepath.Join(folder, databaseFileName))
			cluster := test.cluster
			if cluster == "" {
				cluster = testCluster
			}
			_, _, err := Open(folder, cluster)
			require.Error(t, err)
			require.True(t, errorx.IsOfType(err, test.kind), "%v", err)
		})
	}
}

func TestInitRefusesExistingReplica(t *testing.T) {
	folder := t.TempDir()
	initReplica(t, folder)
	require.True(t, errorx.IsOfType(Init(folder, testCluster, 8, consensus.Snapshot{}), ErrExists))
}

// FuzzDecodeRecord: a stored record gives an entry or an error, never a panic.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0x8d, 0x2f, 0x2a, 0x1c, 0x84, 1, 2, 3, 0x40})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var entry consensus.Entry
		_ = decode(data, &entry)
	})
}

// TestSavesDoNotRewriteTheSnapshot: the number of pages written by a save does not depend on the size of
// the snapshot.
func TestSavesDoNotRewriteTheSnapshot(t *testing.T) {
	folder := t.TempDir()
	const snapshotBytes = 4 << 20
	require.NoError(t, Init(folder, testCluster, 7, consensus.Snapshot{Index: 1, Term: 1, Data: make([]byte, snapshotBytes)}))
	store, _, err := Open(folder, testCluster)
	require.NoError(t, err)
	defer store.Close()
	before := store.database.Stats()
	require.NoError(t, store.Save(consensus.Ready{HardState: &consensus.HardState{Term: 2, Commit: 1}}))
	after := store.database.Stats()
	difference := after.Sub(&before)
	written := difference.TxStats.GetPageAlloc()
	require.Less(t, written, int64(snapshotBytes)/16)
}
