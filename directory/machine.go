package directory

import (
	"errors"
	"io"
	"maps"
	"reflect"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/dillchute/dillchute/capacity"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/usage"
)

// maxTombstones bounds the removed objects that are remembered, beyond which
// watchers that trail far take in the whole state.
const maxTombstones = 20000

// keptTombstones are left when there are too many, so that the rest is copied once in many
// removals.
const keptTombstones = maxTombstones / 2

// versioned is an object with the revision at which it last changed.
type versioned[T any] struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Object   T
}

// tombstone is a removed object.
type tombstone struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Kind     ObjectKind
	Name     string
}

// ObjectKind is a kind of objects that a watcher follows.
type ObjectKind uint8

// The kinds that can be removed.
const (
	KindRoute ObjectKind = iota + 1
	KindService
	KindBackend
	KindTenant
	KindSuspect
)

// contents is what a snapshot holds.
type contents struct {
	Revision uint64                                 `cbor:"1,keyasint"`
	Version  uint64                                 `cbor:"2,keyasint"`
	Source   []byte                                 `cbor:"3,keyasint"`
	Routes   map[string]*versioned[routing.Route]   `cbor:"4,keyasint"`
	Services map[string]*versioned[routing.Service] `cbor:"5,keyasint"`
	Limits   versioned[routing.Limits]              `cbor:"6,keyasint"`
	Backends map[string]*versioned[Backend]         `cbor:"7,keyasint"`
	Models   map[string]*versioned[uint64]          `cbor:"8,keyasint"`
	Stores   map[string]*versioned[Store]           `cbor:"9,keyasint"`
	Group    versioned[Group]                       `cbor:"10,keyasint"`
	// Removed lists tombstones by revision; Floor is the revision up to which
	// some have been forgotten.
	Removed []tombstone `cbor:"11,keyasint"`
	Floor   uint64      `cbor:"12,keyasint"`
	// Gone are the names of backends that have left, see departures, and GoneBorn the births of
	// the lives that have.
	Gone map[string]uint64 `cbor:"13,keyasint"`
	// Tenants are those of the configuration in force, by name.
	Tenants map[string]*versioned[routing.Tenant] `cbor:"14,keyasint,omitempty"`
	Usage   usage.WindowStore                     `cbor:"15,keyasint"`
	// Acts are the newest acts of duties, by subject.
	Acts map[string]duty.Action `cbor:"16,keyasint,omitempty"`
	// Suspects are requests under which backends have ended.
	Suspects map[quarantine.Fingerprint]*versioned[quarantine.Suspect] `cbor:"17,keyasint,omitempty"`
	GoneBorn map[string]int64                                          `cbor:"18,keyasint,omitempty"`
	// Zones are those of the directory's replicas, by their addresses.
	Zones map[string]*versioned[string] `cbor:"19,keyasint,omitempty"`
	// Orders are the newest orders of backends, by what they are about.
	Orders map[string]capacity.Order `cbor:"20,keyasint,omitempty"`
	// InUse is the version whose meanings commands have, see RaiseVersion.
	InUse uint64 `cbor:"21,keyasint,omitempty"`
	// Silenced are the births of the lives that may come back, by their names: nobody heard them.
	Silenced map[string]int64 `cbor:"22,keyasint,omitempty"`
}

// Machine is the replicated state. Its methods must not be called concurrently.
type Machine struct {
	state contents
	// byName and byAddress hold the IDs of the registered backends.
	byName, byAddress map[string]string
	// journal lists the latest changes of backends.
	journal journal
	// urgent is the revision of the newest change that is urgent, see UrgentRevision, and versionAt that
	// at which the configuration's version changed, or a later one.
	urgentRevision, versionRevision uint64
	forwarded                       forwarded
}

// NewMachine returns the state before the first command.
func NewMachine() *Machine {
	m := &Machine{}
	m.reset()
	return m
}

func (m *Machine) reset() {
	m.state = contents{
		Routes:   map[string]*versioned[routing.Route]{},
		Services: map[string]*versioned[routing.Service]{},
		Backends: map[string]*versioned[Backend]{},
		Models:   map[string]*versioned[uint64]{},
		Stores:   map[string]*versioned[Store]{},
		Gone:     map[string]uint64{},
		Tenants:  map[string]*versioned[routing.Tenant]{},
		Acts:     map[string]duty.Action{},
		Suspects: map[quarantine.Fingerprint]*versioned[quarantine.Suspect]{},
		GoneBorn: map[string]int64{},
		Zones:    map[string]*versioned[string]{},
		Orders:   map[string]capacity.Order{},
		Silenced: map[string]int64{},
	}
	m.indexBackends()
}

