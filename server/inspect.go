package server

import (
	"context"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
)

// inspect asks the engines what they hold and whether they load by an order of an
// earlier leader: the directory learns of versions by heartbeats only, and of
// loads under way not at all.
func (t *tenure) inspect(backends []directory.Backend) {
	for _, backend := range backends {
		go t.inspectEngine(backend)
	}
}

func (t *tenure) inspectEngine(backend directory.Backend) {
	limited, cancel := context.WithTimeout(t.context, loadLimit)
	defer cancel()
	report, err := t.report(limited, backend)
	event.EngineInspected.On(t.logger).Str("engine", backend.ID).Uint("busy", boolToUint(report.Busy)).
		Uint("failed", boolToUint(err != nil)).Send()
	if err == nil && report.Busy {
		t.loop.Call(func() { t.scheduler.NoteBusy(nowMillis(), backend.ID) })
		defer t.loop.Call(func() { t.scheduler.NoteIdle(backend.ID) })
	}
	for err == nil && report.Busy {
		sleep(limited, loadPoll)
		report, err = t.report(limited, backend)
	}
	if err != nil {
		return
	}
	t.loop.Call(func() {
		for _, held := range report.Models {
			t.scheduler.NoteVersion(backend.ID, held.Model, held.Version)
		}
	})
}
