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
	executorTick = 100 * time.Millisecond
	// stallTimeout ends a run whose engine sends nothing, and loadStall that
	// of a run whose engine loads weights meanwhile.
	stallTimeout = 1200 * time.Millisecond
	loadStall    = 5 * time.Second
	// rewardBackoff is the pause before a reward call is repeated.
	rewardBackoff = 100 * time.Millisecond
	recordTimeout = 2 * time.Second
	// recordPause is the time between two commits of results, and recordRetry
	// that after one that failed.
	recordPause   = 40 * time.Millisecond
	recordRetry   = 100 * time.Millisecond
	pruneInterval = 10 * time.Second
)

// Executor runs samples while its process leads the group.
type Executor struct {
	settings  config.Ledger
	watcher   *Watcher
	engines   EngineClient
	forwarder *forward.Forwarder
	guard     *quarantine.Guard
	metrics   ledgerMetrics
	orders    *duty.Tracker
	logger    *zerolog.Logger
	// runnersOpen is the number of the leader's runners, as of its last tick.
	runnersOpen atomic.Int64
	// plan is how the leader's newest plan has ranked the open groups, as of its last tick.
	plan atomic.Pointer[scheduler.PlanCounts]
}

func newExecutor(settings config.Ledger, watcher *Watcher, engines EngineClient, backends forward.Client, metrics ledgerMetrics, logger *zerolog.Logger) *Executor {
	guard := newGuard(watcher)
	return &Executor{
		settings: settings, watcher: watcher, engines: engines, forwarder: forward.New(newFreshClient(backends, watcher), settings.Zone, guard), guard: guard,
		metrics: metrics, orders: duty.NewTracker(), logger: logger,
	}
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
		cancels: map[*scheduler.Task]context.CancelFunc{}, progress: map[*scheduler.Task]*runProgress{},
		checkpointed: map[*scheduler.Task]uint64{}, known: map[string]bool{}, rewards: newRewardLimit(), turns: newKindLocks(),
		workingSets: map[string]*scheduler.WorkingSet{},
		heldBack:    map[quarantine.Fingerprint]bool{}, asking: map[quarantine.Fingerprint]bool{},
	}
	t.runners = runner.NewPool(leadership, term, t.adopt, x.logger)
	t.deferOrders()
	t.loadHistory()
	go t.follow(stop)
	// The loop looks again for what can be started after each call.
	go t.fresh.confirm(leadership, opened, func() { t.loop.Submit(func() {}) })
	t.loop.Run(leadership, executorTick, t.tick, t.flush)
	x.runnersOpen.Store(0)
	x.plan.Store(nil)
}
