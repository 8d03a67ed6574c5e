package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
)

// engines returns backends that hold version 1 of each model.
func engines(count, slots int, models ...string) []directory.Backend {
	var backends []directory.Backend
	for number := range count {
		backend := directory.Backend{ID: fmt.Sprintf("e%02d", number), Service: "engines", Address: fmt.Sprintf("10.0.0.%d:80", number), Slots: slots}
		for _, model := range models {
			backend.Models = append(backend.Models, directory.ModelVersion{Model: model, Version: 1})
		}
		backends = append(backends, backend)
	}
	return backends
}

func newEntry(id, model string, oldest uint64, samples int) *ledger.Entry {
	step := &ledger.Step{ID: id, Model: model, OldestVersion: oldest, Attempts: 3}
	for number := range samples {
		step.Samples = append(step.Samples, ledger.Sample{
			ID: fmt.Sprintf("%s-%d", id, number), Group: fmt.Sprintf("g%d", number/4), Predicted: number + 1,
		})
	}
	machine := ledger.NewMachine()
	machine.Apply(ledger.Command{Submit: step}.Encode())
	return machine.Step(id)
}

func anywhere(*Task) ([]string, bool) { return []string{"engines"}, true }

// TestLoadBlocksOnlyItsModel checks that samples of other models still start on an engine that is
// loading weights.
func TestLoadBlocksOnlyItsModel(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 8, "a", "b"), map[string]uint64{"a": 2})
	require.Len(t, s.LoadOrders(0), 1)
	s.AddStep(newEntry("of-a", "a", 1, 2))
	s.AddStep(newEntry("of-b", "b", 1, 2))
	for _, assignment := range s.Assign(0, anywhere) {
		require.Equal(t, "b", assignment.Task.Step.Model)
	}
	s.LoadCompleted(0, "e00", "a", 2, true)
	require.Len(t, s.Assign(0, anywhere), 2)
}

// TestLoadsKeepUpWithVersions checks that with three models on nine engines and two concurrent
// loads, at least two engines can serve each model's next step when its version is published.
func TestLoadsKeepUpWithVersions(t *testing.T) {
	const loadMillis, interval = 1000, 4000
	s := New()
	backends := engines(9, 8, "a", "b", "c")
	newest := map[string]uint64{"a": 1, "b": 1, "c": 1}
	s.SyncEngines(0, backends, newest)
	activeLoads := map[int64][]LoadOrder{}
	for now := int64(0); now < 60*interval; now += 100 {
		if now%interval == 0 && now > 0 {
			for model := range newest {
				newest[model]++
				s.SyncEngines(now, backends, newest)
				id := fmt.Sprintf("%s%d", model, now)
				s.AddStep(newEntry(id, model, newest[model]-1, 64))
				if now > 4*interval {
					require.GreaterOrEqual(t, serving(s, model), 2, "model %s at %d ms", model, now)
				}
				s.EndStep(id)
			}
		}
		for _, order := range activeLoads[now] {
			s.LoadCompleted(now, order.Backend.ID, order.Model, order.Version, true)
		}
		activeLoads[now+loadMillis] = append(activeLoads[now+loadMillis], s.LoadOrders(now)...)
		require.LessOrEqual(t, s.activeLoads(now), 2)
	}
}

func serving(s *Scheduler, name string) int {
	count := 0
	for _, e := range s.engines {
		if e.versions[name]+s.models[name].allowedLag >= s.models[name].newest {
			count++
		}
	}
	return count
}

// TestWaitingSamplesTriggerLoads checks that an engine with too old a version loads as soon as
// samples would wait longer than a load takes.
func TestWaitingSamplesTriggerLoads(t *testing.T) {
	s := New()
	backends := engines(4, 8, "a", "b")
	s.SyncEngines(0, backends, map[string]uint64{"a": 1, "b": 3})
	s.LoadCompleted(0, "e00", "b", 3, true)
	s.LoadCompleted(0, "e01", "b", 3, true)
	s.AddStep(newEntry("x", "b", 3, 300))
	s.Assign(0, anywhere)
	orders := s.LoadOrders(0)
	require.Len(t, orders, 1)
	require.Equal(t, "b", orders[0].Model)
	require.Equal(t, "e02", orders[0].Backend.ID)
}

