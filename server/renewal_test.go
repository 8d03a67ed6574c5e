package server

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

// standingDirectory is a directory whose watches stand still: they say nothing. It answers calls.
type standingDirectory struct {
	address string
	mutex   sync.Mutex
	machine *directory.Machine
	asked   atomic.Int64
	// answers, if it is set, holds answers back until it is closed.
	answers chan struct{}
}

func newStandingDirectory(t *testing.T, kind routing.Kind, backends ...directory.Backend) *standingDirectory {
	d := &standingDirectory{machine: directory.NewMachine()}
	d.apply(directory.Command{PutConfiguration: &directory.PutConfiguration{Configuration: routing.Configuration{
		Version: 1, Services: []routing.Service{{Name: "s"}},
		Routes: []routing.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: kind, TimeoutMillis: time.Hour.Milliseconds(), Attempts: 3,
			Shares: []routing.Share{{Service: "s", Weight: 1}},
		}},
	}}})
	for _, backend := range backends {
		d.apply(directory.Command{PutBackend: &backend})
	}
	served := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		var call directoryCall
		if request.URL.Path == directoryCallPath && readCBOR(response, request, &call) {
			d.answer(response, call)
			return
		}
		<-request.Context().Done()
	}))
	t.Cleanup(served.Close)
	d.address = strings.TrimPrefix(served.URL, "http://")
	return d
}

func (d *standingDirectory) apply(command directory.Command) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.machine.Apply(command.Encode())
}

func (d *standingDirectory) answer(response http.ResponseWriter, call directoryCall) {
	if call.Missed == nil {
		http.Error(response, "not asked for here", http.StatusServiceUnavailable)
		return
	}
	d.asked.Add(1)
	if d.answers != nil {
		<-d.answers
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delta := d.machine.DeltaFor(directory.Watch{Since: call.Missed.Since, Scope: call.Missed.Scope, Held: call.Missed.Held})
	writeCBOR(response, directoryAnswer{Leader: d.address, Revision: delta.Revision, Missed: &delta})
}

// drain has the directory acknowledge that the backend leaves.
func (d *standingDirectory) drain(backend directory.Backend) {
	backend.Draining = true
	d.apply(directory.Command{PutBackend: &backend})
}

// tellAll has the watcher hold all of the directory, proven now.
func (d *standingDirectory) tellAll(w *Watcher) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	w.apply(w.Catalog(), d.machine.DeltaFor(directory.Watch{Scope: w.scope()}))
	w.age.noteProven(nowMillis())
}

