package server

import (
	"context"
	"sync"
	"time"

	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

// followedRun is a run under way, as its tenure follows it.
type followedRun struct {
	tenure     *tenure
	assignment scheduler.Assignment
	context    context.Context
	cancel     context.CancelFunc
	progress   *runProgress
	// silence gives the run up if its engine sends nothing for stall.
	silence *time.Timer
	stall   time.Duration
	// verdict is what was known of the sample as its run began, and trial is set if the run used
	// a permit.
	verdict quarantine.Verdict
	trial   bool

	// mutex holds back parts that come while the run is given up.
	mutex sync.Mutex
	// version is the newest that has made an event, and gap is set once an event did not
	// follow the one before.
	version uint64
	gap     bool
}

// followRun prepares to follow a run of the task.
func (t *tenure) followRun(assignment scheduler.Assignment) *followedRun {
	task := assignment.Task
	ctx, cancel := context.WithCancel(t.context)
	t.cancels[task] = cancel
	progress := newRunProgress(task.Text)
	t.progress[task] = progress
	if task.Text.Last == 0 {
		delete(t.checkpointed, task)
	}
	stall := stallTimeout
	if t.scheduler.IsLoading(assignment.Backend.ID, task.Step.Model) {
		stall = loadStall
	}
	verdict, trial := t.checkBeforeRun(task)
	task.KindSuspected = verdict.KnownKindCrashes > 0
	return &followedRun{
		verdict: verdict, trial: trial, tenure: t, assignment: assignment, context: ctx, cancel: cancel, progress: progress,
		silence: time.AfterFunc(stall, cancel), stall: stall,
	}
}

// take takes in the next part of the run's text.
func (f *followedRun) take(batch runner.Batch) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.silence.Reset(f.stall)
	f.tenure.metrics.events.WithLabelValues().Add(float64(len(batch.Events)))
	for _, version := range batch.Versions {
		f.version = max(f.version, version)
	}
	if f.gap = f.gap || !f.progress.add(batch); f.gap {
		f.cancel()
	}
}

// outcome returns how a run has ended by what came of it, its text, and the newest version
// that has made an event of it.
func (f *followedRun) outcome(end scheduler.RunEnd) (scheduler.RunEnd, scheduler.Text, uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	text, _ := f.progress.read()
	if end == scheduler.Complete && (f.gap || text.Last == 0) {
		end = scheduler.Broken
	}
	return end, text, f.version
}

// learn takes in what the run's end tells of its sample. The runner tells of a crash, too; what
// is told twice counts once, and this leader knows before the sample waits again.
func (f *followedRun) learn(end scheduler.RunEnd) {
	guard, task := f.tenure.guard, f.assignment.Task
	subject := func() quarantine.Subject {
		return scheduler.SubjectOf(task.Step.Host, task.Step.Tenant, task.Sample)
	}
	switch {
	case end == scheduler.Complete && !guard.IsIdle():
		guard.RecordResponse(subject())
	case f.trial && (end == scheduler.Rejected || end == scheduler.Misdirected || end == scheduler.Unreachable):
		// It has not run: the trial is still to come.
		guard.Permit(subject().Content)
	case end == scheduler.Crashed:
		guard.RecordCrash(subject(), f.assignment.Backend.ID, f.verdict)
	}
}

// run waits for the run's end and tells it to the tenure.
func (f *followedRun) run(wait func(ctx context.Context) scheduler.RunEnd) {
	began := time.Now()
	defer f.cancel()
	defer f.silence.Stop()
	end, text, version := f.outcome(wait(f.context))
	f.learn(end)
	f.tenure.metrics.run.WithLabelValues().Observe(time.Since(began).Seconds())
	f.tenure.loop.Submit(func() { f.tenure.runEnded(f.assignment.Task, f.assignment, end, text, version) })
}
