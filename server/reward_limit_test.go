package server

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/routing"
)

// TestRewardCallsLeaveRoom: no more calls are under way than the limit, those that wait go
// in order, and one that gives up takes no place.
func TestRewardCallsLeaveRoom(t *testing.T) {
	limit := newRewardLimit()
	ctx := context.Background()
	require.True(t, limit.enter(ctx, "r", 2))
	require.True(t, limit.enter(ctx, "r", 2))
	require.True(t, limit.enter(ctx, "other", 1), "routes are apart")
	type entered struct {
		name string
		ok   bool
	}
	got := make(chan entered, 3)
	waits := func(name string, ctx context.Context, waiting int) {
		go func() { got <- entered{name, limit.enter(ctx, "r", 2)} }()
		require.Eventually(t, func() bool {
			limit.mutex.Lock()
			defer limit.mutex.Unlock()
			return len(limit.routes["r"].waiting) == waiting
		}, testPatience, time.Millisecond)
	}
	cancelled, cancel := context.WithCancel(ctx)
	waits("first", cancelled, 1)
	waits("second", ctx, 2)
	waits("third", ctx, 3)
	cancel()
	require.Equal(t, entered{"first", false}, <-got)
	limit.leave("r")
	require.Equal(t, entered{"second", true}, <-got)
	limit.leave("r")
	require.Equal(t, entered{"third", true}, <-got)
	limit.leave("r")
	limit.leave("r")
	require.Zero(t, limit.routes["r"].underWay)
}

func TestMostRewardsFollowTheSlots(t *testing.T) {
	machine := directory.NewMachine()
	for _, backend := range []directory.Backend{
		{ID: "a", Service: "s", Address: "a:1", Slots: 6}, {ID: "b", Service: "s", Address: "b:1", Slots: 6},
		{ID: "c", Service: "s", Address: "c:1", Slots: 6, Draining: true}, {ID: "d", Service: "t", Address: "d:1", Slots: 6},
	} {
		machine.Apply(directory.Command{PutBackend: &backend}.Encode())
	}
	catalog := directory.NewCatalog().With(machine.DeltaSince(0))
	route := func(service string) routing.Route {
		return routing.Route{Shares: []routing.Share{{Service: service, Weight: 1}}}
	}
	require.Equal(t, 10, mostRewards(catalog, route("s")))
	require.Equal(t, 1, mostRewards(catalog, route("none")), "a service without backends is still tried")
}
