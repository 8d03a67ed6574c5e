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

func entry(id, model string, oldest uint64, samples int) *ledger.Entry {
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

// TestLoadTouchesOneModel: samples of other models go on starting on an engine
// that loads weights.
func TestLoadTouchesOneModel(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 8, "a", "b"), map[string]uint64{"a": 2})
	require.Len(t, s.LoadOrders(0), 1)
	s.AddStep(entry("of-a", "a", 1, 2))
	s.AddStep(entry("of-b", "b", 1, 2))
	for _, assignment := range s.Assign(0, anywhere) {
		require.Equal(t, "b", assignment.Task.Step.Model)
	}
	s.LoadCompleted(0, "e00", "a", 2, true)
	require.Len(t, s.Assign(0, anywhere), 2)
}

// TestLoadsFitTheTime: with three models on nine engines that load two at a
// time, at least two engines can serve each model's next step as soon as its
// version is named, and none of the models starves.
func TestLoadsFitTheTime(t *testing.T) {
	const loadMillis, interval = 1000, 4000
	s := New()
	backends := engines(9, 8, "a", "b", "c")
	newest := map[string]uint64{"a": 1, "b": 1, "c": 1}
	s.SyncEngines(0, backends, newest)
	underWay := map[int64][]LoadOrder{}
	for now := int64(0); now < 60*interval; now += 100 {
		if now%interval == 0 && now > 0 {
			for model := range newest {
				newest[model]++
				s.SyncEngines(now, backends, newest)
				id := fmt.Sprintf("%s%d", model, now)
				s.AddStep(entry(id, model, newest[model]-1, 64))
				if now > 4*interval {
					require.GreaterOrEqual(t, serving(s, model), 2, "model %s at %d ms", model, now)
				}
				s.EndStep(id)
			}
		}
		for _, order := range underWay[now] {
			s.LoadCompleted(now, order.Backend.ID, order.Model, order.Version, true)
		}
		underWay[now+loadMillis] = append(underWay[now+loadMillis], s.LoadOrders(now)...)
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

// TestWaitingSamplesCallForLoads: an engine that holds too old a version loads
// as soon as samples wait for longer than a load takes.
func TestWaitingSamplesCallForLoads(t *testing.T) {
	s := New()
	backends := engines(4, 8, "a", "b")
	s.SyncEngines(0, backends, map[string]uint64{"a": 1, "b": 3})
	s.LoadCompleted(0, "e00", "b", 3, true)
	s.LoadCompleted(0, "e01", "b", 3, true)
	s.AddStep(entry("x", "b", 3, 300))
	s.Assign(0, anywhere)
	orders := s.LoadOrders(0)
	require.Len(t, orders, 1)
	require.Equal(t, "b", orders[0].Model)
	require.Equal(t, "e02", orders[0].Backend.ID)
}

// TestNeededGroupsStartFirst: of four groups the trainer waits for three; the
// one with the most work starts last, and of the rest the longest sample first.
func TestNeededGroupsStartFirst(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 1, "a"), nil)
	step := entry("x", "a", 1, 16)
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

// TestMoreUrgentStepStartsFirst: also where it was handed in later.
func TestMoreUrgentStepStartsFirst(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 1, "a"), nil)
	later := entry("later", "a", 1, 1)
	earlier := entry("earlier", "a", 1, 1)
	earlier.Step.Priority, later.Step.DueAt = 1, 10
	s.AddStep(earlier)
	s.AddStep(later)
	require.Equal(t, "later", s.Assign(0, anywhere)[0].Task.Step.ID)
}

// TestOrdersWaitForTheLeaseOfAnEarlierHolder: only the engines that it has given
// orders to are left alone.
func TestOrdersWaitForTheLeaseOfAnEarlierHolder(t *testing.T) {
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

// TestLoadsSpread: engines that serve other models already are not the first
// to load, so that the models do not meet on the same engines.
func TestLoadsSpread(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(4, 8, "a", "b"), map[string]uint64{"a": 2, "b": 2})
	s.LoadCompleted(0, "e00", "a", 2, true)
	s.LoadCompleted(0, "e01", "a", 2, true)
	order := s.LoadOrders(0)[0]
	require.Equal(t, "b", order.Model)
	require.Equal(t, "e02", order.Backend.ID)
}

// TestTextIsKeptForALaterStep: a sample that comes again goes on after what it
// had, or is scored at once if that is whole; a text made under a version that
// the later step does not allow is not used.
func TestTextIsKeptForALaterStep(t *testing.T) {
	for oldest, kept := range map[uint64]bool{1: true, 2: false} {
		s := New()
		backends := engines(1, 8, "a")
		backends[0].Models[0].Version = 2
		s.SyncEngines(0, backends, map[string]uint64{"a": 2})
		first := entry("first", "a", 1, 2)
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
		second := entry("second", "a", oldest, 4)
		second.Step.Number, second.Step.Wanted = 1, 1
		second.Step.Samples[2], second.Step.Samples[3] = first.Step.Samples[0], first.Step.Samples[1]
		second.Step.Samples[2].Group, second.Step.Samples[3].Group = "g0", "g0"
		whole := s.AddStep(second)
		require.Equal(t, kept, len(whole) == 1)
		for _, assignment := range s.Assign(1000, anywhere) {
			if assignment.Task.Sample.ID == "first-1" {
				require.Equal(t, kept, assignment.Task.Text.Last == 1)
			}
		}
	}
}

