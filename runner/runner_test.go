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
	waitLimit    = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// scriptedEngine runs samples as the test says.
type scriptedEngine func(ctx context.Context, request Request, onEvent func(Event)) scheduler.RunEnd

func (e scriptedEngine) Run(ctx context.Context, request Request, onEvent func(Event)) scheduler.RunEnd {
	return e(ctx, request, onEvent)
}

// unreachable is the engine client of a leader that must not run anything itself.
func unreachableEngine(context.Context, Request, func(Event)) scheduler.RunEnd {
	return scheduler.Unreachable
}

// linked is a pool with an open link to one runner.
type testDeployment struct {
	pool   *Pool
	runner *httptest.Server
	server *Server
	// leadership is the context of the first leader's pool, and stop ends it.
	leadership context.Context
	stop       context.CancelFunc
}

func newTestDeployment(t *testing.T, engine scriptedEngine) *testDeployment {
	logger := zerolog.Nop()
	l := &testDeployment{server: NewServer(engine, &logger)}
	l.runner = httptest.NewServer(l.server)
	ctx, stop := context.WithCancel(context.Background())
	l.leadership, l.stop = ctx, stop
	t.Cleanup(func() {
		stop()
		l.runner.CloseClientConnections()
		l.runner.Close()
	})
	l.pool = l.lead(ctx, 1, acceptNoRuns)
	require.Eventually(t, func() bool { return l.pool.OpenLinks() == 1 }, waitLimit, pollInterval)
	return l
}

// lead returns the pool of a leader of the term with a link to the runner.
func (l *testDeployment) lead(ctx context.Context, term uint64, adopt func([]*OrphanedRun)) *Pool {
	logger := zerolog.Nop()
	pool := NewPool(ctx, term, adopt, &logger)
	pool.SetStores([]Store{{Name: "store", Address: l.runner.Listener.Addr().String()}})
	return pool
}

func acceptNoRuns([]*OrphanedRun) {}

// textOf returns a text of so many events, made by the version.
func newText(events int, version uint64) scheduler.Text {
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
func (l *testDeployment) run(ctx context.Context, text scheduler.Text) (events []string, versions []uint64, end scheduler.RunEnd) {
	last := text.Last
	end = l.pool.LinkFor(directory.Backend{ID: "e"}).Run(ctx, Request{Step: "step", Sample: &ledger.Sample{ID: "s"}, Text: text, DecidedAt: time.Now()}, func(batch Batch) {
		if batch.First != last+1 {
			panic(fmt.Sprintf("event %d after %d", batch.First, last))
		}
		last += uint64(len(batch.Events))
		events, versions = append(events, batch.Events...), append(versions, batch.Versions...)
	})
	return events, versions, end
}

func TestRunStreamsThroughRunner(t *testing.T) {
	const lastEvent = 500
	deployment := newTestDeployment(t, func(_ context.Context, request Request, onEvent func(Event)) scheduler.RunEnd {
		for id := request.Text.Last + 1; id <= lastEvent; id++ {
			onEvent(Event{ID: id, Data: fmt.Sprintf("%s/%d", request.Sample.ID, id), Version: 1 + id/lastEvent})
		}
		return scheduler.Complete
	})
	events, versions, end := deployment.run(context.Background(), newText(2, 9))
	require.Equal(t, scheduler.Complete, end)
	require.Len(t, events, lastEvent-2)
	require.Equal(t, "s/3", events[0])
	require.Equal(t, "s/500", events[len(events)-1])
	require.Contains(t, versions, uint64(1))
	require.Contains(t, versions, uint64(2))
	require.NotContains(t, versions, uint64(9), "the version of the text before tells nothing of this engine")
}

// TestRunnerHearsWhatIsKnownOfASample: it tells of an engine's end as the leader would.
func TestKnownCrashesReachRunner(t *testing.T) {
	deployment := newTestDeployment(t, func(_ context.Context, request Request, onEvent func(Event)) scheduler.RunEnd {
		onEvent(Event{ID: 1, Data: fmt.Sprint(request.KnownCrashes, " ", request.KnownKindCrashes)})
		return scheduler.Complete
	})
	var data []string
	request := Request{Step: "step", Sample: &ledger.Sample{ID: "s"}, KnownCrashes: 1, KnownKindCrashes: 2, DecidedAt: time.Now()}
	deployment.pool.LinkFor(directory.Backend{ID: "e"}).Run(context.Background(), request, func(batch Batch) { data = append(data, batch.Events...) })
	require.Equal(t, []string{"1 2"}, data)
}

func TestRunEndReachesLeader(t *testing.T) {
	for _, want := range []scheduler.RunEnd{scheduler.Rejected, scheduler.Failed, scheduler.Unprocessable, scheduler.Unreachable} {
		deployment := newTestDeployment(t, func(context.Context, Request, func(Event)) scheduler.RunEnd { return want })
		_, _, end := deployment.run(context.Background(), newText(0, 0))
		require.Equal(t, want, end)
	}
}

// TestGapBreaksARun: what follows a gap is never passed on, and a text with one is
// not whole.
func TestEventGapBreaksRun(t *testing.T) {
	deployment := newTestDeployment(t, func(ctx context.Context, _ Request, onEvent func(Event)) scheduler.RunEnd {
		onEvent(Event{ID: 1, Data: "a"})
		onEvent(Event{ID: 3, Data: "c"})
		<-ctx.Done()
		return scheduler.Complete
	})
	events, _, end := deployment.run(context.Background(), newText(0, 0))
	require.Equal(t, scheduler.Broken, end)
	require.Equal(t, []string{"a"}, events)
}

// held is an engine that gives one event and then holds the run until it is cancelled.
func blockingEngine(cancelled chan<- struct{}) scriptedEngine {
	return func(ctx context.Context, _ Request, onEvent func(Event)) scheduler.RunEnd {
		onEvent(Event{ID: 1, Data: "a"})
		<-ctx.Done()
		cancelled <- struct{}{}
		return scheduler.Broken
	}
}

func TestCancelReachesTheEngine(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	deployment := newTestDeployment(t, blockingEngine(cancelled))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		require.Eventually(t, func() bool { return deployment.server.ActiveRuns() == 1 }, waitLimit, pollInterval)
		cancel()
	}()
	_, _, end := deployment.run(ctx, newText(0, 0))
	require.Equal(t, scheduler.Broken, end)
	<-cancelled
}

