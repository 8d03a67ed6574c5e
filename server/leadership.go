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
	// pendingRefresh is the refresh of the copy that wakes the loop when it ends, or nil.
	pendingRefresh *copyRefresh
	// loadsCheckedAt is the time of the last check for loads. The zero time causes a check at the next
	// flush.
	loadsCheckedAt       time.Time
	speculationCheckedAt time.Time
	// knownSteps holds the open steps that the scheduler has received.
	knownSteps map[string]bool
	// rewardLimiter limits concurrent reward calls.
	rewardLimiter *rewardLimiter
	// kindLocks serializes reward calls of suspected kinds.
	kindLocks *kindLocks
	// recordedPaces are the paces stored in the ledger.
	recordedPaces  map[string]float64
	pacesCheckedAt time.Time
	// planLoggedAt is when deferred groups were last logged, demandReportedAt when the demand was last
	// reported to the directory.
	planLoggedAt, demandReportedAt time.Time
}

// deferLoads postpones loads on engines to which another leader has sent orders until its lease has ended.
func (l *leadership) deferLoads() {
	wait := (l.settings.OrderLease + duty.LeaseMargin).Milliseconds()
	l.replica.Do(func() { l.orders.Observe(nowMillis(), l.machine.Orders()) })
	for id, observedAt := range l.orders.ObservedFromOthers(l.settings.Name) {
		l.scheduler.DeferLoads(id, observedAt+wait)
	}
}

// restoreHistory passes the ended steps and the engines' paces from the ledger to the scheduler.
func (l *leadership) restoreHistory() {
	l.replica.Do(func() {
		l.scheduler.RestorePaces(l.machine.Paces())
		l.usedBefore = recentlyOrdered(l.machine.Orders())
		for _, entry := range l.machine.Steps() {
			if entry.Ended {
				l.scheduler.RecordEndedStep(entry.Step)
			}
		}
	})
}

// watchChanges submits syncState whenever the ledger or the directory has changed. It stops the leadership
// when the replica no longer leads in this term.
func (l *leadership) watchChanges(stop context.CancelFunc) {
	for {
		ledgerChanged, directoryChanged := l.replica.Changed(), l.watcher.Changed()
		status := l.replica.Status()
		if !status.Serving || status.Term != l.term {
			stop()
			return
		}
		l.freshness.recordChange(nowMillis())
		l.loop.Submit(l.syncState)
		select {
		case <-l.context.Done():
			return
		case <-ledgerChanged:
		case <-directoryChanged:
		}
	}
}

func (l *leadership) tick() {
	for _, task := range l.scheduler.OverdueTasks(nowMillis()) {
		l.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.FailedPermanently}, "overdue")
	}
	l.moveSlowRuns()
	l.updateSpeculativeRuns()
	l.checkpoint()
	l.recordPaces()
	l.reportDemand()
	l.openRunners.Store(int64(l.runners.OpenLinks()))
	l.publishPlan()
	if time.Since(l.prunedAt) > pruneInterval {
		l.prunedAt = time.Now()
		l.pruneSteps()
	}
}

// pruneSteps removes ended steps that are older than the retention time.
func (l *leadership) pruneSteps() {
	oldest := nowMillis() - l.settings.Retention.Milliseconds()
	var steps []string
	l.replica.Do(func() {
		for _, entry := range l.machine.Steps() {
			if entry.Ended && entry.Step.SubmittedAt < oldest {
				steps = append(steps, entry.Step.ID)
			}
		}
	})
	if len(steps) > 0 {
		go l.replica.Execute(l.context, ledger.Command{Prune: &ledger.Prune{Steps: steps}}.Encode())
	}
}

