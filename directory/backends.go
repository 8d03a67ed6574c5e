package directory

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
)

// indexBackends makes the indexes of backends anew, and begins a journal of their changes.
func (m *Machine) indexBackends() {
	m.journal, m.urgentRevision, m.versionRevision = journal{floor: m.state.Revision}, m.state.Revision, m.state.Revision
	m.forwarded = newForwarded(m.state.Routes)
	m.byName, m.byAddress = map[string]string{}, map[string]string{}
	for id, stored := range m.state.Backends {
		m.byName[stored.Object.NameOrID()] = id
		m.byAddress[stored.Object.Address] = id
	}
}

// Backend returns a registered backend, and whether there is one.
func (m *Machine) Backend(id string) (Backend, bool) {
	stored := m.state.Backends[id]
	if stored == nil {
		return Backend{}, false
	}
	return stored.Object, true
}

// BackendByAddress returns the backend that is registered at the address, and whether there is one.
func (m *Machine) BackendByAddress(address string) (Backend, bool) {
	return m.Backend(m.byAddress[address])
}

// BackendByName returns the incarnation that is registered under the name, and whether there is one.
func (m *Machine) BackendByName(name string) (Backend, bool) { return m.Backend(m.byName[name]) }

// IsRemoved reports whether the incarnation has left, or is an earlier life than one that has.
func (m *Machine) IsRemoved(incarnation Incarnation) bool { return m.removals().contains(incarnation) }

func (m *Machine) removals() removals {
	return removals{revisions: m.state.Gone, startTimes: m.state.GoneBorn}
}

// Backends returns the registered backends, ordered by ID.
func (m *Machine) Backends() []Backend { return sortedObjects(m.state.Backends) }

// putBackend registers a backend or changes it. What has left stays out, an earlier life under the
// same name changes nothing, and an address belongs to the newest that names it.
func (m *Machine) putBackend(backend Backend) {
	if m.IsRemoved(backend.Incarnation()) {
		return
	}
	existing, isRegistered := m.BackendByName(backend.NameOrID())
	switch {
	case isRegistered && existing.ID == backend.ID:
		backend.Draining = backend.Draining || existing.Draining
		if reflect.DeepEqual(existing, backend) {
			return
		}
		delete(m.byAddress, existing.Address)
		if existing.Service != backend.Service {
			// Whoever follows only its earlier service is told that it has gone.
			m.addTombstone(KindBackend, existing.ID)
		}
	case isRegistered && !backend.Incarnation().startedAfter(existing.Born):
		return
	case isRegistered:
		m.unregister(existing)
	}
	m.releaseAddress(backend)
	delete(m.state.Silenced, backend.NameOrID())
	newRevision := m.nextRevision
	if backend.Draining && !existing.Draining {
		newRevision = m.nextUrgentRevision
	}
	m.state.Backends[backend.ID] = &versioned[Backend]{Revision: newRevision(), Object: backend}
	m.journal.record(m.state.Revision, backend.ID)
	m.byName[backend.NameOrID()] = backend.ID
	m.byAddress[backend.Address] = backend.ID
}

// releaseAddress takes out another backend that has the address of this one. It may return: a late
// heartbeat of one that has ended takes the address of a living one that is not heard for a moment.
func (m *Machine) releaseAddress(backend Backend) {
	if holder, ok := m.BackendByAddress(backend.Address); ok && holder.ID != backend.ID {
		m.unregister(holder)
		m.recordSilentRemoval(holder)
	}
}

// removeBackend carries out a command. A name that nobody is registered under stays out, too:
// its last heartbeat may still be on its way.
func (m *Machine) removeBackend(command RemoveBackend) {
	if command.Name == "" {
		m.removeSilentBackend(command.ID)
		return
	}
	existing, isRegistered := m.BackendByName(command.Name)
	switch {
	case !isRegistered:
		m.recordRemoval(Incarnation{Name: command.Name, StartTime: cmp.Or(command.Born, command.LatestBirth)})
	case command.Born == 0 || existing.Born <= command.Born:
		m.unregister(existing)
	}
}

// removeSilent takes out a backend that nobody hears. Whoever reviews them may not know yet that it
// has been taken out already.
func (m *Machine) removeSilentBackend(id string) {
	existing, isRegistered := m.Backend(id)
	switch {
	case isRegistered:
		m.unregister(existing)
		m.recordSilentRemoval(existing)
	case m.state.InUse < ReturnVersion:
		m.recordRemoval(Incarnation{Name: id})
	}
}

// takeOut removes a registered backend, which stays out unless it may return.
func (m *Machine) unregister(backend Backend) {
	delete(m.state.Backends, backend.ID)
	delete(m.byName, backend.NameOrID())
	delete(m.byAddress, backend.Address)
	m.addTombstone(KindBackend, backend.ID)
	m.recordRemoval(backend.Incarnation())
}

// noteGone remembers that the incarnation has left.
func (m *Machine) recordRemoval(incarnation Incarnation) {
	m.forgetSilentRemoval(incarnation)
	if m.IsRemoved(incarnation) {
		return
	}
	m.removals().record(incarnation, m.state.Revision)
	if len(m.state.Gone) > maxTombstones {
		revisions := slices.Sorted(maps.Values(m.state.Gone))
		m.removals().forgetBefore(revisions[len(revisions)/2])
		maps.DeleteFunc(m.state.Silenced, func(name string, _ int64) bool { return m.state.Gone[name] == 0 })
	}
}
