package forward

import (
	"slices"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
)

// A suspect is a request that has crashed a backend without a response since, or whose kind is
// suspected because different requests of that kind have crashed backends. It may crash further
// backends. Suspects therefore share few backends, the same in all processes, and are not sent while
// too many of the service's backends are unavailable.

// chooseForSuspect returns a backend for a suspect, of the first service that has an eligible one, and
// counts the request as in flight there. postponed reports whether a service has too many unavailable
// backends.
func (f *Forwarder) chooseForSuspect(catalog *directory.Catalog, services []string, tried map[string]bool) (backend directory.Backend, ok, postponed bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	for _, service := range services {
		maxBackends := f.maxSuspectBackends(catalog, service, now)
		if maxBackends <= 0 {
			postponed = true
			continue
		}
		if backend, ok = f.backendForSuspect(runningFirst(catalog, f.guard, service), tried, maxBackends, now); ok {
			state := f.state(backend.ID)
			state.inFlight++
			state.suspects++
			return backend, true, false
		}
	}
	return directory.Backend{}, false, postponed
}

// restartTime is how long a crashed backend counts as one that will be back soon. One that is not back by then may
// never be, and suspects, most of which are sound, do not wait for it.
const restartTime = 2 * time.Second

// MaxSuspectBackends returns how many backends of the service may run suspects now. isUnavailable reports whether a
// backend is unavailable after a crash.
func MaxSuspectBackends(catalog *directory.Catalog, service string, isUnavailable func(id string) bool) int {
	backends := catalog.Backends(service)
	unavailable := 0
	for _, backend := range backends {
		if isUnavailable(backend.ID) {
			unavailable++
		}
	}
	return quarantine.MaxUnavailable(len(backends)) - unavailable
}

// maxSuspectBackends returns how many backends of the service may run suspects now, according to the
// catalog and the guard. The forwarder's mutex must be held.
func (f *Forwarder) maxSuspectBackends(catalog *directory.Catalog, service string, now time.Time) int {
	crashed := KnownCrashedBackends(catalog, f.guard)
	return MaxSuspectBackends(catalog, service, func(id string) bool { return crashed.Has(id) && f.isRestarting(id, now) })
}

// isRestarting reports whether this process has known for less than restartTime that the backend has crashed. The
// forwarder's mutex must be held.
func (f *Forwarder) isRestarting(id string, now time.Time) bool {
	since, ok := f.crashedSince[id]
	if !ok {
		f.crashedSince[id] = now
		return true
	}
	return now.Sub(since) < restartTime
}

// CrashedBackends is the set of backends that this process knows to have crashed.
type CrashedBackends struct {
	catalog *directory.Catalog
	recent  map[string]bool
}

// KnownCrashedBackends returns the crashed backends according to the catalog and the guard.
func KnownCrashedBackends(catalog *directory.Catalog, guard *quarantine.Guard) CrashedBackends {
	return CrashedBackends{catalog: catalog, recent: guard.RecentlyCrashedBackends()}
}

// Has reports whether the backend has crashed.
func (c CrashedBackends) Has(id string) bool { return c.recent[id] || c.catalog.HasCrashed(id) }

// runningFirst returns the service's backends that are not known to have crashed, or all if there are no others.
func runningFirst(catalog *directory.Catalog, guard *quarantine.Guard, service string) []*directory.Backend {
	all, crashed := catalog.Backends(service), KnownCrashedBackends(catalog, guard)
	running := slices.DeleteFunc(slices.Clone(all), func(backend *directory.Backend) bool { return crashed.Has(backend.ID) })
	if len(running) == 0 {
		return all
	}
	return running
}

// backendForSuspect returns the backend with the fewest requests in flight among those that run
// suspects. If this backend has no free slot and fewer than maxBackends run suspects, it returns the
// first other eligible backend.
func (f *Forwarder) backendForSuspect(backends []*directory.Backend, tried map[string]bool, maxBackends int, now time.Time) (directory.Backend, bool) {
	shared, next := &directory.Backend{}, &directory.Backend{}
	usedBackends := 0
	for _, backend := range backends {
		state := f.backends[backend.ID]
		if state == nil {
			state = &unusedBackend
		}
		if state.suspects > 0 {
			usedBackends++
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
	if usedBackends < maxBackends && !hasSlot && next.ID != "" {
		return *next, true
	}
	return *shared, shared.ID != ""
}

// releaseSuspect records that a suspect's attempt at the backend has ended.
func (f *Forwarder) releaseSuspect(id string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.state(id).suspects--
}

// PostponesSuspects reports whether suspects are postponed at all of the services, since too many
// backends are unavailable.
func (f *Forwarder) PostponesSuspects(catalog *directory.Catalog, services []string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	now := time.Now()
	for _, service := range services {
		if f.maxSuspectBackends(catalog, service, now) > 0 {
			return false
		}
	}
	return true
}

// chooseForAttempt returns a backend for the request's next attempt.
func (f *Forwarder) chooseForAttempt(c *quarantineCheck, catalog *directory.Catalog, services []string, tried map[string]bool) (directory.Backend, bool) {
	if !c.isSuspect() {
		return f.choose(catalog, services, tried)
	}
	backend, ok, postponed := f.chooseForSuspect(catalog, services, tried)
	c.postponed = c.postponed || postponed
	return backend, ok
}
