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

func (l *leadership) cancel(task *scheduler.Task) {
	if cancel := l.cancels[task]; cancel != nil {
		cancel()
		delete(l.cancels, task)
	}
}

// eventCount returns the number of events in the task's text so far.
func (l *leadership) eventCount(task *scheduler.Task) uint64 {
	if progress := l.progress[task]; progress != nil {
		text, _ := progress.read()
		return text.Last
	}
	return task.Text.Last
}

// startRun starts the assigned run.
func (l *leadership) startRun(assignment scheduler.Assignment) {
	task := assignment.Task
	link := l.runners.LinkFor(assignment.Backend)
	event.SampleStarted.On(l.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).
		Str("engine", assignment.Backend.ID).Str("runner", link.Name()).Uint("attempt", uint64(task.Attempts)).Uint("after", task.Text.Last).
		Uint("expected", uint64(assignment.ExpectedEvents)).Uint("pace", micros(assignment.Pace)).Uint("ahead", boolToUint(task.IsSpeculative())).
		Int("spare_ms", assignment.SlackMillis).Send()
	run := l.beginRun(assignment)
	request := runner.Request{
		Backend: assignment.Backend, Step: task.Step.ID, Host: task.Step.Host, Tenant: task.Step.Tenant,
		Sample: task.Sample, Text: task.Text, DecidedAt: clock.Now(),
		KnownCrashes: run.verdict.KnownCrashes, KnownKindCrashes: run.verdict.KnownKindCrashes,
	}
	go run.awaitEnd(func(ctx context.Context) scheduler.RunEnd { return link.Run(ctx, request, run.addBatch) })
}

// adoptRuns continues runs of an earlier leader whose samples are waiting and whose texts are usable. It is
// called by a runner's link and blocks until the loop has executed it.
func (l *leadership) adoptRuns(orphans []*runner.OrphanedRun) {
	eventloop.Call(l.loop, func() struct{} {
		l.includeEngines(orphans)
		for _, orphan := range orphans {
			assignment, ok := l.scheduler.Adopt(nowMillis(), orphan.Step, orphan.Sample, orphan.Engine, orphan.Text)
			if !ok {
				continue
			}
			event.RunAdopted.On(l.logger).Str("sample", orphan.Sample).Str("step", orphan.Step).Str("engine", orphan.Engine).
				Str("runner", orphan.Name()).Uint("after", orphan.Text.Last).Send()
			run := l.beginRun(assignment)
			orphan.Accept(run.addBatch)
			go run.awaitEnd(orphan.Wait)
		}
		return struct{}{}
	})
}

// includeEngines adds the engines of the orphaned runs to the working sets.
func (l *leadership) includeEngines(orphans []*runner.OrphanedRun) {
	ids := make([]string, 0, len(orphans))
	for _, orphan := range orphans {
		ids = append(ids, orphan.Engine)
	}
	if l.catalog == nil {
		return
	}
	for name := range l.catalog.Services {
		l.workingSet(name).Include(ids)
	}
	l.syncEngines()
}

func (l *leadership) runEnded(task *scheduler.Task, assignment scheduler.Assignment, end scheduler.RunEnd, text scheduler.Text, versions scheduler.VersionRange) {
	if task.Run == assignment.Run {
		delete(l.progress, task)
	}
	if task.Run == assignment.Run && (text.IsTooLong() || !l.scheduler.TrustsRun(task, versions)) {
		// Nothing of the run is used; the sample continues after the text that it had before.
		event.RunDiscarded.On(l.logger).Str("sample", task.Sample.ID).Str("engine", assignment.Backend.ID).
			Uint("oldest", versions.Oldest).Uint("newest", versions.Newest).Send()
		end, text, versions = scheduler.Broken, task.Text, scheduler.VersionRange{}
		l.checkpointed[task] = min(l.checkpointed[task], text.Last)
	}
	if task.State == scheduler.Finished && task.Run == assignment.Run {
		text.Complete = end == scheduler.Complete
		l.scheduler.KeepText(task, text)
		return
	}
	if task.State != scheduler.Running || task.Run != assignment.Run {
		return
	}
	delete(l.cancels, task)
	if versions.Newest > 0 {
		l.scheduler.RecordVersion(assignment.Backend.ID, task.Step.Model, versions.Newest)
	}
	task.Text = text
	speculative := task.IsSpeculative()
	l.scheduler.RunEnded(nowMillis(), task, assignment.Run, end)
	l.metrics.runs.WithLabelValues(strconv.Itoa(int(end))).Inc()
	event.SampleRunEnded.On(l.logger).Str("sample", task.Sample.ID).Str("engine", assignment.Backend.ID).
		Uint("end", uint64(end)).Uint("events", text.Last).Uint("state", uint64(task.State)).Send()
	if end == scheduler.Failed && !speculative {
		l.recordFailures(task)
	}
	switch {
	case speculative:
	case end == scheduler.Unprocessable:
		l.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.FailedPermanently}, "impossible")
	case end == scheduler.Failed && task.Failures.Runs >= max(task.Step.Attempts, 1):
		l.finish(task, ledger.Result{Sample: task.Sample.ID, State: ledger.FailedPermanently}, "failed")
	case task.State == scheduler.Scoring:
		l.score(task)
	}
}

// recordFailures records the task's failure counts for later leaders. If that fails, the next failure
// records them again. If the leader is lost before then, one failure is not counted.
func (l *leadership) recordFailures(task *scheduler.Task) {
	command := &ledger.Failed{Step: task.Step.ID, Sample: task.Sample.ID, Counts: task.Failures}
	go func() {
		limited, cancel := context.WithTimeout(l.context, recordTimeout)
		defer cancel()
		_, err := l.replica.Execute(limited, ledger.Command{Failed: command}.Encode())
		line := event.FailuresRecorded.On(l.logger).Str("sample", command.Sample).Str("step", command.Step).
			Uint("runs", uint64(command.Counts.Runs)).Uint("rewards", uint64(command.Counts.Rewards))
		if err != nil {
			line.Err(err)
		}
		line.Send()
	}()
}

func (l *leadership) finish(task *scheduler.Task, result ledger.Result, reason string) {
	l.cancel(task)
	checkpointed := l.checkpointed[task]
	delete(l.checkpointed, task)
	if l.scheduler.Finish(task) {
		l.reportStepCompleted(task)
	}
	l.metrics.samples.WithLabelValues(strconv.Itoa(int(result.State))).Inc()
	l.results = append(l.results, newPendingResult(task, result, checkpointed))
	if result.State == ledger.FailedPermanently {
		event.SampleFailed.On(l.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Str("reason", reason).Send()
	}
}

// reportStepCompleted logs and measures the completion of a step. lastTask is the task that completed it.
func (l *leadership) reportStepCompleted(lastTask *scheduler.Task) {
	elapsed := nowMillis() - lastTask.Step.SubmittedAt
	l.metrics.steps.WithLabelValues().Observe(float64(elapsed) / 1000)
	event.StepCompleted.On(l.logger).Str("step", lastTask.Step.ID).Uint("number", uint64(lastTask.Step.Number)).Int("ms", elapsed).
		Str("sample", lastTask.Sample.ID).Str("engine", lastTask.Engine).Uint("events", lastTask.Text.Last).
		Uint("predicted_tokens", uint64(lastTask.Sample.Predicted)).Uint("attempts", uint64(lastTask.Attempts)).Send()
}