// TestNeededGroupsStartFirst checks that the group that the trainer does not wait for starts last,
// and that of the others the longest samples start first.
func TestNeededGroupsStartFirst(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 1, "a"), nil)
	step := newEntry("x", "a", 1, 16)
	step.Step.Wanted = 3
	s.AddStep(step)
	var order []int
	for range 16 {
		assignment := s.Assign(0, anywhere)[0]
		order = append(order, assignment.Task.Sample.Predicted)
		s.Finish(assignment.Task)
	}
	require.Equal(t, []int{12, 11, 10, 9, 8, 7, 6, 5, 4, 3, 2, 1, 16, 15, 14, 13}, order)
}

// TestMoreUrgentStepStartsFirst checks that priority outranks the due time.
func TestMoreUrgentStepStartsFirst(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 1, "a"), nil)
	later := newEntry("later", "a", 1, 1)
	earlier := newEntry("earlier", "a", 1, 1)
	earlier.Step.Priority, later.Step.DueAt = 1, 10
	s.AddStep(earlier)
	s.AddStep(later)
	require.Equal(t, "later", s.Assign(0, anywhere)[0].Task.Step.ID)
}

// TestDeferredLoadsWaitForTheLease checks that only engines with orders of an earlier leader are
// deferred.
func TestDeferredLoadsWaitForTheLease(t *testing.T) {
	s := New()
	s.DeferLoads("e00", 1000)
	s.SyncEngines(0, engines(2, 8, "a"), map[string]uint64{"a": 2})
	orders := s.LoadOrders(999)
	require.Len(t, orders, 1)
	require.Equal(t, "e01", orders[0].Backend.ID)
	s.LoadCompleted(999, "e01", "a", 2, true)
	orders = s.LoadOrders(1000)
	require.Len(t, orders, 1)
	require.Equal(t, "e00", orders[0].Backend.ID)
}

// TestLoadsSpreadAcrossEngines checks that loads prefer engines that do not serve other models.
func TestLoadsSpreadAcrossEngines(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(4, 8, "a", "b"), map[string]uint64{"a": 2, "b": 2})
	s.LoadCompleted(0, "e00", "a", 2, true)
	s.LoadCompleted(0, "e01", "a", 2, true)
	order := s.LoadOrders(0)[0]
	require.Equal(t, "b", order.Model)
	require.Equal(t, "e02", order.Backend.ID)
}

// TestTextIsKeptForALaterStep checks that a resubmitted sample continues from its kept text, or is
// scored immediately if that is complete, unless the later step does not allow the text's version.
func TestTextIsKeptForALaterStep(t *testing.T) {
	for oldest, usable := range map[uint64]bool{1: true, 2: false} {
		s := New()
		backends := engines(1, 8, "a")
		backends[0].Models[0].Version = 2
		s.SyncEngines(0, backends, map[string]uint64{"a": 2})
		first := newEntry("first", "a", 1, 2)
		s.AddStep(first)
		for _, assignment := range s.Assign(0, anywhere) {
			assignment.Task.Text = Text{Events: []string{"x"}, Last: 1, Versions: []uint64{1}}
			end := Broken
			if assignment.Task.Sample.ID == "first-0" {
				end = Complete
			}
			s.RunEnded(0, assignment.Task, assignment.Run, end)
		}
		s.EndStep("first")
		second := newEntry("second", "a", oldest, 4)
		second.Step.Number, second.Step.Wanted = 1, 1
		second.Step.Samples[2], second.Step.Samples[3] = first.Step.Samples[0], first.Step.Samples[1]
		second.Step.Samples[2].Group, second.Step.Samples[3].Group = "g0", "g0"
		complete := s.AddStep(second)
		require.Equal(t, usable, len(complete) == 1)
		for _, assignment := range s.Assign(1000, anywhere) {
			if assignment.Task.Sample.ID == "first-1" {
				require.Equal(t, usable, assignment.Task.Text.Last == 1)
			}
		}
	}
}

