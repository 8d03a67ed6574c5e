package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDemandOfOpenSteps checks that running and waiting samples count with their remaining work by
// due time, but finished samples and those that no service may run do not count.
func TestDemandOfOpenSteps(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 2, "m", "n"), nil)
	first, second := newEntry("first", "m", 1, 4), newEntry("second", "n", 1, 2)
	first.Step.DueAt, second.Step.DueAt = 7600, -900
	s.AddStep(first)
	s.AddStep(second)
	require.Empty(t, s.Demand(0, func(*Task) ([]string, bool) { return nil, false }))

	work := s.Demand(0, anywhere)[0].Work
	require.Len(t, work, 2, "the default pace applies before the first runs")
	require.InDelta(t, (1+2)*defaultPace, work[0].SlotMillis, 1e-9)
	assignments := s.Assign(0, anywhere)
	require.Len(t, assignments, 2)
	require.Empty(t, s.Demand(100, anywhere)[0].Work, "the work is omitted until a pace is known")
	s.engines["e00"].pace = 10
	s.UpdatePaces()
	done := assignments[0].Task
	demands := s.Demand(100, anywhere)
	require.Len(t, demands, 1)
	demand := demands[0]
	require.Equal(t, "engines", demand.Service)
	require.Equal(t, 2, demand.Running)
	require.Equal(t, 4, demand.Waiting)
	require.Equal(t, []int64{-1000, 7500}, []int64{demand.Work[0].DueMillis, demand.Work[1].DueMillis})
	require.InDelta(t, (1+2)*10, demand.Work[0].SlotMillis, 1e-9)
	require.InDelta(t, (1+2+3+4)*10, demand.Work[1].SlotMillis, 1e-9)

	done.Text.Last, done.Text.Versions = 1, []uint64{1}
	require.True(t, s.RunEnded(200, done, done.Run, Complete))
	demand = s.Demand(200, anywhere)[0]
	require.Equal(t, 1, demand.Running)
	require.Equal(t, 4, demand.Waiting, "a sample being scored needs no engine")
	s.EndStep("first")
	s.EndStep("second")
	require.Empty(t, s.Demand(300, anywhere))
}

// TestReclaimedEngineIsDrained checks that the samples of a reclaimed engine move and that it gets
// neither new samples nor load orders.
func TestReclaimedEngineIsDrained(t *testing.T) {
	s := New()
	backends := engines(2, 4, "m")
	backends[0].Reclaimable = true
	s.SyncEngines(0, backends[:1], nil)
	step := newEntry("step", "m", 1, 4)
	for position := range step.Step.Samples {
		step.Step.Samples[position].Predicted = 400
	}
	s.AddStep(step)
	assignments := s.Assign(0, anywhere)
	require.Len(t, assignments, 4)
	for _, assignment := range assignments {
		s.ObserveRun(1000, assignment.Task, 25)
	}
	s.UpdatePaces()
	backends[0].Draining = true
	require.Empty(t, s.SyncEngines(1000, backends, map[string]uint64{"m": 2}), "runs continue until they are moved")
	require.Empty(t, s.Assign(1000, anywhere))
	moves := s.ChooseMoves(1000, anywhere)
	require.Len(t, moves, 4)
	for _, move := range moves {
		require.Equal(t, "e01", move.To)
	}
	for _, order := range s.LoadOrders(1000) {
		require.NotEqual(t, "e00", order.Backend.ID)
	}
}
