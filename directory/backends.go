package directory

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
)

// indexBackends rebuilds the indexes that are derived from the stored state, and starts an empty journal.
func (m *Machine) indexBackends() {
	m.journal, m.urgentRevision, m.versionRevision = journal{floor: m.state.Revision}, m.state.Revision, m.state.Revision
	m.forwarded = newForwardedServices(m.state.Routes)
	m.byName, m.byAddress = map[string]string{}, map[string]string{}
	for id, stored := range m.state.Backends {
		m.byName[stored.Object.NameOrID()] = id
		m.byAddress[stored.Object.Address] = id
	}
}

// Backend returns the registered backend with the ID, and whether it exists.
func (m *Machine) Backend(id string) (Backend, bool) {
	stored := m.state.Backends[id]
	if stored == nil {
		return Backend{}, false
	}
	return stored.Object, true
}

// BackendByAddress returns the backend registered at the address, and whether it exists.
func (m *Machine) BackendByAddress(address string) (Backend, bool) {
	return m.Backend(m.byAddress[address])
}

// BackendByName returns the incarnation registered under the name, and whether it exists.
func (m *Machine) BackendByName(name string) (Backend, bool) { return m.Backend(m.byName[name]) }

// IsRemoved reports whether the incarnation, or a later one of the same name, was removed.
func (m *Machine) IsRemoved(incarnation Incarnation) bool { return m.removals().contains(incarnation) }

func (m *Machine) removals() removals {
	return removals{revisions: m.state.Gone, startTimes: m.state.GoneBorn}
}

// Backends returns the registered backends, ordered by ID.
func (m *Machine) Backends() []Backend { return sortedObjects(m.state.Backends) }

// putBackend registers or updates a backend. It ignores removed incarnations and those that are older
// than the one registered under the name. An address belongs to the backend that registered it last.
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
			// Watchers that receive only its previous service must remove it.
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

// releaseAddress removes another backend that is registered at the address of this one. It may return:
// a late heartbeat of a terminated backend can take the address of a running one that is briefly silent.
func (m *Machine) releaseAddress(backend Backend) {
	if holder, ok := m.BackendByAddress(backend.Address); ok && holder.ID != backend.ID {
		m.unregister(holder)
		m.recordSilentRemoval(holder)
	}
}

// removeBackend applies the command. A heartbeat of the backend may still arrive, so it records the removal
// of a name that is not registered, too, and that of a later incarnation than the registered one.
func (m *Machine) removeBackend(command RemoveBackend) {
	if command.Name == "" {
		m.removeSilentBackend(command.ID)
		return
	}
	existing, isRegistered := m.BackendByName(command.Name)
	if isRegistered && command.Born != 0 && command.Born < existing.Born {
		return
	}
	if isRegistered {
		m.unregister(existing)
	}
	if !isRegistered || m.state.InUse >= DepartureVersion {
		m.recordRemoval(Incarnation{Name: command.Name, StartTime: cmp.Or(command.Born, command.LatestBirth)})
	}
}

// removeSilentBackend removes a backend that sends no heartbeats. It may already be removed: the command
// may result from a stale copy of the directory.
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

// unregister removes a registered backend. It stays removed unless it may return.
func (m *Machine) unregister(backend Backend) {
	delete(m.state.Backends, backend.ID)
	delete(m.byName, backend.NameOrID())
	delete(m.byAddress, backend.Address)
	m.addTombstone(KindBackend, backend.ID)
	m.recordRemoval(backend.Incarnation())
}

// recordRemoval records that the incarnation was removed. If there are too many records, it drops the
// older half.
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