// TestPlacementAvoidsContendedEngines checks that a sample which could run on two engines takes the
// one that the other model cannot use.
func TestPlacementAvoidsContendedEngines(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(2, 1, "a", "b"), map[string]uint64{"b": 2})
	s.LoadCompleted(0, "e00", "b", 2, true)
	s.AddStep(newEntry("of-a", "a", 1, 1))
	s.AddStep(newEntry("of-b", "b", 2, 1))
	placed := map[string]string{}
	for _, assignment := range s.Assign(0, anywhere) {
		placed[assignment.Task.Step.Model] = assignment.Backend.ID
	}
	require.Equal(t, map[string]string{"a": "e01", "b": "e00"}, placed)
}

// TestNeededSamplesOfAllStepsStartFirst checks that samples no trainer waits for take no slots from
// those that one waits for.
func TestNeededSamplesOfAllStepsStartFirst(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 8, "a"), nil)
	for number, id := range []string{"x", "y"} {
		step := newEntry(id, "a", 1, 8)
		step.Step.Wanted, step.Step.DueAt = 1, int64(number)
		s.AddStep(step)
	}
	count := map[string]int{}
	for _, assignment := range s.Assign(0, anywhere) {
		count[assignment.Task.Step.ID]++
	}
	require.Equal(t, map[string]int{"x": 4, "y": 4}, count)
}

// TestSamplesMoveOffSlowEngines checks that a sample on a slow engine moves to another one and
// continues its text, without counting as a failure of the slow engine.
func TestSamplesMoveOffSlowEngines(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(3, 2, "a"), nil)
	step := newEntry("x", "a", 1, 3)
	for position := range step.Step.Samples {
		step.Step.Samples[position].Group = fmt.Sprint(position)
		step.Step.Samples[position].Predicted = 100
	}
	s.AddStep(step)
	running := s.Assign(0, anywhere)
	require.Len(t, running, 3)
	for _, assignment := range running {
		events := 30
		if assignment.Backend.ID == "e00" {
			events = 10
		}
		s.ObserveRun(1000, assignment.Task, events)
	}
	s.UpdatePaces()
	moves := s.ChooseMoves(1000, anywhere)
	require.Len(t, moves, 1)
	task := moves[0].Task
	require.Equal(t, "e00", task.Engine)
	require.Empty(t, s.ChooseMoves(1000, anywhere), "a task is moved only once")
	task.Text = Text{Events: []string{"x"}, Last: 1, Versions: []uint64{1}}
	s.RunEnded(1000, task, task.Run, Broken)
	moved := s.Assign(1000, anywhere)
	require.Len(t, moved, 1)
	require.NotEqual(t, "e00", moved[0].Backend.ID)
	require.Equal(t, uint64(1), moved[0].Task.Text.Last)
	require.Zero(t, s.engines["e00"].failures)
}

// TestPlacementAvoidsSlowEngines checks that an idle slow engine is not preferred to a busy one of
// normal pace.
func TestPlacementAvoidsSlowEngines(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(2, 8, "a"), nil)
	usual, slow := s.engines["e00"], s.engines["e01"]
	usual.pace, slow.pace, s.medianPace = 30, 90, 30
	for range 4 {
		usual.running[&Task{Step: &ledger.Step{ID: "other"}, Sample: &ledger.Sample{}}] = true
	}
	s.AddStep(newEntry("y", "a", 1, 1))
	require.Equal(t, "e00", s.Assign(0, anywhere)[0].Backend.ID)
}

// TestGiveUpAllowsForClockSkew checks that a leader whose clock is some seconds ahead does not give
// up samples early.
func TestGiveUpAllowsForClockSkew(t *testing.T) {
	s := New()
	step := newEntry("x", "a", 1, 2)
	step.Step.GiveUpAt = 1000
	s.AddStep(step)
	require.Empty(t, s.OverdueTasks(1000+giveUpMargin-1))
	require.Len(t, s.OverdueTasks(1000+giveUpMargin), 2)
}

