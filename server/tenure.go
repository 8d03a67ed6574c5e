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

// leadership is the state of one term as leader. Its fields are used only in its event loop.
type leadership struct {
	*Executor
	context   context.Context
	replica   *replica.Replica
	machine   *ledger.Machine
	term      uint64
	loop      *eventloop.Loop
	scheduler *scheduler.Scheduler
	// runners holds the links to the stores that run samples.
	runners *runner.Pool

	catalog    *directory.Catalog
	generation uint64
	// workingSets selects the engines to use, by service. selectedEngines were selected for
	// selectedForSamples concurrent samples. usedBefore holds the names of engines that an earlier leader
	// used.
	workingSets        map[string]*scheduler.WorkingSet
	selectedEngines    []directory.Backend
	selectedForSamples int
	usedBefore         map[string]bool
	cancels            map[*scheduler.Task]context.CancelFunc
	// quarantined holds the samples already logged as quarantined, requestingTrial those with an open
	// request for a trial.
	quarantined, requestingTrial map[quarantine.Fingerprint]bool
	// progress holds the output of each active run.
	progress map[*scheduler.Task]*runProgress
	// checkpointed holds the number of events of each task's text that the ledger has stored.
	checkpointed  map[*scheduler.Task]uint64
	checkpointing bool
	results       []pendingResult
	recording     bool
	// recordAfter is the earliest time of the next commit of results.
	recordAfter time.Time
	prunedAt    time.Time
	// freshness reports whether the state is too old to start runs.
	freshness freshness
	// awaited is the pending question to the directory that wakes the loop when it ends, or nil.
	awaited *copyRefresh
	// loadsCheckedAt is the time of the last check for loads. The zero time causes a check at the next
	// flush.
	loadsCheckedAt       time.Time
	speculationCheckedAt time.Time
	// knownSteps holds the open steps that the scheduler has received.
	knownSteps map[string]bool
	// rewardLimiter limits concurrent reward calls.
	rewardLimiter *rewardLimiter
	// turns serializes reward calls of suspected kinds.
	turns *kindLocks
	// recordedPaces are the paces stored in the ledger.
	recordedPaces  map[string]float64
	pacesCheckedAt time.Time
	// planLoggedAt is when deferred groups were last logged, demandReportedAt when the demand was last
	// reported to the directory.
	planLoggedAt, demandReportedAt time.Time
}

// deferLoads postpones loads on engines that another leader has sent orders to until its lease has ended.
func (t *leadership) deferLoads() {
	wait := (t.settings.OrderLease + duty.LeaseMargin).Milliseconds()
	t.replica.Do(func() { t.orders.Observe(nowMillis(), t.machine.Orders()) })
	for id, observedAt := range t.orders.ObservedFromOthers(t.settings.Name) {
		t.scheduler.DeferLoads(id, observedAt+wait)
	}
}

// restoreHistory passes the ended steps and the engines' paces from the ledger to the scheduler.
func (t *leadership) restoreHistory() {
	t.replica.Do(func() {
		t.scheduler.RestorePaces(t.machine.Paces())
		t.usedBefore = recentlyOrdered(t.machine.Orders())
		for _, entry := range t.machine.Steps() {
			if entry.Ended {
				t.scheduler.RecordEndedStep(entry.Step)
			}
		}
	})
}

// watchChanges submits syncState whenever the ledger or the directory has changed. It stops the leadership
// when the replica no longer leads in this term.
func (t *leadership) watchChanges(stop context.CancelFunc) {
	for {
		ledgerChanged, directoryChanged := t.replica.Changed(), t.watcher.Changed()
		status := t.replica.Status()
		if !status.Serving || status.Term != t.term {
			stop()
			return
		}
		t.freshness.recordChange(nowMillis())
		t.loop.Submit(t.syncState)
		select {
		case <-t.context.Done():
			return
		case <-ledgerChanged:
		case <-directoryChanged:
		}
	}
}

func (t *leadership) tick() {
	for _, task := range t.scheduler.OverdueTasks(nowMillis()) {
		t.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.FailedPermanently}, "overdue")
	}
	t.moveSlowRuns()
	t.updateSpeculativeRuns()
	t.checkpoint()
	t.recordPaces()
	t.reportDemand()
	t.openRunners.Store(int64(t.runners.OpenLinks()))
	t.publishPlan()
	if time.Since(t.prunedAt) > pruneInterval {
		t.prunedAt = time.Now()
		t.pruneSteps()
	}
}