// TestPlacementLeavesRoomForOthers: a sample that could run on either of two
// engines takes the one that the other model cannot use.
func TestPlacementLeavesRoomForOthers(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(2, 1, "a", "b"), map[string]uint64{"b": 2})
	s.LoadCompleted(0, "e00", "b", 2, true)
	s.AddStep(entry("of-a", "a", 1, 1))
	s.AddStep(entry("of-b", "b", 2, 1))
	placed := map[string]string{}
	for _, assignment := range s.Assign(0, anywhere) {
		placed[assignment.Task.Step.Model] = assignment.Backend.ID
	}
	require.Equal(t, map[string]string{"a": "e01", "b": "e00"}, placed)
}

// TestNeededSamplesOfAllStepsGoFirst: what no trainer waits for takes no slot
// from what another one waits for.
func TestNeededSamplesOfAllStepsGoFirst(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 8, "a"), nil)
	for number, id := range []string{"x", "y"} {
		step := entry(id, "a", 1, 8)
		step.Step.Wanted, step.Step.DueAt = 1, int64(number)
		s.AddStep(step)
	}
	count := map[string]int{}
	for _, assignment := range s.Assign(0, anywhere) {
		count[assignment.Task.Step.ID]++
	}
	require.Equal(t, map[string]int{"x": 4, "y": 4}, count)
}

// TestSamplesLeaveSlowEngines: a sample on an engine that has become slow is
// moved where another engine has room, goes on after what it has, and the slow
// engine is not taken for a failed one.
func TestSamplesLeaveSlowEngines(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(3, 2, "a"), nil)
	step := entry("x", "a", 1, 3)
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
	require.Empty(t, s.ChooseMoves(1000, anywhere), "a move is asked for once")
	task.Text = Text{Events: []string{"x"}, Last: 1, Versions: []uint64{1}}
	s.RunEnded(1000, task, task.Run, Broken)
	moved := s.Assign(1000, anywhere)
	require.Len(t, moved, 1)
	require.NotEqual(t, "e00", moved[0].Backend.ID)
	require.Equal(t, uint64(1), moved[0].Task.Text.Last)
	require.Zero(t, s.engines["e00"].failures)
}

// TestMovedSampleDoesNotMeetAnotherSlowEngine: an empty slow engine is no better
// than a busy one of the usual pace.
func TestMovedSampleDoesNotMeetAnotherSlowEngine(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(2, 8, "a"), nil)
	usual, slow := s.engines["e00"], s.engines["e01"]
	usual.pace, slow.pace, s.medianPace = 30, 90, 30
	for range 4 {
		usual.running[&Task{Step: &ledger.Step{ID: "other"}, Sample: &ledger.Sample{}}] = true
	}
	s.AddStep(entry("y", "a", 1, 1))
	require.Equal(t, "e00", s.Assign(0, anywhere)[0].Backend.ID)
}

// TestNothingIsGivenUpEarly: a leader whose clock is some seconds ahead does not
// give up what its predecessor took in.
func TestNothingIsGivenUpEarly(t *testing.T) {
	s := New()
	step := entry("x", "a", 1, 2)
	step.Step.GiveUpAt = 1000
	s.AddStep(step)
	require.Empty(t, s.OverdueTasks(1000+giveUpMargin-1))
	require.Len(t, s.OverdueTasks(1000+giveUpMargin), 2)
}

// TestRunGoesOnAfterACheckpoint: a new leader continues a sample after what an
// earlier one has kept, unless the step does not allow the versions of that.
func TestRunGoesOnAfterACheckpoint(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 4, "m"), nil)
	taken := entry("a", "m", 1, 2)
	taken.Partials = map[string]ledger.Partial{
		"a-0": {Events: []string{"1", "2"}, Versions: []uint64{1}},
	}
	s.AddStep(taken)
	after := map[string]uint64{}
	for _, assignment := range s.Assign(0, anywhere) {
		after[assignment.Task.Sample.ID] = assignment.Task.Text.Last
	}
	require.Equal(t, map[string]uint64{"a-0": 2, "a-1": 0}, after)

	stale := entry("b", "m", 2, 1)
	stale.Partials = map[string]ledger.Partial{"b-0": {Events: []string{"1"}, Versions: []uint64{1}}}
	fresh := New()
	fresh.SyncEngines(0, engines(1, 4, "m"), nil)
	fresh.RecordVersion("e00", "m", 2)
	fresh.AddStep(stale)
	assignments := fresh.Assign(0, anywhere)
	require.Len(t, assignments, 1)
	require.Zero(t, assignments[0].Task.Text.Last)
}

