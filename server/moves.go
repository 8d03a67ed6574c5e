package server

import (
	"time"

	"github.com/dillchute/dillchute/event"
)

// moveSlow ends runs on engines that are much slower than others.
func (t *tenure) moveSlow() {
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

// micros returns milliseconds in microseconds, as logs have them.
func micros(millis float64) uint64 { return uint64(millis * 1000) }

// aheadInterval is the time between two looks for runs to begin ahead, which go
// through all samples of the open steps.
const aheadInterval = 200 * time.Millisecond

// runAhead starts second runs of samples that will probably come again, and ends
// those that no step has asked for.
func (t *tenure) runAhead() {
	if t.catalog == nil || time.Since(t.aheadAt) < aheadInterval || t.fresh.isStale(nowMillis()) || !t.copyIsCurrent(nowMillis()) {
		return
	}
	t.aheadAt = time.Now()
	for _, task := range t.scheduler.EndUnusedSpeculative() {
		event.RunAheadCancelled.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Send()
		t.cancel(task)
	}
	for _, assignment := range t.scheduler.StartSpeculative(nowMillis(), t.servicesOf) {
		t.start(assignment)
	}
}
