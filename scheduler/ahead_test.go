package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/ledger"
)

// returningStep takes in a step of three groups of one sample each, of which the
// trainer waits for two and the third is long, in a deployment where groups come
// again after two steps. All of them run.
func returningStep(t *testing.T) (*Scheduler, *Task) {
	s := New()
	s.SyncEngines(0, engines(2, 8, "m"), map[string]uint64{"m": 2})
	for _, e := range s.engines {
		e.pace = 40
	}
	s.model("m").recordResubmission(2)
	step := entry("x", "m", 1, 3)
	step.Step.Wanted = 2
	for position := range step.Step.Samples {
		step.Step.Samples[position].Group = fmt.Sprint(position)
	}
	step.Step.Samples[2].Predicted = 100
	s.AddStep(step)
	require.Len(t, s.Assign(0, anywhere), 3)
	return s, s.steps["x"].tasks[2]
}

// runAhead has the long sample run ahead, and returns that run.
func runAhead(t *testing.T, s *Scheduler, first *Task) *Task {
	require.Empty(t, s.StartSpeculative(0, anywhere), "no engine holds a version that the later step allows")
	s.SyncEngines(0, engines(2, 8, "m"), map[string]uint64{"m": 3})
	for _, e := range s.engines {
		e.versions["m"] = 3
	}
	assignments := s.StartSpeculative(0, anywhere)
	require.Len(t, assignments, 1)
	require.Equal(t, first.Sample.ID, assignments[0].Task.Sample.ID)
	require.Empty(t, s.StartSpeculative(0, anywhere), "once")
	return assignments[0].Task
}

// comesAgain takes in the step in which the long sample comes again.
func comesAgain(s *Scheduler, first *Task, oldest uint64) []*Task {
	again := entry("y", "m", oldest, 0)
	again.Step.Number = first.Step.Number + 2
	again.Step.Samples = []ledger.Sample{*first.Sample}
	return s.AddStep(again)
}

// TestStepTakesOverARunAhead: the run goes on as that of the later step.
func TestStepTakesOverARunAhead(t *testing.T) {
	s, first := returningStep(t)
	ahead := runAhead(t, s, first)
	s.EndStep("x")
	require.Equal(t, Running, ahead.State, "the end of the earlier step leaves it alone")
	require.Empty(t, comesAgain(s, first, 3))
	require.Equal(t, []*Task{ahead}, s.steps["y"].tasks)
	require.False(t, ahead.IsSpeculative())
	require.Empty(t, s.Assign(0, anywhere))
	ahead.Text = Text{Events: []string{"data"}, Last: 1, Versions: []uint64{3}}
	s.RunEnded(0, ahead, ahead.Run, Complete)
	require.Equal(t, Scoring, ahead.State)
}

// TestRunAheadThatEndsIsKept: its text is that of the later step at once; one
// under too old a version is not used.
func TestRunAheadThatEndsIsKept(t *testing.T) {
	for oldest, whole := range map[uint64]int{3: 1, 4: 0} {
		s, first := returningStep(t)
		ahead := runAhead(t, s, first)
		ahead.Text = Text{Events: []string{"data"}, Last: 1, Versions: []uint64{3}}
		require.True(t, s.RunEnded(0, ahead, ahead.Run, Complete))
		require.Equal(t, Finished, ahead.State)
		first.Text = Text{Events: []string{"older"}, Last: 1, Versions: []uint64{1}}
		s.EndStep("x")
		require.Len(t, comesAgain(s, first, oldest), whole)
	}
}

// TestRunAheadThatNobodyAsksForEnds: once the step that would have is past or
// cannot use it, or its engine is gone.
func TestRunAheadThatNobodyAsksForEnds(t *testing.T) {
	s, first := returningStep(t)
	ahead := runAhead(t, s, first)
	require.Empty(t, s.EndUnusedSpeculative())
	later := entry("z", "m", 4, 1)
	later.Step.Number = 3
	s.AddStep(later)
	require.Equal(t, []*Task{ahead}, s.EndUnusedSpeculative())
	require.Empty(t, s.speculative)

	s, first = returningStep(t)
	ahead = runAhead(t, s, first)
	comesAgain(s, first, 4)
	require.Equal(t, []*Task{ahead}, s.EndUnusedSpeculative(), "the step allows no version as old")

	s, first = returningStep(t)
	ahead = runAhead(t, s, first)
	require.True(t, s.RunEnded(0, ahead, ahead.Run, Broken))
	require.Equal(t, Finished, ahead.State)
	require.Empty(t, s.speculative)
}

// TestNothingRunsAheadWhereNoGroupComesAgain: as long as none has.
func TestNothingRunsAheadWhereNoGroupComesAgain(t *testing.T) {
	s, _ := returningStep(t)
	s.model("m").resubmissionSteps = 0
	s.model("m").newest = 9
	for _, e := range s.engines {
		e.versions["m"] = 9
	}
	require.Empty(t, s.StartSpeculative(0, anywhere))
}
