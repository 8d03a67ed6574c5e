package runner

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"sync/atomic"
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
	// leadership is the context of the first leader's pool, and stop ends it.
	leadership context.Context
	stop       context.CancelFunc
}

func newLinked(t *testing.T, engine scriptedEngine) *linked {
	logger := zerolog.Nop()
	l := &linked{server: NewServer(engine, &logger)}
	l.runner = httptest.NewServer(l.server)
	ctx, stop := context.WithCancel(context.Background())
	l.leadership, l.stop = ctx, stop
	t.Cleanup(func() {
		stop()
		l.runner.CloseClientConnections()
		l.runner.Close()
	})
	l.pool = l.lead(ctx, 1, acceptNone)
	require.Eventually(t, func() bool { return l.pool.Open() == 1 }, soon, interval)
	return l
}

// lead returns the pool of a leader of the term with a link to the runner.
func (l *linked) lead(ctx context.Context, term uint64, adopt func([]*Held)) *Pool {
	logger := zerolog.Nop()
	pool := NewPool(ctx, term, adopt, &logger)
	pool.Follow([]Store{{Name: "store", Address: l.runner.Listener.Addr().String()}})
	return pool
}

func acceptNone([]*Held) {}

// textOf returns a text of so many events, made by the version.
func textOf(events int, version uint64) scheduler.Text {
	text := scheduler.Text{Last: uint64(events)}
	for id := range events {
		text.Events = append(text.Events, fmt.Sprintf("early/%d", id+1))
	}
	if events > 0 {
		text.Versions = []uint64{version}
	}
	return text
}

// run runs a sample after a text and returns what it adds.
func (l *linked) run(ctx context.Context, text scheduler.Text) (events []string, versions []uint64, end scheduler.RunEnd) {
	last := text.Last
	end = l.pool.For(directory.Backend{ID: "e"}).Run(ctx, Request{Step: "step", Sample: &ledger.Sample{ID: "s"}, Text: text, DecidedAt: time.Now()}, func(batch Batch) {
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
		for id := request.Text.Last + 1; id <= many; id++ {
			each(Event{ID: id, Data: fmt.Sprintf("%s/%d", request.Sample.ID, id), Version: 1 + id/many})
		}
		return scheduler.Complete
	})
	events, versions, end := linked.run(context.Background(), textOf(2, 9))
	require.Equal(t, scheduler.Complete, end)
	require.Len(t, events, many-2)
	require.Equal(t, "s/3", events[0])
	require.Equal(t, "s/500", events[len(events)-1])
	require.Contains(t, versions, uint64(1))
	require.Contains(t, versions, uint64(2))
	require.NotContains(t, versions, uint64(9), "the version of the text before tells nothing of this engine")
}

// TestRunnerHearsWhatIsKnownOfASample: it tells of an engine's end as the leader would.
func TestRunnerHearsWhatIsKnownOfASample(t *testing.T) {
	linked := newLinked(t, func(_ context.Context, request Request, each func(Event)) scheduler.RunEnd {
		each(Event{ID: 1, Data: fmt.Sprint(request.Known, " ", request.KindKnown)})
		return scheduler.Complete
	})
	var data []string
	request := Request{Step: "step", Sample: &ledger.Sample{ID: "s"}, Known: 1, KindKnown: 2, DecidedAt: time.Now()}
	linked.pool.For(directory.Backend{ID: "e"}).Run(context.Background(), request, func(batch Batch) { data = append(data, batch.Events...) })
	require.Equal(t, []string{"1 2"}, data)
}

