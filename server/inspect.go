package server

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/event"
)

// recentOrderWindow is how far before the newest order another one counts as recent. It covers loadTimeout
// and the heartbeat by which the directory then learns what the engine holds.
const recentOrderWindow = loadTimeout + 4*time.Second

// inspectEngines queries the engines with recent orders for their versions and loads in progress. The
// directory learns of versions only with heartbeats and never of loads in progress; for all other engines
// its state is complete. So the number of queries depends on recent loads, not on the size of the fleet.
func (t *leadership) inspectEngines(backends []directory.Backend) {
	var recent map[string]bool
	t.replica.Do(func() { recent = recentlyOrdered(t.machine.Orders()) })
	for _, backend := range backends {
		if recent[orderSubject(backend)] {
			go t.inspectEngine(backend)
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

func (t *leadership) inspectEngine(backend directory.Backend) {
	limited, cancel := context.WithTimeout(t.context, loadTimeout)
	defer cancel()
	report, err := t.queryEngine(limited, backend)
	event.EngineInspected.On(t.logger).Str("engine", backend.ID).Uint("busy", boolToUint(report.Busy)).
		Uint("failed", boolToUint(err != nil)).Send()
	if err == nil && !t.isSameIncarnation(backend, report) {
		return
	}
	if err == nil && report.Busy {
		t.loop.Submit(func() { t.scheduler.MarkLoading(nowMillis(), backend.ID) })
		defer t.loop.Submit(func() { t.scheduler.ClearLoading(backend.ID) })
	}
	for err == nil && report.Busy {
		sleep(limited, loadPollInterval)
		report, err = t.queryEngine(limited, backend)
	}
	if err != nil || !t.isSameIncarnation(backend, report) {
		return
	}
	t.loop.Submit(func() {
		for _, held := range report.Models {
			t.scheduler.RecordVersion(backend.ID, held.Model, held.Version)
		}
	})
}
