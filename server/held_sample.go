package server

import (
	"context"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

// isHeldBack tells whether the task's sample crashes the engines that run it. Its trial, if one
// is offered, is asked for beside the loop.
func (t *leadership) isHeldBack(task *scheduler.Task) bool {
	if t.guard.IsIdle() {
		return false
	}
	verdict := t.guard.CheckSubject(task.Subject())
	if !verdict.Quarantined {
		return false
	}
	if !t.quarantined[verdict.Subject.Content] {
		t.quarantined[verdict.Subject.Content] = true
		event.SampleQuarantined.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Str("content", string(verdict.Fingerprint)).Send()
	}
	if verdict.TrialOffered && !t.requestingTrial[verdict.Fingerprint] {
		t.requestingTrial[verdict.Fingerprint] = true
		go t.askForTrial(verdict)
	}
	return true
}

// isPostponed tells whether an engine has ended under the task's sample, and too many are away for
// it to run on another one now.
func (t *leadership) isPostponed(task *scheduler.Task, services []string) bool {
	if t.guard.IsIdle() {
		task.KindSuspected = false
		return false
	}
	verdict := t.guard.CheckSubject(task.Subject())
	task.KindSuspected = verdict.KnownKindCrashes > 0
	return verdict.IsSuspect() && t.forwarder.PostponesSuspects(t.catalog, services)
}

// askForTrial asks for a trial, which is the sample's alone also if it is that of its kind.
func (t *leadership) askForTrial(verdict quarantine.Verdict) {
	if t.guard.TakeTrial(t.context, verdict.Fingerprint) {
		t.guard.Permit(verdict.Subject.Content)
	}
	t.loop.Submit(func() { delete(t.requestingTrial, verdict.Fingerprint) })
}

// clearedFor returns what is known of a sample whose run begins, and whether the run is a trial:
// a permit is used up.
func (t *leadership) clearedFor(task *scheduler.Task) (verdict quarantine.Verdict, trial bool) {
	if t.guard.IsIdle() {
		return quarantine.Verdict{}, false
	}
	subject := task.Subject()
	trial = t.guard.UsePermit(subject.Content)
	return t.guard.CheckSubject(subject), trial
}

// guardedEngine runs samples and learns which of them crash the engines that run them. It
// belongs to the runner, which is not lost with the leader.
type guardedEngine struct {
	engine   runner.Engine
	guard    *quarantine.Guard
	hasEnded func(ctx context.Context, backend directory.Backend) bool
}

// judge returns what is known of the sample that is to run. The leader may know of more crashes
// than the runner, and the other way round.
func (g *guardedEngine) judge(request runner.Request, subject quarantine.Subject) quarantine.Verdict {
	verdict := g.guard.CheckSubject(subject)
	verdict.KnownCrashes, verdict.KnownKindCrashes = max(verdict.KnownCrashes, request.KnownCrashes), max(verdict.KnownKindCrashes, request.KnownKindCrashes)
	return verdict
}

// Run implements runner.Engine. A run that breaks off by the engine's end has crashed.
func (g *guardedEngine) Run(ctx context.Context, request runner.Request, each func(runner.Event)) scheduler.RunEnd {
	verdict := quarantine.Verdict{KnownCrashes: request.KnownCrashes, KnownKindCrashes: request.KnownKindCrashes}
	if !g.guard.IsIdle() {
		verdict = g.judge(request, scheduler.SubjectOf(request.Host, request.Tenant, request.Sample))
	}
	end := g.engine.Run(ctx, request, each)
	if end != scheduler.Broken || ctx.Err() != nil || !g.hasEnded(ctx, request.Backend) {
		return end
	}
	g.guard.RecordCrash(scheduler.SubjectOf(request.Host, request.Tenant, request.Sample), request.Backend.ID, verdict)
	return scheduler.Crashed
}
