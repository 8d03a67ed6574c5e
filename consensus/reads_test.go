package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadsWaitForAppliedIndex checks that a read is served only once it is confirmed
// and its index is applied, and that a rejected read is never served.
func TestReadsWaitForAppliedIndex(t *testing.T) {
	raft := New(Config{ID: 1, ElectionTicks: testElectionTicks, Snapshot: Snapshot{Index: 1, Term: 1}})
	reads := NewReadTracker[string]()
	early, late, rejected := reads.Begin(raft, "early"), reads.Begin(raft, "late"), reads.Begin(raft, "rejected")
	require.Equal(t, []string{"rejected"}, reads.TakeRejected(Ready{RejectedReads: []uint64{rejected, 99}}))
	require.False(t, reads.IsPending(rejected))
	require.True(t, reads.IsPending(early))
	confirmed := Ready{ReadStates: []ReadState{{Context: late, Index: 9}, {Context: early, Index: 5}, {Context: rejected, Index: 1}}}
	require.Equal(t, []string{"early"}, reads.TakeServable(confirmed, 5))
	require.False(t, reads.IsPending(late))
	require.Empty(t, reads.TakeServable(Ready{}, 8))
	require.Equal(t, []string{"late"}, reads.TakeServable(Ready{}, 9))
	require.Empty(t, reads.TakeServable(Ready{}, 10))
}