// TestRunContinuesFromCheckpoint checks that a new leader continues a sample from its checkpoint,
// unless the step does not allow the checkpoint's versions.
func TestRunContinuesFromCheckpoint(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 4, "m"), nil)
	checkpointed := newEntry("a", "m", 1, 2)
	checkpointed.Partials = map[string]ledger.Partial{
		"a-0": {Events: []string{"1", "2"}, Versions: []uint64{1}},
	}
	s.AddStep(checkpointed)
	after := map[string]uint64{}
	for _, assignment := range s.Assign(0, anywhere) {
		after[assignment.Task.Sample.ID] = assignment.Task.Text.Last
	}
	require.Equal(t, map[string]uint64{"a-0": 2, "a-1": 0}, after)

	stale := newEntry("b", "m", 2, 1)
	stale.Partials = map[string]ledger.Partial{"b-0": {Events: []string{"1"}, Versions: []uint64{1}}}
	other := New()
	other.SyncEngines(0, engines(1, 4, "m"), map[string]uint64{"m": 2})
	other.RecordVersion("e00", "m", 2)
	other.AddStep(stale)
	assignments := other.Assign(0, anywhere)
	require.Len(t, assignments, 1)
	require.Zero(t, assignments[0].Task.Text.Last)
}

// TestStalledTextStartsOver checks that a text is discarded after several consecutive runs that add
// nothing to it.
func TestStalledTextStartsOver(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 4, "m"), nil)
	checkpointed := newEntry("a", "m", 1, 1)
	checkpointed.Partials = map[string]ledger.Partial{"a-0": {Events: []string{"1", "2"}, Versions: []uint64{1}}}
	s.AddStep(checkpointed)
	now := int64(0)
	for range maxStalledRuns {
		assignments := s.Assign(now, anywhere)
		require.Len(t, assignments, 1)
		require.Equal(t, uint64(2), assignments[0].Task.Text.Last)
		s.RunEnded(now, assignments[0].Task, assignments[0].Run, Broken)
		now += 2 * maxFailureBackoffMillis
	}
	assignments := s.Assign(now, anywhere)
	require.Len(t, assignments, 1)
	require.Zero(t, assignments[0].Task.Text.Last)
}

// TestTextsOfCompleteGroupsAreDropped checks that only texts of incomplete groups are kept, since
// only those groups are resubmitted.
func TestTextsOfCompleteGroupsAreDropped(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 8, "m"), nil)
	s.AddStep(newEntry("a", "m", 1, 8))
	for _, assignment := range s.Assign(0, anywhere) {
		assignment.Task.Text = Text{Events: []string{"x"}, Last: 1, Versions: []uint64{1}}
		if assignment.Task.Sample.Group == "g0" || assignment.Task.Sample.ID == "a-4" {
			s.RunEnded(0, assignment.Task, assignment.Run, Complete)
			s.Finish(assignment.Task)
		}
	}
	s.EndStep("a")
	var kept []string
	for id := range s.keptTexts.texts["m"] {
		kept = append(kept, id)
	}
	require.ElementsMatch(t, []string{"a-4", "a-5", "a-6", "a-7"}, kept)
}

// TestConcurrentLoadsStayBounded checks that a version which an engine already held does not
// shorten the measured load time, and that slow loads do not let further ones start.
func TestConcurrentLoadsStayBounded(t *testing.T) {
	const maxLoads = 2
	s := New()
	s.SyncEngines(0, engines(12, 8, "m"), map[string]uint64{"m": 2})
	s.AddStep(newEntry("x", "m", 2, 400))
	activeLoads := s.LoadOrders(0)
	require.Len(t, activeLoads, maxLoads)
	for _, order := range activeLoads {
		s.LoadCompleted(10, order.Backend.ID, order.Model, order.Version, false)
	}
	activeLoads = s.LoadOrders(20)
	require.Len(t, activeLoads, maxLoads)
	require.Empty(t, s.LoadOrders(40))
	for now := int64(40); now < 5000; now += 20 {
		activeLoads = append(activeLoads, s.LoadOrders(now)...)
		require.LessOrEqual(t, len(activeLoads), 2*maxLoads, "none of them has ended")
	}
}

