package runner

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

const (
	soon     = 10 * time.Second
	interval = 5 * time.Millisecond
)

// scriptedEngine runs samples as the test says.
type scriptedEngine func(ctx context.Context, request Request, each func(Event)) scheduler.RunEnd

func (e scriptedEngine) Run(ctx context.Context, request Request, each func(Event)) scheduler.RunEnd {
	return e(ctx, request, each)
}

// unreachable is the engine client of a leader that must not run anything itself.
func unreachable(context.Context, Request, func(Event)) scheduler.RunEnd {
	return scheduler.Unreachable
}

// linked is a pool with an open link to one runner.
type linked struct {
	pool   *Pool
	runner *httptest.Server
	server *Server
	// stop ends the leadership.
	stop context.CancelFunc
}

func newLinked(t *testing.T, engine scriptedEngine) *linked {
	logger := zerolog.Nop()
	l := &linked{server: NewServer(engine, &logger)}
	l.runner = httptest.NewServer(l.server)
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	t.Cleanup(func() {
		stop()
		l.runner.CloseClientConnections()
		l.runner.Close()
	})
	l.pool = NewPool(ctx, scriptedEngine(unreachable), &logger)
	l.pool.Follow([]Store{{Name: "store", Address: l.runner.Listener.Addr().String()}})
	require.Eventually(t, func() bool { return l.pool.Open() == 1 }, soon, interval)
	return l
}

// run runs a sample and returns its text.
func (l *linked) run(ctx context.Context, after uint64) (events []string, versions []uint64, end scheduler.RunEnd) {
	last := after
	end = l.pool.For(directory.Backend{ID: "e"}).Run(ctx, Request{Sample: &ledger.Sample{ID: "s"}, After: after}, func(batch Batch) {
		if batch.First != last+1 {
			panic(fmt.Sprintf("event %d after %d", batch.First, last))
		}
		last += uint64(len(batch.Events))
		events, versions = append(events, batch.Events...), append(versions, batch.Versions...)
	})
	return events, versions, end
}

func TestRunGoesThroughARunner(t *testing.T) {
	const many = 500
	linked := newLinked(t, func(_ context.Context, request Request, each func(Event)) scheduler.RunEnd {
		for id := request.After + 1; id <= many; id++ {
			each(Event{ID: id, Data: fmt.Sprintf("%s/%d", request.Sample.ID, id), Version: 1 + id/many})
		}
		return scheduler.Complete
	})
	events, versions, end := linked.run(context.Background(), 2)
	require.Equal(t, scheduler.Complete, end)
	require.Len(t, events, many-2)
	require.Equal(t, "s/3", events[0])
	require.Equal(t, "s/500", events[len(events)-1])
	require.Contains(t, versions, uint64(1))
	require.Contains(t, versions, uint64(2))
}

func TestRunnerTellsHowARunEnds(t *testing.T) {
	for _, want := range []scheduler.RunEnd{scheduler.Rejected, scheduler.Failed, scheduler.Impossible, scheduler.Unreachable} {
		linked := newLinked(t, func(context.Context, Request, func(Event)) scheduler.RunEnd { return want })
		_, _, end := linked.run(context.Background(), 0)
		require.Equal(t, want, end)
	}
}

// TestGapBreaksARun: what follows a gap is never passed on, and a text with one is
// not whole.
func TestGapBreaksARun(t *testing.T) {
	linked := newLinked(t, func(ctx context.Context, _ Request, each func(Event)) scheduler.RunEnd {
		each(Event{ID: 1, Data: "a"})
		each(Event{ID: 3, Data: "c"})
		<-ctx.Done()
		return scheduler.Complete
	})
	events, _, end := linked.run(context.Background(), 0)
	require.Equal(t, scheduler.Broken, end)
	require.Equal(t, []string{"a"}, events)
}

// held is an engine that gives one event and then holds the run until it is cancelled.
func held(cancelled chan<- struct{}) scriptedEngine {
	return func(ctx context.Context, _ Request, each func(Event)) scheduler.RunEnd {
		each(Event{ID: 1, Data: "a"})
		<-ctx.Done()
		cancelled <- struct{}{}
		return scheduler.Broken
	}
}

