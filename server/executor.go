package server

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/scheduler"
)

// RunRequest is a sample to be run, or continued after an event, on an engine.
type RunRequest struct {
	Backend directory.Backend
	Host    string
	Sample  *ledger.Sample
	// After is the ID of the last event that is kept; 0 begins anew.
	After uint64
}

// RunEvent is one whole event of an engine's stream.
type RunEvent struct {
	ID   uint64
	Data string
	// Version of the weights that made it.
	Version uint64
}

// EngineReport is what an engine says it holds, as of some time ago.
type EngineReport struct {
	// Sequence counts the orders that the engine has taken.
	Sequence uint64
	Busy     bool
	Models   []directory.ModelVersion
}

// LoadAnswer is an engine's answer to an order.
type LoadAnswer uint8

// The answers.
const (
	// LoadStarted: the engine loads.
	LoadStarted LoadAnswer = iota + 1
	// LoadHeld: the engine holds the version.
	LoadHeld
	// LoadConflict: another order is under way, or the sequence was another.
	LoadConflict
	// LoadRefused: the engine does not take the order.
	LoadRefused
	// LoadUnanswered: the engine may carry the order out, now or later.
	LoadUnanswered
)

// LoadRequest orders an engine to load a version.
type LoadRequest struct {
	Order scheduler.Order
	// Holder and Fence name who orders; a higher fence voids lower ones.
	Holder string
	Fence  uint64
	// Sequence is the number of orders that the engine must have taken before.
	Sequence uint64
}

// EngineClient speaks to engines.
type EngineClient interface {
	// Run streams the sample's events to the function until the run ends.
	Run(ctx context.Context, request RunRequest, each func(RunEvent)) scheduler.RunEnd
	Load(ctx context.Context, request LoadRequest) LoadAnswer
	Report(ctx context.Context, backend directory.Backend) (EngineReport, error)
}

const (
	executorTick = 100 * time.Millisecond
	// stallTimeout ends a run whose engine sends nothing, and loadStall that
	// of a run whose engine loads weights meanwhile.
	stallTimeout = 1200 * time.Millisecond
	loadStall    = 5 * time.Second
	// orderMargin is added to the lease: an order is sent up to orderDelay after
	// it was recorded, and clocks differ.
	orderMargin = 800 * time.Millisecond
	orderDelay  = 400 * time.Millisecond
	// rewardBackoff is the pause before a reward call is repeated.
	rewardBackoff = 100 * time.Millisecond
	recordTimeout = 2 * time.Second
	recordPause   = 100 * time.Millisecond
	pruneInterval = 10 * time.Second
)

// Executor runs samples while its process leads the group.
type Executor struct {
	settings  config.Ledger
	watcher   *Watcher
	engines   EngineClient
	forwarder *forward.Forwarder
	logger    *zerolog.Logger
}

func newExecutor(settings config.Ledger, watcher *Watcher, engines EngineClient, forwarder *forward.Forwarder, logger *zerolog.Logger) *Executor {
	return &Executor{settings: settings, watcher: watcher, engines: engines, forwarder: forwarder, logger: logger}
}

