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

// waitTimeout is much longer than any test here takes.
const waitTimeout = time.Minute

// refusingStore fails a number of writes, like a full disk.
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
func (s *refusingStore) HasReceived(uint64) bool                                    { return false }
func (s *refusingStore) DiscardReceived(uint64) error                               { return nil }
func (s *refusingStore) DropLog(uint64) error                                       { return nil }
func (s *refusingStore) Close() error                                               { return nil }

// runSingleReplica runs a replica that is the only member of its group until the test ends.
func runSingleReplica(t *testing.T, store *refusingStore) (*Replica, *numbers) {
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
	runErr := make(chan error, 1)
	go func() { runErr <- r.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-runErr)
	})
	return r, machine
}

// executeUntilAcknowledged repeats the command until it is acknowledged.
func executeUntilAcknowledged(t *testing.T, r *Replica, number uint64) {
	require.Eventually(t, func() bool {
		_, err := r.Execute(context.Background(), binary.BigEndian.AppendUint64(nil, number))
		return err == nil
	}, waitTimeout, TickInterval)
}

func machineList(r *Replica, machine *numbers) []uint64 {
	var list []uint64
	r.Do(func() { list = slices.Clone(machine.list) })
	return list
}

// TestReplicaSurvivesFullDisk: failing writes don't end the process, and a command is acknowledged once it
// is written.
func TestReplicaSurvivesFullDisk(t *testing.T) {
	store := &refusingStore{refusals: 3}
	r, machine := runSingleReplica(t, store)
	executeUntilAcknowledged(t, r, 7)
	require.NoError(t, r.Confirm(context.Background()))
	require.Equal(t, []uint64{7}, machineList(r, machine))
	store.mutex.Lock()
	defer store.mutex.Unlock()
	require.Zero(t, store.refusals)
	require.Positive(t, store.saved)
}

// TestEndedContextProposesNothing: a command of a leadership that was lost is not committed in a later
// leadership of the same replica.
func TestEndedContextProposesNothing(t *testing.T) {
	r, machine := runSingleReplica(t, &refusingStore{})
	executeUntilAcknowledged(t, r, 7)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := r.Execute(ended, binary.BigEndian.AppendUint64(nil, 8))
	require.Error(t, err)
	executeUntilAcknowledged(t, r, 9)
	require.Equal(t, []uint64{7, 9}, machineList(r, machine))
}
