package server

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// TestCancelledRewardCallIsNotAFailure checks that a sample does not fail if its reward call ends with the
// leadership.
func TestCancelledRewardCallIsNotAFailure(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	task := &scheduler.Task{
		Step:   &ledger.Step{ID: "s", Attempts: 3},
		Sample: &ledger.Sample{ID: "x", Reward: &ledger.Reward{ID: "r", Host: "h", Path: "/reward"}},
	}
	_, outcome := (&leadership{}).callReward(ctx, task, 0)
	require.Equal(t, rewardCancelled, outcome)
}
