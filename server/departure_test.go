package server

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
)

// TestAcknowledgedDepartureIsRecorded guards against a departure that is acknowledged without any effect: a
// heartbeat that says the backend is draining counts even after one with a higher sequence number.
func TestAcknowledgedDepartureIsRecorded(t *testing.T) {
	members := startMembers(t, noPreparation)
	for _, member := range members {
		d := member.directory
		name := "i-" + d.settings.Name
		backend := directory.Backend{Service: "s", Address: name + ":80", Zone: "z", Slots: 6}.
			WithIncarnation(directory.Incarnation{Name: name, StartTime: 1000})
		eventually(t, func() bool {
			_, err := d.Heartbeat(t.Context(), Heartbeat{Backend: backend, Sequence: 22})
			return err == nil
		}, "the backend does not register")
		backend.Draining = true
		_, err := d.Heartbeat(t.Context(), Heartbeat{Backend: backend, Sequence: 5})
		require.NoError(t, err)
		var registered directory.Backend
		leaderOf(t, members).directory.replica.Do(func() {
			registered, _ = leaderOf(t, members).directory.machine.Backend(backend.ID)
		})
		require.True(t, registered.Draining, "acknowledged by %s without effect", d.settings.Name)
	}
}

// TestContestedDepartureIsRecorded guards against a backend that is registered after its departure: it departs
// while another backend still holds its address, and a late heartbeat of it arrives once the address is free.
func TestContestedDepartureIsRecorded(t *testing.T) {
	members := startMembers(t, noPreparation)
	d := members[0].directory
	awaitVersion(t, members)
	holder := newHeartbeatSender(t, "holder", "10.0.0.1:80")
	eventually(t, func() bool { return holder.send(d) }, "the holder does not register")
	departing := newHeartbeatSender(t, "departing", holder.backend.Address)
	require.False(t, departing.send(d), "the holder keeps its address")
	departing.backend.Draining = true
	departing.send(d)
	departing.backend.Draining = false
	require.NoError(t, d.Leave(t.Context(), directory.Incarnation{Name: "holder"}))
	departing.sequence = 0
	never(t, 2*d.settings.HeartbeatInterval, func() bool { return departing.send(d) }, "a departed backend is registered")
}

// TestSequenceThatBeginsAnewIsHeard guards against a sound backend that counts as silent for as long as it runs,
// because one of its heartbeats had a higher sequence number than all that follow.
func TestSequenceThatBeginsAnewIsHeard(t *testing.T) {
	members := startMembers(t, func(_ int, d *Directory) { d.settings.HeartbeatInterval = 50 * time.Millisecond })
	d := members[0].directory
	awaitVersion(t, members)
	backend := newHeartbeatSender(t, "b", "10.0.0.1:80")
	backend.sequence = 1 << 40
	eventually(t, func() bool { return backend.send(d) }, "the backend does not register")
	backend.sequence = 0
	never(t, 3*removalHeartbeats*d.settings.HeartbeatInterval, func() bool {
		backend.send(d)
		return !isRegistered(d, "b")
	}, "the backend is removed although it sends heartbeats")
}