func leaving(id string) directory.Backend {
	return directory.Backend{ID: id, Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", id[0]), Zone: "z", Slots: 1, Models: []directory.ModelVersion{{Model: "m", Version: 1}}}
}

// sentBackends is a client that notes to which backends was sent.
type sentBackends struct {
	mutex sync.Mutex
	ids   []string
	// during is called with the number of the send while it is under way.
	during  func(number int)
	outcome forward.Outcome
}

func (s *sentBackends) Send(_ context.Context, backend directory.Backend, _ *forward.Request) forward.Attempt {
	s.mutex.Lock()
	s.ids = append(s.ids, backend.ID)
	number := len(s.ids)
	s.mutex.Unlock()
	if s.during != nil {
		s.during(number)
	}
	return forward.Attempt{Outcome: s.outcome, Response: forward.Response{Status: http.StatusOK}}
}

// standingGateway returns a gateway whose watch stands still after it has told all.
func standingGateway(t *testing.T, d *standingDirectory, client forward.Client, seeds ...string) *Gateway {
	gateway := newTestGateway(clock.Now())
	w := newTestWatcher(t, seeds...)
	w.scope = func() directory.Scope { return directory.ScopeForwarded }
	w.age.limit = testCopyLimit
	gateway.watcher = w
	gateway.forwarder = forward.New(newCurrentClient(client, w), "z", newGuard(w))
	d.tellAll(w)
	return gateway
}

// pass has the gateway match and pass on a request.
func pass(t *testing.T, gateway *Gateway) forward.Result {
	route, catalog, err := gateway.Match(t.Context(), "h", "/")
	require.NoError(t, err)
	return gateway.Forward(t.Context(), catalog, route, &forward.Request{Method: http.MethodPost, Host: "h", Target: "/", Header: http.Header{}})
}

// TestGatewayAsksBeforeItSendsByAnOldCopy: a gateway whose watch stands still sends nothing to a
// backend whose leaving was acknowledged longer ago than the limit, while any replica answers.
func TestGatewayAsksBeforeItSendsByAnOldCopy(t *testing.T) {
	for name, kind := range map[string]routing.Kind{"repeatable": routing.Repeatable, "once only": routing.Unrepeatable} {
		t.Run(name, func(t *testing.T) {
			source := &clock.Suspendable{}
			defer clock.Use(source)()
			d := newStandingDirectory(t, kind, leaving("a"), leaving("b"))
			dark, _ := startUnresponsiveReplica(t)
			client := &sentBackends{outcome: forward.Answered}
			gateway := standingGateway(t, d, client, dark, d.address)
			d.drain(leaving("a"))
			source.Suspend(testCopyLimit)
			for range 20 {
				require.NotNil(t, pass(t, gateway).Response)
			}
			require.NotContains(t, client.ids, "a")
			require.Equal(t, int64(1), d.asked.Load(), "the answer holds until the copy is old again")
			d.drain(leaving("b"))
			source.Suspend(testCopyLimit)
			require.Equal(t, forward.NoBackend, pass(t, gateway).Reason)
			require.Len(t, client.ids, 20)
		})
	}
}

// TestRepeatedSendGoesByTheNewestCopy: a request is not sent again to a backend that has left since
// the request came.
func TestRepeatedSendGoesByTheNewestCopy(t *testing.T) {
	d := newStandingDirectory(t, routing.Repeatable, leaving("a"), leaving("b"))
	client := &sentBackends{outcome: forward.Refused}
	gateway := standingGateway(t, d, client, d.address)
	client.during = func(int) {
		d.drain(leaving("a"))
		d.drain(leaving("b"))
		d.tellAll(gateway.watcher)
	}
	require.Nil(t, pass(t, gateway).Response)
	require.Len(t, client.ids, 1)
}

// TestFreshCopyAsksNothing: nobody is asked while the copy is fresh.
func TestFreshCopyAsksNothing(t *testing.T) {
	d := newStandingDirectory(t, routing.Repeatable, leaving("a"))
	client := &sentBackends{outcome: forward.Answered}
	gateway := standingGateway(t, d, client, d.address)
	gateway.watcher.age.limit = time.Hour
	for range 20 {
		require.NotNil(t, pass(t, gateway).Response)
	}
	require.Zero(t, d.asked.Load())
}

// TestOneQuestionServesAllRequests: all requests that wait for the copy share one question.
func TestOneQuestionServesAllRequests(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	d := newStandingDirectory(t, routing.Repeatable, leaving("a"))
	d.answers = make(chan struct{})
	client := &sentBackends{outcome: forward.Answered}
	gateway := standingGateway(t, d, client, d.address)
	source.Suspend(testCopyLimit)
	first := gateway.watcher.ask()
	var waiting sync.WaitGroup
	for range 20 {
		waiting.Go(func() { require.Same(t, first, gateway.watcher.ask()) })
	}
	waiting.Wait()
	close(d.answers)
	<-first.done
	require.Equal(t, int64(1), d.asked.Load())
}

// TestCutOffGatewayServesWhatMayBeRepeated: a gateway that reaches no replica serves by the newest
// copy that it has, but for requests that must run at most once: they are refused as not run.
func TestCutOffGatewayServesWhatMayBeRepeated(t *testing.T) {
	for name, one := range map[string]struct {
		kind   routing.Kind
		served bool
	}{"repeatable": {routing.Repeatable, true}, "once only": {routing.Unrepeatable, false}} {
		t.Run(name, func(t *testing.T) {
			source := &clock.Suspendable{}
			defer clock.Use(source)()
			d := newStandingDirectory(t, one.kind, leaving("a"))
			dark, _ := startUnresponsiveReplica(t)
			client := &sentBackends{outcome: forward.Answered}
			gateway := standingGateway(t, d, client, dark)
			for range 3 {
				source.Suspend(testCopyLimit)
				result := pass(t, gateway)
				require.False(t, result.MayHaveRun && !one.served)
				<-gateway.watcher.ask().done
				if one.served {
					require.NotNil(t, result.Response)
				} else {
					require.Equal(t, outOfTouch, result.Reason)
				}
			}
			if !one.served {
				require.Empty(t, client.ids)
			}
			require.Positive(t, gateway.watcher.failedQueries.Load())
		})
	}
}

// TestWatchAnswerFromBeforeIsDropped: what a watch brings that began before a question's answer
// does not undo it.
func TestWatchAnswerFromBeforeIsDropped(t *testing.T) {
	d := newStandingDirectory(t, routing.Repeatable, leaving("a"))
	w := newTestWatcher(t, d.address)
	d.tellAll(w)
	before, late := w.Catalog(), d.machine.DeltaSince(w.Catalog().Revision)
	d.drain(leaving("a"))
	require.NoError(t, w.renew(t.Context()))
	renewed := w.Catalog()
	require.False(t, w.apply(before, late))
	require.Same(t, renewed, w.Catalog())
	known, _ := renewed.Backend("a")
	require.True(t, known.Draining)
}

// countedRuns is an engine client that notes on which engines runs have begun.
type countedRuns struct{ began chan string }

func (c countedRuns) Run(_ context.Context, request runner.Request, _ func(runner.Event)) scheduler.RunEnd {
	c.began <- request.Backend.ID
	return scheduler.Rejected
}

// standingTenure returns a leadership with a step to run and an open link to a runner, whose watch
// stands still after it has told all.
func standingTenure(t *testing.T, d *standingDirectory, runs countedRuns, seeds ...string) *leadership {
	logger := zerolog.Nop()
	w := newTestWatcher(t, seeds...)
	w.age.limit = testCopyLimit
	d.tellAll(w)
	held := httptest.NewServer(runner.NewServer(runs, &logger))
	ctx, stop := context.WithCancel(context.Background())
	executor := &Executor{watcher: w, guard: newGuard(w), metrics: newLedgerMetrics(), logger: &logger}
	tenured := &leadership{
		Executor: executor, context: ctx, loop: eventloop.New(), scheduler: scheduler.New(), catalog: w.Catalog(),
		runners: runner.NewPool(ctx, 1, func([]*runner.OrphanedRun) {}, &logger),
		cancels: map[*scheduler.Task]context.CancelFunc{}, progress: map[*scheduler.Task]*runProgress{},
		checkpointed: map[*scheduler.Task]uint64{}, workingSets: map[string]*scheduler.WorkingSet{},
	}
	t.Cleanup(func() {
		stop()
		held.CloseClientConnections()
		held.Close()
	})
	tenured.runners.SetStores([]runner.Store{{Name: "store", Address: strings.TrimPrefix(held.URL, "http://")}})
	require.Eventually(t, tenured.runners.Ready, eventuallyTimeout, eventuallyInterval)
	tenured.scheduler.SyncEngines(nowMillis(), []directory.Backend{leaving("a")}, map[string]uint64{"m": 1})
	tenured.scheduler.AddStep(&ledger.Entry{Step: &ledger.Step{
		ID: "step", Host: "h", Model: "m", OldestVersion: 1, Wanted: 1, Attempts: 1,
		DueAt: nowMillis() + time.Hour.Milliseconds(), GiveUpAt: nowMillis() + 2*time.Hour.Milliseconds(),
		Samples: []ledger.Sample{{ID: "x", Path: "/"}},
	}})
	return tenured
}

// flush has the leadership look for what may begin, with a state that is fresh but for its copy.
func flushed(t *testing.T, tenured *leadership) {
	tenured.freshness.confirmedAt.Store(nowMillis())
	tenured.loadsCheckedAt = time.Now()
	require.NoError(t, tenured.flush())
}

// TestRunnerBeginsNothingByAnOldCopy: a leader whose watch stands still has no run begin on an engine
// whose leaving was acknowledged longer ago than the limit.
func TestRunnerBeginsNothingByAnOldCopy(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	d := newStandingDirectory(t, routing.Rollout, leaving("a"))
	runs := countedRuns{began: make(chan string, 1)}
	tenured := standingTenure(t, d, runs, d.address)
	d.drain(leaving("a"))
	source.Suspend(testCopyLimit)
	flushed(t, tenured)
	require.NotNil(t, tenured.awaited)
	<-tenured.awaited.done
	flushed(t, tenured)
	require.Empty(t, tenured.cancels, "what the answer has brought is taken in first")
	known, _ := tenured.watcher.Catalog().Backend("a")
	require.True(t, known.Draining)
	require.Empty(t, runs.began)
}

// TestRunnerBeginsByAFreshCopy: a leader has runs begin while its copy is fresh, and after a question
// that has brought nothing new.
func TestRunnerBeginsByAFreshCopy(t *testing.T) {
	for name, suspended := range map[string]time.Duration{"fresh": 0, "asked for": testCopyLimit} {
		t.Run(name, func(t *testing.T) {
			source := &clock.Suspendable{}
			defer clock.Use(source)()
			d := newStandingDirectory(t, routing.Rollout, leaving("a"))
			runs := countedRuns{began: make(chan string, 1)}
			tenured := standingTenure(t, d, runs, d.address)
			source.Suspend(suspended)
			require.Eventually(t, func() bool {
				flushed(t, tenured)
				return len(tenured.cancels) == 1
			}, eventuallyTimeout, eventuallyInterval)
			if suspended == 0 {
				// A runner that woke as well takes in no start from before.
				require.Equal(t, "a", <-runs.began)
			}
		})
	}
}

// TestCutOffLeaderGoesOn: a leader that reaches no replica of the directory has runs begin by the
// newest copy that it has.
func TestCutOffLeaderGoesOn(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	d := newStandingDirectory(t, routing.Rollout, leaving("a"))
	dark, _ := startUnresponsiveReplica(t)
	runs := countedRuns{began: make(chan string, 1)}
	tenured := standingTenure(t, d, runs, dark)
	source.Suspend(testCopyLimit)
	require.Eventually(t, func() bool {
		flushed(t, tenured)
		return len(tenured.cancels) == 1
	}, eventuallyTimeout, eventuallyInterval)
	require.Positive(t, tenured.watcher.failedQueries.Load())
}

// TestAnyReplicaTellsWhatACopyMisses: a question reaches the directory's leader through whichever
// replica is known, and brings what has changed.
func TestAnyReplicaTellsWhatACopyMisses(t *testing.T) {
	replicas := startFleetDirectory(t)
	backend := leaving("a")
	registered := func() bool {
		_, err := replicas[0].Heartbeat(t.Context(), Heartbeat{Backend: backend, Sequence: 1})
		return err == nil
	}
	require.Eventually(t, registered, eventuallyTimeout, eventuallyInterval)
	var watchers []*Watcher
	holds := func(w *Watcher, draining bool) func() bool {
		return func() bool {
			known, ok := w.Catalog().Backend("a")
			return w.renew(t.Context()) == nil && ok && known.Draining == draining
		}
	}
	for _, replica := range replicas {
		w := newTestWatcher(t, replica.settings.InternalAddress)
		watchers = append(watchers, w)
		require.Eventually(t, holds(w, false), eventuallyTimeout, eventuallyInterval)
	}
	backend.Draining = true
	drained := func() bool {
		_, err := replicas[0].Heartbeat(t.Context(), Heartbeat{Backend: backend, Sequence: 2})
		return err == nil
	}
	require.Eventually(t, drained, eventuallyTimeout, eventuallyInterval)
	for _, w := range watchers {
		require.Eventually(t, func() bool { return w.renew(t.Context()) == nil }, eventuallyTimeout, eventuallyInterval)
		known, _ := w.Catalog().Backend("a")
		require.True(t, known.Draining, "one answer brings it")
	}
}

func BenchmarkAwaitFreshCopy(b *testing.B) {
	var w Watcher
	w.catalog.Store(directory.NewCatalog())
	w.age.limit = time.Hour
	w.age.noteProven(nowMillis())
	for b.Loop() {
		w.awaitCurrent(b.Context(), questionTimeout)
	}
}

// TestAnswersOfWatchesProve: where changes come without a pause, a watch has no lines that prove
// anything. A replica that is known to hold everything says so with its answers, at once or after
// a line, and the copy does not grow old.
func TestAnswersOfWatchesProve(t *testing.T) {
	for _, held := range []bool{false, true} {
		for _, proved := range []bool{false, true} {
			t.Run(fmt.Sprintf("held %v, proved %v", held, proved), func(t *testing.T) {
				served := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
					answer := &watchAnswer{response: response, members: "m", isFresh: func() bool { return proved }}
					if held {
						answer.sendKeepalive()
					}
					answer.send(directory.Delta{Revision: 8, Version: 3})
				}))
				t.Cleanup(served.Close)
				w := newTestWatcher(t)
				w.apply(w.Catalog(), directory.Delta{Revision: 7, Full: true, Version: 3})
				before := nowMillis()
				require.NoError(t, w.poll(t.Context(), strings.TrimPrefix(served.URL, "http://"), time.Hour))
				require.Equal(t, uint64(8), w.Catalog().Revision)
				if !proved {
					require.Zero(t, w.age.provenAt.Load())
					return
				}
				require.GreaterOrEqual(t, w.age.provenAt.Load(), before-lineProof.Milliseconds())
				require.LessOrEqual(t, w.age.provenAt.Load(), nowMillis()-lineProof.Milliseconds())
			})
		}
	}
}

// TestLeaderOfAnEarlierBuildProvesTheCopy: such a leader answers a question with the confirmed
// revision alone. A copy that has reached it holds everything; of one that has not, nothing is known.
func TestLeaderOfAnEarlierBuildProvesTheCopy(t *testing.T) {
	for newer, want := range map[uint64]copyState{0: copyFresh, 1: copyOutOfTouch} {
		served := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
			writeCBOR(response, directoryAnswer{Revision: 7 + newer})
		}))
		t.Cleanup(served.Close)
		w := newTestWatcher(t, strings.TrimPrefix(served.URL, "http://"))
		w.age.limit = testCopyLimit
		w.apply(w.Catalog(), directory.Delta{Revision: 7, Full: true, Version: 3})
		require.Equal(t, want, w.awaitCurrent(t.Context(), time.Hour))
		require.Equal(t, uint64(7), w.Catalog().Revision)
		require.Equal(t, uint64(3), w.Catalog().Version)
	}
}
