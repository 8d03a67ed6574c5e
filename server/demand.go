package server

import (
	"context"
	"slices"
	"time"

	"github.com/dillchute/dillchute/capacity"
	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/event"
)

const (
	// demandInterval is the minimum time between demand reports. It is short compared to a backend's boot time.
	demandInterval = 500 * time.Millisecond
	// demandTimeout limits one report. The next report replaces a lost one.
	demandTimeout = time.Second
)

// reportDemand reports the demand of the open steps to the directory if any service is scalable.
func (l *leadership) reportDemand() {
	if l.catalog == nil || clock.Since(l.demandReportedAt) < demandInterval || !l.hasScalableService() || l.freshness.isStale(nowMillis()) {
		return
	}
	l.demandReportedAt = clock.Now()
	go l.sendDemand(l.demands())
}

// demands returns the demand of the open steps for each scalable service.
func (l *leadership) demands() []capacity.Demand {
	reported := map[string]bool{}
	demands := slices.DeleteFunc(l.scheduler.Demand(nowMillis(), l.routedServices), func(demand capacity.Demand) bool {
		return l.catalog.Services[demand.Service].Scale == nil
	})
	for _, demand := range demands {
		reported[demand.Service] = true
	}
	for name, service := range l.catalog.Services {
		if service.Scale != nil && !reported[name] {
			// Report zero demand, so that the service can be scaled down.
			demands = append(demands, capacity.Demand{Service: name})
		}
	}
	return demands
}

func (l *leadership) sendDemand(demands []capacity.Demand) {
	ctx, cancel := context.WithTimeout(l.context, demandTimeout)
	defer cancel()
	if _, err := l.watcher.call(ctx, directoryCall{Demands: demands}); err != nil {
		event.DemandSendFailed.On(l.logger).Err(err).Send()
	}
}

// hasScalableService reports whether the catalog contains a scalable service.
func (l *leadership) hasScalableService() bool {
	for _, service := range l.catalog.Services {
		if service.Scale != nil {
			return true
		}
	}
	return false
}
