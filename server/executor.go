package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

const (
	executorTickInterval = 100 * time.Millisecond
	// stallTimeout is how long an engine may send nothing before its run is ended. loadStallTimeout
	// applies instead if the engine is loading weights when the run begins.
	stallTimeout     = 1200 * time.Millisecond
	loadStallTimeout = 5 * time.Second
	// rewardBackoff is the pause before a reward call is retried.
	rewardBackoff = 100 * time.Millisecond
	recordTimeout = 2 * time.Second
	// recordInterval is the pause after a commit of results, recordRetryDelay the pause after a failed one.
	recordInterval   = 40 * time.Millisecond
	recordRetryDelay = 100 * time.Millisecond
	pruneInterval    = 10 * time.Second
)

// Executor runs samples while its replica leads the group.
type Executor struct {
	settings  config.Ledger
	watcher   *Watcher
	engines   EngineClient
	forwarder *forward.Forwarder
	guard     *quarantine.Guard
	metrics   ledgerMetrics
	orders    *duty.Tracker
	logger    *zerolog.Logger
	// openRunners is the number of open links to runners at the leader's last tick.
	openRunners atomic.Int64
	// planCounts counts the open groups by their rank in the leader's latest plan, or is nil on other
	// replicas.
	planCounts atomic.Pointer[scheduler.PlanCounts]
	// rewards limits the reward calls of the current leadership, or is nil on other replicas.
	rewards atomic.Pointer[rewardLimiter]
}

func newExecutor(settings config.Ledger, watcher *Watcher, engines EngineClient, backends forward.Client, metrics ledgerMetrics, logger *zerolog.Logger) *Executor {
	guard := newGuard(watcher)
	return &Executor{
		settings: settings, watcher: watcher, engines: engines, forwarder: forward.New(newFreshClient(backends, watcher), settings.Zone, guard), guard: guard,
		metrics: metrics, orders: duty.NewTracker(), logger: logger,
	}
}

// run starts a leadership whenever the replica leads and serves.
func (x *Executor) run(ctx context.Context, r *replica.Replica, machine *ledger.Machine) {
	for ctx.Err() == nil {
		changed := r.Changed()
		status := r.Status()
		if status.Serving {
			x.lead(ctx, r, machine, status.Term)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// lead runs samples until the leadership ends.
func (x *Executor) lead(ctx context.Context, r *replica.Replica, machine *ledger.Machine, term uint64) {
	leaderContext, stop := context.WithCancel(ctx)
	defer stop()
	l := &leadership{
		Executor: x, context: leaderContext, replica: r, machine: machine, term: term,
		loop: eventloop.New(), scheduler: scheduler.New(),
		cancels: map[*scheduler.Task]context.CancelFunc{}, progress: map[*scheduler.Task]*runProgress{},
		checkpointed: map[*scheduler.Task]uint64{}, knownSteps: map[string]bool{}, rewardLimiter: newRewardLimiter(), kindLocks: newKindLocks(),
		workingSets: map[string]*scheduler.WorkingSet{},
	}
	x.rewards.Store(l.rewardLimiter)
	l.runners = runner.NewPool(leaderContext, term, l.adoptRuns, x.logger)
	l.deferLoads()
	l.restoreHistory()
	go l.watchChanges(stop)
	// An empty function makes the loop flush once the leadership is confirmed.
	go l.freshness.confirmLeadership(leaderContext, r, func() { l.loop.Submit(func() {}) })
	l.loop.Run(leaderContext, executorTickInterval, l.tick, l.flush)
	x.openRunners.Store(0)
	x.planCounts.Store(nil)
	x.rewards.Store(nil)
}
