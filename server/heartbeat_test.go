package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
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

// TestHeartbeatsThatTheLeaderDoesNotLearnOf: a replica whose calls do not reach the leader takes
// no heartbeats for it: it would take the backend for silent, though that is heard.
func TestHeartbeatsThatTheLeaderDoesNotLearnOf(t *testing.T) {
	backend := directory.Backend{ID: "b", Service: "s", Address: "10.0.0.1:80", Slots: 1}
	d, leader, _ := followedDirectory(t, directory.Command{PutBackend: &backend})
	taken := func() bool {
		_, err := d.Heartbeat(t.Context(), Heartbeat{Backend: backend})
		return err == nil
	}
	require.Eventually(t, taken, watchSoon, watchInterval)
	leader.unconfirmed.Store(true)
	require.Eventually(t, func() bool { return !taken() }, watchSoon, watchInterval)
	leader.unconfirmed.Store(false)
	require.Eventually(t, taken, watchSoon, watchInterval)
}
