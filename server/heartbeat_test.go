package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
)

// TestHeartbeatsAreReportedOnce checks that a follower reports a backend to the leader once, ignores late
// heartbeats, and counts silence from the first call.
func TestHeartbeatsAreReportedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	follower, leader := newHeartbeats(), newHeartbeats()
	require.True(t, follower.record(start, "b", 2))
	require.True(t, follower.record(start, "a", 1))
	require.False(t, follower.record(start.Add(time.Second), "b", 1))
	require.Equal(t, []string{"a", "b"}, follower.takeUnreported())
	require.Empty(t, follower.takeUnreported())

	require.Zero(t, leader.silence(start, "a"))
	require.Equal(t, time.Minute, leader.silence(start.Add(time.Minute), "a"))
	leader.recordReported(start.Add(time.Minute), []string{"a"})
	require.Equal(t, time.Second, leader.silence(start.Add(time.Minute+time.Second), "a"))
	leader.reset()
	require.Zero(t, leader.silence(start.Add(time.Hour), "a"))
}

// TestHeartbeatsAreRejectedWithoutLeader checks that a replica whose calls do not reach the leader
// accepts no heartbeats, since the leader would count the backend as silent.
func TestHeartbeatsAreRejectedWithoutLeader(t *testing.T) {
	backend := directory.Backend{ID: "b", Service: "s", Address: "10.0.0.1:80", Slots: 1}
	d, leader, _ := startDirectoryWithLeader(t, directory.Command{PutBackend: &backend})
	isAccepted := func() bool {
		_, err := d.Heartbeat(t.Context(), Heartbeat{Backend: backend})
		return err == nil
	}
	require.Eventually(t, isAccepted, waitTimeout, pollInterval)
	leader.unconfirmed.Store(true)
	require.Eventually(t, func() bool { return !isAccepted() }, waitTimeout, pollInterval)
	leader.unconfirmed.Store(false)
	require.Eventually(t, isAccepted, waitTimeout, pollInterval)
}
