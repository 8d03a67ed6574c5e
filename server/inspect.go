package server

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/event"
)

// inspectWindow is how long before the newest order another one was given whose engine a
// new leader asks: a load may take loadLimit, and the directory learns what an engine holds
// by a heartbeat after it.
const inspectWindow = loadLimit + 4*time.Second

// inspect asks the engines that were given orders lately what they hold and whether they
// still load: the directory learns of versions by heartbeats only, and of loads under way
// not at all. Of the others it knows all there is. So what a new leader asks grows with the
// loads that there is time for, and not with the engines.
func (t *tenure) inspect(backends []directory.Backend) {
	var lately map[string]bool
	t.replica.Do(func() { lately = orderedLately(t.machine.Orders()) })
	for _, backend := range backends {
		if lately[orderSubject(backend)] {
			go t.inspectEngine(backend)
		}
	}
}

// orderedLately returns the engines whose newest orders are no older than inspectWindow
// when the newest of all was given. Orders are compared with each other only, so that the
// time of day of this machine does not matter.
func orderedLately(orders map[string]duty.Action) map[string]bool {
	newest := int64(0)
	for _, order := range orders {
		newest = max(newest, order.At)
	}
	lately := map[string]bool{}
	for engine, order := range orders {
		if order.At >= newest-inspectWindow.Milliseconds() {
			lately[engine] = true
		}
	}
	return lately
}

func (t *tenure) inspectEngine(backend directory.Backend) {
	limited, cancel := context.WithTimeout(t.context, loadLimit)
	defer cancel()
	report, err := t.report(limited, backend)
	event.EngineInspected.On(t.logger).Str("engine", backend.ID).Uint("busy", boolToUint(report.Busy)).
		Uint("failed", boolToUint(err != nil)).Send()
	if err == nil && !t.isSameLife(backend, report) {
		return
	}
	if err == nil && report.Busy {
		t.loop.Submit(func() { t.scheduler.MarkLoading(nowMillis(), backend.ID) })
		defer t.loop.Submit(func() { t.scheduler.ClearLoading(backend.ID) })
	}
	for err == nil && report.Busy {
		sleep(limited, loadPoll)
		report, err = t.report(limited, backend)
	}
	if err != nil || !t.isSameLife(backend, report) {
		return
	}
	t.loop.Submit(func() {
		for _, held := range report.Models {
			t.scheduler.RecordVersion(backend.ID, held.Model, held.Version)
		}
	})
}
