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
func (t *tenure) isHeldBack(task *scheduler.Task) bool {
	if t.guard.IsIdle() {
		return false
	}
	verdict := t.guard.Judge(task.Fingerprint())
	if !verdict.Held {
		return false
	}
	if !t.heldBack[verdict.Fingerprint] {
		t.heldBack[verdict.Fingerprint] = true
		event.SampleHeldBack.On(t.logger).Str("sample", task.Sample.ID).Str("step", task.Step.ID).Str("content", string(verdict.Fingerprint)).Send()
	}
	if verdict.Offered && !t.asking[verdict.Fingerprint] {
		t.asking[verdict.Fingerprint] = true
		go t.askForTrial(verdict.Fingerprint)
	}
	return true
}

func (t *tenure) askForTrial(fingerprint quarantine.Fingerprint) {
	if t.guard.TakeTrial(t.context, fingerprint) {
		t.guard.Permit(fingerprint)
	}
	t.loop.Call(func() { delete(t.asking, fingerprint) })
}

// clearedFor returns the number of crashes that are known of a sample whose run begins, and
// whether the run is a trial: a permit is used up.
func (t *tenure) clearedFor(task *scheduler.Task) (known int, trial bool) {
	if t.guard.IsIdle() {
		return 0, false
	}
	fingerprint := task.Fingerprint()
	trial = t.guard.UsePermit(fingerprint)
	return t.guard.Judge(fingerprint).Known, trial
}

// guardedEngine runs samples and learns which of them crash the engines that run them. It
// belongs to the runner, which is not lost with the leader.
type guardedEngine struct {
	engine   runner.Engine
	guard    *quarantine.Guard
	hasEnded func(ctx context.Context, backend directory.Backend) bool
}

// Run implements runner.Engine. A run that breaks off by the engine's end has crashed.
func (g *guardedEngine) Run(ctx context.Context, request runner.Request, each func(runner.Event)) scheduler.RunEnd {
	known := 0
	if !g.guard.IsIdle() {
		known = g.guard.Judge(scheduler.FingerprintOf(request.Host, request.Tenant, request.Sample)).Known
	}
	end := g.engine.Run(ctx, request, each)
	if end != scheduler.Broken || ctx.Err() != nil || !g.hasEnded(ctx, request.Backend) {
		return end
	}
	g.guard.NoteCrash(scheduler.FingerprintOf(request.Host, request.Tenant, request.Sample), request.Backend.ID, known)
	return scheduler.Crashed
}
