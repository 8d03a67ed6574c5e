package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/ledger"
)

// finishGroup finishes the four samples of a group. It reports whether this gave the trainer all
// that it waits for.
func finishGroup(s *Scheduler, step string, group int) bool {
	complete := false
	for _, task := range s.steps[step].tasks[4*group : 4*group+4] {
		complete = s.Finish(task) || complete
	}
	return complete
}

// TestStepCompletesOnce checks that a step whose trainer waits for two of three groups is reported
// complete exactly once.
func TestStepCompletesOnce(t *testing.T) {
	s := New()
	step := newEntry("x", "m", 1, 12)
	step.Step.Wanted = 2
	s.AddStep(step)
	require.False(t, finishGroup(s, "x", 2))
	require.False(t, s.Finish(s.steps["x"].tasks[8]), "finishing a sample twice counts once")
	require.True(t, finishGroup(s, "x", 0))
	require.False(t, finishGroup(s, "x", 1))
}

// laterStep returns a second step of three groups, of which its trainer waits for one. The group at
// the given index is "g0" of the first step.
func laterStep(resubmittedIndex int) *ledger.Entry {
	step := newEntry("y", "m", 1, 12)
	step.Step.Number, step.Step.Wanted = 1, 1
	for position := range step.Step.Samples {
		step.Step.Samples[position].Group = fmt.Sprintf("new%d", position/4)
		if position/4 == resubmittedIndex {
			step.Step.Samples[position].Group = "g0"
		}
	}
	return step
}

// TestStepWaitsForResubmittedGroups checks that a step does not complete without its resubmitted
// group.
func TestStepWaitsForResubmittedGroups(t *testing.T) {
	s := New()
	first := newEntry("x", "m", 1, 12)
	s.AddStep(first)
	s.EndStep("x")
	s.AddStep(laterStep(0))
	require.False(t, finishGroup(s, "y", 1))
	require.True(t, finishGroup(s, "y", 0))
}

// TestProgressAfterLeaderChange checks that a new leader counts groups whose results are all
// recorded as complete.
func TestProgressAfterLeaderChange(t *testing.T) {
	s := New()
	step := newEntry("x", "m", 1, 12)
	step.Step.Wanted = 2
	machine := ledger.NewMachine()
	machine.Apply(ledger.Command{Submit: step.Step}.Encode())
	record := &ledger.Record{Step: "x"}
	for _, sample := range step.Step.Samples[:4] {
		record.Results = append(record.Results, ledger.Result{Sample: sample.ID, State: ledger.Succeeded})
	}
	machine.Apply(ledger.Command{Record: record}.Encode())
	s.AddStep(machine.Step("x"))
	complete := false
	for _, task := range s.steps["x"].tasks[:4] {
		complete = s.Finish(task) || complete
	}
	require.True(t, complete)
}

// TestTextsOfLateGroupsAreKept checks that the texts of a group are kept if it completed after the
// trainer had what it waits for, since the group may be resubmitted.
func TestTextsOfLateGroupsAreKept(t *testing.T) {
	s := New()
	step := newEntry("x", "m", 1, 8)
	step.Step.Wanted = 1
	s.AddStep(step)
	for _, task := range s.steps["x"].tasks {
		task.Text = Text{Events: []string{"data"}, Last: 1, Versions: []uint64{1}, Complete: true}
	}
	require.True(t, finishGroup(s, "x", 0))
	finishGroup(s, "x", 1)
	s.EndStep("x")
	later := newEntry("y", "m", 1, 0)
	later.Step.Samples = step.Step.Samples[4:]
	require.Len(t, s.AddStep(later), 4)
	require.Len(t, s.keptTexts.texts["m"], 4, "texts of the delivered group are dropped")
}

// TestRemainingEvents checks that predictions are converted from tokens to events, that texts
// beyond their prediction are expected to continue, and that the token limit bounds the result.
func TestRemainingEvents(t *testing.T) {
	task := &Task{Step: &ledger.Step{EventTokens: 50}, Sample: &ledger.Sample{Predicted: 5000, MostTokens: 6000}}
	for after, expected := range map[uint64]float64{0: 100, 10: 90, 70: 40, 100: 20, 119: 1} {
		require.InDelta(t, expected, task.remainingEvents(after), 0.01, "after %d events", after)
	}
	longer := &Task{Step: &ledger.Step{EventTokens: 50}, Sample: &ledger.Sample{Predicted: 50000, MostTokens: 6000}}
	require.InDelta(t, 120, longer.remainingEvents(0), 0.01)
	unknown := &Task{Step: &ledger.Step{}, Sample: &ledger.Sample{}}
	require.InDelta(t, 1, unknown.remainingEvents(0), 0.01)
}

// TestNextLeaderRecognizesResubmittedGroups checks that a leader waits for resubmitted groups even
// if the earlier step ended under another leader.
func TestNextLeaderRecognizesResubmittedGroups(t *testing.T) {
	s := New()
	s.RecordEndedStep(newEntry("x", "m", 1, 4).Step)
	s.AddStep(laterStep(2))
	require.False(t, finishGroup(s, "y", 0))
	require.True(t, finishGroup(s, "y", 2))
}

// TestResubmittedSamplesHaveKnownLength checks that lengths are known even if the texts cannot be
// used.
func TestResubmittedSamplesHaveKnownLength(t *testing.T) {
	s := New()
	first := newEntry("x", "m", 1, 4)
	s.AddStep(first)
	for number, task := range s.steps["x"].tasks[:2] {
		task.Text = Text{Events: make([]string, 30), Last: 30, Versions: []uint64{1}, Complete: number == 0}
	}
	s.EndStep("x")
	step := newEntry("y", "m", 2, 0)
	step.Step.Number, step.Step.Samples = 1, first.Step.Samples
	s.AddStep(step)
	var expected []float64
	for _, task := range s.steps["y"].tasks {
		require.Zero(t, task.Text.Last)
		expected = append(expected, task.remainingEvents(0))
	}
	require.Equal(t, []float64{30, 30, 3, 4}, expected)
	require.InDelta(t, 1, s.steps["y"].tasks[0].remainingEvents(30), 0.01)
	require.Greater(t, s.steps["y"].tasks[1].remainingEvents(30), 4.0)
}

// TestGroupsAreResubmittedRepeatedly checks that a group is still recognized many steps after the
// first that had it.
func TestGroupsAreResubmittedRepeatedly(t *testing.T) {
	s := New()
	for number := range 8 {
		step := newEntry(fmt.Sprint(number), "m", 1, 12)
		step.Step.Number, step.Step.Wanted = number, 1
		for position := range step.Step.Samples {
			if position >= 4 || number%2 == 1 {
				step.Step.Samples[position].Group = fmt.Sprintf("%d-%s", number, step.Step.Samples[position].Group)
			}
		}
		s.AddStep(step)
		if number%2 == 0 && number > 0 {
			require.False(t, finishGroup(s, step.Step.ID, 1), "step %d waits for the resubmitted group", number)
			require.True(t, finishGroup(s, step.Step.ID, 0))
			require.InDelta(t, 2, s.model("m").resubmissionSteps, 0.01)
		}
		s.EndStep(step.Step.ID)
	}
}
