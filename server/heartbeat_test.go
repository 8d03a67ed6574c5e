package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeartbeatsAreGathered: whom a replica hears is told to the leader once, a
// late heartbeat counts for nothing, and silence begins with the first question.
func TestHeartbeatsAreGathered(t *testing.T) {
	start := time.Unix(1000, 0)
	follower, leader := newHeartbeats(), newHeartbeats()
	require.True(t, follower.note(start, "b", 2))
	require.True(t, follower.note(start, "a", 1))
	require.False(t, follower.note(start.Add(time.Second), "b", 1))
	require.Equal(t, []string{"a", "b"}, follower.takeUntold())
	require.Empty(t, follower.takeUntold())

	require.Zero(t, leader.silence(start, "a"))
	require.Equal(t, time.Minute, leader.silence(start.Add(time.Minute), "a"))
	leader.noteHeard(start.Add(time.Minute), []string{"a"})
	require.Equal(t, time.Second, leader.silence(start.Add(time.Minute+time.Second), "a"))
	leader.reset()
	require.Zero(t, leader.silence(start.Add(time.Hour), "a"))
}
