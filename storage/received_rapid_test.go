package storage

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/consensus"
)

// storeModel is what a store must hold: the newest snapshot that is durable, with its data, the log after it, and
// the received snapshots that are still to be installed.
type storeModel struct {
	snapshot consensus.Snapshot
	data     string
	entries  []consensus.Entry
	state    consensus.HardState
	received map[uint64]string
}

func (m *storeModel) lastIndex() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

// setSnapshot replaces the snapshot by a newer one. Only the entries after it are kept.
func (m *storeModel) setSnapshot(snapshot consensus.Snapshot, data string) {
	covered := min(snapshot.Index-m.snapshot.Index, uint64(len(m.entries)))
	m.entries = m.entries[covered:]
	m.snapshot, m.data = snapshot, data
}

func (m *storeModel) discardReceived(through uint64) {
	maps.DeleteFunc(m.received, func(index uint64, _ string) bool { return index <= through })
}

// commit returns the commit index of a replica that starts with this state.
func (m *storeModel) commit() uint64 { return max(m.state.Commit, m.snapshot.Index) }

// installable returns the received snapshots that a replica would install: those after its commit index.
func (m *storeModel) installable() []uint64 {
	var indexes []uint64
	for _, index := range slices.Sorted(maps.Keys(m.received)) {
		if index > m.commit() {
			indexes = append(indexes, index)
		}
	}
	return indexes
}

// storeTest applies random calls to a store and to its model.
type storeTest struct {
	*rapid.T
	folder string
	store  *Store
	model  storeModel
	// count makes the data of each snapshot different.
	count int
}

func newStoreTest(t *rapid.T, folder string) *storeTest {
	require.NoError(t, Init(folder, testCluster, 7, consensus.Snapshot{Index: initialIndex, Term: 1}))
	s := &storeTest{T: t, folder: folder, model: storeModel{
		snapshot: consensus.Snapshot{Index: initialIndex, Term: 1}, state: consensus.HardState{Term: 1, Commit: initialIndex},
		received: map[uint64]string{},
	}}
	s.open()
	return s
}

// open opens the store and compares its contents with the model.
func (s *storeTest) open() {
	store, contents, err := Open(s.folder, testCluster)
	require.NoError(s, err)
	s.store = store
	require.Equal(s, s.model.snapshot, contents.Snapshot)
	require.Equal(s, s.model.state, contents.HardState)
	require.Equal(s, len(s.model.entries), len(contents.Entries))
	if len(contents.Entries) > 0 {
		require.Equal(s, s.model.entries, contents.Entries)
	}
}

// restart closes the store and opens it again, as after a crash: all calls that returned are durable.
func (s *storeTest) restart() {
	require.NoError(s, s.store.Close())
	s.open()
}

func (s *storeTest) newData() string {
	s.count++
	return fmt.Sprintf("state %d", s.count)
}

func (s *storeTest) drawNewIndex() uint64 {
	return rapid.Uint64Range(initialIndex+1, s.model.lastIndex()+20).Draw(s.T, "index")
}

func (s *storeTest) appendEntries(t *rapid.T) {
	first := rapid.Uint64Range(s.model.commit()+1, max(s.model.lastIndex(), s.model.commit())+1).Draw(t, "first")
	if first > s.model.lastIndex()+1 {
		return
	}
	added := entries(first, rapid.Uint64Range(1, 20).Draw(t, "count"), s.model.state.Term+1)
	commit := rapid.Uint64Range(s.model.commit(), added[len(added)-1].Index).Draw(t, "commit")
	s.model.state = consensus.HardState{Term: s.model.state.Term + 1, Vote: 2, Commit: commit}
	require.NoError(t, s.store.Save(consensus.Ready{HardState: &s.model.state, Entries: added}))
	s.model.entries = append(slices.Clone(s.model.entries[:first-s.model.snapshot.Index-1]), added...)
}

func (s *storeTest) receive(t *rapid.T) {
	index, data := s.drawNewIndex(), s.newData()
	receive(t, s.store, consensus.Snapshot{Index: index, Term: s.model.state.Term}, data)
	s.model.received[index] = data
}

func (s *storeTest) receiveTruncated(t *rapid.T) {
	require.Error(t, s.store.ReceiveSnapshot(consensus.Snapshot{Index: s.drawNewIndex(), Term: 1}, strings.NewReader("st"), 5))
}

// crashWhileReceiving leaves a file that is not complete.
func (s *storeTest) crashWhileReceiving(t *rapid.T) {
	index := s.drawNewIndex()
	_, err := writeSnapshotFile(s.store.receivedPath(index)+unfinishedSuffix, consensus.Snapshot{Index: index}, writeInHalves("st"))
	require.NoError(t, err)
	s.restart()
}

