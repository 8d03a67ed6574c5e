package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDamagedVersionIsNotBelieved guards against an engine whose stated version is believed for good: the scheduler only
// raises what it knows, so an engine with a version that was never named never loaded another one.
func TestDamagedVersionIsNotBelieved(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 4, "m"), map[string]uint64{"m": 2})
	s.RecordVersion("e00", "m", 20)
	require.Len(t, s.LoadOrders(0), 1, "the engine still has to load version 2")
	s.LoadCompleted(0, "e00", "m", 20, true)
	require.Len(t, s.LoadOrders(maxFailureBackoffMillis), 1, "the load has failed")
	s.LoadCompleted(0, "e00", "m", 2, true)
	require.Empty(t, s.LoadOrders(2*maxFailureBackoffMillis))
}

// TestRunUnderImpossibleVersionIsNotTrusted guards against a text with a version that its engine can't have held.
func TestRunUnderImpossibleVersionIsNotTrusted(t *testing.T) {
	s := New()
	s.SyncEngines(0, holding(engines(1, 1), 3), map[string]uint64{"m": 5})
	s.AddStep(newEntry("a", "m", 1, 1))
	task := s.Assign(0, anywhere)[0].Task
	for _, versions := range []VersionRange{{}, {Oldest: 3, Newest: 3}, {Oldest: 3, Newest: 5}} {
		require.True(t, s.TrustsRun(task, versions), versions)
	}
	for _, versions := range []VersionRange{{Oldest: 2, Newest: 3}, {Oldest: 3, Newest: 6}, {Oldest: 30, Newest: 30}} {
		require.False(t, s.TrustsRun(task, versions), versions)
	}
	s.SyncEngines(0, holding(engines(2, 1), 3, 7), map[string]uint64{"m": 5})
	require.True(t, s.TrustsRun(task, VersionRange{Oldest: 3, Newest: 7}), "an engine has registered version 7")
}
