package server

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// pendingResult is a result that is to be recorded.
type pendingResult struct {
	task   *scheduler.Task
	result ledger.Result
	// whole is the result with its whole text, where result has only what no
	// checkpoint has kept.
	whole *ledger.Result
}

// newPendingResult returns a result of whose text the ledger keeps some events.
func newPendingResult(task *scheduler.Task, result ledger.Result, kept uint64) pendingResult {
	pending := pendingResult{task: task, result: result}
	if result.State == ledger.Succeeded && kept > 0 && kept < uint64(len(task.Text.Events)) {
		whole := result
		pending.whole = &whole
		pending.result.ShortenText(task.Text.Events, kept)
	}
	return pending
}

// record commits the results that have gathered. One commit is under way at a
// time, and there is a pause between two, since each costs every replica a sync.
func (t *tenure) record() {
	if t.recording || len(t.results) == 0 {
		return
	}
	if wait := time.Until(t.recordAfter); wait > 0 {
		t.recording = true
		time.AfterFunc(wait, func() {
			t.loop.Submit(func() { t.recording = false })
		})
		return
	}
	pending := t.results
	t.results, t.recording = nil, true
	go func() {
		failed := t.commit(pending)
		t.loop.Submit(func() {
			t.recording = false
			t.results = append(failed, t.results...)
			t.recordAfter = time.Now().Add(recordPause)
			if len(failed) > 0 {
				t.recordAfter = time.Now().Add(recordRetry)
			}
		})
	}()
}

// commit records results step by step and returns those that must be recorded again.
func (t *tenure) commit(pending []pendingResult) []pendingResult {
	var order []string
	byStep := map[string][]pendingResult{}
	for _, one := range pending {
		step := one.task.Step.ID
		if byStep[step] == nil {
			order = append(order, step)
		}
		byStep[step] = append(byStep[step], one)
	}
	var failed []pendingResult
	for _, step := range order {
		record := &ledger.Record{Step: step}
		for _, one := range byStep[step] {
			record.Results = append(record.Results, one.result)
		}
		began := time.Now()
		limited, cancel := context.WithTimeout(t.context, recordTimeout)
		_, err := t.replica.Execute(limited, ledger.Command{Record: record}.Encode())
		cancel()
		t.metrics.records.WithLabelValues(outcomeLabel(err)).Observe(time.Since(began).Seconds())
		line := event.ResultsRecorded.On(t.logger).Str("step", step).Uint("results", uint64(len(record.Results)))
		if err != nil {
			line.Err(err)
			failed = append(failed, byStep[step]...)
		} else {
			failed = append(failed, t.notTaken(step, byStep[step])...)
		}
		line.Send()
	}
	return failed
}

// notTaken returns the results that the ledger could not complete from what it
// keeps, with their whole texts.
func (t *tenure) notTaken(step string, recorded []pendingResult) []pendingResult {
	var missing []pendingResult
	t.replica.Do(func() {
		entry := t.machine.Step(step)
		if entry == nil || entry.Ended {
			return
		}
		for _, one := range recorded {
			if one.whole != nil && !entry.HasResult(one.result.Sample) {
				missing = append(missing, pendingResult{task: one.task, result: *one.whole})
			}
		}
	})
	if len(missing) > 0 {
		event.ResultsIncomplete.On(t.logger).Str("step", step).Uint("results", uint64(len(missing))).Send()
	}
	return missing
}
