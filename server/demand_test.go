package server

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/scheduler"
)

// TestDemandAsksForNoTrial: a sample that is held back needs no engine, one that runs does, and to
// count them asks for no trial, which the next send of the kind needs.
func TestDemandAsksForNoTrial(t *testing.T) {
	d := newStalledDirectory(t, routing.Rollout, testBackend("a"))
	tenured := newStalledTenure(t, d, recordingEngine{started: make(chan string, 1)}, d.address)
	sample := &ledger.Sample{ID: "x", Path: "/"}
	task := &scheduler.Task{Step: &ledger.Step{ID: "step", Host: "h"}, Sample: sample}
	content := scheduler.SubjectOf("h", "", sample).Content
	suspects := map[quarantine.Fingerprint]quarantine.Suspect{
		content: {Fingerprint: content, Crashes: quarantine.CrashThreshold, Offered: true},
	}
	tenured.guard = quarantine.NewGuard(quarantine.SharedRecord{
		Suspects:  func() map[quarantine.Fingerprint]quarantine.Suspect { return suspects },
		TakeTrial: func(context.Context, quarantine.Fingerprint) bool { return true },
	}, clock.Now)
	tenured.heldBack, tenured.asking = map[quarantine.Fingerprint]bool{}, map[quarantine.Fingerprint]bool{}
	_, needed := tenured.neededFrom(task)
	require.False(t, needed)
	task.State = scheduler.Running
	services, needed := tenured.neededFrom(task)
	require.True(t, needed)
	require.Equal(t, []string{"s"}, services)
	require.Empty(t, tenured.demands(), "the step's sample is held back, and its service cannot be scaled")
	require.Empty(t, tenured.asking)
	require.Empty(t, tenured.heldBack)
}
