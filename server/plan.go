package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/event"
)

// planLogInterval is the least time between two lines of log that tell of plans.
const planLogInterval = time.Second

// notePlan tells what the scheduler has put back for lack of room.
func (t *tenure) notePlan() {
	counts := t.scheduler.PlanCounts()
	t.plan.Store(&counts)
	if counts.Deferred+counts.Late == 0 || clock.Since(t.planLoggedAt) < planLogInterval {
		return
	}
	t.planLoggedAt = clock.Now()
	event.GroupsDeferred.On(t.logger).Uint("chosen", uint64(counts.Chosen)).Uint("put_back", uint64(counts.Deferred)).
		Uint("late", uint64(counts.Late)).Str("shares", t.scheduler.FormatShares()).Send()
}

// collectPlan emits what the newest plan of a leader has chosen.
func (x *Executor) collectPlan(emit chan<- prometheus.Metric) {
	counts := x.plan.Load()
	if counts == nil {
		return
	}
	gauge(emit, "ledger_groups_chosen", "On a leader, open groups that are to be whole in time.", float64(counts.Chosen))
	gauge(emit, "ledger_groups_put_back", "On a leader, open groups that wait since others fill the engines until they are due.", float64(counts.Deferred))
	gauge(emit, "ledger_groups_late", "On a leader, open groups that can be whole in time no more.", float64(counts.Late))
}
