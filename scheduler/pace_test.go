package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/ledger"
)

// addRunning adds a running sample with the predicted number of events to the engine.
func addRunning(s *Scheduler, id, engine string, predicted int) *Task {
	task := &Task{
		Step: &ledger.Step{ID: "x", Model: "m"}, Sample: &ledger.Sample{ID: id, Predicted: predicted},
		State: Running, Engine: engine,
	}
	s.engines[engine].running[task] = true
	return task
}

// movedTasks returns the tasks that are moved.
func movedTasks(s *Scheduler) []*Task {
	var tasks []*Task
	for _, move := range s.ChooseMoves(minObservationMillis, anywhere) {
		tasks = append(tasks, move.Task)
	}
	return tasks
}

// TestMovesSaveTime checks that only the long sample leaves a slow engine, and that nothing moves
// to a full engine.
func TestMovesSaveTime(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(3, 2, "m"), nil)
	s.engines["e00"].pace, s.engines["e01"].pace, s.engines["e02"].pace = 60, 40, 40
	s.medianPace = 40
	long := addRunning(s, "long", "e00", 100)
	addRunning(s, "short", "e00", 10)
	require.Equal(t, []*Task{long}, movedTasks(s))
	require.Empty(t, s.ChooseMoves(minObservationMillis, anywhere), "a task is moved only once")

	other := addRunning(s, "other", "e00", 100)
	for _, full := range []string{"e01", "e02"} {
		addRunning(s, "a", full, 10)
		addRunning(s, "b", full, 10)
	}
	require.Empty(t, s.ChooseMoves(minObservationMillis, anywhere))
	require.False(t, other.moving)
}

// TestPaceFollowsRecentObservations checks that the pace follows a change within a few
// observations, even in long runs, and that time spent loading weights does not count.
func TestPaceFollowsRecentObservations(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 2, "m"), nil)
	task := addRunning(s, "x", "e00", 500)
	now, events := int64(0), 0
	observe := func(ticks, each int) {
		for range ticks {
			now += 100
			events += each
			s.ObserveRun(now, task, events)
			s.UpdatePaces()
		}
	}
	observe(50, 4)
	require.InDelta(t, 25, s.engines["e00"].pace, 1)
	observe(5, 1)
	require.Greater(t, s.engines["e00"].pace, 50.0)
	observe(20, 4)
	require.InDelta(t, 25, s.engines["e00"].pace, 2)
	s.engines["e00"].loading = &LoadOrder{Model: "m"}
	observe(10, 0)
	require.InDelta(t, 25, s.engines["e00"].pace, 2)
}

// TestLongSamplesGoToFastEngines checks that long samples go to fast engines and short ones to idle
// engines.
func TestLongSamplesGoToFastEngines(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(2, 8, "m"), nil)
	fast, slow := s.engines["e00"], s.engines["e01"]
	fast.pace, slow.pace, s.medianPace = 36, 47, 36
	for _, id := range []string{"a", "b", "c"} {
		addRunning(s, id, "e00", 10)
	}
	step := newEntry("y", "m", 1, 2)
	step.Step.Samples[0].Predicted, step.Step.Samples[1].Predicted = 150, 5
	step.Step.Samples[0].Group = "long"
	s.AddStep(step)
	placed := map[string]string{}
	for _, assignment := range s.Assign(0, anywhere) {
		placed[assignment.Task.Sample.ID] = assignment.Backend.ID
	}
	require.Equal(t, map[string]string{"y-0": "e00", "y-1": "e01"}, placed)
}

// TestLongSamplesLeaveDrainingEngine checks that a long sample leaves a draining engine and one
// that is nearly done stays.
func TestLongSamplesLeaveDrainingEngine(t *testing.T) {
	s := New()
	backends := engines(2, 4, "m")
	s.SyncEngines(0, backends, nil)
	s.engines["e00"].pace, s.engines["e01"].pace, s.medianPace = 40, 40, 40
	long := addRunning(s, "long", "e00", 100)
	addRunning(s, "short", "e00", 10)
	require.Empty(t, s.ChooseMoves(minObservationMillis, anywhere))
	backends[0].Draining = true
	s.SyncEngines(0, backends, nil)
	require.Equal(t, []*Task{long}, movedTasks(s))
}

// TestPacesSurviveLeaderChange checks that a new leader starts with the restored paces and replaces
// them by its own observations.
func TestPacesSurviveLeaderChange(t *testing.T) {
	earlier, s := New(), New()
	earlier.SyncEngines(0, engines(3, 4, "m"), nil)
	earlier.engines["e00"].pace, earlier.engines["e01"].pace = 60, 40
	s.RestorePaces(earlier.Paces())
	s.SyncEngines(0, engines(3, 4, "m"), nil)
	require.InDelta(t, 60, s.engines["e00"].pace, 0)
	require.InDelta(t, 40, s.medianPace, 0)
	require.Zero(t, s.engines["e02"].pace)
	task := addRunning(s, "x", "e00", 100)
	s.ObserveRun(400, task, 20)
	s.UpdatePaces()
	require.InDelta(t, 20, s.engines["e00"].pace, 1)
}
