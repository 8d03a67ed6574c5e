package server

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// TestCancelledRewardCallTellsNothing: a sample whose reward call ends because the
// leadership has is not taken for one that cannot be scored.
func TestCancelledRewardCallTellsNothing(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	task := &scheduler.Task{
		Step:   &ledger.Step{ID: "s", Attempts: 3},
		Sample: &ledger.Sample{ID: "x", Reward: &ledger.Reward{ID: "r", Host: "h", Path: "/reward"}},
	}
	_, end := (&tenure{}).callReward(ended, task, 0)
	require.Equal(t, rewardCancelled, end)
}