// TestTextThatCannotBeContinuedBeginsAnew: after some runs in a row that add
// nothing to a kept text, it is made from its beginning.
func TestTextThatCannotBeContinuedBeginsAnew(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 4, "m"), nil)
	taken := entry("a", "m", 1, 1)
	taken.Partials = map[string]ledger.Partial{"a-0": {Events: []string{"1", "2"}, Versions: []uint64{1}}}
	s.AddStep(taken)
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

// TestTextsOfWholeGroupsAreDropped: only groups that are not whole come again,
// so the texts of the others take no memory.
func TestTextsOfWholeGroupsAreDropped(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 8, "m"), nil)
	s.AddStep(entry("a", "m", 1, 8))
	for _, assignment := range s.Assign(0, anywhere) {
		assignment.Task.Text = Text{Events: []string{"x"}, Last: 1, Versions: []uint64{1}}
		if assignment.Task.Sample.Group == "g0" || assignment.Task.Sample.ID == "a-4" {
			s.RunEnded(0, assignment.Task, assignment.Run, Complete)
			s.Finish(assignment.Task)
		}
	}
	s.EndStep("a")
	var kept []string
	for id := range s.kept.texts["m"] {
		kept = append(kept, id)
	}
	require.ElementsMatch(t, []string{"a-4", "a-5", "a-6", "a-7"}, kept)
}

// TestLoadsStayBounded: an engine that held the version already, as a new leader
// may find, tells nothing of how long loads take; and loads that take longer than
// usual leave no room for more of them.
func TestLoadsStayBounded(t *testing.T) {
	const most = 2
	s := New()
	s.SyncEngines(0, engines(12, 8, "m"), map[string]uint64{"m": 2})
	s.AddStep(entry("x", "m", 2, 400))
	underWay := s.LoadOrders(0)
	require.Len(t, underWay, most)
	for _, order := range underWay {
		s.LoadCompleted(10, order.Backend.ID, order.Model, order.Version, false)
	}
	underWay = s.LoadOrders(20)
	require.Len(t, underWay, most)
	require.Empty(t, s.LoadOrders(40))
	for now := int64(40); now < 5000; now += 20 {
		underWay = append(underWay, s.LoadOrders(now)...)
		require.LessOrEqual(t, len(underWay), 2*most, "none of them has ended")
	}
}

// TestEngineThatLoadsForAnotherLeaderIsLeftAlone: until it is idle, for all models.
func TestEngineThatLoadsForAnotherLeaderIsLeftAlone(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 8, "m"), map[string]uint64{"m": 2})
	s.AddStep(entry("x", "m", 1, 1))
	s.MarkLoading(0, "e00")
	require.Empty(t, s.Assign(0, anywhere))
	require.Empty(t, s.LoadOrders(0))
	s.ClearLoading("e00")
	require.Len(t, s.Assign(0, anywhere), 1)
	require.Len(t, s.LoadOrders(0), 1)
	s.ClearLoading("e00")
	require.True(t, s.IsLoading("e00", "m"), "an order of its own goes on")
}

// TestEngineThatGoesOnRefusingIsAskedLess: up to a bound, and a run that ends well
// clears it.
func TestEngineThatGoesOnRefusingIsAskedLess(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 8, "m"), nil)
	s.AddStep(entry("x", "m", 1, 1))
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

// TestWhatIsLeftOfAnEarlierStepGoesFirst: a long sample of a step that is due soon
// starts before short ones of a later step, also where its own trainer probably does
// not wait for it. Found on a day on which a new leader started it 1.8 s late.
func TestWhatIsLeftOfAnEarlierStepGoesFirst(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 4, "a"), nil)
	earlier, later := entry("earlier", "a", 1, 5), entry("later", "a", 1, 8)
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

// TestSamplesWithoutAnEngineHoldUpNoOthers: samples that no engine may run leave those
// behind them their room, whatever their demands have in common.
func TestSamplesWithoutAnEngineHoldUpNoOthers(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(2, 8, "a", "b"), map[string]uint64{"a": 2, "b": 1})
	s.AddStep(entry("newer", "a", 2, 4))
	s.AddStep(entry("older", "a", 1, 4))
	s.AddStep(entry("other", "b", 1, 4))
	elsewhere := entry("elsewhere", "b", 1, 4)
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

// BenchmarkAssignWithoutAnEngine is a call while hundreds of samples wait for a version
// that no engine holds.
func BenchmarkAssignWithoutAnEngine(b *testing.B) {
	s := New()
	s.SyncEngines(0, engines(92, 6, "a"), map[string]uint64{"a": 2})
	s.AddStep(entry("step", "a", 2, 900))
	for b.Loop() {
		require.Empty(b, s.Assign(0, anywhere))
	}
}
