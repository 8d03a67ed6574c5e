package server

import (
	"context"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

// A sample is owed once its step is accepted, and does not crash what runs it by itself, so crashes delay it by a backoff
// at most; see Scheduler.RunEnded. They are reported all the same, so that other processes avoid the backends that
// crashed. A reward call may crash what runs it, and is quarantined like a caller's request; see sendReward.

// checkBeforeRun returns the verdict on a sample that is about to run.
func (l *leadership) checkBeforeRun(task *scheduler.Task) quarantine.Verdict {
	if l.guard.IsIdle() {
		return quarantine.Verdict{}
	}
	return l.guard.CheckSubject(task.Subject())
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
