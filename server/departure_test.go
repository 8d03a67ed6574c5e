package server

import (
	"testing"

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
