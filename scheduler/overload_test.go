package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/ledger"
)

const (
	overloadUntil   = 40000
	overloadEngines = 12
	overloadSlots   = 8
	// minInTimeFraction is the fraction of the fair bound that must complete in time, and
	// minFairShareFraction the fraction of its fair share that each trainer must get over three steps.
	minInTimeFraction    = 0.9
	minFairShareFraction = 0.8
)

// simulateFleets runs the simulation with several seeds.
func simulateFleets(t *testing.T, loadFactor float64, uneven, byLatestStart bool) []*fleetSimulation {
	var fleets []*fleetSimulation
	for seed := int64(1); seed <= 3; seed++ {
		f := newFleetSimulation(t, seed, overloadEngines, overloadSlots, loadFactor, uneven)
		f.byLatestStart = byLatestStart
		f.simulate(overloadUntil)
		fleets = append(fleets, f)
	}
	return fleets
}

func groupsInTime(fleets []*fleetSimulation) int {
	count := 0
	for _, f := range fleets {
		count += f.result(0).inTime
	}
	return count
}

// TestChosenGroupsCompleteInTime has four trainers submit between half and four times the fleet's
// capacity every 4 s.
func TestChosenGroupsCompleteInTime(t *testing.T) {
	for name, load := range map[string]struct {
		loadFactor float64
		uneven     bool
	}{
		"half the capacity": {loadFactor: 0.5},
		"full capacity":     {loadFactor: 1},
		"1.5 times":         {loadFactor: 1.5},
		"2 times":           {loadFactor: 2},
		"4 times":           {loadFactor: 4},
		"full capacity, a quarter of the engines faster": {loadFactor: 1, uneven: true},
		"2 times, a quarter of the engines faster":       {loadFactor: 2, uneven: true},
		"4 times, a quarter of the engines faster":       {loadFactor: 4, uneven: true},
	} {
		t.Run(name, func(t *testing.T) {
			fleets := simulateFleets(t, load.loadFactor, load.uneven, false)
			bound := 0
			for _, f := range fleets {
				fleetBound, _ := f.fairBound(0)
				bound += fleetBound
				require.Zero(t, f.idleMillis, "samples waited although slots were free")
				require.GreaterOrEqual(t, f.smallestFairShare(), minFairShareFraction)
			}
			require.GreaterOrEqual(t, float64(groupsInTime(fleets)), minInTimeFraction*float64(bound))
		})
	}
}

// TestPlanMatchesLatestStartOrderWithinCapacity checks that within capacity the plan completes at
// most one in a hundred fewer groups in time than ordering by latest start alone.
func TestPlanMatchesLatestStartOrderWithinCapacity(t *testing.T) {
	for _, loadFactor := range []float64{0.5, 1} {
		before := groupsInTime(simulateFleets(t, loadFactor, false, true))
		require.GreaterOrEqual(t, 100*groupsInTime(simulateFleets(t, loadFactor, false, false)), 99*before)
	}
}

// TestLeaderChangeDuringOverload checks that a scheduler restored from the ledger alone, without
// runs, completes nearly as many groups in time.
func TestLeaderChangeDuringOverload(t *testing.T) {
	inTimeAfter := func(change func(f *fleetSimulation)) int {
		f := newFleetSimulation(t, 1, overloadEngines, overloadSlots, 2, false)
		f.simulate(18000)
		change(f)
		f.simulate(overloadUntil)
		require.Zero(t, f.idleMillis)
		return f.result(18000).inTime
	}
	require.GreaterOrEqual(t, 100*inTimeAfter((*fleetSimulation).replaceScheduler), 95*inTimeAfter(func(*fleetSimulation) {}))
}

// TestLossOfAThirdOfTheEngines checks that a fleet which loses engines performs about as well as
// one that had the smaller size from the start.
func TestLossOfAThirdOfTheEngines(t *testing.T) {
	f := newFleetSimulation(t, 1, overloadEngines, overloadSlots, 1.5, false)
	f.simulate(18000)
	f.removeEngines(overloadEngines / 3)
	f.simulate(overloadUntil + 12000)
	fewer := newFleetSimulation(t, 1, overloadEngines-overloadEngines/3, overloadSlots, 1.5*3/2.0, false)
	fewer.simulate(overloadUntil + 12000)
	require.GreaterOrEqual(t, float64(f.result(24000).inTime), minInTimeFraction*float64(fewer.result(24000).inTime))
	require.Zero(t, f.idleMillis)
}

