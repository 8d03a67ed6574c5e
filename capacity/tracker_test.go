package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/routing"
)

const (
	bootMillis          = 4000
	registrationTimeout = registrationBootTimes * bootMillis
)

func newOrder(count, before int, number uint64, answer Answer) Order {
	return Order{Wish: Target{Service: "s", Zone: "z", Count: count}, Before: before, Held: before, Number: number, Answer: answer}
}

// TestPendingBackends covers pending backends that register, are lost, or time out.
func TestPendingBackends(t *testing.T) {
	tracker := &orderTracker{}
	tracker.observe(0, Order{}, PoolState{Ready: 3}, registrationTimeout)
	require.Zero(t, tracker.pending())
	require.Equal(t, 3, tracker.ordered())
	tracker.observe(1000, newOrder(8, 3, 1, Accepted), PoolState{Ready: 3}, registrationTimeout)
	require.Equal(t, 5, tracker.pending())
	tracker.observe(5000, newOrder(8, 3, 1, Accepted), PoolState{Ready: 6}, registrationTimeout)
	require.Equal(t, 2, tracker.pending())
	tracker.observe(5500, newOrder(8, 3, 1, Accepted), PoolState{Ready: 4}, registrationTimeout)
	require.Equal(t, 2, tracker.pending(), "two were lost")
	tracker.observe(6000, newOrder(10, 8, 2, Accepted), PoolState{Ready: 6, Silent: 1}, registrationTimeout)
	require.Equal(t, 3, tracker.pending())
	require.False(t, tracker.isPaused(8999))
	tracker.observe(1000+registrationTimeout, newOrder(10, 8, 2, Accepted), PoolState{Ready: 7}, registrationTimeout)
	require.Zero(t, tracker.pending(), "the first order timed out")
	require.True(t, tracker.isPaused(1000+registrationTimeout))
	require.False(t, tracker.isPaused(1000+registrationTimeout+exhaustedBackoff.Milliseconds()))
}

func TestLowerOrderReducesPending(t *testing.T) {
	tracker := &orderTracker{}
	tracker.observe(1000, newOrder(12, 8, 1, Accepted), PoolState{Ready: 8}, registrationTimeout)
	tracker.observe(2000, newOrder(9, 12, 2, Accepted), PoolState{Ready: 8}, registrationTimeout)
	require.Equal(t, 1, tracker.pending())
	tracker.observe(3000, newOrder(9, 12, 2, Accepted), PoolState{Ready: 9}, registrationTimeout)
	require.Zero(t, tracker.pending())
	tracker.observe(1000+2*registrationTimeout, newOrder(9, 12, 2, Accepted), PoolState{Ready: 9}, registrationTimeout)
	require.False(t, tracker.isPaused(1000+2*registrationTimeout), "all registered")
}

// TestRejectionRestoresPending also checks that the backoff doubles with each consecutive failure.
func TestRejectionRestoresPending(t *testing.T) {
	tracker := &orderTracker{}
	tracker.observe(1000, newOrder(5, 3, 1, Accepted), PoolState{Ready: 3}, registrationTimeout)
	tracker.observe(1500, newOrder(9, 5, 2, Open), PoolState{Ready: 3}, registrationTimeout)
	require.Equal(t, 6, tracker.pending())
	tracker.observe(1600, newOrder(9, 5, 2, Exhausted), PoolState{Ready: 3}, registrationTimeout)
	require.Equal(t, 2, tracker.pending())
	require.Equal(t, 5, tracker.ordered())
	require.True(t, tracker.isPaused(1600+exhaustedBackoff.Milliseconds()-1))
	require.False(t, tracker.isPaused(1600+exhaustedBackoff.Milliseconds()))
	tracker.observe(20000, newOrder(9, 5, 3, Exhausted), PoolState{Ready: 5}, registrationTimeout)
	require.True(t, tracker.isPaused(20000+2*exhaustedBackoff.Milliseconds()-1))
	tracker.observe(50000, newOrder(9, 5, 4, Accepted), PoolState{Ready: 9}, registrationTimeout)
	tracker.observe(51000, newOrder(12, 9, 5, Exhausted), PoolState{Ready: 9}, registrationTimeout)
	require.False(t, tracker.isPaused(51000+exhaustedBackoff.Milliseconds()), "an accepted order resets the backoff")
}

func TestOrderIsDue(t *testing.T) {
	fleet := Fleet{Scale: routing.Scale{BootMillis: bootMillis}}
	unchanged, growing := PoolState{Wanted: 8, baseline: 8}, PoolState{Wanted: 8, baseline: 6}
	tests := map[string]struct {
		order Order
		after int64
		count int
		state PoolState
		due   bool
	}{
		"nothing changed":                  {order: newOrder(8, 3, 1, Accepted), after: 60000, count: 8, state: unchanged},
		"different count":                  {order: newOrder(8, 3, 1, Accepted), count: 9, state: unchanged, due: true},
		"unanswered, just sent":            {order: newOrder(8, 3, 1, Open), after: 999, count: 8, state: unchanged},
		"unanswered":                       {order: newOrder(8, 3, 1, Open), after: 1000, count: 8, state: unchanged, due: true},
		"backends missing before timeout":  {order: newOrder(8, 3, 1, Accepted), after: registrationTimeout - 1, count: 8, state: growing},
		"backends missing after timeout":   {order: newOrder(8, 3, 1, Accepted), after: registrationTimeout, count: 8, state: growing, due: true},
		"scale-up refused, previous count": {order: newOrder(9, 8, 1, Refused), after: 60000, count: 8, state: unchanged},
		"scale-up refused, lower count":    {order: newOrder(9, 8, 1, Refused), count: 7, state: unchanged, due: true},
		"scale-down refused, just sent":    {order: newOrder(6, 8, 1, Refused), after: 1999, count: 7, state: unchanged},
		"scale-down refused":               {order: newOrder(6, 8, 1, Refused), after: 2000, count: 7, state: unchanged, due: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := &orderTracker{}
			tracker.observe(5000, test.order, PoolState{Ready: 8}, registrationTimeout)
			require.Equal(t, test.due, tracker.isDue(5000+test.after, test.count, test.state, fleet))
		})
	}
	withoutOrder := &orderTracker{}
	withoutOrder.observe(5000, Order{}, PoolState{Ready: 8}, registrationTimeout)
	require.False(t, withoutOrder.isDue(5000, 8, unchanged, fleet))
	require.True(t, withoutOrder.isDue(5000, 9, unchanged, fleet))
}

// TestRepeatedOrderKeepsTimeout also checks that the interval between repetitions doubles up to its maximum.
func TestRepeatedOrderKeepsTimeout(t *testing.T) {
	fleet := Fleet{Scale: routing.Scale{BootMillis: bootMillis}}
	tracker := &orderTracker{}
	now, number := int64(1000), uint64(1)
	tracker.observe(now, newOrder(8, 3, number, Open), PoolState{Ready: 3}, 4*registrationTimeout)
	for _, pause := range []int64{1000, 2000, 4000, 8000, 8000} {
		require.False(t, tracker.isDue(now+pause-1, 8, PoolState{}, fleet))
		require.True(t, tracker.isDue(now+pause, 8, PoolState{}, fleet))
		now, number = now+pause, number+1
		tracker.observe(now, newOrder(8, 8, number, Open), PoolState{Ready: 3}, 4*registrationTimeout)
		require.Equal(t, 5, tracker.pending())
	}
	tracker.observe(1000+4*registrationTimeout, newOrder(8, 8, number, Open), PoolState{Ready: 3}, 4*registrationTimeout)
	require.Zero(t, tracker.pending())
}
