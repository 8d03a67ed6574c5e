package consensus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReadsWaitForTheirEntry: a read is served once it is confirmed and the
// entry that was committed when it began is applied, and a rejected one never.
func TestReadsWaitForTheirEntry(t *testing.T) {
	raft := New(Config{ID: 1, ElectionTicks: testElectionTicks, Snapshot: Snapshot{Index: 1, Term: 1}})
	reads := NewReads[string]()
	early, late, rejected := reads.Begin(raft, "early"), reads.Begin(raft, "late"), reads.Begin(raft, "rejected")
	require.Equal(t, []string{"rejected"}, reads.Rejected(Ready{RejectedReads: []uint64{rejected, 99}}))
	require.False(t, reads.Waits(rejected))
	require.True(t, reads.Waits(early))
	confirmed := Ready{ReadStates: []ReadState{{Context: late, Index: 9}, {Context: early, Index: 5}, {Context: rejected, Index: 1}}}
	require.Equal(t, []string{"early"}, reads.Confirmed(confirmed, 5))
	require.False(t, reads.Waits(late))
	require.Empty(t, reads.Confirmed(Ready{}, 8))
	require.Equal(t, []string{"late"}, reads.Confirmed(Ready{}, 9))
	require.Empty(t, reads.Confirmed(Ready{}, 10))
}
