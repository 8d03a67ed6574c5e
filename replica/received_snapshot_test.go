package replica

import (
	"bytes"
	"encoding/binary"
	"path/filepath"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/storage"
)

// follower is a replica with a store on disk, whose loop the test runs step by step.
type follower struct {
	*Replica
	machine *numbers
	folder  string
	members consensus.Membership
}

// newFollower returns a follower in a new folder, or in that of an earlier one.
func newFollower(t require.TestingT, folder string) *follower {
	f := &follower{machine: &numbers{}, folder: folder, members: consensus.Membership{Members: []consensus.Member{
		{ID: 1, Address: "127.0.0.1:1", Voter: true}, {ID: 2, Address: "127.0.0.1:2", Voter: true}, {ID: 3, Address: "127.0.0.1:3", Voter: true},
	}}}
	logger := zerolog.Nop()
	var err error
	f.Replica, err = Open(Settings{
		Cluster: "c", Address: "127.0.0.1:2", DataFolder: folder, Voters: 3, InitialMembers: f.members, Replica: 2,
		Contacts: func() []string { return nil },
	}, f.machine, &logger)
	require.NoError(t, err)
	return f
}

// snapshotOf returns a leader's snapshot message at the index, whose data holds the number.
func (f *follower) snapshotOf(index, number uint64) (protocol.Message, []byte) {
	snapshot := &consensus.Snapshot{Index: index, Term: 2, Membership: f.members}
	message := protocol.Message{From: "127.0.0.1:1", Consensus: &consensus.Message{
		Kind: consensus.MessageSnapshot, From: 1, To: 2, Term: 2, Snapshot: snapshot,
	}}
	return message, binary.BigEndian.AppendUint64(nil, number)
}

// receiveData stores the data of a snapshot, as the handler of transfers does first.
func (f *follower) receiveData(t require.TestingT, message protocol.Message, data []byte) {
	require.NoError(t, f.store.ReceiveSnapshot(*message.Consensus.Snapshot, bytes.NewReader(data), int64(len(data))))
}

// transferSnapshot delivers a snapshot and its message, and runs the loop.
func (f *follower) transferSnapshot(t *testing.T, index, number uint64) {
	message, data := f.snapshotOf(index, number)
	f.receiveData(t, message, data)
	f.receiveSnapshot(message)
	require.NoError(t, f.flush())
}

// receivedFiles returns the names of the received snapshots that are on disk.
func (f *follower) receivedFiles(t require.TestingT) []string {
	names, err := filepath.Glob(filepath.Join(f.folder, "*received*"))
	require.NoError(t, err)
	return names
}

// TestTwoReceivedSnapshotsAreInstalledInTurn guards against a follower that empties its state: a second snapshot
// arrived while the first one was waiting to be installed, and its data was deleted with it.
func TestTwoReceivedSnapshotsAreInstalledInTurn(t *testing.T) {
	f := newFollower(t, t.TempDir())
	first, firstData := f.snapshotOf(20, 7)
	second, secondData := f.snapshotOf(30, 8)
	f.receiveData(t, first, firstData)
	f.receiveData(t, second, secondData)
	f.receiveSnapshot(first)
	require.NoError(t, f.flush())
	require.Equal(t, []uint64{7}, f.machine.list)
	f.receiveSnapshot(second)
	require.NoError(t, f.flush())
	require.Equal(t, []uint64{8}, f.machine.list)
	require.Empty(t, f.receivedFiles(t))
	require.NoError(t, f.store.Close())
	require.Equal(t, []uint64{8}, newFollower(t, f.folder).machine.list, "after a restart")
}

// TestSnapshotThatIsNotHeldIsIgnored guards against a follower that gives up its state and log for a snapshot
// whose data it does not have.
func TestSnapshotThatIsNotHeldIsIgnored(t *testing.T) {
	f := newFollower(t, t.TempDir())
	f.transferSnapshot(t, 20, 7)
	missing, _ := f.snapshotOf(30, 8)
	f.receiveSnapshot(missing)
	require.NoError(t, f.flush())
	require.Equal(t, []uint64{7}, f.machine.list)
	require.Equal(t, uint64(20), f.core.Raft().Commit())
	f.transferSnapshot(t, 30, 8)
	require.Equal(t, []uint64{8}, f.machine.list, "the leader sends it again")
}

// TestUnneededSnapshotsAreDiscarded guards against snapshots that pile up on disk: those that are not newer than the
// state, and those that were received before a restart, are never installed.
func TestUnneededSnapshotsAreDiscarded(t *testing.T) {
	f := newFollower(t, t.TempDir())
	f.transferSnapshot(t, 30, 8)
	for _, index := range []uint64{20, 30} {
		f.transferSnapshot(t, index, 7)
		require.Empty(t, f.receivedFiles(t), "an older one")
	}
	later, data := f.snapshotOf(40, 9)
	f.receiveData(t, later, data)
	require.NotEmpty(t, f.receivedFiles(t))
	require.NoError(t, f.store.Close())
	restarted := newFollower(t, f.folder)
	require.Empty(t, restarted.receivedFiles(t), "received before a restart")
	require.Equal(t, []uint64{8}, restarted.machine.list)
}

// TestOldSnapshotIsAnswered guards against a leader that sends an old snapshot again and again: the answer tells it
// what the follower has, whether or not the data is still held.
func TestOldSnapshotIsAnswered(t *testing.T) {
	f := newFollower(t, t.TempDir())
	f.transferSnapshot(t, 30, 8)
	older, _ := f.snapshotOf(20, 7)
	f.receiveSnapshot(older)
	require.True(t, f.core.HasReady())
	ready := f.core.Ready()
	require.Len(t, ready.Messages, 1)
	require.Equal(t, uint64(30), ready.Messages[0].Index)
}

// lossyStore loses the data of a snapshot between its receipt and its installation.
type lossyStore struct{ refusingStore }

// Save implements Store.
func (s *lossyStore) Save(ready consensus.Ready) error {
	if ready.Snapshot != nil {
		return storage.ErrNotReceived.New("lost")
	}
	return s.refusingStore.Save(ready)
}

// TestReplicaStopsRatherThanLoseItsState: if the data of a snapshot is lost after the replica has accepted it, the
// replica stops with an error, so that it starts again with the state on its disk.
func TestReplicaStopsRatherThanLoseItsState(t *testing.T) {
	f := newFollower(t, t.TempDir())
	require.NoError(t, f.store.Close())
	f.store = &lossyStore{}
	message, _ := f.snapshotOf(20, 7)
	f.core.Receive(message)
	require.Error(t, f.flush())
	require.Empty(t, f.machine.list)
}
