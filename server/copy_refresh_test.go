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

// stalledDirectory is a directory whose watches send nothing, but which answers calls.
type stalledDirectory struct {
	address      string
	mutex        sync.Mutex
	machine      *directory.Machine
	refreshCalls atomic.Int64
	// releaseAnswers, if not nil, delays answers until it is closed.
	releaseAnswers chan struct{}
}

func newStalledDirectory(t *testing.T, kind routing.Kind, backends ...directory.Backend) *stalledDirectory {
	d := &stalledDirectory{machine: directory.NewMachine()}
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
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		var call directoryCall
		if request.URL.Path == directoryCallPath && readTestCall(response, request, &call) {
			d.answer(response, call)
			return
		}
		<-request.Context().Done()
	}))
	t.Cleanup(server.Close)
	d.address = strings.TrimPrefix(server.URL, "http://")
	return d
}

func (d *stalledDirectory) apply(command directory.Command) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.machine.Apply(command.Encode())
}

func (d *stalledDirectory) answer(response http.ResponseWriter, call directoryCall) {
	if call.Missed == nil {
		http.Error(response, "unsupported call", http.StatusServiceUnavailable)
		return
	}
	d.refreshCalls.Add(1)
	if d.releaseAnswers != nil {
		<-d.releaseAnswers
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	delta := d.machine.DeltaFor(directory.Watch{Since: call.Missed.Since, Scope: call.Missed.Scope, Held: call.Missed.Held})
	writeCBOR(response, directoryAnswer{Leader: d.address, Revision: delta.Revision, Missed: &delta})
}

// drain records that the backend is draining.
func (d *stalledDirectory) drain(backend directory.Backend) {
	backend.Draining = true
	d.apply(directory.Command{PutBackend: &backend})
}

// sync updates the watcher's copy, and confirms it as of now.
func (d *stalledDirectory) sync(w *Watcher) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	w.apply(w.Catalog(), d.machine.DeltaFor(directory.Watch{Scope: w.scope()}))
	w.age.recordConfirmed(nowMillis())
}

