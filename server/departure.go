package server

import (
	"github.com/dillchute/dillchute/directory"
)

// A backend departs when it says that it is draining, or deregisters. A departure is final for the
// incarnation, so no order of arrival can make it outdated, and the platform relies on its acknowledgement:
// the directory acknowledges it only once its state holds it.

// departureCommand returns the command that records the departure of a draining backend whose heartbeat does
// not change its registration, if it is not recorded yet.
func (d *Directory) departureCommand(registration registrationState, backend directory.Backend) (directory.Command, bool) {
	registered := registration.registered
	switch {
	case registration.isRemoved && !registration.mayReturn:
		return directory.Command{}, false
	case registration.isRegistered && (registered.Born > backend.Born || registered.ID == backend.ID && registered.Draining):
		return directory.Command{}, false
	}
	// It is not registered, because it was silent or another backend holds its address. A late heartbeat must
	// not register it.
	return directory.Command{RemoveBackend: &directory.RemoveBackend{Name: backend.NameOrID(), Born: backend.Born, LatestBirth: d.currentTime()}}, true
}