func TestCancelReachesTheEngine(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	linked := newLinked(t, held(cancelled))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		require.Eventually(t, func() bool { return linked.server.Held() == 1 }, soon, interval)
		cancel()
	}()
	_, _, end := linked.run(ctx, 0)
	require.Equal(t, scheduler.Broken, end)
	<-cancelled
}

// TestLostRunnerInterruptsItsRuns: the leader learns at once that a runner is lost, and
// that its engines are not to blame.
func TestLostRunnerInterruptsItsRuns(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	linked := newLinked(t, held(cancelled))
	go func() {
		require.Eventually(t, func() bool { return linked.server.Held() == 1 }, soon, interval)
		linked.runner.CloseClientConnections()
	}()
	_, _, end := linked.run(context.Background(), 0)
	require.Equal(t, scheduler.Interrupted, end)
	<-cancelled
	require.Eventually(t, func() bool { return linked.pool.Open() == 1 }, soon, interval, "the link opens again")
}

// TestLostLeaderEndsItsRuns: nothing runs on for a leader that is gone.
func TestLostLeaderEndsItsRuns(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	linked := newLinked(t, held(cancelled))
	go linked.run(context.Background(), 0)
	require.Eventually(t, func() bool { return linked.server.Held() == 1 }, soon, interval)
	linked.stop()
	<-cancelled
	require.Eventually(t, func() bool { return linked.server.Held() == 0 }, soon, interval)
}

// TestStoreThatIsGoneHoldsNothing: runs of a store that leaves the list go elsewhere,
// and without any runner the process runs samples itself.
func TestStoreThatIsGoneHoldsNothing(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	linked := newLinked(t, held(cancelled))
	go func() {
		require.Eventually(t, func() bool { return linked.server.Held() == 1 }, soon, interval)
		linked.pool.Follow(nil)
	}()
	_, _, end := linked.run(context.Background(), 0)
	require.Equal(t, scheduler.Interrupted, end)
	require.Equal(t, "", linked.pool.For(directory.Backend{ID: "e"}).Name())
}

// TestStartThatComesLateIsNotBegun: a runner that stood still takes in no start that
// the leader sent before, since the leader has given the run to others meanwhile.
func TestStartThatComesLateIsNotBegun(t *testing.T) {
	now := time.Now()
	served := &serverLink{
		runs:        map[uint64]*heldRun{},
		reportedAt:  []time.Time{now.Add(-3 * startValidity), now.Add(-2 * startValidity), now.Add(-startValidity / 2), now},
		firstReport: 5, changed: make(chan struct{}, 1), ended: make(chan struct{}, 1), context: context.Background(),
	}
	for number, recent := range map[uint64]bool{0: false, 4: false, 5: false, 6: false, 7: true, 8: true, 9: false} {
		require.Equal(t, recent, served.isRecent(number), number)
	}
	served.begin(start{Run: 1, Sample: &ledger.Sample{}}, false)
	told := served.collect()
	require.Equal(t, uint64(9), told.Number)
	require.Equal(t, []runReport{{Run: 1, End: scheduler.Interrupted}}, told.Runs)
	require.Empty(t, served.collect().Runs)
}

// TestChoiceOfARunner: the zone of the engine comes first, then stores without a
// replica of the ledger, and engines spread over what is left.
func TestChoiceOfARunner(t *testing.T) {
	stores := []Store{
		{Name: "far", Zone: "b"}, {Name: "member", Zone: "a", Member: true},
		{Name: "one", Zone: "a"}, {Name: "two", Zone: "a"}, {Name: "three", Zone: "a"},
	}
	choose := func(from []Store, engine string) string {
		best := from[0]
		for _, store := range from {
			if store.preferredTo(best, engine, "a") {
				best = store
			}
		}
		return best.Name
	}
	const engines = 300
	chosen := map[string]int{}
	for number := range engines {
		chosen[choose(stores, fmt.Sprintf("engine-%d", number))]++
	}
	require.Len(t, chosen, 3)
	for _, name := range []string{"one", "two", "three"} {
		require.InDelta(t, engines/3, chosen[name], engines/6, name)
	}
	require.Equal(t, "member", choose(stores[:2], "engine-1"))
	require.Equal(t, "far", choose(stores[:1], "engine-1"))
}
