package server

import (
	"fmt"
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

// TestHeartbeatsOfEndedIncarnationsAreDropped guards against memory that grows with every restart of a backend.
func TestHeartbeatsOfEndedIncarnationsAreDropped(t *testing.T) {
	const retention = time.Hour
	start, h := time.Unix(1000, 0), newHeartbeats()
	for number := range 1000 {
		h.record(start, fmt.Sprint("i/", number), 7)
	}
	last := start.Add(retention + time.Second)
	h.record(last, "i/999", 8)
	h.prune(last, retention)
	require.Equal(t, map[string]uint64{"i/999": 8}, h.sequences)
	require.Len(t, h.lastHeartbeats, 1)
	require.Equal(t, []string{"i/999"}, h.takeUnreported())
	require.True(t, h.record(last, "i/0", 1), "nothing of it is kept")
}
