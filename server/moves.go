package server

import (
	"time"

	"github.com/dillchute/dillchute/event"
)

// moveSlowRuns updates the engines' paces and cancels runs that would finish much earlier on another
// engine.
func (t *leadership) moveSlowRuns() {
	if t.catalog == nil {
		return
	}
	now := nowMillis()
	for task, progress := range t.progress {
		at, events := progress.observed(now)
		t.scheduler.ObserveRun(at, task, events)
	}
	t.scheduler.UpdatePaces()
	for _, move := range t.scheduler.ChooseMoves(now, t.servicesOf) {
		event.SampleMoved.On(t.logger).Str("sample", move.Task.Sample.ID).Str("engine", move.From).Str("to", move.To).
			Uint("pace", micros(move.FromPace)).Uint("to_pace", micros(move.ToPace)).Uint("expected", uint64(move.ExpectedEvents)).Send()
		t.cancel(move.Task)
	}
}

// micros converts milliseconds to microseconds, the unit of paces in logs.
func micros(millis float64) uint64 { return uint64(millis * 1000) }

// speculationInterval is the minimum time between two searches for speculative runs, which iterate over all
// samples of the open steps.
const speculationInterval = 200 * time.Millisecond

// updateSpeculativeRuns starts speculative runs of samples that will probably be resubmitted, and cancels
// those that no step has claimed.
func (t *leadership) updateSpeculativeRuns() {
	if t.catalog == nil || time.Since(t.speculationCheckedAt) < speculationInterval || t.freshness.isStale(nowMillis()) || !t.copyIsCurrent(nowMillis()) {
		return
	}
	t.speculationCheckedAt = time.Now()
	for _, task := range t.scheduler.EndUnusedSpeculative() {
		event.RunAheadCancelled.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Send()
		t.cancel(task)
	}
	for _, assignment := range t.scheduler.StartSpeculative(nowMillis(), t.servicesOf) {
		t.startRun(assignment)
	}
}
