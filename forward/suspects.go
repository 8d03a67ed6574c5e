package forward

import (
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
)

// A suspect is a request under which a backend has ended and that none has answered since, or one
// of a kind of which different requests have. It may end the next backend, too. So suspects share
// few backends, and are sent to none while too many of the service's are away already. All
// processes prefer the same backends, without a message between them.

// chooseForSuspect takes a backend for a suspect, of the first service that has one, and counts the
// request there. It tells whether a service's backends are spared, which is no reason to ask
// another time soon.
func (f *Forwarder) chooseForSuspect(catalog *directory.Catalog, services []string, tried map[string]bool) (backend directory.Backend, ok, spared bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	for _, service := range services {
		room := SuspectRoom(catalog, f.guard, service)
		if room <= 0 {
			spared = true
			continue
		}
		if backend, ok = f.backendForSuspect(catalog.Backends(service), tried, room, now); ok {
			state := f.state(backend.ID)
			state.inFlight++
			state.suspects++
			return backend, true, false
		}
	}
	return directory.Backend{}, false, spared
}

// SuspectRoom returns how many backends of the service may run suspects now, as far as the process
// with the guard knows.
func SuspectRoom(catalog *directory.Catalog, guard *quarantine.Guard, service string) int {
	backends, ends := catalog.Backends(service), EndsKnown(catalog, guard)
	away := 0
	for _, backend := range backends {
		if ends.Has(backend.ID) {
			away++
		}
	}
	return quarantine.MaxUnavailable(len(backends)) - away
}

// Ends are the backends that have ended under requests, as far as a process knows.
type Ends struct {
	catalog *directory.Catalog
	seen    map[string]bool
}

// EndsKnown returns the ends that the process with the guard knows of.
func EndsKnown(catalog *directory.Catalog, guard *quarantine.Guard) Ends {
	return Ends{catalog: catalog, seen: guard.RecentlyCrashedBackends()}
}

// Has tells whether the backend has ended.
func (e Ends) Has(id string) bool { return e.seen[id] || e.catalog.HasCrashed(id) }

// backendForSuspect returns the backend with the fewest requests of those that run suspects. While
// there is room for one more and each of these has as many requests as slots, it is the first other
// backend that can be asked.
func (f *Forwarder) backendForSuspect(backends []*directory.Backend, tried map[string]bool, room int, now time.Time) (directory.Backend, bool) {
	shared, next := &directory.Backend{}, &directory.Backend{}
	used := 0
	for _, backend := range backends {
		state := f.backends[backend.ID]
		if state == nil {
			state = &unusedBackend
		}
		if state.suspects > 0 {
			used++
		}
		if backend.Draining || backend.Silent || tried[backend.ID] || now.Before(state.avoidedUntil) {
			continue
		}
		switch {
		case state.suspects > 0 && (shared.ID == "" || state.inFlight < f.state(shared.ID).inFlight):
			shared = backend
		case state.suspects == 0 && next.ID == "":
			next = backend
		}
	}
	hasSlot := shared.ID != "" && f.state(shared.ID).inFlight < shared.Slots
	if used < room && !hasSlot && next.ID != "" {
		return *next, true
	}
	return *shared, shared.ID != ""
}

// endSuspect takes in that a suspect has ended at the backend.
func (f *Forwarder) endSuspect(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state(id).suspects--
}

// Spares tells whether no service may run a suspect now, since too many of its backends are away.
func (f *Forwarder) Spares(catalog *directory.Catalog, services []string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, service := range services {
		if SuspectRoom(catalog, f.guard, service) > 0 {
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
	backend, ok, spared := f.chooseForSuspect(catalog, services, tried)
	c.postponed = c.postponed || spared
	return backend, ok
}
