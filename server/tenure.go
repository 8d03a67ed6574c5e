package server

import (
	"context"
	"strings"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

// tenure is one leadership. Its fields belong to its loop.
type tenure struct {
	*Executor
	context   context.Context
	replica   *replica.Replica
	machine   *ledger.Machine
	term      uint64
	loop      *eventloop.Loop
	scheduler *scheduler.Scheduler
	// runners are the stores that hold the streams of runs.
	runners *runner.Pool

	catalog    *directory.Catalog
	generation uint64
	// workingSets choose the engines that are used, by their services; they are engaged for
	// that many samples. Those of the names were used by an earlier leader.
	workingSets map[string]*scheduler.WorkingSet
	engaged     []directory.Backend
	engagedFor  int
	usedBefore  map[string]bool
	cancels     map[*scheduler.Task]context.CancelFunc
	// heldBack holds the samples that were said to be held back, and asking those whose trial
	// is being asked for.
	heldBack, asking map[quarantine.Fingerprint]bool
	// progress holds what each run under way has produced.
	progress map[*scheduler.Task]*runProgress
	// checkpointed holds the number of events of each task's text that the ledger keeps.
	checkpointed  map[*scheduler.Task]uint64
	checkpointing bool
	results       []pendingResult
	recording     bool
	// recordAfter is when results that could not be recorded are tried again.
	recordAfter time.Time
	prunedAt    time.Time
	// fresh tells whether the loop's state may be decided by.
	fresh freshness
	// awaited is the question about the directory whose end the loop looks at, or nil.
	awaited *copyRefresh
	// ordersAt is when loads were last looked for; the zero time has them looked for now.
	ordersAt time.Time
	// aheadAt is when runs ahead were last looked for.
	aheadAt time.Time
	// known holds the open steps that the scheduler has taken in.
	known map[string]bool
	// rewards bounds the reward calls under way.
	rewards *rewardLimit
	// turns lets reward calls of suspected kinds go one at a time.
	turns *kindLocks
	// recordedPaces are those that the ledger holds, and pacesAt is when they were
	// last looked at.
	recordedPaces map[string]float64
	pacesAt       time.Time
	// planLoggedAt is when the log was last told of a plan, and demandAt when the directory was of the
	// demand.
	planLoggedAt, demandAt time.Time
}

// deferOrders leaves engines alone that an earlier leader has given orders to,
// until its lease has ended.
func (t *tenure) deferOrders() {
	wait := (t.settings.OrderLease + duty.LeaseMargin).Milliseconds()
	t.replica.Do(func() { t.orders.Observe(nowMillis(), t.machine.Orders()) })
	for id, learnt := range t.orders.ObservedFromOthers(t.settings.Name) {
		t.scheduler.DeferLoads(id, learnt+wait)
	}
}

// loadHistory tells the scheduler of the steps that an earlier leader has seen end,
// and of the engines' paces that it has observed.
func (t *tenure) loadHistory() {
	t.replica.Do(func() {
		t.scheduler.RestorePaces(t.machine.Paces())
		t.usedBefore = orderedLately(t.machine.Orders())
		for _, entry := range t.machine.Steps() {
			if entry.Ended {
				t.scheduler.RecordEndedStep(entry.Step)
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
		t.fresh.noteChange(nowMillis())
		t.loop.Submit(t.syncState)
		select {
		case <-t.context.Done():
			return
		case <-ledgerChanged:
		case <-directoryChanged:
		}
	}
}

func (t *tenure) tick() {
	for _, task := range t.scheduler.OverdueTasks(nowMillis()) {
		t.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.FailedPermanently}, "overdue")
	}
	t.moveSlow()
	t.runAhead()
	t.checkpoint()
	t.recordPaces()
	t.tellDemand()
	t.runnersOpen.Store(int64(t.runners.OpenLinks()))
	t.notePlan()
	if time.Since(t.prunedAt) > pruneInterval {
		t.prunedAt = time.Now()
		t.prune()
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
	t.fresh.noteTaken()
	if catalog := t.watcher.Catalog(); catalog != t.catalog {
		first := t.catalog == nil
		t.catalog = catalog
		t.forwarder.Forget(catalog)
		t.runners.SetStores(runnersOf(catalog, t.settings.Name))
		t.syncEngines()
		if first {
			t.inspect(t.engaged)
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
		t.logTakenOver(open)
		if t.catalog != nil && t.scheduler.ConcurrentSamples() > t.engagedFor {
			t.syncEngines()
		}
	}
	for _, task := range whole {
		event.SampleTextReused.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Uint("events", task.Text.Last).Send()
		t.score(task)
	}
}

// logTakenOver says which runs ahead the newest of the open steps have taken over.
func (t *tenure) logTakenOver(open []*ledger.Entry) {
	for _, entry := range open {
		if t.known[entry.Step.ID] {
			continue
		}
		t.known[entry.Step.ID] = true
		for _, task := range t.scheduler.Promoted(entry.Step.ID) {
			event.RunAheadTakenOver.On(t.logger).Str("sample", task.Sample.ID).Str("step", entry.Step.ID).
				Str("engine", task.Engine).Uint("after", t.eventsOf(task)).Send()
		}
	}
}

// syncEngines has the scheduler use the engines that its steps need of those that there are.
func (t *tenure) syncEngines() {
	t.engaged, t.engagedFor = nil, t.scheduler.ConcurrentSamples()
	fleet := 0
	for name, service := range t.catalog.Services {
		if len(service.Models) == 0 {
			continue
		}
		backends := t.catalog.Backends(name)
		fleet += len(backends)
		t.engaged = append(t.engaged, t.workingSet(name).Choose(backends, t.engagedFor)...)
	}
	t.scheduler.SetFleetSize(fleet)
	for _, task := range t.scheduler.SyncEngines(nowMillis(), t.engaged, t.catalog.Models) {
		// It waits again once its run has told what there is of its text.
		t.cancel(task)
	}
}

// workingSet returns what chooses the service's engines.
func (t *tenure) workingSet(service string) *scheduler.WorkingSet {
	known := t.workingSets[service]
	if known == nil {
		known = scheduler.NewWorkingSet(t.usedBefore)
		t.workingSets[service] = known
	}
	return known
}

// endClosed stops the tasks of steps that are not open any more.
func (t *tenure) endClosed(open []*ledger.Entry) {
	isOpen := make(map[string]bool, len(open))
	for _, entry := range open {
		isOpen[entry.Step.ID] = true
	}
	for _, id := range t.scheduler.StepIDs() {
		if isOpen[id] {
			continue
		}
		delete(t.known, id)
		for _, task := range t.scheduler.EndStep(id) {
			t.cancel(task)
			delete(t.checkpointed, task)
		}
	}
}

// flush starts what can be started.
func (t *tenure) flush() error {
	if t.catalog == nil {
		return nil
	}
	t.record()
	now := nowMillis()
	t.giveOrders(now)
	if !t.runners.Ready() || t.fresh.isStale(now) || !t.copyIsCurrent(now) {
		return nil
	}
	for _, assignment := range t.scheduler.Assign(now, t.servicesOf) {
		t.start(assignment)
	}
	return nil
}

// ordersInterval is the least time between two looks for loads, which go through all engines:
// a small part of the time of a load, and many times that between two flushes of a leader with
// hundreds of runs.
const ordersInterval = 50 * time.Millisecond

// giveOrders has engines load what is needed. It looks at once after a load has ended.
func (t *tenure) giveOrders(now int64) {
	if time.Since(t.ordersAt) < ordersInterval {
		return
	}
	t.ordersAt = time.Now()
	for _, order := range t.scheduler.LoadOrders(now) {
		go t.load(order)
	}
}

// servicesOf tells the services that may run the task's sample now.
func (t *tenure) servicesOf(task *scheduler.Task) ([]string, bool) {
	if t.isQuarantined(task) {
		return nil, false
	}
	services, ok := t.routeOf(task)
	return services, ok && !t.isPostponed(task, services)
}

// routeOf returns the services that the task's route leads to, and whether there is a route.
func (t *tenure) routeOf(task *scheduler.Task) ([]string, bool) {
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
