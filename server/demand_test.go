package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/scheduler"
)

// TestDemandIncludesSamplesThatCrashedEngines checks that the demand includes a waiting sample under which engines
// crashed: it is owed.
func TestDemandIncludesSamplesThatCrashedEngines(t *testing.T) {
	d := newStalledDirectory(t, routing.Rollout, testBackend("a"))
	leader := newStalledLeader(t, d, recordingEngine{started: make(chan string, 1)}, d.address)
	sample := &ledger.Sample{ID: "x", Path: "/"}
	task := &scheduler.Task{Step: &ledger.Step{ID: "step", Host: "h"}, Sample: sample}
	content := scheduler.SubjectOf("h", "", sample).Content
	suspects := map[quarantine.Fingerprint]quarantine.Suspect{
		content: {Fingerprint: content, Crashes: quarantine.CrashThreshold},
	}
	leader.guard = quarantine.NewGuard(quarantine.SharedRecord{
		Suspects: func() map[quarantine.Fingerprint]quarantine.Suspect { return suspects },
	}, clock.Now)
	for _, state := range []scheduler.TaskState{scheduler.Waiting, scheduler.Running} {
		task.State = state
		services, needed := leader.routedServices(task)
		require.True(t, needed)
		require.Equal(t, []string{"s"}, services)
	}
	require.Empty(t, leader.demands(), "its service is not scalable")
}
