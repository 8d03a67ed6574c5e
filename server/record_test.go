package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// TestPendingResultOmitsCheckpointedEvents checks that a result omits events that a checkpoint holds. It
// remains complete if all or none of its events are checkpointed or the sample failed.
func TestPendingResultOmitsCheckpointedEvents(t *testing.T) {
	task := &scheduler.Task{
		Step: &ledger.Step{ID: "s"}, Sample: &ledger.Sample{ID: "x"},
		Text: scheduler.Text{Events: []string{"a", "b", "c"}, Last: 3, Versions: []uint64{1}, Complete: true},
	}
	result := succeededResult(task, "score")
	shortened := newPendingResult(task, result, 2)
	require.Equal(t, "c", shortened.result.Text)
	require.EqualValues(t, 2, shortened.result.Kept)
	require.Equal(t, result, *shortened.full)
	for _, kept := range []uint64{0, 3, 4} {
		require.Equal(t, pendingResult{task: task, result: result}, newPendingResult(task, result, kept))
	}
	failed := ledger.Result{Sample: "x", State: ledger.FailedPermanently}
	require.Equal(t, pendingResult{task: task, result: failed}, newPendingResult(task, failed, 2))
}
