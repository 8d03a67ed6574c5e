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

// returnTracker tracks heartbeats of backends that were removed as silent. Such a backend is running if
// another heartbeat follows after at least minReturnIntervals. It is safe for concurrent use.
type returnTracker struct {
	mutex sync.Mutex
	// heartbeats is keyed by backend ID.
	heartbeats map[string]returnHeartbeats
}

type returnHeartbeats struct {
	// firstAt is when the first heartbeat arrived, and lastAt when the latest did.
	firstAt, lastAt time.Time
	firstSequence   uint64
}

func newReturnTracker() *returnTracker {
	return &returnTracker{heartbeats: map[string]returnHeartbeats{}}
}

// record records a heartbeat and reports whether it confirms that the backend is running.
func (r *returnTracker) record(now time.Time, id string, sequence uint64, interval time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.heartbeats, func(_ string, entry returnHeartbeats) bool { return now.Sub(entry.lastAt) > silentHeartbeats*interval })
	entry, known := r.heartbeats[id]
	if !known {
		r.heartbeats[id] = returnHeartbeats{firstAt: now, lastAt: now, firstSequence: sequence}
		return false
	}
	entry.lastAt = now
	r.heartbeats[id] = entry
	return sequence > entry.firstSequence && now.Sub(entry.firstAt) >= time.Duration(minReturnIntervals*float64(interval))
}

// forget drops the heartbeats recorded for the backend.
func (r *returnTracker) forget(id string) {
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
	case d.isReturning(registration, heartbeat):
		return directory.Command{ReturnBackend: &backend}, true
	}
	return directory.Command{}, false
}
