package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/ledger"
)

// newSchedulerWithLateSample returns a scheduler with a running step of three single-sample groups and the
// long task of the third. The trainer waits for two groups; groups are resubmitted after two steps.
func newSchedulerWithLateSample(t *testing.T) (*Scheduler, *Task) {
	s := New()
	s.SyncEngines(0, engines(2, 8, "m"), map[string]uint64{"m": 2})
	for _, e := range s.engines {
		e.pace = 40
	}
	s.model("m").recordResubmission(2)
	step := newEntry("x", "m", 1, 3)
	step.Step.Wanted = 2
	for position := range step.Step.Samples {
		step.Step.Samples[position].Group = fmt.Sprint(position)
	}
	step.Step.Samples[2].Predicted = 100
	s.AddStep(step)
	require.Len(t, s.Assign(0, anywhere), 3)
	return s, s.steps["x"].tasks[2]
}

// startSpeculative starts a speculative run of the long sample and returns it.
func startSpeculative(t *testing.T, s *Scheduler, first *Task) *Task {
	require.Empty(t, s.StartSpeculative(0, anywhere), "no engine holds a version that the later step will allow")
	s.SyncEngines(0, engines(2, 8, "m"), map[string]uint64{"m": 3})
	for _, e := range s.engines {
		e.versions["m"] = 3
	}
	assignments := s.StartSpeculative(0, anywhere)
	require.Len(t, assignments, 1)
	require.Equal(t, first.Sample.ID, assignments[0].Task.Sample.ID)
	require.Empty(t, s.StartSpeculative(0, anywhere), "a sample is run speculatively only once")
	return assignments[0].Task
}

// resubmit adds a step that resubmits the long sample.
func resubmit(s *Scheduler, first *Task, oldest uint64) []*Task {
	later := newEntry("y", "m", oldest, 0)
	later.Step.Number = first.Step.Number + 2
	later.Step.Samples = []ledger.Sample{*first.Sample}
	return s.AddStep(later)
}

// TestStepPromotesSpeculativeRun checks that the run continues as a task of the later step.
func TestStepPromotesSpeculativeRun(t *testing.T) {
	s, first := newSchedulerWithLateSample(t)
	speculative := startSpeculative(t, s, first)
	s.EndStep("x")
	require.Equal(t, Running, speculative.State, "ending the earlier step does not end the run")
	require.Empty(t, resubmit(s, first, 3))
	require.Equal(t, []*Task{speculative}, s.steps["y"].tasks)
	require.False(t, speculative.IsSpeculative())
	require.Empty(t, s.Assign(0, anywhere))
	speculative.Text = Text{Events: []string{"data"}, Last: 1, Versions: []uint64{3}}
	s.RunEnded(0, speculative, speculative.Run, Complete)
	require.Equal(t, Scoring, speculative.State)
}

// TestTextOfSpeculativeRunIsKept checks that a later step uses the completed text only if it allows
// the text's version.
func TestTextOfSpeculativeRunIsKept(t *testing.T) {
	for oldest, complete := range map[uint64]int{3: 1, 4: 0} {
		s, first := newSchedulerWithLateSample(t)
		speculative := startSpeculative(t, s, first)
		speculative.Text = Text{Events: []string{"data"}, Last: 1, Versions: []uint64{3}}
		require.True(t, s.RunEnded(0, speculative, speculative.Run, Complete))
		require.Equal(t, Finished, speculative.State)
		first.Text = Text{Events: []string{"older"}, Last: 1, Versions: []uint64{1}}
		s.EndStep("x")
		require.Len(t, resubmit(s, first, oldest), complete)
	}
}

// TestUnusedSpeculativeRunEnds checks that a speculative run ends when the step that would claim it
// has passed, when the resubmitting step cannot use it, and when its stream breaks.
func TestUnusedSpeculativeRunEnds(t *testing.T) {
	s, first := newSchedulerWithLateSample(t)
	speculative := startSpeculative(t, s, first)
	require.Empty(t, s.EndUnusedSpeculative())
	later := newEntry("z", "m", 4, 1)
	later.Step.Number = 3
	s.AddStep(later)
	require.Equal(t, []*Task{speculative}, s.EndUnusedSpeculative())
	require.Empty(t, s.speculative)

	s, first = newSchedulerWithLateSample(t)
	speculative = startSpeculative(t, s, first)
	resubmit(s, first, 4)
	require.Equal(t, []*Task{speculative}, s.EndUnusedSpeculative(), "the step does not allow the run's version")

	s, first = newSchedulerWithLateSample(t)
	speculative = startSpeculative(t, s, first)
	require.True(t, s.RunEnded(0, speculative, speculative.Run, Broken))
	require.Equal(t, Finished, speculative.State)
	require.Empty(t, s.speculative)
}

// TestNoSpeculationWithoutResubmissions checks that no run is speculative until a group has been
// resubmitted.
func TestNoSpeculationWithoutResubmissions(t *testing.T) {
	s, _ := newSchedulerWithLateSample(t)
	s.model("m").resubmissionSteps = 0
	s.model("m").newest = 9
	for _, e := range s.engines {
		e.versions["m"] = 9
	}
	require.Empty(t, s.StartSpeculative(0, anywhere))
}