func testBackend(id string) directory.Backend {
	return directory.Backend{ID: id, Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", id[0]), Zone: "z", Slots: 1, Models: []directory.ModelVersion{{Model: "m", Version: 1}}}
}

// recordingClient records the backends that requests are sent to.
type recordingClient struct {
	mutex sync.Mutex
	ids   []string
	// onSend is called during each send with its number.
	onSend  func(number int)
	outcome forward.Outcome
}

func (c *recordingClient) Send(_ context.Context, backend directory.Backend, _ *forward.Request) forward.Attempt {
	c.mutex.Lock()
	c.ids = append(c.ids, backend.ID)
	number := len(c.ids)
	c.mutex.Unlock()
	if c.onSend != nil {
		c.onSend(number)
	}
	return forward.Attempt{Outcome: c.outcome, Response: forward.Response{Status: http.StatusOK}}
}

// newStalledGateway returns a gateway with a complete copy, whose watch has stalled since.
func newStalledGateway(t *testing.T, d *stalledDirectory, client forward.Client, seeds ...string) *Gateway {
	gateway := newTestGateway(clock.Now())
	w := newTestWatcher(t, seeds...)
	w.scope = func() directory.Scope { return directory.ScopeForwarded }
	w.age.limit = testCopyLimit
	gateway.watcher = w
	gateway.forwarder = forward.New(newFreshClient(client, w), "z", newGuard(w))
	d.sync(w)
	return gateway
}

// forwardRequest has the gateway match and forward a request.
func forwardRequest(t *testing.T, gateway *Gateway) forward.Result {
	route, catalog, err := gateway.Match(t.Context(), "h", "/")
	require.NoError(t, err)
	return gateway.Forward(t.Context(), catalog, route, &forward.Request{Method: http.MethodPost, Host: "h", Target: "/", Header: http.Header{}})
}

// TestGatewayRefreshesStaleCopyBeforeSending checks that a gateway with a stalled watch sends nothing to a
// backend that left before its copy became stale, while any replica answers.
func TestGatewayRefreshesStaleCopyBeforeSending(t *testing.T) {
	for name, kind := range map[string]routing.Kind{"repeatable": routing.Repeatable, "unrepeatable": routing.Unrepeatable} {
		t.Run(name, func(t *testing.T) {
			source := &clock.Suspendable{}
			defer clock.Use(source)()
			d := newStalledDirectory(t, kind, testBackend("a"), testBackend("b"))
			unresponsive, _ := startUnresponsiveReplica(t)
			client := &recordingClient{outcome: forward.Answered}
			gateway := newStalledGateway(t, d, client, unresponsive, d.address)
			d.drain(testBackend("a"))
			source.Suspend(testCopyLimit)
			for range 20 {
				require.NotNil(t, forwardRequest(t, gateway).Response)
			}
			require.NotContains(t, client.ids, "a")
			require.Equal(t, int64(1), d.refreshCalls.Load(), "a refresh is not repeated while the copy is fresh")
			d.drain(testBackend("b"))
			source.Suspend(testCopyLimit)
			require.Equal(t, forward.NoBackend, forwardRequest(t, gateway).Reason)
			require.Len(t, client.ids, 20)
		})
	}
}

// TestRetryUsesNewestCopy checks that a request is not retried on a backend that left after the request
// arrived.
func TestRetryUsesNewestCopy(t *testing.T) {
	d := newStalledDirectory(t, routing.Repeatable, testBackend("a"), testBackend("b"))
	client := &recordingClient{outcome: forward.Refused}
	gateway := newStalledGateway(t, d, client, d.address)
	client.onSend = func(int) {
		d.drain(testBackend("a"))
		d.drain(testBackend("b"))
		d.sync(gateway.watcher)
	}
	require.Nil(t, forwardRequest(t, gateway).Response)
	require.Len(t, client.ids, 1)
}

// TestFreshCopyIsNotRefreshed checks that requests start no refresh while the copy is fresh.
func TestFreshCopyIsNotRefreshed(t *testing.T) {
	d := newStalledDirectory(t, routing.Repeatable, testBackend("a"))
	client := &recordingClient{outcome: forward.Answered}
	gateway := newStalledGateway(t, d, client, d.address)
	gateway.watcher.age.limit = time.Hour
	for range 20 {
		require.NotNil(t, forwardRequest(t, gateway).Response)
	}
	require.Zero(t, d.refreshCalls.Load())
}

// TestConcurrentRequestsShareRefresh checks that concurrent requests wait for the same refresh.
func TestConcurrentRequestsShareRefresh(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	d := newStalledDirectory(t, routing.Repeatable, testBackend("a"))
	d.releaseAnswers = make(chan struct{})
	client := &recordingClient{outcome: forward.Answered}
	gateway := newStalledGateway(t, d, client, d.address)
	source.Suspend(testCopyLimit)
	first := gateway.watcher.startRefresh()
	var waiting sync.WaitGroup
	for range 20 {
		waiting.Go(func() { require.Same(t, first, gateway.watcher.startRefresh()) })
	}
	waiting.Wait()
	close(d.releaseAnswers)
	<-first.done
	require.Equal(t, int64(1), d.refreshCalls.Load())
}

// TestUnreachableDirectoryRefusesUnrepeatable checks that a gateway which reaches no replica serves
// repeatable requests from its stale copy and rejects others without running them.
func TestUnreachableDirectoryRefusesUnrepeatable(t *testing.T) {
	for name, test := range map[string]struct {
		kind   routing.Kind
		served bool
	}{"repeatable": {routing.Repeatable, true}, "unrepeatable": {routing.Unrepeatable, false}} {
		t.Run(name, func(t *testing.T) {
			source := &clock.Suspendable{}
			defer clock.Use(source)()
			d := newStalledDirectory(t, test.kind, testBackend("a"))
			unresponsive, _ := startUnresponsiveReplica(t)
			client := &recordingClient{outcome: forward.Answered}
			gateway := newStalledGateway(t, d, client, unresponsive)
			for range 3 {
				source.Suspend(testCopyLimit)
				result := forwardRequest(t, gateway)
				require.False(t, result.MayHaveRun && !test.served)
				<-gateway.watcher.startRefresh().done
				if test.served {
					require.NotNil(t, result.Response)
				} else {
					require.Equal(t, directoryUnreachable, result.Reason)
				}
			}
			if !test.served {
				require.Empty(t, client.ids)
			}
			require.Positive(t, gateway.watcher.failedRefreshes.Load())
		})
	}
}

// TestOutdatedWatchAnswerIsDropped checks that the answer to a watch does not overwrite a later refresh.
func TestOutdatedWatchAnswerIsDropped(t *testing.T) {
	d := newStalledDirectory(t, routing.Repeatable, testBackend("a"))
	w := newTestWatcher(t, d.address)
	d.sync(w)
	before, late := w.Catalog(), d.machine.DeltaSince(w.Catalog().Revision)
	d.drain(testBackend("a"))
	require.NoError(t, w.refreshCopy(t.Context()))
	refreshed := w.Catalog()
	require.False(t, w.apply(before, late))
	require.Same(t, refreshed, w.Catalog())
	known, _ := refreshed.Backend("a")
	require.True(t, known.Draining)
}

// recordingEngine sends the IDs of the backends on which runs start, and rejects the runs.
type recordingEngine struct{ started chan string }

func (e recordingEngine) Run(_ context.Context, request runner.Request, _ func(runner.Event)) scheduler.RunEnd {
	e.started <- request.Backend.ID
	return scheduler.Rejected
}

// newStalledLeader returns a leadership with a step to run, a connected runner and a complete copy, whose
// watch has stalled since.
func newStalledLeader(t *testing.T, d *stalledDirectory, engine recordingEngine, seeds ...string) *leadership {
	logger := zerolog.Nop()
	w := newTestWatcher(t, seeds...)
	w.age.limit = testCopyLimit
	d.sync(w)
	runnerServer := httptest.NewServer(runner.NewServer(engine, &logger))
	ctx, stop := context.WithCancel(context.Background())
	executor := &Executor{watcher: w, guard: newGuard(w), metrics: newLedgerMetrics(), logger: &logger}
	leader := &leadership{
		Executor: executor, context: ctx, loop: eventloop.New(), scheduler: scheduler.New(), catalog: w.Catalog(),
		runners: runner.NewPool(ctx, 1, func([]*runner.OrphanedRun) {}, &logger),
		cancels: map[*scheduler.Task]context.CancelFunc{}, progress: map[*scheduler.Task]*runProgress{},
		checkpointed: map[*scheduler.Task]uint64{}, workingSets: map[string]*scheduler.WorkingSet{},
	}
	t.Cleanup(func() {
		stop()
		runnerServer.CloseClientConnections()
		runnerServer.Close()
	})
	leader.runners.SetStores([]runner.Store{{Name: "store", Address: strings.TrimPrefix(runnerServer.URL, "http://")}})
	require.Eventually(t, leader.runners.Ready, waitTimeout, pollInterval)
	leader.scheduler.SyncEngines(nowMillis(), []directory.Backend{testBackend("a")}, map[string]uint64{"m": 1})
	leader.scheduler.AddStep(&ledger.Entry{Step: &ledger.Step{
		ID: "step", Host: "h", Model: "m", OldestVersion: 1, Wanted: 1, Attempts: 1,
		DueAt: nowMillis() + time.Hour.Milliseconds(), GiveUpAt: nowMillis() + 2*time.Hour.Milliseconds(),
		Samples: []ledger.Sample{{ID: "x", Path: "/"}},
	}})
	return leader
}

// flush has the leadership start runs, with a state that is fresh except for its copy.
func flush(t *testing.T, leader *leadership) {
	leader.freshness.confirmedAt.Store(nowMillis())
	leader.loadsCheckedAt = time.Now()
	require.NoError(t, leader.flush())
}

// TestStaleCopyStartsNoRuns checks that a leader with a stalled watch starts no run on an engine that left
// before its copy became stale.
func TestStaleCopyStartsNoRuns(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	d := newStalledDirectory(t, routing.Rollout, testBackend("a"))
	engine := recordingEngine{started: make(chan string, 1)}
	leader := newStalledLeader(t, d, engine, d.address)
	d.drain(testBackend("a"))
	source.Suspend(testCopyLimit)
	flush(t, leader)
	require.NotNil(t, leader.pendingRefresh)
	<-leader.pendingRefresh.done
	flush(t, leader)
	require.Empty(t, leader.cancels, "the refreshed copy is applied first")
	known, _ := leader.watcher.Catalog().Backend("a")
	require.True(t, known.Draining)
	require.Empty(t, engine.started)
}

// TestFreshCopyStartsRuns checks that a leader starts runs while its copy is fresh, and after a refresh
// without changes.
func TestFreshCopyStartsRuns(t *testing.T) {
	for name, suspended := range map[string]time.Duration{"fresh": 0, "refreshed": testCopyLimit} {
		t.Run(name, func(t *testing.T) {
			source := &clock.Suspendable{}
			defer clock.Use(source)()
			d := newStalledDirectory(t, routing.Rollout, testBackend("a"))
			engine := recordingEngine{started: make(chan string, 1)}
			leader := newStalledLeader(t, d, engine, d.address)
			source.Suspend(suspended)
			require.Eventually(t, func() bool {
				flush(t, leader)
				return len(leader.cancels) == 1
			}, waitTimeout, pollInterval)
			if suspended == 0 {
				// A runner that was suspended as well ignores starts from before.
				require.Equal(t, "a", <-engine.started)
			}
		})
	}
}

// TestUnreachableDirectoryStartsRuns checks that a leader which reaches no replica of the directory starts
// runs from its stale copy.
func TestUnreachableDirectoryStartsRuns(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	d := newStalledDirectory(t, routing.Rollout, testBackend("a"))
	unresponsive, _ := startUnresponsiveReplica(t)
	engine := recordingEngine{started: make(chan string, 1)}
	leader := newStalledLeader(t, d, engine, unresponsive)
	source.Suspend(testCopyLimit)
	require.Eventually(t, func() bool {
		flush(t, leader)
		return len(leader.cancels) == 1
	}, waitTimeout, pollInterval)
	require.Positive(t, leader.watcher.failedRefreshes.Load())
}

// TestRefreshThroughAnyReplica checks that a refresh through any replica returns what the directory's
// leader has acknowledged.
func TestRefreshThroughAnyReplica(t *testing.T) {
	replicas := startFleetDirectory(t)
	backend := testBackend("a")
	register := func() bool {
		_, err := replicas[0].Heartbeat(t.Context(), Heartbeat{Backend: backend, Sequence: 1})
		return err == nil
	}
	require.Eventually(t, register, waitTimeout, pollInterval)
	var watchers []*Watcher
	refreshes := func(w *Watcher, draining bool) func() bool {
		return func() bool {
			known, ok := w.Catalog().Backend("a")
			return w.refreshCopy(t.Context()) == nil && ok && known.Draining == draining
		}
	}
	for _, replica := range replicas {
		w := newTestWatcher(t, replica.settings.InternalAddress)
		watchers = append(watchers, w)
		require.Eventually(t, refreshes(w, false), waitTimeout, pollInterval)
	}
	backend.Draining = true
	drain := func() bool {
		_, err := replicas[0].Heartbeat(t.Context(), Heartbeat{Backend: backend, Sequence: 2})
		return err == nil
	}
	require.Eventually(t, drain, waitTimeout, pollInterval)
	for _, w := range watchers {
		require.Eventually(t, func() bool { return w.refreshCopy(t.Context()) == nil }, waitTimeout, pollInterval)
		known, _ := w.Catalog().Backend("a")
		require.True(t, known.Draining, "one refresh returns the change")
	}
}

func BenchmarkAwaitFreshCopy(b *testing.B) {
	var w Watcher
	w.catalog.Store(directory.NewCatalog())
	w.age.limit = time.Hour
	w.age.recordConfirmed(nowMillis())
	for b.Loop() {
		w.awaitFreshCopy(b.Context(), refreshTimeout)
	}
}

// TestWatchAnswersConfirmCopy checks that answers of a confirmed replica keep the copy fresh. While changes
// arrive without pause, watches have no keepalives that could do so.
func TestWatchAnswersConfirmCopy(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		for _, confirmed := range []bool{false, true} {
			t.Run(fmt.Sprintf("suspended %v, confirmed %v", suspended, confirmed), func(t *testing.T) {
				server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
					answer := &watchAnswer{response: response, members: "m", isFresh: func() bool { return confirmed }}
					if suspended {
						answer.sendKeepalive()
					}
					answer.send(directory.Delta{Revision: 8, Version: 3})
				}))
				t.Cleanup(server.Close)
				w := newTestWatcher(t)
				w.apply(w.Catalog(), directory.Delta{Revision: 7, Full: true, Version: 3})
				before := nowMillis()
				require.NoError(t, w.poll(t.Context(), strings.TrimPrefix(server.URL, "http://"), time.Hour))
				require.Equal(t, uint64(8), w.Catalog().Revision)
				if !confirmed {
					require.Zero(t, w.age.confirmedAt.Load())
					return
				}
				require.GreaterOrEqual(t, w.age.confirmedAt.Load(), before-maxKeepaliveAge.Milliseconds())
				require.LessOrEqual(t, w.age.confirmedAt.Load(), nowMillis()-maxKeepaliveAge.Milliseconds())
			})
		}
	}
}

// TestRefreshFromEarlierBuild checks that an answer with only the confirmed revision confirms a copy that has
// reached it, and no other.
func TestRefreshFromEarlierBuild(t *testing.T) {
	for newer, want := range map[uint64]copyState{0: copyFresh, 1: copyUnreachable} {
		server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
			writeCBOR(response, directoryAnswer{Revision: 7 + newer})
		}))
		t.Cleanup(server.Close)
		w := newTestWatcher(t, strings.TrimPrefix(server.URL, "http://"))
		w.age.limit = testCopyLimit
		w.apply(w.Catalog(), directory.Delta{Revision: 7, Full: true, Version: 3})
		require.Equal(t, want, w.awaitFreshCopy(t.Context(), time.Hour))
		require.Equal(t, uint64(7), w.Catalog().Revision)
		require.Equal(t, uint64(3), w.Catalog().Version)
	}
}