// run begins a leadership whenever the replica serves, and ends it when it does not.
func (x *Executor) run(ctx context.Context, opened *replica.Replica, machine *ledger.Machine) {
	for ctx.Err() == nil {
		changed := opened.Changed()
		status := opened.Status()
		if status.Serving {
			x.lead(ctx, opened, machine, status.Term)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// lead runs samples until the replica leads no more.
func (x *Executor) lead(ctx context.Context, opened *replica.Replica, machine *ledger.Machine, term uint64) {
	leadership, stop := context.WithCancel(ctx)
	defer stop()
	t := &tenure{
		Executor: x, context: leadership, replica: opened, machine: machine, term: term,
		loop: eventloop.New(), scheduler: scheduler.New(),
		cancels: map[*scheduler.Task]context.CancelFunc{}, progress: map[*scheduler.Task]*atomic.Int64{},
	}
	t.deferOrders()
	go t.follow(stop)
	t.loop.Run(leadership, executorTick, t.tick, t.flush)
}

// tenure is one leadership. Its fields belong to its loop.
type tenure struct {
	*Executor
	context   context.Context
	replica   *replica.Replica
	machine   *ledger.Machine
	term      uint64
	loop      *eventloop.Loop
	scheduler *scheduler.Scheduler

	catalog    *directory.Catalog
	generation uint64
	cancels    map[*scheduler.Task]context.CancelFunc
	// progress counts the events of each run under way.
	progress  map[*scheduler.Task]*atomic.Int64
	results   []pendingResult
	recording bool
	// recordAfter is when results that could not be recorded are tried again.
	recordAfter time.Time
	prunedAt    time.Time
}

type pendingResult struct {
	task   *scheduler.Task
	result ledger.Result
}

// deferOrders leaves engines alone that an earlier leader has given orders to,
// until its lease has ended.
func (t *tenure) deferOrders() {
	wait := (t.settings.OrderLease + orderMargin).Milliseconds()
	t.replica.Do(func() {
		for id, order := range t.machine.Orders() {
			if order.Holder != t.settings.Name {
				t.scheduler.DeferOrders(id, order.At+wait)
			}
		}
	})
}

// follow wakes the loop when the ledger or the directory has changed.
func (t *tenure) follow(stop context.CancelFunc) {
	for {
		ledgerChanged, directoryChanged := t.replica.Changed(), t.watcher.Changed()
		status := t.replica.Status()
		if !status.Serving || status.Term != t.term {
			stop()
			return
		}
		t.loop.Call(t.syncState)
		select {
		case <-t.context.Done():
			return
		case <-ledgerChanged:
		case <-directoryChanged:
		}
	}
}

func nowMillis() int64 { return time.Now().UnixMilli() }

func (t *tenure) tick() {
	for _, task := range t.scheduler.Overdue(nowMillis()) {
		t.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.Dead}, "overdue")
	}
	t.moveSlow()
	if time.Since(t.prunedAt) > pruneInterval {
		t.prunedAt = time.Now()
		t.prune()
	}
}

// moveSlow ends runs on engines that are much slower than others.
func (t *tenure) moveSlow() {
	if t.catalog == nil {
		return
	}
	now := nowMillis()
	for task, events := range t.progress {
		t.scheduler.Observe(now, task, int(events.Load()))
	}
	t.scheduler.UpdatePaces()
	for _, task := range t.scheduler.Move(now, t.servicesOf) {
		event.SampleMoved.On(t.logger).Str("sample", task.Sample.ID).Str("engine", task.Engine).Send()
		t.cancel(task)
	}
}

// prune forgets steps that have ended and whose time is over.
func (t *tenure) prune() {
	oldest := nowMillis() - t.settings.Retention.Milliseconds()
	var steps []string
	t.replica.Do(func() {
		for _, entry := range t.machine.Steps() {
			if entry.Ended && entry.Step.SubmittedAt < oldest {
				steps = append(steps, entry.Step.ID)
			}
		}
	})
	if len(steps) > 0 {
		go t.replica.Execute(t.context, ledger.Command{Prune: &ledger.Prune{Steps: steps}}.Encode())
	}
}

// syncState takes in what has changed in the directory and the ledger.
func (t *tenure) syncState() {
	if catalog := t.watcher.Catalog(); catalog != t.catalog {
		t.catalog = catalog
		t.forwarder.Forget(catalog)
		for _, task := range t.scheduler.SyncEngines(nowMillis(), engineBackends(catalog), catalog.Models) {
			t.cancel(task)
			t.scheduler.Requeue(task)
		}
	}
	var open []*ledger.Entry
	var whole []*scheduler.Task
	unchanged := false
	t.replica.Do(func() {
		unchanged = t.machine.Generation == t.generation
		t.generation = t.machine.Generation
		if unchanged {
			return
		}
		for _, entry := range t.machine.Steps() {
			if !entry.Ended {
				whole = append(whole, t.scheduler.AddStep(entry)...)
				open = append(open, entry)
			}
		}
	})
	if !unchanged {
		t.endClosed(open)
	}
	for _, task := range whole {
		event.SampleKept.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Uint("events", task.Text.Last).Send()
		t.score(task)
	}
}

func engineBackends(catalog *directory.Catalog) []directory.Backend {
	var backends []directory.Backend
	for name, service := range catalog.Services {
		if len(service.Models) > 0 {
			backends = append(backends, catalog.Backends(name)...)
		}
	}
	return backends
}

// endClosed stops the tasks of steps that are not open any more.
func (t *tenure) endClosed(open []*ledger.Entry) {
	isOpen := make(map[string]bool, len(open))
	for _, entry := range open {
		isOpen[entry.Step.ID] = true
	}
	for _, id := range t.scheduler.Steps() {
		if isOpen[id] {
			continue
		}
		for _, task := range t.scheduler.EndStep(id) {
			t.cancel(task)
		}
	}
}

func (t *tenure) cancel(task *scheduler.Task) {
	if cancel := t.cancels[task]; cancel != nil {
		cancel()
		delete(t.cancels, task)
	}
}

// flush starts what can be started.
func (t *tenure) flush() error {
	if t.catalog == nil {
		return nil
	}
	now := nowMillis()
	for _, order := range t.scheduler.Orders(now) {
		go t.load(order)
	}
	for _, assignment := range t.scheduler.Assign(now, t.servicesOf) {
		t.start(assignment)
	}
	t.record()
	return nil
}

func (t *tenure) servicesOf(task *scheduler.Task) ([]string, bool) {
	path, _, _ := strings.Cut(task.Sample.Path, "?")
	route, ok := t.catalog.Table.Match(task.Step.Host, path)
	if !ok {
		return nil, false
	}
	services := make([]string, 0, len(route.Shares))
	for _, share := range route.Shares {
		if share.Weight > 0 {
			services = append(services, share.Service)
		}
	}
	return services, true
}

// start runs a task on its engine.
func (t *tenure) start(assignment scheduler.Assignment) {
	task := assignment.Task
	runContext, cancel := context.WithCancel(t.context)
	t.cancels[task] = cancel
	event.SampleStarted.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).
		Str("engine", assignment.Backend.ID).Uint("attempt", uint64(task.Attempts)).Uint("after", task.Text.Last).Send()
	request := RunRequest{Backend: assignment.Backend, Host: task.Step.Host, Sample: task.Sample, After: task.Text.Last}
	text := scheduler.Text{
		// The full slice expression forces a copy: an earlier run may still append.
		Events: task.Text.Events[:len(task.Text.Events):len(task.Text.Events)], Last: task.Text.Last, Versions: append([]uint64(nil), task.Text.Versions...),
	}
	events := &atomic.Int64{}
	t.progress[task] = events
	stall := stallTimeout
	if t.scheduler.Loading(assignment.Backend.ID, task.Step.Model) {
		stall = loadStall
	}
	go func() {
		defer cancel()
		end, version := t.runTask(runContext, cancel, request, &text, events, stall)
		t.loop.Call(func() { t.runEnded(task, assignment, end, text, version) })
	}()
}

