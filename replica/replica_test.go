package replica

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
)

// eventually is far more than anything here takes.
const eventually = time.Minute

// refusingStore refuses a number of writes, as a disk that is full does.
type refusingStore struct {
	mutex    sync.Mutex
	refusals int
	saved    int
}

func (s *refusingStore) Save(consensus.Ready) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.refusals > 0 {
		s.refusals--
		return errors.New("no space left")
	}
	s.saved++
	return nil
}

func (s *refusingStore) WriteSnapshot(consensus.Snapshot, func(io.Writer) error) (int, error) {
	return 0, nil
}
func (s *refusingStore) OpenSnapshot() (consensus.Snapshot, io.ReadCloser, int64, error) {
	return consensus.Snapshot{}, io.NopCloser(strings.NewReader("")), 0, nil
}
func (s *refusingStore) ReceiveSnapshot(consensus.Snapshot, io.Reader, int64) error { return nil }
func (s *refusingStore) DropLog(uint64) error                                       { return nil }
func (s *refusingStore) Close() error                                               { return nil }

// runAlone runs a replica that is its group's only member until the test ends.
func runAlone(t *testing.T, store *refusingStore) (*Replica, *numbers) {
	logger := zerolog.Nop()
	member := consensus.Member{ID: 1, Address: "127.0.0.1:1", Voter: true}
	machine := &numbers{}
	core, err := NewCore(CoreConfig{
		Consensus: consensus.Config{
			ID: 1, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, MaxAppendBytes: maxAppendBytes,
			HardState: consensus.HardState{Term: 1, Commit: 1},
			Snapshot:  consensus.Snapshot{Index: 1, Term: 1, Membership: consensus.Membership{Members: []consensus.Member{member}}},
		},
		Address: member.Address, Voters: 1, SilentTicks: silentTicks, SnapshotBytes: snapshotBytes,
	}, machine, strings.NewReader(""))
	require.NoError(t, err)
	r := newReplica(Settings{Address: member.Address, Contacts: func() []string { return nil }}, store, core, &logger)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-ended)
	})
	return r, machine
}

// executeSoon repeats the command until it is acknowledged.
func executeSoon(t *testing.T, r *Replica, number uint64) {
	require.Eventually(t, func() bool {
		_, err := r.Execute(context.Background(), binary.BigEndian.AppendUint64(nil, number))
		return err == nil
	}, eventually, TickInterval)
}

func listOf(r *Replica, machine *numbers) []uint64 {
	var list []uint64
	r.Do(func() { list = slices.Clone(machine.list) })
	return list
}

// TestReplicaOutlivesFullDisk: a disk that refuses writes for a while does not
// end the process, and a command is acknowledged once it is written.
func TestReplicaOutlivesFullDisk(t *testing.T) {
	store := &refusingStore{refusals: 3}
	r, machine := runAlone(t, store)
	executeSoon(t, r, 7)
	require.NoError(t, r.Confirm(context.Background()))
	require.Equal(t, []uint64{7}, listOf(r, machine))
	store.mutex.Lock()
	defer store.mutex.Unlock()
	require.Zero(t, store.refusals)
	require.Positive(t, store.saved)
}

// TestNothingIsProposedForAnEndedContext: what a leader decided before it lost its
// leadership is not committed by the same replica under its next one.
func TestNothingIsProposedForAnEndedContext(t *testing.T) {
	r, machine := runAlone(t, &refusingStore{})
	executeSoon(t, r, 7)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := r.Execute(ended, binary.BigEndian.AppendUint64(nil, 8))
	require.Error(t, err)
	executeSoon(t, r, 9)
	require.Equal(t, []uint64{7, 9}, listOf(r, machine))
}
