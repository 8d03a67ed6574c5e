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
	// demandInterval is the time between demand reports: a small part of a backend's boot time.
	demandInterval = 500 * time.Millisecond
	// demandTimeout limits one report. The next report replaces a lost one.
	demandTimeout = time.Second
)

// reportDemand reports the demand of the open steps to the directory if any service is scalable.
func (t *leadership) reportDemand() {
	if t.catalog == nil || clock.Since(t.demandReportedAt) < demandInterval || !t.hasScalableService() || t.freshness.isStale(nowMillis()) {
		return
	}
	t.demandReportedAt = clock.Now()
	go t.sendDemand(t.demands())
}

// demands returns the demand of the open steps for each scalable service.
func (t *leadership) demands() []capacity.Demand {
	reported := map[string]bool{}
	demands := slices.DeleteFunc(t.scheduler.Demand(nowMillis(), t.servicesNeededBy), func(demand capacity.Demand) bool {
		return t.catalog.Services[demand.Service].Scale == nil
	})
	for _, demand := range demands {
		reported[demand.Service] = true
	}
	for name, service := range t.catalog.Services {
		if service.Scale != nil && !reported[name] {
			// Report zero demand, so that the service can be scaled down.
			demands = append(demands, capacity.Demand{Service: name})
		}
	}
	return demands
}

// servicesNeededBy returns the services that the task needs. It has no side effects: in particular it
// requests no trial for a quarantined sample.
func (t *leadership) servicesNeededBy(task *scheduler.Task) ([]string, bool) {
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

// hasScalableService reports whether the catalog contains a scalable service.
func (t *leadership) hasScalableService() bool {
	for _, service := range t.catalog.Services {
		if service.Scale != nil {
			return true
		}
	}
	return false
}
