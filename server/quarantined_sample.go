package server

import (
	"context"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

// isQuarantined reports whether the task's sample is quarantined. If a trial is offered, it starts a request
// for it outside the event loop.
func (l *leadership) isQuarantined(task *scheduler.Task) bool {
	if l.guard.IsIdle() {
		return false
	}
	verdict := l.guard.CheckSubject(task.Subject())
	if !verdict.Quarantined {
		return false
	}
	if !l.quarantined[verdict.Subject.Content] {
		l.quarantined[verdict.Subject.Content] = true
		event.SampleQuarantined.On(l.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Str("content", string(verdict.Fingerprint)).Send()
	}
	if verdict.TrialOffered && !l.requestingTrial[verdict.Fingerprint] {
		l.requestingTrial[verdict.Fingerprint] = true
		go l.requestTrial(verdict)
	}
	return true
}

// isPostponed reports whether the task's sample is a suspect that must wait, because too many backends
// are unavailable after crashes.
func (l *leadership) isPostponed(task *scheduler.Task, services []string) bool {
	if l.guard.IsIdle() {
		task.KindSuspected = false
		return false
	}
	verdict := l.guard.CheckSubject(task.Subject())
	task.KindSuspected = verdict.KnownKindCrashes > 0
	return verdict.IsSuspect() && l.forwarder.PostponesSuspects(l.catalog, services)
}

// requestTrial requests a trial and permits the sample if it is granted. A trial of a kind permits no other
// sample.
func (l *leadership) requestTrial(verdict quarantine.Verdict) {
	if l.guard.TakeTrial(l.context, verdict.Fingerprint) {
		l.guard.Permit(verdict.Subject.Content)
	}
	l.loop.Submit(func() { delete(l.requestingTrial, verdict.Fingerprint) })
}

// checkBeforeRun returns the verdict on a sample that is about to run, and whether the run is a trial,
// which uses up its permit.
func (l *leadership) checkBeforeRun(task *scheduler.Task) (verdict quarantine.Verdict, trial bool) {
	if l.guard.IsIdle() {
		return quarantine.Verdict{}, false
	}
	subject := task.Subject()
	trial = l.guard.UsePermit(subject.Content)
	return l.guard.CheckSubject(subject), trial
}

// guardedEngine runs samples and records which of them crash their engines. It belongs to the runner and
// therefore survives a change of the leader.
type guardedEngine struct {
	engine     runner.Engine
	guard      *quarantine.Guard
	hasCrashed func(ctx context.Context, backend directory.Backend) bool
}

// check returns the verdict on a sample that is about to run, with the higher of the crash counts known to
// the leader and to the runner.
func (g *guardedEngine) check(request runner.Request, subject quarantine.Subject) quarantine.Verdict {
	verdict := g.guard.CheckSubject(subject)
	verdict.KnownCrashes, verdict.KnownKindCrashes = max(verdict.KnownCrashes, request.KnownCrashes), max(verdict.KnownKindCrashes, request.KnownKindCrashes)
	return verdict
}

// Run implements runner.Engine. It returns Crashed if the stream ended because the engine crashed.
func (g *guardedEngine) Run(ctx context.Context, request runner.Request, onEvent func(runner.Event)) scheduler.RunEnd {
	verdict := quarantine.Verdict{KnownCrashes: request.KnownCrashes, KnownKindCrashes: request.KnownKindCrashes}
	if !g.guard.IsIdle() {
		verdict = g.check(request, scheduler.SubjectOf(request.Host, request.Tenant, request.Sample))
	}
	end := g.engine.Run(ctx, request, onEvent)
	if end != scheduler.Broken || ctx.Err() != nil || !g.hasCrashed(ctx, request.Backend) {
		return end
	}
	g.guard.RecordCrash(scheduler.SubjectOf(request.Host, request.Tenant, request.Sample), request.Backend.ID, verdict)
	return scheduler.Crashed
}