// TestCancelledRunTellsWhatItHas: what had come of a run that the leader ends is told, so
// that it is not made again.
func TestCancelledRunReportsReceivedEvents(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	deployment := newTestDeployment(t, func(running context.Context, _ Request, onEvent func(Event)) scheduler.RunEnd {
		onEvent(Event{ID: 1, Data: "a"})
		cancel()
		<-running.Done()
		onEvent(Event{ID: 2, Data: "b"})
		return scheduler.Broken
	})
	events, _, end := deployment.run(ctx, newText(0, 0))
	require.Equal(t, scheduler.Broken, end)
	require.Equal(t, []string{"a", "b"}, events)
}

// TestLostRunnerInterruptsItsRuns: the leader learns at once that a runner is lost, and
// that its engines are not to blame.
func TestLostRunnerInterruptsRuns(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	deployment := newTestDeployment(t, blockingEngine(cancelled))
	go func() {
		require.Eventually(t, func() bool { return deployment.server.ActiveRuns() == 1 }, waitLimit, pollInterval)
		deployment.runner.CloseClientConnections()
	}()
	_, _, end := deployment.run(context.Background(), newText(0, 0))
	require.Equal(t, scheduler.Interrupted, end)
	<-cancelled
	require.Eventually(t, func() bool { return deployment.pool.OpenLinks() == 1 }, waitLimit, pollInterval, "the link opens again")
}

// TestUnclaimedRunsEnd: runs go on for a short time without a leader, and not for ever.
func TestOrphanedRunsExpire(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	deployment := newTestDeployment(t, blockingEngine(cancelled))
	deployment.server.orphanTimeout = 20 * pollInterval
	go deployment.run(context.Background(), newText(0, 0))
	require.Eventually(t, func() bool { return deployment.server.ActiveRuns() == 1 }, waitLimit, pollInterval)
	deployment.stop()
	<-cancelled
	require.Eventually(t, func() bool { return deployment.server.ActiveRuns() == 0 }, waitLimit, pollInterval)
}

// steppedEngine gives two events, and a third one when it is told to.
func steppedEngine(proceed <-chan struct{}, runs *atomic.Int64) scriptedEngine {
	return func(ctx context.Context, request Request, onEvent func(Event)) scheduler.RunEnd {
		runs.Add(1)
		first := request.Text.Last + 1
		onEvent(Event{ID: first, Data: "a", Version: 3})
		onEvent(Event{ID: first + 1, Data: "b", Version: 3})
		select {
		case <-proceed:
		case <-ctx.Done():
			return scheduler.Broken
		}
		onEvent(Event{ID: first + 2, Data: "c", Version: 4})
		return scheduler.Complete
	}
}

