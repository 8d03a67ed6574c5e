package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAdopt checks that a run of an earlier leader is adopted only for a waiting sample, with a
// text that its step allows, on a known engine, and that it takes a slot there.
func TestAdopt(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 2, "a"), map[string]uint64{"a": 3})
	s.AddStep(newEntry("s", "a", 2, 3))
	text := Text{Events: []string{"x", "y"}, Last: 2, Versions: []uint64{2}}
	_, ok := s.Adopt(0, "s", "s-9", "e00", text)
	require.False(t, ok, "no such sample")
	_, ok = s.Adopt(0, "other", "s-0", "e00", text)
	require.False(t, ok, "no such step")
	_, ok = s.Adopt(0, "s", "s-0", "e99", text)
	require.False(t, ok, "no such engine")
	_, ok = s.Adopt(0, "s", "s-0", "e00", Text{Events: []string{"x"}, Last: 1, Versions: []uint64{1}})
	require.False(t, ok, "the step does not allow the version")
	assignment, ok := s.Adopt(0, "s", "s-0", "e00", text)
	require.True(t, ok)
	require.Equal(t, Running, assignment.Task.State)
	_, ok = s.Adopt(0, "s", "s-0", "e00", text)
	require.False(t, ok, "the sample is already running")
	_, ok = s.Adopt(0, "s", "s-1", "e00", Text{})
	require.True(t, ok, "the run has no events yet")
	s.engines["e00"].versions["a"] = 2
	require.Empty(t, s.Assign(0, anywhere), "both slots are in use")
	require.True(t, s.RunEnded(0, assignment.Task, assignment.Run, Interrupted))
	require.Equal(t, Waiting, assignment.Task.State)
	require.Equal(t, text, assignment.Task.Text)
}