// Snapshot returns a function that writes the state as it is now. Objects are
// replaced and never changed, so copies of the maps that hold them do.
func (m *Machine) Snapshot() func(io.Writer) error {
	state := m.state
	state.Routes, state.Services = maps.Clone(state.Routes), maps.Clone(state.Services)
	state.Backends, state.Models = maps.Clone(state.Backends), maps.Clone(state.Models)
	state.Stores, state.Gone = maps.Clone(state.Stores), maps.Clone(state.Gone)
	state.Suspects, state.GoneBorn = maps.Clone(state.Suspects), maps.Clone(state.GoneBorn)
	state.Zones, state.Orders = maps.Clone(state.Zones), maps.Clone(state.Orders)
	state.Silenced = maps.Clone(state.Silenced)
	state.Tenants, state.Acts, state.Usage = maps.Clone(state.Tenants), maps.Clone(state.Acts), state.Usage.Clone()
	return func(writer io.Writer) error { return deterministic.NewEncoder(writer).Encode(state) }
}

// Restore replaces the state by a written one; nothing to read is the state
// before the first command. It returns an ErrUnknownVersion error for one of a later build.
func (m *Machine) Restore(reader io.Reader) error {
	m.reset()
	err := cbor.NewDecoder(reader).Decode(&m.state)
	if errors.Is(err, io.EOF) {
		return nil
	}
	m.indexBackends()
	if err != nil {
		return err
	}
	return m.Err()
}

// Revision grows with each change of an object.
func (m *Machine) Revision() uint64 { return m.state.Revision }

// UrgentRevision returns the revision of the newest change that must not wait for others on its way to
// watchers: all but registrations, which let a backend be used that nobody misses yet.
func (m *Machine) UrgentRevision() uint64 { return m.urgentRevision }

// Version returns the version of the configuration in force.
func (m *Machine) Version() uint64 { return m.state.Version }

// Source returns the document of the configuration in force, or nil.
func (m *Machine) Source() []byte { return m.state.Source }

// Store returns a registered store, and whether there is one.
func (m *Machine) Store(name string) (Store, bool) {
	stored := m.state.Stores[name]
	if stored == nil {
		return Store{}, false
	}
	return stored.Object, true
}

// Stores returns the registered stores, ordered by name.
func (m *Machine) Stores() []Store { return sortedObjects(m.state.Stores) }

// Group returns the ledger's group.
func (m *Machine) Group() Group { return m.state.Group.Object }

// Usage returns the record of usage. It must not be changed.
func (m *Machine) Usage() *usage.WindowStore { return &m.state.Usage }

// Actions returns the newest actions of duties, by subject. It must not be changed.
func (m *Machine) Actions() map[string]duty.Action { return m.state.Acts }

func sortedObjects[T any](stored map[string]*versioned[T]) []T {
	list := make([]T, 0, len(stored))
	for _, name := range slices.Sorted(maps.Keys(stored)) {
		list = append(list, stored[name].Object)
	}
	return list
}

// Apply carries out an encoded command and returns the encoded Result. An entry
// that cannot be decoded has no effect.
func (m *Machine) Apply(data []byte) []byte {
	var command Command
	result := Result{}
	if m.Err() == nil && cbor.Unmarshal(data, &command) == nil {
		result.Retire = m.apply(command)
		result.Granted = m.takeTrial(command.TakeTrial)
	}
	result.Version = m.state.Version
	encoded, err := deterministic.Marshal(result)
	if err != nil {
		panic("directory: a result must encode: " + err.Error())
	}
	return encoded
}

func (m *Machine) apply(command Command) RetireOutcome {
	switch {
	case command.PutConfiguration != nil:
		m.putConfiguration(command.PutConfiguration)
	case command.PutBackend != nil:
		m.putBackend(*command.PutBackend)
	case command.RemoveBackend != nil:
		m.removeBackend(*command.RemoveBackend)
	case command.NameVersion != nil:
		m.nameVersion(*command.NameVersion)
	case command.PutStore != nil:
		m.putStore(*command.PutStore)
	case command.FormGroup != nil:
		m.formGroup(*command.FormGroup)
	case command.ReportGroup != nil:
		m.reportGroup(*command.ReportGroup)
	case command.Retire != nil:
		return m.retire(*command.Retire)
	case command.FixUsage != 0:
		m.state.Usage.Fix(command.FixUsage)
	case command.ToldUsage != 0:
		m.state.Usage.RemoveReport(command.ToldUsage)
	case len(command.Batch) > 0:
		for _, change := range command.Batch {
			m.apply(change)
		}
	case command.PutZone != nil:
		m.putZone(*command.PutZone)
	case command.Act != nil:
		m.state.Acts[command.Act.Subject] = *command.Act
	case command.Order != nil:
		m.putOrder(*command.Order)
	case command.RaiseVersion != nil:
		m.raiseVersion(*command.RaiseVersion)
	case command.ReturnBackend != nil:
		m.returnBackend(*command.ReturnBackend)
	}
	m.applySuspects(command)
	for _, totals := range command.CountUsage {
		m.state.Usage.Add(totals)
	}
	return 0
}

func (m *Machine) nextUrgentRevision() uint64 {
	m.urgentRevision = m.nextRevision()
	return m.urgentRevision
}

