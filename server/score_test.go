package server

import (
	"context"
	"net/http"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
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

// backendRecorder answers each request and records the backend that it was sent to.
type backendRecorder struct{ backends chan string }

func (r backendRecorder) Send(_ context.Context, backend directory.Backend, _ *forward.Request) forward.Attempt {
	r.backends <- backend.ID
	return forward.Attempt{Outcome: forward.Answered, Response: forward.Response{Status: http.StatusOK, Signature: "signature"}}
}

// TestRewardCallUsesTheDirectoryAfterItsWait guards against a reward call that waits for its place and is then sent
// by what the directory said before: the backends of that time may all be gone.
func TestRewardCallUsesTheDirectoryAfterItsWait(t *testing.T) {
	catalogWith := func(backend string) *directory.Catalog {
		return directory.NewCatalog().With(directory.Delta{
			Full: true, Revision: 1, Services: []routing.Service{{Name: "s"}},
			Routes:   []routing.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routing.Repeatable, Attempts: 1, TimeoutMillis: 60_000, Shares: []routing.Share{{Service: "s", Weight: 1}}}},
			Backends: []directory.Backend{{ID: backend, Service: "s", Slots: 1}},
		})
	}
	logger := zerolog.Nop()
	watcher, client := &Watcher{}, backendRecorder{backends: make(chan string, 10)}
	watcher.catalog.Store(catalogWith("gone"))
	guard := quarantine.NewGuard(quarantine.SharedRecord{}, clock.Now)
	l := &leadership{
		Executor: &Executor{watcher: watcher, forwarder: forward.New(client, "z", guard), guard: guard, logger: &logger},
		context:  t.Context(), rewardLimiter: newRewardLimiter(), kindLocks: newKindLocks(),
	}
	reward := &ledger.Reward{ID: "reward", Host: "h", Path: "/score"}
	_, route, ok := l.matchReward(reward)
	require.True(t, ok)
	require.True(t, l.rewardLimiter.acquire(t.Context(), route.Key(), 1))
	attempts := make(chan rewardAttempt)
	go func() {
		attempts <- l.attemptReward(t.Context(), &scheduler.Task{Sample: &ledger.Sample{Reward: reward}})
	}()
	require.Eventually(t, func() bool { return l.rewardLimiter.counts()[route.Key()] == rewardCounts{active: 1, waiting: 1} }, waitTimeout, pollInterval)
	watcher.catalog.Store(catalogWith("present"))
	l.rewardLimiter.release(route.Key())
	require.True(t, (<-attempts).isScored())
	require.Equal(t, "present", <-client.backends)
	require.Zero(t, l.rewardLimiter.counts()[route.Key()])
}
