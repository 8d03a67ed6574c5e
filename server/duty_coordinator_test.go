package server

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/replica"
)

// TestMaySendOnlyInRecordedTerm checks that a call is not sent in a later term than the one it was recorded
// in: another process may have acted in between.
func TestMaySendOnlyInRecordedTerm(t *testing.T) {
	serving := &replica.Status{Serving: true, Term: 7}
	require.True(t, maySend(serving, 7, 0))
	require.True(t, maySend(serving, 7, duty.MaxStartDelay))
	require.False(t, maySend(serving, 6, 0), "leadership was lost and regained")
	require.False(t, maySend(serving, 7, duty.MaxStartDelay+1))
	require.False(t, maySend(&replica.Status{Term: 7}, 7, 0))
}

// TestDutyCallsAreRateLimited checks that calls for all subjects share one rate limit and wait before they
// are recorded.
func TestDutyCallsAreRateLimited(t *testing.T) {
	d, _ := startSingleReplica(t, &fakeDutyClient{}, func(settings *config.Directory) { settings.DutyRate = 0.001 })
	var waits []time.Duration
	var recorded []int
	d.duties.sleep = func(wait time.Duration) {
		waits = append(waits, wait)
		d.replica.Do(func() { recorded = append(recorded, len(d.machine.Actions())) })
	}
	for _, subject := range []string{"one", "two", "three"} {
		outcome, err := d.duties.act(subject, nil, func(context.Context, DutySend) DutyOutcome { return DutyAccepted })
		require.NoError(t, err)
		require.Equal(t, DutyAccepted, outcome)
	}
	require.Len(t, waits, 3)
	require.Zero(t, waits[0])
	require.Positive(t, waits[1])
	require.Greater(t, waits[2], waits[1])
	require.Equal(t, []int{0, 1, 2}, recorded)
}

// TestActionsAreSeparateCommands checks that an action and its order are separate log entries, which builds
// without support for batches can read.
func TestActionsAreSeparateCommands(t *testing.T) {
	d, _ := startSingleReplica(t, &fakeDutyClient{}, nil)
	before := d.Status().Commit
	order := newOrder(3)
	_, err := d.duties.act("one", []directory.Command{{Order: &order}}, func(context.Context, DutySend) DutyOutcome {
		return DutyAccepted
	})
	require.NoError(t, err)
	require.GreaterOrEqual(t, d.Status().Commit, before+2)
	require.Len(t, recordedOrders(d), 1)
}