// syncState applies changes of the directory and the ledger.
func (l *leadership) syncState() {
	l.freshness.recordApplied()
	if catalog := l.watcher.Catalog(); catalog != l.catalog {
		isFirst := l.catalog == nil
		l.catalog = catalog
		l.forwarder.Forget(catalog)
		l.runners.SetStores(runnerStores(catalog, l.settings.Name))
		l.syncEngines()
		if isFirst {
			l.inspectEngines(l.selectedEngines)
		}
	}
	var open []*ledger.Entry
	var completed []*scheduler.Task
	unchanged := false
	l.replica.Do(func() {
		unchanged = l.machine.Generation == l.generation
		l.generation = l.machine.Generation
		if unchanged {
			return
		}
		for _, entry := range l.machine.Steps() {
			if !entry.Ended {
				completed = append(completed, l.scheduler.AddStep(entry)...)
				open = append(open, entry)
			}
		}
	})
	if !unchanged {
		l.endClosedSteps(open)
		l.logPromoted(open)
		if l.catalog != nil && l.scheduler.ConcurrentSamples() > l.selectedForSamples {
			l.syncEngines()
		}
	}
	for _, task := range completed {
		event.SampleTextReused.On(l.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Uint("events", task.Text.Last).Send()
		l.score(task)
	}
}

// logPromoted logs the speculative runs that became runs of newly opened steps.
func (l *leadership) logPromoted(open []*ledger.Entry) {
	for _, entry := range open {
		if l.knownSteps[entry.Step.ID] {
			continue
		}
		l.knownSteps[entry.Step.ID] = true
		for _, task := range l.scheduler.Promoted(entry.Step.ID) {
			event.SpeculativeRunPromoted.On(l.logger).Str("sample", task.Sample.ID).Str("step", entry.Step.ID).
				Str("engine", task.Engine).Uint("after", l.eventCount(task)).Send()
		}
	}
}

// syncEngines selects the engines for the open steps and passes them to the scheduler.
func (l *leadership) syncEngines() {
	l.selectedEngines, l.selectedForSamples = nil, l.scheduler.ConcurrentSamples()
	fleetSize := 0
	for name, service := range l.catalog.Services {
		if len(service.Models) == 0 {
			continue
		}
		backends := l.catalog.Backends(name)
		fleetSize += len(backends)
		l.selectedEngines = append(l.selectedEngines, l.workingSet(name).Choose(backends, l.selectedForSamples)...)
	}
	l.scheduler.SetFleetSize(fleetSize)
	for _, task := range l.scheduler.SyncEngines(nowMillis(), l.selectedEngines, l.catalog.Models) {
		// The task is queued again when its run has ended, with the text produced until then.
		l.cancel(task)
	}
}

// workingSet returns the service's working set, creating it if necessary.
func (l *leadership) workingSet(service string) *scheduler.WorkingSet {
	set := l.workingSets[service]
	if set == nil {
		set = scheduler.NewWorkingSet(l.usedBefore)
		l.workingSets[service] = set
	}
	return set
}

// endClosedSteps cancels the tasks of steps that are no longer open.
func (l *leadership) endClosedSteps(open []*ledger.Entry) {
	isOpen := make(map[string]bool, len(open))
	for _, entry := range open {
		isOpen[entry.Step.ID] = true
	}
	for _, id := range l.scheduler.StepIDs() {
		if isOpen[id] {
			continue
		}
		delete(l.knownSteps, id)
		for _, task := range l.scheduler.EndStep(id) {
			l.cancel(task)
			delete(l.checkpointed, task)
		}
	}
}

// flush records results, starts loads and starts the runs that are possible now.
func (l *leadership) flush() error {
	if l.catalog == nil {
		return nil
	}
	l.record()
	now := nowMillis()
	l.startLoads(now)
	if !l.runners.Ready() || l.freshness.isStale(now) || !l.copyIsCurrent(now) {
		return nil
	}
	for _, assignment := range l.scheduler.Assign(now, l.routedServices) {
		l.startRun(assignment)
	}
	return nil
}

// loadCheckInterval is the minimum time between two checks for loads. A check iterates over all engines, so
// it must not run at every flush, but it must be short compared to a load.
const loadCheckInterval = 50 * time.Millisecond

// startLoads starts the loads that are needed, at most once per loadCheckInterval.
func (l *leadership) startLoads(now int64) {
	if time.Since(l.loadsCheckedAt) < loadCheckInterval {
		return
	}
	l.loadsCheckedAt = time.Now()
	for _, order := range l.scheduler.LoadOrders(now) {
		go l.runLoad(order)
	}
}

// routedServices returns the services of the task's route, and whether a route exists.
func (l *leadership) routedServices(task *scheduler.Task) ([]string, bool) {
	path, _, _ := strings.Cut(task.Sample.Path, "?")
	route, ok := l.catalog.Table.Match(task.Step.Host, path)
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