// TestLargeStepDoesNotStarveSmallOne checks that a trainer gets nearly all its groups while another
// asks for sixteen times as many.
func TestLargeStepDoesNotStarveSmallOne(t *testing.T) {
	f := newFleetSimulation(t, 1, overloadEngines, overloadSlots, 1, false)
	f.trainers[0].load.groups = 4
	f.trainers[1].load.groups = 64
	f.trainers = f.trainers[:2]
	f.simulate(overloadUntil)
	r := f.result(0)
	require.GreaterOrEqual(t, r.groups["a"], r.steps["a"]*4*9/10)
	require.Positive(t, r.groups["b"])
}

// newSingleEngineScheduler returns a scheduler with one engine and the steps' samples waiting.
func newSingleEngineScheduler(slots int, steps ...*ledger.Entry) *Scheduler {
	s := New()
	s.SyncEngines(0, engines(1, slots, "a", "b"), nil)
	for _, step := range steps {
		s.AddStep(step)
	}
	return s
}

// TestLateGroupStartsAfterTimelyOne checks that a late group starts after one that can be in time,
// even if its latest start is earlier.
func TestLateGroupStartsAfterTimelyOne(t *testing.T) {
	late, later := newEntry("late", "a", 1, 4), newEntry("later", "b", 1, 4)
	late.Step.DueAt, later.Step.DueAt = 1000, 2200
	s := newSingleEngineScheduler(1, late, later)
	var order []string
	for range 8 {
		assignment := s.Assign(2000, anywhere)[0]
		order = append(order, assignment.Task.Step.ID)
		s.Finish(assignment.Task)
	}
	require.Equal(t, []string{"later", "later", "later", "later", "late", "late", "late", "late"}, order)
}

// TestGroupPastItsExtensionStartsLast checks that a group beyond the extended due time starts after
// all others, but still runs.
func TestGroupPastItsExtensionStartsLast(t *testing.T) {
	late, later := newEntry("late", "a", 1, 1), newEntry("later", "b", 1, 1)
	late.Step.DueAt, later.Step.DueAt = 1000, 60000
	s := newSingleEngineScheduler(1, late, later)
	require.Equal(t, "later", s.Assign(8000, anywhere)[0].Task.Step.ID)
	require.Equal(t, rankLate, s.steps["late"].tasks[0].rank)
	s.Finish(s.steps["later"].tasks[0])
	require.Equal(t, "late", s.Assign(8000, anywhere)[0].Task.Step.ID)
}

// TestUnachievableGroupTakesNoSlot checks that a group that cannot complete in time waits, and that
// a step without a due time is not late.
func TestUnachievableGroupTakesNoSlot(t *testing.T) {
	impossible, without := newEntry("impossible", "a", 1, 4), newEntry("without", "b", 1, 4)
	impossible.Step.DueAt = 3000
	for position := range impossible.Step.Samples {
		impossible.Step.Samples[position].Predicted = 10000
	}
	s := newSingleEngineScheduler(1, impossible, without)
	require.Equal(t, "without", s.Assign(0, anywhere)[0].Task.Step.ID)
	require.Equal(t, PlanCounts{Chosen: 1, Late: 1}, s.PlanCounts())
}

// TestStartedGroupIsPreferredToNewOne checks that, if only one of two groups fits, the started one
// is chosen even if it has more work left.
func TestStartedGroupIsPreferredToNewOne(t *testing.T) {
	newer, begun := newEntry("newer", "a", 1, 4), newEntry("begun", "a", 1, 4)
	newer.Step.DueAt, begun.Step.DueAt = 3000, 3000
	for position := range begun.Step.Samples {
		newer.Step.Samples[position].Predicted, begun.Step.Samples[position].Predicted = 5, 12
	}
	s := newSingleEngineScheduler(1, begun)
	require.Len(t, s.Assign(0, anywhere), 1)
	s.AddStep(newer)
	s.Finish(s.steps["begun"].tasks[0])
	s.steps["begun"].tasks[1].Text = Text{Events: []string{"x"}, Last: 1, Versions: []uint64{1}}
	require.Equal(t, "begun", s.Assign(200, anywhere)[0].Task.Step.ID)
	require.Equal(t, rankChosen, s.steps["begun"].tasks[1].rank)
	require.Equal(t, rankDeferred, s.steps["newer"].tasks[0].rank)
}

// TestLoadsFollowChosenGroups checks that only chosen groups count as load demand while any of them
// waits.
func TestLoadsFollowChosenGroups(t *testing.T) {
	late, chosen := newEntry("late", "a", 1, 40), newEntry("chosen", "b", 1, 40)
	late.Step.DueAt, chosen.Step.DueAt = 500, 60000
	s := newSingleEngineScheduler(1, late, chosen)
	require.Len(t, s.Assign(8000, anywhere), 1)
	require.Zero(t, s.waitingMillis(s.model("a")))
	require.Positive(t, s.waitingMillis(s.model("b")))
	s.EndStep("chosen")
	clear(s.engines["e00"].running)
	require.Len(t, s.Assign(8200, anywhere), 1)
	require.Positive(t, s.waitingMillis(s.model("a")), "deferred work counts if no chosen work waits")
}