func TestRunnerTellsHowARunEnds(t *testing.T) {
	for _, want := range []scheduler.RunEnd{scheduler.Rejected, scheduler.Failed, scheduler.Unprocessable, scheduler.Unreachable} {
		linked := newLinked(t, func(context.Context, Request, func(Event)) scheduler.RunEnd { return want })
		_, _, end := linked.run(context.Background(), textOf(0, 0))
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
	events, _, end := linked.run(context.Background(), textOf(0, 0))
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
	_, _, end := linked.run(ctx, textOf(0, 0))
	require.Equal(t, scheduler.Broken, end)
	<-cancelled
}

// TestCancelledRunTellsWhatItHas: what had come of a run that the leader ends is told, so
// that it is not made again.
func TestCancelledRunTellsWhatItHas(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	linked := newLinked(t, func(running context.Context, _ Request, each func(Event)) scheduler.RunEnd {
		each(Event{ID: 1, Data: "a"})
		cancel()
		<-running.Done()
		each(Event{ID: 2, Data: "b"})
		return scheduler.Broken
	})
	events, _, end := linked.run(ctx, textOf(0, 0))
	require.Equal(t, scheduler.Broken, end)
	require.Equal(t, []string{"a", "b"}, events)
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
	_, _, end := linked.run(context.Background(), textOf(0, 0))
	require.Equal(t, scheduler.Interrupted, end)
	<-cancelled
	require.Eventually(t, func() bool { return linked.pool.Open() == 1 }, soon, interval, "the link opens again")
}

// TestUnclaimedRunsEnd: runs go on for a short time without a leader, and not for ever.
func TestUnclaimedRunsEnd(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	linked := newLinked(t, held(cancelled))
	linked.server.orphanTime = 20 * interval
	go linked.run(context.Background(), textOf(0, 0))
	require.Eventually(t, func() bool { return linked.server.Held() == 1 }, soon, interval)
	linked.stop()
	<-cancelled
	require.Eventually(t, func() bool { return linked.server.Held() == 0 }, soon, interval)
}

// steppedEngine gives two events, and a third one when it is told to.
func steppedEngine(goOn <-chan struct{}, runs *atomic.Int64) scriptedEngine {
	return func(ctx context.Context, request Request, each func(Event)) scheduler.RunEnd {
		runs.Add(1)
		first := request.Text.Last + 1
		each(Event{ID: first, Data: "a", Version: 3})
		each(Event{ID: first + 1, Data: "b", Version: 3})
		select {
		case <-goOn:
		case <-ctx.Done():
			return scheduler.Broken
		}
		each(Event{ID: first + 2, Data: "c", Version: 4})
		return scheduler.Complete
	}
}

// acceptAll follows all runs that are brought back, and tells their texts and ends.
func acceptAll(texts chan<- scheduler.Text, ends chan<- scheduler.RunEnd) func([]*Held) {
	return func(brought []*Held) {
		for _, one := range brought {
			text := one.Text
			one.Accept(func(batch Batch) {
				text.Events = append(text.Events, batch.Events...)
				text.Versions = append(text.Versions, batch.Versions...)
			})
			go func() {
				end := one.Wait(context.Background())
				texts <- text
				ends <- end
			}()
		}
	}
}

// TestNextLeaderGoesOn: a run outlives its leader, and the next one gets the whole of its
// text, with what came while nobody led.
func TestNextLeaderGoesOn(t *testing.T) {
	for _, whileNobodyLeads := range []bool{true, false} {
		goOn, runs := make(chan struct{}), &atomic.Int64{}
		linked := newLinked(t, steppedEngine(goOn, runs))
		go linked.run(context.Background(), textOf(2, 3))
		require.Eventually(t, func() bool { return linked.server.Held() == 1 }, soon, interval)
		linked.stop()
		if whileNobodyLeads {
			close(goOn)
			require.Eventually(t, func() bool { return linked.server.Held() == 0 }, soon, interval)
		}
		ctx, stop := context.WithCancel(context.Background())
		texts, ends := make(chan scheduler.Text, 1), make(chan scheduler.RunEnd, 1)
		linked.lead(ctx, 2, acceptAll(texts, ends))
		if !whileNobodyLeads {
			close(goOn)
		}
		text := <-texts
		require.Equal(t, []string{"early/1", "early/2", "a", "b", "c"}, text.Events)
		require.ElementsMatch(t, []uint64{3, 4}, text.Versions)
		require.Equal(t, scheduler.Complete, <-ends)
		require.Equal(t, int64(1), runs.Load())
		stop()
	}
}

// TestLostLeadershipEndsNoRuns: a leader that loses its leadership stops waiting for its
// runs, and tells no runner to end them: they are the next leader's.
func TestLostLeadershipEndsNoRuns(t *testing.T) {
	const many = 50
	cancelled := make(chan struct{}, many)
	linked := newLinked(t, held(cancelled))
	linked.server.orphanTime = time.Hour
	var ended sync.WaitGroup
	for range many {
		ended.Go(func() { linked.run(linked.leadership, textOf(0, 0)) })
	}
	require.Eventually(t, func() bool { return linked.server.Held() == many }, soon, interval)
	linked.stop()
	ended.Wait()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Once the function returns, the next leader ends the runs that it does not accept.
	type handedOver struct{ brought, cancelled int }
	seen := make(chan handedOver, 1)
	linked.lead(ctx, 2, func(held []*Held) { seen <- handedOver{len(held), len(cancelled)} })
	require.Equal(t, handedOver{brought: many}, <-seen, "no engine's run was ended")
	linked.server.Close()
}

// TestNothingIsToldForALostLeadership: the end of a leadership reaches its runs before it
// reaches the link that could still tell the runner to end them.
func TestNothingIsToldForALostLeadership(t *testing.T) {
	leadership, stop := context.WithCancel(context.Background())
	run := &linkRun{ended: make(chan scheduler.RunEnd, 1)}
	link := &Link{
		pool: &Pool{context: leadership}, context: context.Background(),
		changed: make(chan struct{}, 1), runs: map[uint64]*linkRun{7: run},
	}
	stop()
	require.Equal(t, scheduler.Broken, link.wait(leadership, 7, run))
	require.Empty(t, link.pending.Cancels)
	require.Empty(t, link.runs)
}

// TestRunThatIsNotWantedEnds: what a new leader does not accept is ended at once.
func TestRunThatIsNotWantedEnds(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	linked := newLinked(t, held(cancelled))
	linked.server.orphanTime = time.Hour
	go linked.run(context.Background(), textOf(0, 0))
	require.Eventually(t, func() bool { return linked.server.Held() == 1 }, soon, interval)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	linked.lead(ctx, 2, acceptNone)
	<-cancelled
}

// TestEarlierLeaderIsRefused: a leader that was deposed and does not know it yet gets no
// link once a later one has had one, and takes no runs from it.
func TestEarlierLeaderIsRefused(t *testing.T) {
	goOn, runs := make(chan struct{}), &atomic.Int64{}
	linked := newLinked(t, steppedEngine(goOn, runs))
	go linked.run(context.Background(), textOf(0, 0))
	require.Eventually(t, func() bool { return linked.server.Held() == 1 }, soon, interval)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	texts, ends := make(chan scheduler.Text, 1), make(chan scheduler.RunEnd, 1)
	later := linked.lead(ctx, 2, acceptAll(texts, ends))
	require.Eventually(t, func() bool { return later.Open() == 1 && linked.pool.Open() == 0 }, soon, interval)
	require.False(t, linked.pool.Ready(), "the earlier leader begins no more")
	// The earlier leader goes on asking.
	require.Never(t, func() bool { return linked.pool.Open() > 0 }, 3*minBackoff, interval)
	close(goOn)
	require.Equal(t, []string{"a", "b", "c"}, (<-texts).Events)
	require.Equal(t, scheduler.Complete, <-ends)
}

// TestStoreThatIsGoneHoldsNothing: runs of a store that leaves the list go elsewhere,
// and without any runner none begins.
func TestStoreThatIsGoneHoldsNothing(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	linked := newLinked(t, held(cancelled))
	go func() {
		require.Eventually(t, func() bool { return linked.server.Held() == 1 }, soon, interval)
		linked.pool.Follow(nil)
	}()
	_, _, end := linked.run(context.Background(), textOf(0, 0))
	require.Equal(t, scheduler.Interrupted, end)
	require.Nil(t, linked.pool.For(directory.Backend{ID: "e"}))
	require.False(t, linked.pool.Ready())
}

// TestStartThatComesLateIsNotBegun: a runner that stood still takes in no start that
// the leader sent before, since the leader has given the run to others meanwhile.
func TestStartThatComesLateIsNotBegun(t *testing.T) {
	now := time.Now()
	logger := zerolog.Nop()
	served := newServerLink(NewServer(scriptedEngine(unreachable), &logger), context.Background(), 1, nil)
	served.reportedAt = []time.Time{now.Add(-3 * startValidity), now.Add(-2 * startValidity), now.Add(-startValidity / 2), now}
	served.firstReport = 5
	for number, recent := range map[uint64]bool{0: false, 4: false, 5: false, 6: false, 7: true, 8: true, 9: false} {
		require.Equal(t, recent, served.isRecent(number), number)
	}
	served.begin(start{Run: 1, Sample: &ledger.Sample{}}, 6)
	told := served.collect()
	require.Equal(t, uint64(9), told.Number)
	require.Equal(t, []runReport{{Run: 1, End: scheduler.Interrupted}}, told.Runs)
	require.Empty(t, served.collect().Runs)
}

// TestChoiceOfARunner: the zone of the engine comes first, then stores without a
// replica of the ledger, and engines spread over what is left.
func TestChoiceOfARunner(t *testing.T) {
	stores := []Store{
		{Name: "leader", Zone: "a", Leader: true}, {Name: "far", Zone: "b"}, {Name: "member", Zone: "a", Member: true},
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
	require.Equal(t, "member", choose(stores[:3], "engine-1"))
	require.Equal(t, "far", choose(stores[:2], "engine-1"))
	require.Equal(t, "leader", choose(stores[:1], "engine-1"))
}

// TestFailureIsToldOnce: a leader whose link breaks after it has heard of a failure does
// not hear of it again, since it would count as another one; a whole text comes again.
func TestFailureIsToldOnce(t *testing.T) {
	for _, end := range []scheduler.RunEnd{scheduler.Failed, scheduler.Complete} {
		linked := newLinked(t, func(_ context.Context, _ Request, each func(Event)) scheduler.RunEnd {
			each(Event{ID: 1, Data: "a"})
			return end
		})
		_, _, told := linked.run(context.Background(), textOf(0, 0))
		require.Equal(t, end, told)
		brought := make(chan int, 1)
		ctx, stop := context.WithCancel(context.Background())
		linked.lead(ctx, 1, func(held []*Held) { brought <- len(held) })
		if end == scheduler.Complete {
			require.Equal(t, 1, <-brought)
		} else {
			require.Never(t, func() bool { return len(brought) > 0 }, 20*interval, interval)
		}
		stop()
	}
}

// TestClosedServerTakesNoLink: a store that stops is no sign of a later leader.
func TestClosedServerTakesNoLink(t *testing.T) {
	linked := newLinked(t, unreachable)
	linked.server.Close()
	require.Eventually(t, func() bool { return linked.pool.Open() == 0 }, soon, interval)
	require.Never(t, func() bool { return linked.pool.Open() > 0 }, 3*minBackoff, interval)
	require.False(t, linked.pool.superseded.Load())
}
