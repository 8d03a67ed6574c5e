package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The benchmarks here are of what a leader does again and again before 2,750 engines with
// three models, of which a step finds room anywhere.

const manyEngines = 2750

func largeScheduler() *Scheduler {
	s := New()
	s.SyncEngines(0, engines(manyEngines, 6, "a", "b", "c"), map[string]uint64{"a": 1, "b": 1, "c": 1})
	return s
}

// BenchmarkAssignOneBeforeManyEngines starts one sample.
func BenchmarkAssignOneBeforeManyEngines(b *testing.B) {
	s := largeScheduler()
	for number := 0; b.Loop(); number++ {
		step := entry("step", "a", 1, 1)
		s.AddStep(step)
		require.Len(b, s.Assign(0, anywhere), 1)
		s.EndStep("step")
	}
}

// BenchmarkSyncManyEngines takes in a catalog in which nothing has changed.
func BenchmarkSyncManyEngines(b *testing.B) {
	s := largeScheduler()
	backends := engines(manyEngines, 6, "a", "b", "c")
	for b.Loop() {
		s.SyncEngines(0, backends, map[string]uint64{"a": 1, "b": 1, "c": 1})
	}
}

// BenchmarkOrdersBeforeManyEngines looks for loads where none are needed.
func BenchmarkOrdersBeforeManyEngines(b *testing.B) {
	s := largeScheduler()
	s.AddStep(entry("step", "a", 1, 100))
	for b.Loop() {
		require.Empty(b, s.LoadOrders(0))
	}
}

// BenchmarkTickBeforeManyEngines is what a leader's tick asks of the scheduler.
func BenchmarkTickBeforeManyEngines(b *testing.B) {
	s := largeScheduler()
	for b.Loop() {
		s.UpdatePaces()
		s.ChooseMoves(0, anywhere)
		s.StartSpeculative(0, anywhere)
		s.EndUnusedSpeculative()
	}
}