// pruneSteps removes ended steps that are older than the retention time.
func (t *leadership) pruneSteps() {
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

// syncState applies changes of the directory and the ledger.
func (t *leadership) syncState() {
	t.freshness.recordApplied()
	if catalog := t.watcher.Catalog(); catalog != t.catalog {
		isFirst := t.catalog == nil
		t.catalog = catalog
		t.forwarder.Forget(catalog)
		t.runners.SetStores(runnerStores(catalog, t.settings.Name))
		t.syncEngines()
		if isFirst {
			t.inspectEngines(t.selectedEngines)
		}
	}
	var open []*ledger.Entry
	var completed []*scheduler.Task
	unchanged := false
	t.replica.Do(func() {
		unchanged = t.machine.Generation == t.generation
		t.generation = t.machine.Generation
		if unchanged {
			return
		}
		for _, entry := range t.machine.Steps() {
			if !entry.Ended {
				completed = append(completed, t.scheduler.AddStep(entry)...)
				open = append(open, entry)
			}
		}
	})
	if !unchanged {
		t.endClosedSteps(open)
		t.logPromoted(open)
		if t.catalog != nil && t.scheduler.ConcurrentSamples() > t.selectedForSamples {
			t.syncEngines()
		}
	}
	for _, task := range completed {
		event.SampleTextReused.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Uint("events", task.Text.Last).Send()
		t.score(task)
	}
}

// logPromoted logs the speculative runs that became runs of newly opened steps.
func (t *leadership) logPromoted(open []*ledger.Entry) {
	for _, entry := range open {
		if t.knownSteps[entry.Step.ID] {
			continue
		}
		t.knownSteps[entry.Step.ID] = true
		for _, task := range t.scheduler.Promoted(entry.Step.ID) {
			event.RunAheadTakenOver.On(t.logger).Str("sample", task.Sample.ID).Str("step", entry.Step.ID).
				Str("engine", task.Engine).Uint("after", t.eventCount(task)).Send()
		}
	}
}

// syncEngines selects the engines for the open steps and passes them to the scheduler.
func (t *leadership) syncEngines() {
	t.selectedEngines, t.selectedForSamples = nil, t.scheduler.ConcurrentSamples()
	fleetSize := 0
	for name, service := range t.catalog.Services {
		if len(service.Models) == 0 {
			continue
		}
		backends := t.catalog.Backends(name)
		fleetSize += len(backends)
		t.selectedEngines = append(t.selectedEngines, t.workingSet(name).Choose(backends, t.selectedForSamples)...)
	}
	t.scheduler.SetFleetSize(fleetSize)
	for _, task := range t.scheduler.SyncEngines(nowMillis(), t.selectedEngines, t.catalog.Models) {
		// The task waits again once its run has ended and its text so far is known.
		t.cancel(task)
	}
}

// workingSet returns the service's working set, creating it if necessary.
func (t *leadership) workingSet(service string) *scheduler.WorkingSet {
	set := t.workingSets[service]
	if set == nil {
		set = scheduler.NewWorkingSet(t.usedBefore)
		t.workingSets[service] = set
	}
	return set
}

// endClosedSteps cancels the tasks of steps that are no longer open.
func (t *leadership) endClosedSteps(open []*ledger.Entry) {
	isOpen := make(map[string]bool, len(open))
	for _, entry := range open {
		isOpen[entry.Step.ID] = true
	}
	for _, id := range t.scheduler.StepIDs() {
		if isOpen[id] {
			continue
		}
		delete(t.knownSteps, id)
		for _, task := range t.scheduler.EndStep(id) {
			t.cancel(task)
			delete(t.checkpointed, task)
		}
	}
}

// flush records results, starts loads and starts the runs that are possible now.
func (t *leadership) flush() error {
	if t.catalog == nil {
		return nil
	}
	t.record()
	now := nowMillis()
	t.startLoads(now)
	if !t.runners.Ready() || t.freshness.isStale(now) || !t.copyIsCurrent(now) {
		return nil
	}
	for _, assignment := range t.scheduler.Assign(now, t.servicesOf) {
		t.startRun(assignment)
	}
	return nil
}

// loadCheckInterval is the minimum time between two checks for loads. A check iterates over all engines, so
// it must not run at every flush, but it must be short compared to a load.
const loadCheckInterval = 50 * time.Millisecond

// startLoads starts the loads that are needed, at most once per loadCheckInterval.
func (t *leadership) startLoads(now int64) {
	if time.Since(t.loadsCheckedAt) < loadCheckInterval {
		return
	}
	t.loadsCheckedAt = time.Now()
	for _, order := range t.scheduler.LoadOrders(now) {
		go t.runLoad(order)
	}
}

// servicesOf returns the services that may run the task's sample now.
func (t *leadership) servicesOf(task *scheduler.Task) ([]string, bool) {
	if t.isQuarantined(task) {
		return nil, false
	}
	services, ok := t.routedServices(task)
	return services, ok && !t.isPostponed(task, services)
}

// routedServices returns the services of the task's route, and whether a route exists.
func (t *leadership) routedServices(task *scheduler.Task) ([]string, bool) {
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
