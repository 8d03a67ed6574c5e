package server

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

// brokenEngine ends each run as broken.
type brokenEngine struct{}

func (brokenEngine) Run(context.Context, runner.Request, func(runner.Event)) scheduler.RunEnd {
	return scheduler.Broken
}

// TestRunnerReportsCrashWithLeaderVerdict checks that a crash is counted, whether leader or runner reports
// it first, if only the leader knew of an earlier crash.
func TestRunnerReportsCrashWithLeaderVerdict(t *testing.T) {
	request := runner.Request{
		Backend: directory.Backend{ID: "second"}, Host: "host", Sample: &ledger.Sample{ID: "two", Path: "/crashing"},
	}
	subject := scheduler.SubjectOf(request.Host, request.Tenant, request.Sample)
	for _, runnerFirst := range []bool{true, false} {
		leader, follower := quarantine.NewGuard(quarantine.SharedRecord{}, clock.Now), quarantine.NewGuard(quarantine.SharedRecord{}, clock.Now)
		leader.RecordCrash(quarantine.Subject{Content: "one", Kind: subject.Kind}, "first", quarantine.Verdict{})
		follower.RecordCrash(quarantine.Subject{Content: "other", Kind: "other"}, "third", quarantine.Verdict{})
		reported := leader.TakeReport().Crashes
		verdict := leader.CheckSubject(subject)
		request.KnownCrashes, request.KnownKindCrashes = verdict.KnownCrashes, verdict.KnownKindCrashes
		hasCrashed := func(context.Context, directory.Backend) bool { return true }
		engine := guardedEngine{engine: brokenEngine{}, guard: follower, hasCrashed: hasCrashed}
		require.Equal(t, scheduler.Crashed, engine.Run(context.Background(), request, func(runner.Event) {}))
		leader.RecordCrash(subject, "second", verdict)
		if runnerFirst {
			reported = append(reported, follower.TakeReport().Crashes...)
		}
		reported = append(append(reported, leader.TakeReport().Crashes...), follower.TakeReport().Crashes...)
		machine := directory.NewMachine()
		machine.Apply(directory.Command{Crashes: reported}.Encode())
		suspect, _, _ := machine.Suspect(subject.Kind)
		require.Equal(t, 2, suspect.Crashes, "runner first: %v", runnerFirst)
	}
}

// TestRunnerCountsApplyIfLeaderKnowsFewer checks that the runner's crash counts are used if a new leader
// knows of fewer crashes.
func TestRunnerCountsApplyIfLeaderKnowsFewer(t *testing.T) {
	subject := quarantine.Subject{Content: "one", Kind: "kind"}
	guard := quarantine.NewGuard(quarantine.SharedRecord{}, clock.Now)
	guard.RecordCrash(subject, "first", quarantine.Verdict{})
	engine := guardedEngine{guard: guard}
	verdict := engine.check(runner.Request{}, subject)
	require.Equal(t, []int{1, 1}, []int{verdict.KnownCrashes, verdict.KnownKindCrashes})
}
