package server

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

type pendingResult struct {
	task   *scheduler.Task
	result ledger.Result
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
			t.loop.Call(func() { t.recording = false })
		})
		return
	}
	pending := t.results
	t.results, t.recording = nil, true
	go func() {
		failed := t.commit(pending)
		t.loop.Call(func() {
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
		t.metrics.records.WithLabelValues(outcomeOf(err)).Observe(time.Since(began).Seconds())
		line := event.ResultsRecorded.On(t.logger).Str("step", step).Uint("results", uint64(len(record.Results)))
		if err != nil {
			line.Err(err)
			failed = append(failed, byStep[step]...)
		}
		line.Send()
	}
	return failed
}
