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

// TestCallsAreSentInTheTermOfTheirRecord: another process may have acted before a later term of the
// same leader.
func TestCallsAreSentInTheTermOfTheirRecord(t *testing.T) {
	serving := &replica.Status{Serving: true, Term: 7}
	require.True(t, maySend(serving, 7, 0))
	require.True(t, maySend(serving, 7, duty.MaxStartDelay))
	require.False(t, maySend(serving, 6, 0), "it led, lost the lead and leads again")
	require.False(t, maySend(serving, 7, duty.MaxStartDelay+1))
	require.False(t, maySend(&replica.Status{Term: 7}, 7, 0))
}

// TestCallsKeepTheRate: each waits for its turn before it is recorded, whatever it is about.
func TestCallsKeepTheRate(t *testing.T) {
	d, _ := loneDirectory(t, &orderTaker{}, func(settings *config.Directory) { settings.DutyRate = 0.001 })
	var waits []time.Duration
	var recorded []int
	d.duties.wait = func(wait time.Duration) {
		waits = append(waits, wait)
		d.replica.Do(func() { recorded = append(recorded, len(d.machine.Actions())) })
	}
	for _, subject := range []string{"one", "two", "three"} {
		outcome, err := d.duties.act(subject, nil, func(context.Context, DutySend) DutyOutcome { return DutyTaken })
		require.NoError(t, err)
		require.Equal(t, DutyTaken, outcome)
	}
	require.Len(t, waits, 3)
	require.Zero(t, waits[0])
	require.Positive(t, waits[1])
	require.Greater(t, waits[2], waits[1])
	require.Equal(t, []int{0, 1, 2}, recorded)
}

// TestRecordsAreCommandsOfTheirOwn: builds that know no batches learn of the act all the same, and of
// the order after it.
func TestRecordsAreCommandsOfTheirOwn(t *testing.T) {
	d, _ := loneDirectory(t, &orderTaker{}, nil)
	before := d.Status().Commit
	order := orderOf(3)
	_, err := d.duties.act("one", []directory.Command{{Order: &order}}, func(context.Context, DutySend) DutyOutcome {
		return DutyTaken
	})
	require.NoError(t, err)
	require.GreaterOrEqual(t, d.Status().Commit, before+2)
	require.Len(t, keptOrders(d), 1)
}
