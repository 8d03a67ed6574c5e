package server

import (
	"maps"
	"sync"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
)

// minReturnIntervals is the minimum time, in heartbeat intervals, between two heartbeats that confirm that a
// removed backend runs. After a network partition, delayed heartbeats of a backend that has ended may arrive
// together.
const minReturnIntervals = 0.75

// livenessTracker tracks heartbeats that may be late ones of a backend that has ended: of backends that were
// removed as silent, and those with a lower sequence number than an earlier one. The backend is running if
// another heartbeat follows after at least minReturnIntervals. It is safe for concurrent use.
type livenessTracker struct {
	mutex sync.Mutex
	// heartbeats is keyed by backend ID.
	heartbeats map[string]observedHeartbeats
}

type observedHeartbeats struct {
	// firstAt is when the first heartbeat arrived, and lastAt when the latest did.
	firstAt, lastAt time.Time
	firstSequence   uint64
}

func newLivenessTracker() *livenessTracker {
	return &livenessTracker{heartbeats: map[string]observedHeartbeats{}}
}

// record records a heartbeat and reports whether it confirms that the backend is running.
func (r *livenessTracker) record(now time.Time, id string, sequence uint64, interval time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.heartbeats, func(_ string, entry observedHeartbeats) bool {
		return now.Sub(entry.lastAt) > silentHeartbeats*interval
	})
	entry, known := r.heartbeats[id]
	if !known {
		r.heartbeats[id] = observedHeartbeats{firstAt: now, lastAt: now, firstSequence: sequence}
		return false
	}
	entry.lastAt = now
	r.heartbeats[id] = entry
	return sequence > entry.firstSequence && now.Sub(entry.firstAt) >= time.Duration(minReturnIntervals*float64(interval))
}

// forget drops the heartbeats recorded for the backend.
func (r *livenessTracker) forget(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.heartbeats, id)
}

// isReturning reports, on the leader, whether a backend that was removed as silent is to be registered again.
// It returns false while another backend at its address sends heartbeats.
func (d *Directory) isReturning(registration registrationState, heartbeat Heartbeat) bool {
	backend := heartbeat.Backend
	if !registration.mayReturn {
		return false
	}
	if d.isAddressContested(registration, backend) {
		d.returns.forget(backend.ID)
		return false
	}
	if !d.returns.record(clock.Now(), backend.ID, heartbeat.Sequence, d.settings.HeartbeatInterval) {
		return false
	}
	event.BackendReturned.On(d.logger).Str("backend", backend.ID).Str("service", backend.Service).Str("address", backend.Address).Send()
	return true
}

// registrationCommand returns the command that stores a heartbeat's changes, if there are any.
func (d *Directory) registrationCommand(registration registrationState, heartbeat Heartbeat) (directory.Command, bool) {
	backend := heartbeat.Backend
	switch {
	case d.changesRegistration(registration, backend):
		if !sameExceptModels(registration.registered, backend) {
			event.BackendRegistered.On(d.logger).Str("backend", backend.ID).Str("service", backend.Service).Str("address", backend.Address).
				Uint("draining", boolToUint(backend.Draining)).Uint("sequence", heartbeat.Sequence).Send()
		}
		return directory.Command{PutBackend: &backend}, true
	case backend.Draining:
		return d.departureCommand(registration, backend)
	case d.isReturning(registration, heartbeat):
		return directory.Command{ReturnBackend: &backend}, true
	}
	return directory.Command{}, false
}
