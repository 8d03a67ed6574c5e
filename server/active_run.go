package server

import (
	"context"
	"sync"
	"time"

	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

// activeRun is a run that the leader has started or adopted.
type activeRun struct {
	leadership *leadership
	assignment scheduler.Assignment
	context    context.Context
	cancel     context.CancelFunc
	progress   *runProgress
	// stallTimer cancels the run if its engine sends nothing for stallTimeout.
	stallTimer   *time.Timer
	stallTimeout time.Duration
	// verdict is the verdict on the sample when the run began, with which a crash is reported.
	verdict quarantine.Verdict

	// mutex guards the fields below and serializes batches with the end of the run.
	mutex sync.Mutex
	// versions are those that generated the run's events. hasGap is set once a batch did not continue the text.
	versions scheduler.VersionRange
	hasGap   bool
}

// beginRun registers a run of the task and starts its stall timer.
func (l *leadership) beginRun(assignment scheduler.Assignment) *activeRun {
	task := assignment.Task
	ctx, cancel := context.WithCancel(l.context)
	l.cancels[task] = cancel
	progress := newRunProgress(task.Text)
	l.progress[task] = progress
	if task.Text.Last == 0 {
		delete(l.checkpointed, task)
	}
	timeout := stallTimeout
	if l.scheduler.IsLoading(assignment.Backend.ID, task.Step.Model) {
		timeout = loadStallTimeout
	}
	return &activeRun{
		verdict: l.checkBeforeRun(task), leadership: l, assignment: assignment, context: ctx, cancel: cancel, progress: progress,
		stallTimer: time.AfterFunc(timeout, cancel), stallTimeout: timeout,
	}
}

// addBatch appends the next batch of events to the run's text. It cancels the run if events are missing.
func (r *activeRun) addBatch(batch runner.Batch) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stallTimer.Reset(r.stallTimeout)
	r.leadership.metrics.events.WithLabelValues().Add(float64(len(batch.Events)))
	for _, version := range batch.Versions {
		r.versions.Add(version)
	}
	if r.hasGap = r.hasGap || !r.progress.add(batch); r.hasGap {
		r.cancel()
	}
}

// outcome returns how the run ended, its text and the versions that generated its events. A run with missing or no
// events counts as broken.
func (r *activeRun) outcome(end scheduler.RunEnd) (scheduler.RunEnd, scheduler.Text, scheduler.VersionRange) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	text, _ := r.progress.read()
	if end == scheduler.Complete && (r.hasGap || text.Last == 0) {
		end = scheduler.Broken
	}
	return end, text, r.versions
}

// recordOutcome updates the quarantine guard. A crash that the runner also reports is counted once. Recording
// it here ensures that this leader knows of it before the sample is queued again.
func (r *activeRun) recordOutcome(end scheduler.RunEnd) {
	guard, task := r.leadership.guard, r.assignment.Task
	subject := func() quarantine.Subject {
		return scheduler.SubjectOf(task.Step.Host, task.Step.Tenant, task.Sample)
	}
	switch {
	case end == scheduler.Complete && !guard.IsIdle():
		guard.RecordResponse(subject())
	case end == scheduler.Crashed:
		guard.RecordCrash(subject(), r.assignment.Backend.ID, r.verdict)
	}
}

// awaitEnd waits for the end of the run and submits it to the event loop.
func (r *activeRun) awaitEnd(wait func(ctx context.Context) scheduler.RunEnd) {
	began := time.Now()
	defer r.cancel()
	defer r.stallTimer.Stop()
	end, text, versions := r.outcome(wait(r.context))
	r.recordOutcome(end)
	r.leadership.metrics.run.WithLabelValues().Observe(time.Since(began).Seconds())
	r.leadership.loop.Submit(func() { r.leadership.runEnded(r.assignment.Task, r.assignment, end, text, versions) })
}