// runTask reads a run's stream. It gives up a stream that stands still.
func (t *tenure) runTask(ctx context.Context, cancel context.CancelFunc, request RunRequest, text *scheduler.Text, events *atomic.Int64, stall time.Duration) (scheduler.RunEnd, uint64) {
	timer := time.AfterFunc(stall, cancel)
	defer timer.Stop()
	version, gap := uint64(0), false
	end := t.engines.Run(ctx, request, func(event RunEvent) {
		timer.Reset(stall)
		events.Add(1)
		version = max(version, event.Version)
		if gap = gap || event.ID != text.Last+1; gap {
			cancel()
			return
		}
		text.Events = append(text.Events, event.Data)
		text.Last = event.ID
		text.AddVersion(event.Version)
	})
	if end == scheduler.Complete && (gap || text.Last == 0) {
		end = scheduler.Broken
	}
	return end, version
}

func (t *tenure) runEnded(task *scheduler.Task, assignment scheduler.Assignment, end scheduler.RunEnd, text scheduler.Text, version uint64) {
	if task.Run == assignment.Run {
		delete(t.progress, task)
	}
	if task.State == scheduler.Finished && task.Run == assignment.Run {
		text.Whole = end == scheduler.Complete
		t.scheduler.Keep(task, text)
		return
	}
	if task.State != scheduler.Running || task.Run != assignment.Run {
		return
	}
	delete(t.cancels, task)
	if version > 0 {
		t.scheduler.NoteVersion(assignment.Backend.ID, task.Step.Model, version)
	}
	task.Text = text
	t.scheduler.RunEnded(nowMillis(), task, assignment.Run, end)
	event.SampleRunEnded.On(t.logger).Str("sample", task.Sample.ID).Str("engine", assignment.Backend.ID).
		Uint("end", uint64(end)).Uint("events", text.Last).Uint("state", uint64(task.State)).Send()
	switch {
	case end == scheduler.Impossible:
		t.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.Dead}, "impossible")
	case end == scheduler.Failed && task.Failures >= max(task.Step.Attempts, 1):
		t.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.Dead}, "failed")
	case task.State == scheduler.Scoring:
		t.score(task)
	}
}

