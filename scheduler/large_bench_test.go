package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// These benchmarks measure the frequent operations of a leader with 2,750 engines and three models.

const largeFleetSize = 2750

func newLargeScheduler() *Scheduler {
	s := New()
	s.SyncEngines(0, engines(largeFleetSize, 6, "a", "b", "c"), map[string]uint64{"a": 1, "b": 1, "c": 1})
	return s
}

// BenchmarkAssignOneInLargeFleet measures starting one sample.
func BenchmarkAssignOneInLargeFleet(b *testing.B) {
	s := newLargeScheduler()
	for number := 0; b.Loop(); number++ {
		step := newEntry("step", "a", 1, 1)
		s.AddStep(step)
		require.Len(b, s.Assign(0, anywhere), 1)
		s.EndStep("step")
	}
}

// BenchmarkSyncLargeFleet measures SyncEngines with an unchanged catalog.
func BenchmarkSyncLargeFleet(b *testing.B) {
	s := newLargeScheduler()
	backends := engines(largeFleetSize, 6, "a", "b", "c")
	for b.Loop() {
		s.SyncEngines(0, backends, map[string]uint64{"a": 1, "b": 1, "c": 1})
	}
}

// BenchmarkLoadOrdersInLargeFleet measures LoadOrders when no loads are needed.
func BenchmarkLoadOrdersInLargeFleet(b *testing.B) {
	s := newLargeScheduler()
	s.AddStep(newEntry("step", "a", 1, 100))
	for b.Loop() {
		require.Empty(b, s.LoadOrders(0))
	}
}

// BenchmarkTickInLargeFleet measures the scheduler calls of a leader's tick.
func BenchmarkTickInLargeFleet(b *testing.B) {
	s := newLargeScheduler()
	for b.Loop() {
		s.UpdatePaces()
		s.ChooseMoves(0, anywhere)
		s.StartSpeculative(0, anywhere)
		s.EndUnusedSpeculative()
	}
}
