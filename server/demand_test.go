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

// TestDemandRequestsNoTrial checks that computing the demand excludes quarantined samples, includes running
// ones and requests no trial.
func TestDemandRequestsNoTrial(t *testing.T) {
	d := newStalledDirectory(t, routing.Rollout, testBackend("a"))
	leader := newStalledLeader(t, d, recordingEngine{started: make(chan string, 1)}, d.address)
	sample := &ledger.Sample{ID: "x", Path: "/"}
	task := &scheduler.Task{Step: &ledger.Step{ID: "step", Host: "h"}, Sample: sample}
	content := scheduler.SubjectOf("h", "", sample).Content
	suspects := map[quarantine.Fingerprint]quarantine.Suspect{
		content: {Fingerprint: content, Crashes: quarantine.CrashThreshold, Offered: true},
	}
	leader.guard = quarantine.NewGuard(quarantine.SharedRecord{
		Suspects:  func() map[quarantine.Fingerprint]quarantine.Suspect { return suspects },
		TakeTrial: func(context.Context, quarantine.Fingerprint) bool { return true },
	}, clock.Now)
	leader.quarantined, leader.requestingTrial = map[quarantine.Fingerprint]bool{}, map[quarantine.Fingerprint]bool{}
	_, needed := leader.servicesNeededBy(task)
	require.False(t, needed)
	task.State = scheduler.Running
	services, needed := leader.servicesNeededBy(task)
	require.True(t, needed)
	require.Equal(t, []string{"s"}, services)
	require.Empty(t, leader.demands(), "the sample is quarantined, and its service is not scalable")
	require.Empty(t, leader.requestingTrial)
	require.Empty(t, leader.quarantined)
}
