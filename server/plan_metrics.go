package server

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/event"
)

// planLogInterval is the minimum time between two log lines about deferred groups.
const planLogInterval = time.Second

// publishPlan stores the counts of the current plan for metrics, and logs deferred and late groups.
func (l *leadership) publishPlan() {
	counts := l.scheduler.PlanCounts()
	l.planCounts.Store(&counts)
	if counts.Deferred+counts.Late == 0 || clock.Since(l.planLoggedAt) < planLogInterval {
		return
	}
	l.planLoggedAt = clock.Now()
	event.GroupsDeferred.On(l.logger).Uint("chosen", uint64(counts.Chosen)).Uint("put_back", uint64(counts.Deferred)).
		Uint("late", uint64(counts.Late)).Str("shares", l.scheduler.FormatShares()).Send()
}

// collectPlan emits the group counts of the leader's latest plan.
func (x *Executor) collectPlan(emit chan<- prometheus.Metric) {
	counts := x.planCounts.Load()
	if counts == nil {
		return
	}
	gauge(emit, "ledger_groups_chosen", "On a leader, open groups that are to be whole in time.", float64(counts.Chosen))
	gauge(emit, "ledger_groups_put_back", "On a leader, open groups that wait since others fill the engines until they are due.", float64(counts.Deferred))
	gauge(emit, "ledger_groups_late", "On a leader, open groups that can be whole in time no more.", float64(counts.Late))
}
