package server

import (
	"context"
	"slices"
	"time"

	"github.com/dillchute/dillchute/capacity"
	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/scheduler"
)

const (
	// demandInterval is the time between two reports of the demand: a small part of the time that a
	// backend takes to boot.
	demandInterval = 500 * time.Millisecond
	// demandTimeout bounds a report; what is lost is made up for by the next one.
	demandTimeout = time.Second
)

// tellDemand tells the directory what the open steps need, if there are services that may be scaled.
func (t *leadership) tellDemand() {
	if t.catalog == nil || clock.Since(t.demandReportedAt) < demandInterval || !t.scales() || t.freshness.isStale(nowMillis()) {
		return
	}
	t.demandReportedAt = clock.Now()
	go t.sendDemand(t.demands())
}

// demands returns what the open steps need of each service that may be scaled.
func (t *leadership) demands() []capacity.Demand {
	told := map[string]bool{}
	demands := slices.DeleteFunc(t.scheduler.Demand(nowMillis(), t.neededFrom), func(demand capacity.Demand) bool {
		return t.catalog.Services[demand.Service].Scale == nil
	})
	for _, demand := range demands {
		told[demand.Service] = true
	}
	for name, service := range t.catalog.Services {
		if service.Scale != nil && !told[name] {
			// That nothing is needed is news, too.
			demands = append(demands, capacity.Demand{Service: name})
		}
	}
	return demands
}

// neededFrom tells the services that the task needs. It changes nothing: no trial is asked for by a
// sample that is only counted.
func (t *leadership) neededFrom(task *scheduler.Task) ([]string, bool) {
	if task.State == scheduler.Waiting && !t.guard.IsIdle() && t.guard.CheckSubject(task.Subject()).Quarantined {
		return nil, false
	}
	return t.routedServices(task)
}

func (t *leadership) sendDemand(demands []capacity.Demand) {
	ctx, cancel := context.WithTimeout(t.context, demandTimeout)
	defer cancel()
	if _, err := t.watcher.call(ctx, directoryCall{Demands: demands}); err != nil {
		event.DemandSendFailed.On(t.logger).Err(err).Send()
	}
}

// scales tells whether a service may be scaled.
func (t *leadership) scales() bool {
	for _, service := range t.catalog.Services {
		if service.Scale != nil {
			return true
		}
	}
	return false
}