// TestEngineLoadingForAnotherLeaderIsSkipped checks that an engine gets neither samples nor load
// orders until another leader's load has ended.
func TestEngineLoadingForAnotherLeaderIsSkipped(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 8, "m"), map[string]uint64{"m": 2})
	s.AddStep(newEntry("x", "m", 1, 1))
	s.MarkLoading(0, "e00")
	require.Empty(t, s.Assign(0, anywhere))
	require.Empty(t, s.LoadOrders(0))
	s.ClearLoading("e00")
	require.Len(t, s.Assign(0, anywhere), 1)
	require.Len(t, s.LoadOrders(0), 1)
	s.ClearLoading("e00")
	require.True(t, s.IsLoading("e00", "m"), "the leader's own load continues")
}

// TestRejectionBackoff checks that the backoff doubles up to its maximum and that a completed run
// resets it.
func TestRejectionBackoff(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 8, "m"), nil)
	s.AddStep(newEntry("x", "m", 1, 1))
	now := int64(0)
	for _, pause := range []int64{100, 200, 400, 800, 800} {
		assignments := s.Assign(now, anywhere)
		require.Len(t, assignments, 1)
		s.RunEnded(now, assignments[0].Task, assignments[0].Run, Rejected)
		require.Empty(t, s.Assign(now+pause-1, anywhere))
		now += pause
	}
	assignments := s.Assign(now, anywhere)
	assignments[0].Task.Text = Text{Events: []string{"x"}, Last: 1, Versions: []uint64{1}}
	s.RunEnded(now, assignments[0].Task, assignments[0].Run, Complete)
	require.Zero(t, s.engines["e00"].rejections)
}

// TestLongSampleOfEarlierStepStartsFirst checks that a long sample of a step that is due soon starts
// before short samples of a later step, even if its trainer probably does not wait for it.
func TestLongSampleOfEarlierStepStartsFirst(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 4, "a"), nil)
	earlier, later := newEntry("earlier", "a", 1, 5), newEntry("later", "a", 1, 8)
	earlier.Step.Wanted, earlier.Step.DueAt = 1, 3000
	earlier.Step.Samples[4].Predicted = 100
	later.Step.Wanted, later.Step.DueAt = 1, 7000
	s.AddStep(earlier)
	s.AddStep(later)
	first := s.Assign(0, anywhere)[0]
	require.Equal(t, "earlier-4", first.Task.Sample.ID)
	require.False(t, first.Task.needed)
	require.Equal(t, int64(3000-100*defaultPace+unneededDelayMillis), first.SlackMillis)
}

// TestUnplaceableSamplesDoNotBlockOthers checks that samples which no engine can run do not keep
// samples with other requirements from starting.
func TestUnplaceableSamplesDoNotBlockOthers(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(2, 8, "a", "b"), map[string]uint64{"a": 2, "b": 1})
	s.AddStep(newEntry("newer", "a", 2, 4))
	s.AddStep(newEntry("older", "a", 1, 4))
	s.AddStep(newEntry("other", "b", 1, 4))
	elsewhere := newEntry("elsewhere", "b", 1, 4)
	s.AddStep(elsewhere)
	servicesOf := func(task *Task) ([]string, bool) {
		if task.Step == elsewhere.Step {
			return []string{"unknown"}, true
		}
		return []string{"engines"}, true
	}
	started := map[string]int{}
	for _, assignment := range s.Assign(0, servicesOf) {
		started[assignment.Task.Step.ID]++
	}
	require.Equal(t, map[string]int{"older": 4, "other": 4}, started)
}

// BenchmarkAssignUnplaceable measures Assign while hundreds of samples wait for a version that no
// engine holds.
func BenchmarkAssignUnplaceable(b *testing.B) {
	s := New()
	s.SyncEngines(0, engines(92, 6, "a"), map[string]uint64{"a": 2})
	s.AddStep(newEntry("step", "a", 2, 900))
	for b.Loop() {
		require.Empty(b, s.Assign(0, anywhere))
	}
}
