package server

import (
	"maps"
	"sync"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
)

// returnBeats is how many heartbeats' time lies at least between two that prove a backend's life. One
// alone proves nothing: a cut may have held it up until its sender had ended, and what a cut has held
// up comes together once it is over.
const returnBeats = 0.75

// returning follows the heartbeats of backends that were taken out because nobody heard them. Such a
// backend lives if a later one follows at its pace. It may be used concurrently.
type returning struct {
	mutex sync.Mutex
	// first holds the first of the heartbeats in question.
	first map[string]returnBeat
}

type returnBeat struct {
	// at is when it came, and lastAt when the newest after it did.
	at, lastAt time.Time
	sequence   uint64
}

func newReturning() *returning { return &returning{first: map[string]returnBeat{}} }

// note takes in a heartbeat of the backend, and tells whether it proves that the backend lives.
func (r *returning) note(now time.Time, id string, sequence uint64, interval time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.first, func(_ string, beat returnBeat) bool { return now.Sub(beat.lastAt) > silentHeartbeats*interval })
	beat, known := r.first[id]
	if !known {
		r.first[id] = returnBeat{at: now, lastAt: now, sequence: sequence}
		return false
	}
	beat.lastAt = now
	r.first[id] = beat
	return sequence > beat.sequence && now.Sub(beat.at) >= time.Duration(returnBeats*float64(interval))
}

// forget has the backend prove its life anew.
func (r *returning) forget(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.first, id)
}

// comesBack tells, on the leader, whether a backend that was taken out only because nobody heard it
// is to be registered again. It must not be while another one at its address is heard of.
func (d *Directory) comesBack(known registrationState, heartbeat Heartbeat) bool {
	backend := heartbeat.Backend
	if !known.mayReturn {
		return false
	}
	if d.isAddressContested(known, backend) {
		d.returning.forget(backend.ID)
		return false
	}
	if !d.returning.note(clock.Now(), backend.ID, heartbeat.Sequence, d.settings.HeartbeatInterval) {
		return false
	}
	event.BackendReturned.On(d.logger).Str("backend", backend.ID).Str("service", backend.Service).Str("address", backend.Address).Send()
	return true
}

// register returns the command that takes in what the backend says, if it changes something.
func (d *Directory) register(known registrationState, heartbeat Heartbeat) (directory.Command, bool) {
	backend := heartbeat.Backend
	switch {
	case d.changesRegistration(known, backend):
		event.BackendRegistered.On(d.logger).Str("backend", backend.ID).Str("service", backend.Service).
			Str("address", backend.Address).Uint("draining", boolToUint(backend.Draining)).Send()
		return directory.Command{PutBackend: &backend}, true
	case d.comesBack(known, heartbeat):
		return directory.Command{ReturnBackend: &backend}, true
	}
	return directory.Command{}, false
}