// nextPatient is next for a change that is not urgent.
func (m *Machine) nextRevision() uint64 {
	m.state.Revision++
	return m.state.Revision
}

func (m *Machine) addTombstone(kind ObjectKind, name string) {
	m.state.Removed = append(m.state.Removed, tombstone{Revision: m.nextUrgentRevision(), Kind: kind, Name: name})
	if len(m.state.Removed) > maxTombstones {
		excess := len(m.state.Removed) - keptTombstones
		m.state.Floor = m.state.Removed[excess-1].Revision
		m.state.Removed = slices.Clone(m.state.Removed[excess:])
	}
}

// putConfiguration keeps the highest version: any other is ignored.
func (m *Machine) putConfiguration(command *PutConfiguration) {
	configuration := command.Configuration
	if configuration.Version <= m.state.Version {
		return
	}
	m.state.Version, m.state.Source = configuration.Version, command.Source
	m.versionRevision = m.nextUrgentRevision()
	routes := make(map[string]routing.Route, len(configuration.Routes))
	for _, route := range configuration.Routes {
		routes[route.Key()] = route
	}
	services := make(map[string]routing.Service, len(configuration.Services))
	for _, service := range configuration.Services {
		services[service.Name] = service
	}
	tenants := make(map[string]routing.Tenant, len(configuration.Tenants))
	for _, tenant := range configuration.Tenants {
		tenants[tenant.Name] = tenant
	}
	syncObjects(m, m.state.Tenants, tenants, KindTenant)
	syncObjects(m, m.state.Routes, routes, KindRoute)
	m.forwarded = newForwarded(m.state.Routes)
	syncObjects(m, m.state.Services, services, KindService)
	m.removeObsoleteOrders()
	if m.state.Limits.Object != configuration.Limits {
		m.state.Limits = versioned[routing.Limits]{Revision: m.nextUrgentRevision(), Object: configuration.Limits}
	}
}

// syncObjects makes the known objects those wanted, with as few changes as
// that takes, in the order of their names.
func syncObjects[T any](m *Machine, stored map[string]*versioned[T], desired map[string]T, kind ObjectKind) {
	for _, name := range slices.Sorted(maps.Keys(stored)) {
		if _, ok := desired[name]; !ok {
			delete(stored, name)
			m.addTombstone(kind, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(desired)) {
		object := desired[name]
		if current := stored[name]; current == nil || !reflect.DeepEqual(current.Object, object) {
			stored[name] = &versioned[T]{Revision: m.nextUrgentRevision(), Object: object}
		}
	}
}

func (m *Machine) nameVersion(version ModelVersion) {
	if current := m.state.Models[version.Model]; current != nil && current.Object >= version.Version {
		return
	}
	m.state.Models[version.Model] = &versioned[uint64]{Revision: m.nextUrgentRevision(), Object: version.Version}
}

// putStore registers a store. One that comes back empty is another replica, and
// whatever was decided about the earlier one does not concern it.
func (m *Machine) putStore(store Store) {
	if existing, ok := m.Store(store.Name); ok && existing.Replica == store.Replica {
		store.Retiring, store.Retired = existing.Retiring, existing.Retired
		if existing == store {
			return
		}
	}
	m.state.Stores[store.Name] = &versioned[Store]{Revision: m.nextUrgentRevision(), Object: store}
}

func (m *Machine) formGroup(group Group) {
	if len(m.state.Group.Object.Members) > 0 {
		return
	}
	m.state.Group = versioned[Group]{Revision: m.nextUrgentRevision(), Object: group}
}

// reportGroup takes in the group's membership, and marks retiring stores that
// are no longer part of it as retired.
func (m *Machine) reportGroup(group Group) {
	if group.Number < m.state.Group.Object.Number {
		return
	}
	m.state.Group = versioned[Group]{Revision: m.nextUrgentRevision(), Object: group}
	for _, store := range m.Stores() {
		isMember := slices.ContainsFunc(group.Members, func(member consensus.Member) bool { return member.ID == store.Replica })
		if store.Retiring && !store.Retired && !isMember {
			store.Retired = true
			m.state.Stores[store.Name] = &versioned[Store]{Revision: m.nextUrgentRevision(), Object: store}
		}
	}
}

func (m *Machine) retire(command Retire) RetireOutcome {
	store, ok := m.Store(command.Name)
	if !ok {
		return RetireUnknown
	}
	if store.Retiring {
		return RetireAccepted
	}
	remaining := 0
	for _, other := range m.Stores() {
		isMember := slices.ContainsFunc(m.Group().Members, func(member consensus.Member) bool { return member.ID == other.Replica })
		if other.Name != command.Name && !other.Retiring && isMember {
			remaining++
		}
	}
	if remaining < command.Replicas {
		return RetireTooFew
	}
	store.Retiring = true
	m.state.Stores[store.Name] = &versioned[Store]{Revision: m.nextUrgentRevision(), Object: store}
	return RetireAccepted
}
