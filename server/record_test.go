package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// TestResultsHoldWhatNoCheckpointHas: and stay whole where all of the text is
// kept, nothing of it, or the sample was given up.
func TestResultsHoldWhatNoCheckpointHas(t *testing.T) {
	task := &scheduler.Task{
		Step: &ledger.Step{ID: "s"}, Sample: &ledger.Sample{ID: "x"},
		Text: scheduler.Text{Events: []string{"a", "b", "c"}, Last: 3, Versions: []uint64{1}, Complete: true},
	}
	result := wholeResult(task, "score")
	shortened := newPendingResult(task, result, 2)
	require.Equal(t, "c", shortened.result.Text)
	require.EqualValues(t, 2, shortened.result.Kept)
	require.Equal(t, result, *shortened.whole)
	for _, kept := range []uint64{0, 3, 4} {
		require.Equal(t, pendingResult{task: task, result: result}, newPendingResult(task, result, kept))
	}
	dead := ledger.Result{Sample: "x", State: ledger.FailedPermanently}
	require.Equal(t, pendingResult{task: task, result: dead}, newPendingResult(task, dead, 2))
}
