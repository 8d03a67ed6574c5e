package server

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// pendingResult is a result that has yet to be recorded.
type pendingResult struct {
	task   *scheduler.Task
	result ledger.Result
	// full is the result with its complete text. It is set if result omits the events that checkpoints
	// hold.
	full *ledger.Result
}

// newPendingResult returns a result that omits the given number of checkpointed events.
func newPendingResult(task *scheduler.Task, result ledger.Result, checkpointed uint64) pendingResult {
	pending := pendingResult{task: task, result: result}
	if result.State == ledger.Succeeded && checkpointed > 0 && checkpointed < uint64(len(task.Text.Events)) {
		full := result
		pending.full = &full
		pending.result.ShortenText(task.Text.Events, checkpointed)
	}
	return pending
}

// record commits the pending results. At most one commit is in progress, and commits are spaced to batch
// results, since each one costs every replica a sync.
func (l *leadership) record() {
	if l.recording || len(l.results) == 0 {
		return
	}
	if wait := time.Until(l.recordAfter); wait > 0 {
		l.recording = true
		time.AfterFunc(wait, func() {
			l.loop.Submit(func() { l.recording = false })
		})
		return
	}
	pending := l.results
	l.results, l.recording = nil, true
	go func() {
		retry := l.commit(pending)
		l.loop.Submit(func() {
			l.recording = false
			l.results = append(retry, l.results...)
			l.recordAfter = time.Now().Add(recordInterval)
			if len(retry) > 0 {
				l.recordAfter = time.Now().Add(recordRetryDelay)
			}
		})
	}()
}

// commit records results step by step and returns those that must be recorded again.
func (l *leadership) commit(pending []pendingResult) []pendingResult {
	var steps []string
	byStep := map[string][]pendingResult{}
	for _, entry := range pending {
		step := entry.task.Step.ID
		if byStep[step] == nil {
			steps = append(steps, step)
		}
		byStep[step] = append(byStep[step], entry)
	}
	var retry []pendingResult
	for _, step := range steps {
		record := &ledger.Record{Step: step}
		for _, entry := range byStep[step] {
			record.Results = append(record.Results, entry.result)
		}
		began := time.Now()
		limited, cancel := context.WithTimeout(l.context, recordTimeout)
		_, err := l.replica.Execute(limited, ledger.Command{Record: record}.Encode())
		cancel()
		l.metrics.records.WithLabelValues(outcomeLabel(err)).Observe(time.Since(began).Seconds())
		line := event.ResultsRecorded.On(l.logger).Str("step", step).Uint("results", uint64(len(record.Results)))
		if err != nil {
			line.Err(err)
			retry = append(retry, byStep[step]...)
		} else {
			retry = append(retry, l.incompleteResults(step, byStep[step])...)
		}
		line.Send()
	}
	return retry
}

// incompleteResults returns, with complete texts, the results that the ledger could not complete from its
// checkpoints.
func (l *leadership) incompleteResults(step string, recorded []pendingResult) []pendingResult {
	var missing []pendingResult
	l.replica.Do(func() {
		entry := l.machine.Step(step)
		if entry == nil || entry.Ended {
			return
		}
		for _, candidate := range recorded {
			if candidate.full != nil && !entry.HasResult(candidate.result.Sample) {
				missing = append(missing, pendingResult{task: candidate.task, result: *candidate.full})
			}
		}
	})
	if len(missing) > 0 {
		event.ResultsIncomplete.On(l.logger).Str("step", step).Uint("results", uint64(len(missing))).Send()
	}
	return missing
}
