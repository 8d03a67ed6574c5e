package directory

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
)

// indexBackends makes the indexes of backends anew, and begins a journal of their changes.
func (m *Machine) indexBackends() {
	m.journal, m.urgent, m.versionAt = journal{floor: m.state.Revision}, m.state.Revision, m.state.Revision
	m.forwarded = forwardedBy(m.state.Routes)
	m.byName, m.byAddress = map[string]string{}, map[string]string{}
	for id, known := range m.state.Backends {
		m.byName[known.Object.NameOrID()] = id
		m.byAddress[known.Object.Address] = id
	}
}

// Backend returns a registered backend, and whether there is one.
func (m *Machine) Backend(id string) (Backend, bool) {
	known := m.state.Backends[id]
	if known == nil {
		return Backend{}, false
	}
	return known.Object, true
}

// BackendByAddress returns the backend that is registered at the address, and whether there is one.
func (m *Machine) BackendByAddress(address string) (Backend, bool) {
	return m.Backend(m.byAddress[address])
}

// BackendByName returns the incarnation that is registered under the name, and whether there is one.
func (m *Machine) BackendByName(name string) (Backend, bool) { return m.Backend(m.byName[name]) }

// IsRemoved reports whether the incarnation has left, or is an earlier life than one that has.
func (m *Machine) IsRemoved(incarnation Incarnation) bool { return m.departures().has(incarnation) }

func (m *Machine) departures() departures {
	return departures{at: m.state.Gone, born: m.state.GoneBorn}
}

// Backends returns the registered backends, ordered by ID.
func (m *Machine) Backends() []Backend { return objects(m.state.Backends) }

// putBackend registers a backend or changes it. What has left stays out, an earlier life under the
// same name changes nothing, and an address belongs to the newest that names it.
func (m *Machine) putBackend(backend Backend) {
	if m.IsRemoved(backend.Incarnation()) {
		return
	}
	known, ok := m.BackendByName(backend.NameOrID())
	switch {
	case ok && known.ID == backend.ID:
		backend.Draining = backend.Draining || known.Draining
		if reflect.DeepEqual(known, backend) {
			return
		}
		delete(m.byAddress, known.Address)
		if known.Service != backend.Service {
			// Whoever follows only its earlier service is told that it has gone.
			m.bury(KindBackend, known.ID)
		}
	case ok && !backend.Incarnation().follows(known.Born):
		return
	case ok:
		m.takeOut(known)
	}
	m.releaseAddress(backend)
	delete(m.state.Silenced, backend.NameOrID())
	next := m.nextPatient
	if backend.Draining && !known.Draining {
		next = m.next
	}
	m.state.Backends[backend.ID] = &versioned[Backend]{Revision: next(), Object: backend}
	m.journal.note(m.state.Revision, backend.ID)
	m.byName[backend.NameOrID()] = backend.ID
	m.byAddress[backend.Address] = backend.ID
}

// releaseAddress takes out another backend that has the address of this one. It may return: a late
// heartbeat of one that has ended takes the address of a living one that is not heard for a moment.
func (m *Machine) releaseAddress(backend Backend) {
	if earlier, ok := m.BackendByAddress(backend.Address); ok && earlier.ID != backend.ID {
		m.takeOut(earlier)
		m.noteSilenced(earlier)
	}
}

// removeBackend carries out a command. A name that nobody is registered under stays out, too:
// its last heartbeat may still be on its way.
func (m *Machine) removeBackend(command RemoveBackend) {
	if command.Name == "" {
		m.removeSilent(command.ID)
		return
	}
	known, ok := m.BackendByName(command.Name)
	switch {
	case !ok:
		m.noteGone(Incarnation{Name: command.Name, StartTime: cmp.Or(command.Born, command.LatestBirth)})
	case command.Born == 0 || known.Born <= command.Born:
		m.takeOut(known)
	}
}

// removeSilent takes out a backend that nobody hears. Whoever reviews them may not know yet that it
// has been taken out already.
func (m *Machine) removeSilent(id string) {
	known, ok := m.Backend(id)
	switch {
	case ok:
		m.takeOut(known)
		m.noteSilenced(known)
	case m.state.InUse < ReturnVersion:
		m.noteGone(Incarnation{Name: id})
	}
}

// takeOut removes a registered backend, which stays out unless it may return.
func (m *Machine) takeOut(known Backend) {
	delete(m.state.Backends, known.ID)
	delete(m.byName, known.NameOrID())
	delete(m.byAddress, known.Address)
	m.bury(KindBackend, known.ID)
	m.noteGone(known.Incarnation())
}

// noteGone remembers that the incarnation has left.
func (m *Machine) noteGone(incarnation Incarnation) {
	m.forgetSilenced(incarnation)
	if m.IsRemoved(incarnation) {
		return
	}
	m.departures().note(incarnation, m.state.Revision)
	if len(m.state.Gone) > maxTombstones {
		revisions := slices.Sorted(maps.Values(m.state.Gone))
		m.departures().forget(revisions[len(revisions)/2])
		maps.DeleteFunc(m.state.Silenced, func(name string, _ int64) bool { return m.state.Gone[name] == 0 })
	}
}