// drawInstall draws a received snapshot to install.
func (s *storeTest) drawInstall(t *rapid.T) (consensus.Snapshot, bool) {
	indexes := s.model.installable()
	if len(indexes) == 0 {
		return consensus.Snapshot{}, false
	}
	index := rapid.SampledFrom(indexes).Draw(t, "install")
	opened, err := openSnapshot(s.store.receivedPath(index))
	require.NoError(t, err)
	require.NoError(t, opened.Close())
	return opened.snapshot, true
}

// install installs a received snapshot.
func (s *storeTest) install(t *rapid.T) {
	snapshot, ok := s.drawInstall(t)
	if !ok {
		return
	}
	s.model.state = consensus.HardState{Term: s.model.state.Term, Commit: snapshot.Index}
	require.NoError(t, s.store.Save(consensus.Ready{Snapshot: &snapshot, HardState: &s.model.state}))
	s.model.setSnapshot(snapshot, s.model.received[snapshot.Index])
	s.model.entries = nil
	s.model.discardReceived(snapshot.Index)
}

// crashWhileInstalling ends after the file is in its place and before the transaction.
func (s *storeTest) crashWhileInstalling(t *rapid.T) {
	snapshot, ok := s.drawInstall(t)
	if !ok {
		return
	}
	require.NoError(t, s.store.installReceived(snapshot.Index))
	s.model.setSnapshot(snapshot, s.model.received[snapshot.Index])
	s.model.discardReceived(snapshot.Index)
	s.restart()
}

// installMissing calls Save with a snapshot that is not held.
func (s *storeTest) installMissing(t *rapid.T) {
	index := s.model.commit() + rapid.Uint64Range(1, 20).Draw(t, "missing")
	if _, held := s.model.received[index]; held {
		return
	}
	err := s.store.Save(consensus.Ready{
		Snapshot: &consensus.Snapshot{Index: index, Term: 9}, HardState: &consensus.HardState{Term: 9, Commit: index},
	})
	require.True(t, errorx.IsOfType(err, ErrNotReceived), err)
}

// writeOwn writes a snapshot of the applied state. While it is written, a received one may be installed.
func (s *storeTest) writeOwn(t *rapid.T) {
	if s.model.state.Commit <= s.model.snapshot.Index {
		return
	}
	index := rapid.Uint64Range(s.model.snapshot.Index+1, s.model.state.Commit).Draw(t, "own")
	snapshot, data := consensus.Snapshot{Index: index, Term: 1}, s.newData()
	installsMeanwhile := rapid.Bool().Draw(t, "installs meanwhile")
	_, err := s.store.WriteSnapshot(snapshot, func(writer io.Writer) error {
		if installsMeanwhile {
			s.install(t)
		}
		return writeInHalves(data)(writer)
	})
	require.NoError(t, err)
	if s.model.snapshot.Index >= index {
		return
	}
	s.model.setSnapshot(snapshot, data)
	if rapid.Bool().Draw(t, "drops the log") {
		require.NoError(t, s.store.DropLog(index))
	}
}

// crashWhileWritingOwn ends before the file is renamed.
func (s *storeTest) crashWhileWritingOwn(t *rapid.T) {
	_, err := writeSnapshotFile(s.folder+"/"+snapshotFileName+unfinishedSuffix, consensus.Snapshot{Index: s.model.lastIndex() + 1}, writeInHalves("ow"))
	require.NoError(t, err)
	s.restart()
}

func (s *storeTest) discard(t *rapid.T) {
	require.NoError(t, s.store.DiscardReceived(s.model.commit()))
	s.model.discardReceived(s.model.commit())
}

// check compares the newest snapshot and the files with the model.
func (s *storeTest) check(t *rapid.T) {
	snapshot, reader, size, err := s.store.OpenSnapshot()
	require.NoError(t, err)
	data, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	require.Equal(t, s.model.snapshot, snapshot)
	require.Equal(t, s.model.data, string(data))
	require.Len(t, data, int(size))
	files, err := os.ReadDir(s.folder)
	require.NoError(t, err)
	require.LessOrEqual(t, len(files), len(s.model.received)+len([]string{databaseFileName, snapshotFileName, snapshotFileName + unfinishedSuffix}))
	for index := range s.model.received {
		require.True(t, s.store.HasReceived(index), index)
	}
}

// TestStoreKeepsSnapshots guards against the loss of what was durable, and of received snapshots that are still to
// be installed: it receives, installs, writes and discards snapshots in any order, with crashes between the steps.
func TestStoreKeepsSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "storage")
		require.NoError(t, err)
		defer os.RemoveAll(folder)
		s := newStoreTest(t, folder)
		defer func() { require.NoError(t, s.store.Close()) }()
		t.Repeat(map[string]func(*rapid.T){
			"append": s.appendEntries, "receive": s.receive, "receive truncated": s.receiveTruncated,
			"crash while receiving": s.crashWhileReceiving, "install": s.install, "crash while installing": s.crashWhileInstalling,
			"install missing": s.installMissing, "write own": s.writeOwn, "crash while writing own": s.crashWhileWritingOwn,
			"discard": s.discard, "restart": func(*rapid.T) { s.restart() }, "": s.check,
		})
	})
}
