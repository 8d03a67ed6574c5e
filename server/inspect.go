package server

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/event"
)

// recentOrderWindow is the age, relative to the newest order, up to which an order counts as recent. It
// covers loadTimeout and the next heartbeat, which reports the engine's version to the directory.
const recentOrderWindow = loadTimeout + 4*time.Second

// inspectEngines queries the engines with recent orders for their versions and loads in progress. Heartbeats
// report versions with a delay and loads in progress not at all. For all other engines the directory is up
// to date, so the number of queries depends on recent loads, not on the size of the fleet.
func (l *leadership) inspectEngines(backends []directory.Backend) {
	var recent map[string]bool
	l.replica.Do(func() { recent = recentlyOrdered(l.machine.Orders()) })
	for _, backend := range backends {
		if recent[orderSubject(backend)] {
			go l.inspectEngine(backend)
		}
	}
}

// recentlyOrdered returns the engines whose last orders are within recentOrderWindow of the newest one.
// Only orders are compared, so that the result does not depend on this machine's wall clock.
func recentlyOrdered(orders map[string]duty.Action) map[string]bool {
	newest := int64(0)
	for _, order := range orders {
		newest = max(newest, order.At)
	}
	recent := map[string]bool{}
	for engine, order := range orders {
		if order.At >= newest-recentOrderWindow.Milliseconds() {
			recent[engine] = true
		}
	}
	return recent
}

func (l *leadership) inspectEngine(backend directory.Backend) {
	limited, cancel := context.WithTimeout(l.context, loadTimeout)
	defer cancel()
	report, err := l.queryEngine(limited, backend)
	event.EngineInspected.On(l.logger).Str("engine", backend.ID).Uint("busy", boolToUint(report.Busy)).
		Uint("failed", boolToUint(err != nil)).Send()
	if err == nil && !l.isSameIncarnation(backend, report) {
		return
	}
	if err == nil && report.Busy {
		l.loop.Submit(func() { l.scheduler.MarkLoading(nowMillis(), backend.ID) })
		defer l.loop.Submit(func() { l.scheduler.ClearLoading(backend.ID) })
	}
	for err == nil && report.Busy {
		sleep(limited, loadPollInterval)
		report, err = l.queryEngine(limited, backend)
	}
	if err != nil || !l.isSameIncarnation(backend, report) {
		return
	}
	l.loop.Submit(func() {
		for _, held := range report.Models {
			l.scheduler.RecordVersion(backend.ID, held.Model, held.Version)
		}
	})
}
