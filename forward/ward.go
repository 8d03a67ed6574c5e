package forward

import (
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
)

// A suspect, a request under which a backend has ended and that none has answered since, or one of
// a kind of which different requests have, may end the next one. So suspects run at few backends, the wards, and at none while too many of the
// service's are away already. All processes prefer the same wards, without a word between them.

// chooseWard takes a backend for a suspect, of the first service that has one, and counts the
// request there. It tells whether a service's backends are spared, which is no reason to ask
// another time soon.
func (f *Forwarder) chooseWard(catalog *directory.Catalog, services []string, tried map[string]bool) (backend directory.Backend, ok, spared bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	for _, service := range services {
		room := WardRoom(catalog, f.guard, service)
		if room <= 0 {
			spared = true
			continue
		}
		if backend, ok = f.wardOf(catalog.Backends(service), tried, room, now); ok {
			state := f.state(backend.ID)
			state.inFlight++
			state.suspects++
			return backend, true, false
		}
	}
	return directory.Backend{}, false, spared
}

// WardRoom returns how many backends of the service may run suspects now, as far as the process
// with the guard knows.
func WardRoom(catalog *directory.Catalog, guard *quarantine.Guard, service string) int {
	backends, ends := catalog.Backends(service), EndsKnown(catalog, guard)
	away := 0
	for _, backend := range backends {
		if ends.Has(backend.ID) {
			away++
		}
	}
	return quarantine.MostAway(len(backends)) - away
}

// Ends are the backends that have ended under requests, as far as a process knows.
type Ends struct {
	catalog *directory.Catalog
	seen    map[string]bool
}

// EndsKnown returns the ends that the process with the guard knows of.
func EndsKnown(catalog *directory.Catalog, guard *quarantine.Guard) Ends {
	return Ends{catalog: catalog, seen: guard.SeenEnds()}
}

// Has tells whether the backend has ended.
func (e Ends) Has(id string) bool { return e.seen[id] || e.catalog.HasEnded(id) }

// wardOf returns the ward with the fewest requests. While there is room for one more ward and
// each has as many requests as slots, it is the first other backend that can be asked.
func (f *Forwarder) wardOf(backends []directory.Backend, tried map[string]bool, room int, now time.Time) (directory.Backend, bool) {
	var ward, next directory.Backend
	wards := 0
	for _, backend := range backends {
		state := f.state(backend.ID)
		if state.suspects > 0 {
			wards++
		}
		if backend.Draining || backend.Silent || tried[backend.ID] || now.Before(state.avoidedUntil) {
			continue
		}
		switch {
		case state.suspects > 0 && (ward.ID == "" || state.inFlight < f.state(ward.ID).inFlight):
			ward = backend
		case state.suspects == 0 && next.ID == "":
			next = backend
		}
	}
	hasSlot := ward.ID != "" && f.state(ward.ID).inFlight < ward.Slots
	if wards < room && !hasSlot && next.ID != "" {
		return next, true
	}
	return ward, ward.ID != ""
}

// leaveWard takes in that a suspect has ended at the backend.
func (f *Forwarder) leaveWard(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state(id).suspects--
}

// Spares tells whether no service may run a suspect now, since too many of its backends are away.
func (f *Forwarder) Spares(catalog *directory.Catalog, services []string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, service := range services {
		if WardRoom(catalog, f.guard, service) > 0 {
			return false
		}
	}
	return true
}

// pick takes a backend for the request's next attempt.
func (f *Forwarder) pick(c *clearance, catalog *directory.Catalog, services []string, tried map[string]bool) (directory.Backend, bool) {
	if !c.isSuspect() {
		return f.choose(catalog, services, tried)
	}
	backend, ok, spared := f.chooseWard(catalog, services, tried)
	c.postponed = c.postponed || spared
	return backend, ok
}