// acceptAll follows all runs that are brought back, and tells their texts and ends.
func acceptAllRuns(texts chan<- scheduler.Text, ends chan<- scheduler.RunEnd) func([]*OrphanedRun) {
	return func(orphans []*OrphanedRun) {
		for _, orphan := range orphans {
			text := orphan.Text
			orphan.Accept(func(batch Batch) {
				text.Events = append(text.Events, batch.Events...)
				text.Versions = append(text.Versions, batch.Versions...)
			})
			go func() {
				end := orphan.Wait(context.Background())
				texts <- text
				ends <- end
			}()
		}
	}
}

// TestNextLeaderGoesOn: a run outlives its leader, and the next one gets the whole of its
// text, with what came while nobody led.
func TestNextLeaderAdoptsRuns(t *testing.T) {
	for _, withoutLeader := range []bool{true, false} {
		proceed, runs := make(chan struct{}), &atomic.Int64{}
		deployment := newTestDeployment(t, steppedEngine(proceed, runs))
		go deployment.run(context.Background(), newText(2, 3))
		require.Eventually(t, func() bool { return deployment.server.ActiveRuns() == 1 }, waitLimit, pollInterval)
		deployment.stop()
		if withoutLeader {
			close(proceed)
			require.Eventually(t, func() bool { return deployment.server.ActiveRuns() == 0 }, waitLimit, pollInterval)
		}
		ctx, stop := context.WithCancel(context.Background())
		texts, ends := make(chan scheduler.Text, 1), make(chan scheduler.RunEnd, 1)
		deployment.lead(ctx, 2, acceptAllRuns(texts, ends))
		if !withoutLeader {
			close(proceed)
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
func TestLostLeadershipCancelsNoRuns(t *testing.T) {
	const runs = 50
	cancelled := make(chan struct{}, runs)
	deployment := newTestDeployment(t, blockingEngine(cancelled))
	deployment.server.orphanTimeout = time.Hour
	var ended sync.WaitGroup
	for range runs {
		ended.Go(func() { deployment.run(deployment.leadership, newText(0, 0)) })
	}
	require.Eventually(t, func() bool { return deployment.server.ActiveRuns() == runs }, waitLimit, pollInterval)
	deployment.stop()
	ended.Wait()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Once the function returns, the next leader ends the runs that it does not accept.
	type handover struct{ orphans, cancelled int }
	handovers := make(chan handover, 1)
	deployment.lead(ctx, 2, func(orphans []*OrphanedRun) { handovers <- handover{len(orphans), len(cancelled)} })
	require.Equal(t, handover{orphans: runs}, <-handovers, "no engine's run was ended")
	deployment.server.Close()
}

// TestNothingIsToldForALostLeadership: the end of a leadership reaches its runs before it
// reaches the link that could still tell the runner to end them.
func TestLostLeadershipSendsNoCancel(t *testing.T) {
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
func TestUnacceptedRunIsCancelled(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	deployment := newTestDeployment(t, blockingEngine(cancelled))
	deployment.server.orphanTimeout = time.Hour
	go deployment.run(context.Background(), newText(0, 0))
	require.Eventually(t, func() bool { return deployment.server.ActiveRuns() == 1 }, waitLimit, pollInterval)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	deployment.lead(ctx, 2, acceptNoRuns)
	<-cancelled
}

// TestEarlierLeaderIsRefused: a leader that was deposed and does not know it yet gets no
// link once a later one has had one, and takes no runs from it.
func TestDeposedLeaderIsRefused(t *testing.T) {
	proceed, runs := make(chan struct{}), &atomic.Int64{}
	deployment := newTestDeployment(t, steppedEngine(proceed, runs))
	go deployment.run(context.Background(), newText(0, 0))
	require.Eventually(t, func() bool { return deployment.server.ActiveRuns() == 1 }, waitLimit, pollInterval)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	texts, ends := make(chan scheduler.Text, 1), make(chan scheduler.RunEnd, 1)
	later := deployment.lead(ctx, 2, acceptAllRuns(texts, ends))
	require.Eventually(t, func() bool { return later.OpenLinks() == 1 && deployment.pool.OpenLinks() == 0 }, waitLimit, pollInterval)
	require.False(t, deployment.pool.Ready(), "the earlier leader begins no more")
	// The earlier leader goes on asking.
	require.Never(t, func() bool { return deployment.pool.OpenLinks() > 0 }, 3*minBackoff, pollInterval)
	close(proceed)
	require.Equal(t, []string{"a", "b", "c"}, (<-texts).Events)
	require.Equal(t, scheduler.Complete, <-ends)
}

// TestStoreThatIsGoneHoldsNothing: runs of a store that leaves the list go elsewhere,
// and without any runner none begins.
func TestRemovedStoreRunsNothing(t *testing.T) {
	cancelled := make(chan struct{}, 1)
	deployment := newTestDeployment(t, blockingEngine(cancelled))
	go func() {
		require.Eventually(t, func() bool { return deployment.server.ActiveRuns() == 1 }, waitLimit, pollInterval)
		deployment.pool.SetStores(nil)
	}()
	_, _, end := deployment.run(context.Background(), newText(0, 0))
	require.Equal(t, scheduler.Interrupted, end)
	require.Nil(t, deployment.pool.LinkFor(directory.Backend{ID: "e"}))
	require.False(t, deployment.pool.Ready())
}

// TestStartThatComesLateIsNotBegun: a runner that stood still takes in no start that
// the leader sent before, since the leader has given the run to others meanwhile.
func TestStaleStartIsNotRun(t *testing.T) {
	now := time.Now()
	logger := zerolog.Nop()
	link := newServerLink(NewServer(scriptedEngine(unreachableEngine), &logger), context.Background(), 1, nil)
	link.reportedAt = []time.Time{now.Add(-3 * maxReportAge), now.Add(-2 * maxReportAge), now.Add(-maxReportAge / 2), now}
	link.firstReportNumber = 5
	for number, isRecent := range map[uint64]bool{0: false, 4: false, 5: false, 6: false, 7: true, 8: true, 9: false} {
		require.Equal(t, isRecent, link.isRecentReport(number), number)
	}
	link.startRun(start{Run: 1, Sample: &ledger.Sample{}}, 6)
	message := link.nextReport()
	require.Equal(t, uint64(9), message.Number)
	require.Equal(t, []runReport{{Run: 1, End: scheduler.Interrupted}}, message.Runs)
	require.Empty(t, link.nextReport().Runs)
}

// TestChoiceOfARunner: the zone of the engine comes first, then stores without a
// replica of the ledger, and engines spread over what is left.
func TestRunnerPreference(t *testing.T) {
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
	engineCounts := map[string]int{}
	for number := range engines {
		engineCounts[choose(stores, fmt.Sprintf("engine-%d", number))]++
	}
	require.Len(t, engineCounts, 3)
	for _, name := range []string{"one", "two", "three"} {
		require.InDelta(t, engines/3, engineCounts[name], engines/6, name)
	}
	require.Equal(t, "member", choose(stores[:3], "engine-1"))
	require.Equal(t, "far", choose(stores[:2], "engine-1"))
	require.Equal(t, "leader", choose(stores[:1], "engine-1"))
}

// TestFailureIsToldOnce: a leader whose link breaks after it has heard of a failure does
// not hear of it again, since it would count as another one; a whole text comes again.
func TestFailureIsReportedOnce(t *testing.T) {
	for _, end := range []scheduler.RunEnd{scheduler.Failed, scheduler.Complete} {
		deployment := newTestDeployment(t, func(_ context.Context, _ Request, onEvent func(Event)) scheduler.RunEnd {
			onEvent(Event{ID: 1, Data: "a"})
			return end
		})
		_, _, reported := deployment.run(context.Background(), newText(0, 0))
		require.Equal(t, end, reported)
		orphanCounts := make(chan int, 1)
		ctx, stop := context.WithCancel(context.Background())
		deployment.lead(ctx, 1, func(orphans []*OrphanedRun) { orphanCounts <- len(orphans) })
		if end == scheduler.Complete {
			require.Equal(t, 1, <-orphanCounts)
		} else {
			require.Never(t, func() bool { return len(orphanCounts) > 0 }, 20*pollInterval, pollInterval)
		}
		stop()
	}
}

// TestClosedServerTakesNoLink: a store that stops is no sign of a later leader.
func TestClosedServerRefusesLinks(t *testing.T) {
	deployment := newTestDeployment(t, unreachableEngine)
	deployment.server.Close()
	require.Eventually(t, func() bool { return deployment.pool.OpenLinks() == 0 }, waitLimit, pollInterval)
	require.Never(t, func() bool { return deployment.pool.OpenLinks() > 0 }, 3*minBackoff, pollInterval)
	require.False(t, deployment.pool.superseded.Load())
}
