package server

import (
	"time"

	"github.com/dillchute/dillchute/event"
)

// moveSlowRuns updates the engines' paces and cancels runs that would finish much earlier on another
// engine.
func (l *leadership) moveSlowRuns() {
	if l.catalog == nil {
		return
	}
	now := nowMillis()
	for task, progress := range l.progress {
		at, events := progress.observed(now)
		l.scheduler.ObserveRun(at, task, events)
	}
	l.scheduler.UpdatePaces()
	for _, move := range l.scheduler.ChooseMoves(now, l.routedServices) {
		event.SampleMoved.On(l.logger).Str("sample", move.Task.Sample.ID).Str("engine", move.From).Str("to", move.To).
			Uint("pace", micros(move.FromPace)).Uint("to_pace", micros(move.ToPace)).Uint("expected", uint64(move.ExpectedEvents)).Send()
		l.cancel(move.Task)
	}
}

// micros converts milliseconds to microseconds, the unit of paces in logs.
func micros(millis float64) uint64 { return uint64(millis * 1000) }

// speculationInterval is the minimum time between two searches for speculative runs, which iterate over all
// samples of the open steps.
const speculationInterval = 200 * time.Millisecond

// updateSpeculativeRuns starts speculative runs of samples that will probably be resubmitted, and cancels
// those that no step has claimed.
func (l *leadership) updateSpeculativeRuns() {
	if l.catalog == nil || time.Since(l.speculationCheckedAt) < speculationInterval || l.freshness.isStale(nowMillis()) || !l.copyIsCurrent(nowMillis()) {
		return
	}
	l.speculationCheckedAt = time.Now()
	for _, task := range l.scheduler.EndUnusedSpeculative() {
		event.SpeculativeRunCancelled.On(l.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Send()
		l.cancel(task)
	}
	for _, assignment := range l.scheduler.StartSpeculative(nowMillis(), l.routedServices) {
		l.startRun(assignment)
	}
}