func (t *tenure) finish(task *scheduler.Task, result ledger.Result, why string) {
	t.cancel(task)
	t.scheduler.Finish(task)
	t.results = append(t.results, pendingResult{task: task, result: result})
	if result.State == ledger.Dead {
		event.SampleDead.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Str("reason", why).Send()
	}
}

// score has a whole text scored, and lists it then.
func (t *tenure) score(task *scheduler.Task) {
	if task.Sample.Reward == nil {
		t.finish(task, wholeResult(task, ""), "")
		return
	}
	scoreContext, cancel := context.WithCancel(t.context)
	t.cancels[task] = cancel
	go func() {
		defer cancel()
		score, failed := t.callReward(scoreContext, task)
		t.loop.Call(func() { t.scored(task, score, failed) })
	}()
}

func (t *tenure) scored(task *scheduler.Task, score string, failed bool) {
	if task.State != scheduler.Scoring {
		return
	}
	delete(t.cancels, task)
	if failed {
		t.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.Dead}, "no score")
		return
	}
	t.finish(task, wholeResult(task, score), "")
}

func wholeResult(task *scheduler.Task, score string) ledger.Result {
	return ledger.Result{
		Sample: task.Sample.ID, State: ledger.Succeeded, Text: strings.Join(task.Text.Events, "\n"),
		Versions: task.Text.Versions, Score: score,
	}
}

// callReward repeats the reward call until it is answered with a success, or
// has failed as often as its route allows. It tells whether it has failed.
func (t *tenure) callReward(ctx context.Context, task *scheduler.Task) (score string, failed bool) {
	reward := task.Sample.Reward
	failures := 0
	for ctx.Err() == nil {
		catalog := t.watcher.Catalog()
		path, _, _ := strings.Cut(reward.Path, "?")
		route, ok := catalog.Table.Match(reward.Host, path)
		if ok {
			result := t.sendReward(ctx, catalog, route, reward)
			if result.Response != nil && result.Response.Status/100 == 2 {
				return result.Response.Signature, false
			}
			failures += result.Failures
			if failures >= max(route.Attempts, 1) {
				return "", true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(rewardBackoff):
		}
	}
	return "", true
}

func (t *tenure) sendReward(ctx context.Context, catalog *directory.Catalog, route routing.Route, reward *ledger.Reward) forward.Result {
	timeout := time.Duration(route.TimeoutMillis) * time.Millisecond
	return t.forwarder.Do(ctx, catalog, route, &forward.Request{
		ID: reward.ID, Method: http.MethodPost, Host: reward.Host, Target: reward.Path,
		Header: http.Header{}, Body: reward.Body, Deadline: time.Now().Add(timeout),
	})
}

// record commits the results that have gathered; one commit is under way at a time.
func (t *tenure) record() {
	if t.recording || len(t.results) == 0 || time.Now().Before(t.recordAfter) {
		return
	}
	pending := t.results
	t.results, t.recording = nil, true
	go func() {
		failed := t.commit(pending)
		t.loop.Call(func() {
			t.recording = false
			t.results = append(failed, t.results...)
			if len(failed) > 0 {
				t.recordAfter = time.Now().Add(recordPause)
			}
		})
	}()
}

// commit records results step by step and returns those that must be recorded again.
func (t *tenure) commit(pending []pendingResult) []pendingResult {
	var order []string
	byStep := map[string][]pendingResult{}
	for _, one := range pending {
		step := one.task.Step.ID
		if byStep[step] == nil {
			order = append(order, step)
		}
		byStep[step] = append(byStep[step], one)
	}
	var failed []pendingResult
	for _, step := range order {
		record := &ledger.Record{Step: step}
		for _, one := range byStep[step] {
			record.Results = append(record.Results, one.result)
		}
		limited, cancel := context.WithTimeout(t.context, recordTimeout)
		_, err := t.replica.Execute(limited, ledger.Command{Record: record}.Encode())
		cancel()
		line := event.ResultsRecorded.On(t.logger).Str("step", step).Uint("results", uint64(len(record.Results)))
		if err != nil {
			line.Err(err)
			failed = append(failed, byStep[step]...)
		}
		line.Send()
	}
	return failed
}
