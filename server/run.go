package server

import (
	"context"
	"strconv"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

func (t *tenure) cancel(task *scheduler.Task) {
	if cancel := t.cancels[task]; cancel != nil {
		cancel()
		delete(t.cancels, task)
	}
}

// eventsOf returns the number of events of the task's text so far.
func (t *tenure) eventsOf(task *scheduler.Task) uint64 {
	if progress := t.progress[task]; progress != nil {
		text, _ := progress.read()
		return text.Last
	}
	return task.Text.Last
}

// start runs a task on its engine.
func (t *tenure) start(assignment scheduler.Assignment) {
	task := assignment.Task
	link := t.runners.LinkFor(assignment.Backend)
	event.SampleStarted.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).
		Str("engine", assignment.Backend.ID).Str("runner", link.Name()).Uint("attempt", uint64(task.Attempts)).Uint("after", task.Text.Last).
		Uint("expected", uint64(assignment.ExpectedEvents)).Uint("pace", micros(assignment.Pace)).Uint("ahead", boolToUint(task.IsSpeculative())).
		Int("spare_ms", assignment.SlackMillis).Send()
	followed := t.followRun(assignment)
	request := runner.Request{
		Backend: assignment.Backend, Step: task.Step.ID, Host: task.Step.Host, Tenant: task.Step.Tenant,
		Sample: task.Sample, Text: task.Text, DecidedAt: clock.Now(),
		KnownCrashes: followed.verdict.KnownCrashes, KnownKindCrashes: followed.verdict.KnownKindCrashes,
	}
	go followed.run(func(ctx context.Context) scheduler.RunEnd { return link.Run(ctx, request, followed.take) })
}

// adopt goes on with runs of an earlier leader, where their samples wait and their texts
// will do. It is called by a runner's link and waits for the loop.
func (t *tenure) adopt(held []*runner.OrphanedRun) {
	eventloop.Call(t.loop, func() struct{} {
		t.engageHeld(held)
		for _, one := range held {
			assignment, ok := t.scheduler.Adopt(nowMillis(), one.Step, one.Sample, one.Engine, one.Text)
			if !ok {
				continue
			}
			event.RunAdopted.On(t.logger).Str("sample", one.Sample).Str("step", one.Step).Str("engine", one.Engine).
				Str("runner", one.Name()).Uint("after", one.Text.Last).Send()
			followed := t.followRun(assignment)
			one.Accept(followed.take)
			go followed.run(one.Wait)
		}
		return struct{}{}
	})
}

// engageHeld has the engines used that the runs are on.
func (t *tenure) engageHeld(held []*runner.OrphanedRun) {
	ids := make([]string, 0, len(held))
	for _, one := range held {
		ids = append(ids, one.Engine)
	}
	if t.catalog == nil {
		return
	}
	for name := range t.catalog.Services {
		t.workingSet(name).Include(ids)
	}
	t.syncEngines()
}

func (t *tenure) runEnded(task *scheduler.Task, assignment scheduler.Assignment, end scheduler.RunEnd, text scheduler.Text, version uint64) {
	if task.Run == assignment.Run {
		delete(t.progress, task)
	}
	if task.State == scheduler.Finished && task.Run == assignment.Run {
		text.Complete = end == scheduler.Complete
		t.scheduler.KeepText(task, text)
		return
	}
	if task.State != scheduler.Running || task.Run != assignment.Run {
		return
	}
	delete(t.cancels, task)
	if version > 0 {
		t.scheduler.RecordVersion(assignment.Backend.ID, task.Step.Model, version)
	}
	task.Text = text
	ahead := task.IsSpeculative()
	t.scheduler.RunEnded(nowMillis(), task, assignment.Run, end)
	t.metrics.runs.WithLabelValues(strconv.Itoa(int(end))).Inc()
	event.SampleRunEnded.On(t.logger).Str("sample", task.Sample.ID).Str("engine", assignment.Backend.ID).
		Uint("end", uint64(end)).Uint("events", text.Last).Uint("state", uint64(task.State)).Send()
	if end == scheduler.Failed && !ahead {
		t.keepFailures(task)
	}
	switch {
	case ahead:
	case end == scheduler.Unprocessable:
		t.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.FailedPermanently}, "impossible")
	case end == scheduler.Failed && task.Failures.Runs >= max(task.Step.Attempts, 1):
		t.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.FailedPermanently}, "failed")
	case task.State == scheduler.Scoring:
		t.score(task)
	}
}

// keepFailures records how often the task has failed, so that the next leader goes on counting.
// What cannot be recorded is recorded with the next failure; a leader that is lost before
// leaves one failure uncounted.
func (t *tenure) keepFailures(task *scheduler.Task) {
	failed := &ledger.Failed{Step: task.Step.ID, Sample: task.Sample.ID, Counts: task.Failures}
	go func() {
		limited, cancel := context.WithTimeout(t.context, recordTimeout)
		defer cancel()
		_, err := t.replica.Execute(limited, ledger.Command{Failed: failed}.Encode())
		line := event.FailuresRecorded.On(t.logger).Str("sample", failed.Sample).Str("step", failed.Step).
			Uint("runs", uint64(failed.Counts.Runs)).Uint("rewards", uint64(failed.Counts.Rewards))
		if err != nil {
			line.Err(err)
		}
		line.Send()
	}()
}

func (t *tenure) finish(task *scheduler.Task, result ledger.Result, why string) {
	t.cancel(task)
	kept := t.checkpointed[task]
	delete(t.checkpointed, task)
	if t.scheduler.Finish(task) {
		t.noteWhole(task)
	}
	t.metrics.samples.WithLabelValues(strconv.Itoa(int(result.State))).Inc()
	t.results = append(t.results, newPendingResult(task, result, kept))
	if result.State == ledger.FailedPermanently {
		event.SampleFailed.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Str("reason", why).Send()
	}
}

// noteWhole says that the trainer has what it waits for of a step, and which
// sample came last.
func (t *tenure) noteWhole(last *scheduler.Task) {
	took := nowMillis() - last.Step.SubmittedAt
	t.metrics.steps.WithLabelValues().Observe(float64(took) / 1000)
	event.StepCompleted.On(t.logger).Str("step", last.Step.ID).Uint("number", uint64(last.Step.Number)).Int("ms", took).
		Str("sample", last.Sample.ID).Str("engine", last.Engine).Uint("events", last.Text.Last).
		Uint("predicted_tokens", uint64(last.Sample.Predicted)).Uint("attempts", uint64(last.Attempts)).Send()
}