// TestLongSampleWaitsForAFastEngine checks that a slow engine's slot goes to a sample that is in
// time there, and the long sample takes the next fast slot.
func TestLongSampleWaitsForAFastEngine(t *testing.T) {
	step := newEntry("x", "a", 1, 8)
	step.Step.DueAt = 8000
	step.Step.Samples[0].Predicted = 150
	s := New()
	s.SyncEngines(0, engines(8, 1, "a"), nil)
	for id, e := range s.engines {
		e.pace = 70
		if id == "e00" {
			e.pace = 30
		}
	}
	s.updateReferencePaces()
	s.AddStep(step)
	fast := &Task{Step: step.Step, Sample: &ledger.Sample{ID: "other"}, State: Running, Engine: "e00"}
	s.engines["e00"].running[fast] = true
	for _, assignment := range s.Assign(0, anywhere) {
		require.NotEqual(t, "x-0", assignment.Task.Sample.ID)
	}
	s.release(fast)
	assignments := s.Assign(10, anywhere)
	require.Len(t, assignments, 1)
	require.Equal(t, "x-0", assignments[0].Task.Sample.ID)
}

// TestPlanProperties checks for random steps that no sample waits while a slot is free, that each group has
// one rank, that all samples run eventually, and that the usage of inactive trainers is dropped.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := New()
		s.SyncEngines(0, engines(rapid.IntRange(1, 4).Draw(r, "engines"), rapid.IntRange(1, 4).Draw(r, "slots"), "a", "b"), nil)
		now := int64(0)
		for number := range rapid.IntRange(1, 12).Draw(r, "steps") {
			step := newEntry(string(rune('m'+number)), rapid.SampledFrom([]string{"a", "b"}).Draw(r, "model"), 1, rapid.IntRange(1, 12).Draw(r, "samples"))
			step.Step.SubmittedAt, step.Step.DueAt = now, now+rapid.Int64Range(0, 9000).Draw(r, "due")
			step.Step.Wanted = rapid.IntRange(0, 3).Draw(r, "wanted")
			s.AddStep(step)
			now += rapid.Int64Range(0, 2000).Draw(r, "pause")
			s.Assign(now, anywhere)
			checkPlan(r, s)
			for _, e := range s.sortedEngines {
				for task := range e.running {
					s.Finish(task)
				}
			}
		}
		for range 100000 / minPlanIntervalMillis {
			now += minPlanIntervalMillis
			for _, assignment := range s.Assign(now, anywhere) {
				s.Finish(assignment.Task)
			}
		}
		require.Empty(r, s.waiting.tasks, "all samples run eventually")
		for id := range s.steps {
			s.EndStep(id)
		}
		for range 2 * usageDecayMillis / minPlanIntervalMillis {
			now += minPlanIntervalMillis
			s.Assign(now, anywhere)
		}
		require.Empty(r, s.plan.usage)
	})
}

func checkPlan(r *rapid.T, s *Scheduler) {
	free, waiting := 0, 0
	for _, e := range s.sortedEngines {
		free += e.freeSlots()
	}
	ranks := map[string]rank{}
	for _, task := range s.waiting.tasks {
		if task.State != Waiting {
			continue
		}
		waiting++
		group := task.Step.ID + " " + task.Sample.Group
		if groupRank, ok := ranks[group]; ok {
			require.Equal(r, groupRank, task.rank, "all tasks of a group have the same rank")
		}
		ranks[group] = task.rank
	}
	require.True(r, free == 0 || waiting == 0, "no task waits while slots are free")
}

// TestResubmittedGroupsAreDeferredLast checks that groups without which a step cannot complete are
// deferred after others.
func TestResubmittedGroupsAreDeferredLast(t *testing.T) {
	resubmitted, other := &groupPlan{name: "again", work: 100, resubmitted: true}, &groupPlan{name: "other", work: 1}
	require.True(t, deferredBefore(other, resubmitted))
	require.False(t, deferredBefore(resubmitted, other))
}

// TestUsageDecays checks that the usage of a trainer without slots is dropped.
func TestUsageDecays(t *testing.T) {
	s := New()
	s.plan.usage[trainerKey{model: "a"}] = 10000
	for now := int64(0); now < 20*usageDecayMillis; now += usageDecayMillis / 3 {
		s.updateUsage(now)
	}
	require.Empty(t, s.plan.usage)
}
