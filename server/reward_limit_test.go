package server

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/routing"
)

// TestRewardLimiter checks that active calls stay within the limit, that waiting ones are admitted in
// order, and that a call whose context ends uses no slot.
func TestRewardLimiter(t *testing.T) {
	limiter := newRewardLimiter()
	ctx := context.Background()
	require.True(t, limiter.acquire(ctx, "r", 2))
	require.True(t, limiter.acquire(ctx, "r", 2))
	require.True(t, limiter.acquire(ctx, "other", 1), "routes are limited independently")
	type acquisition struct {
		name string
		ok   bool
	}
	acquired := make(chan acquisition, 3)
	acquireInBackground := func(name string, ctx context.Context, waiting int) {
		go func() { acquired <- acquisition{name, limiter.acquire(ctx, "r", 2)} }()
		require.Eventually(t, func() bool {
			limiter.mutex.Lock()
			defer limiter.mutex.Unlock()
			return len(limiter.routes["r"].waiting) == waiting
		}, testTimeout, time.Millisecond)
	}
	cancelled, cancel := context.WithCancel(ctx)
	acquireInBackground("first", cancelled, 1)
	acquireInBackground("second", ctx, 2)
	acquireInBackground("third", ctx, 3)
	cancel()
	require.Equal(t, acquisition{"first", false}, <-acquired)
	limiter.release("r")
	require.Equal(t, acquisition{"second", true}, <-acquired)
	limiter.release("r")
	require.Equal(t, acquisition{"third", true}, <-acquired)
	limiter.release("r")
	limiter.release("r")
	require.Zero(t, limiter.routes["r"].active)
}

func TestMaxRewardCalls(t *testing.T) {
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
	require.Equal(t, 10, maxRewardCalls(catalog, route("s")))
	require.Equal(t, 1, maxRewardCalls(catalog, route("none")), "one call is allowed without backends")
}
