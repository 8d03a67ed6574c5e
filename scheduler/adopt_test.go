package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAdopt: a run of an earlier leader goes on for a sample that waits, with a text that
// its step allows, on an engine that exists; it takes a slot there.
func TestAdopt(t *testing.T) {
	s := New()
	s.SyncEngines(0, engines(1, 2, "a"), map[string]uint64{"a": 3})
	s.AddStep(entry("s", "a", 2, 3))
	text := Text{Events: []string{"x", "y"}, Last: 2, Versions: []uint64{2}}
	_, ok := s.Adopt(0, "s", "s-9", "e00", text)
	require.False(t, ok, "no such sample")
	_, ok = s.Adopt(0, "other", "s-0", "e00", text)
	require.False(t, ok, "no such step")
	_, ok = s.Adopt(0, "s", "s-0", "e99", text)
	require.False(t, ok, "no such engine")
	_, ok = s.Adopt(0, "s", "s-0", "e00", Text{Events: []string{"x"}, Last: 1, Versions: []uint64{1}})
	require.False(t, ok, "too old")
	assignment, ok := s.Adopt(0, "s", "s-0", "e00", text)
	require.True(t, ok)
	require.Equal(t, Running, assignment.Task.State)
	_, ok = s.Adopt(0, "s", "s-0", "e00", text)
	require.False(t, ok, "it runs already")
	_, ok = s.Adopt(0, "s", "s-1", "e00", Text{})
	require.True(t, ok, "nothing came yet")
	s.engines["e00"].versions["a"] = 2
	require.Empty(t, s.Assign(0, anywhere), "both slots are taken")
	require.True(t, s.RunEnded(0, assignment.Task, assignment.Run, Interrupted))
	require.Equal(t, Waiting, assignment.Task.State)
	require.Equal(t, text, assignment.Task.Text)
}
