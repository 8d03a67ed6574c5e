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

// maxTombstones limits the number of removed objects recorded. Watchers that are further behind receive
// a full delta.
const maxTombstones = 20000

// keptTombstones is the number of tombstones left after pruning. It is well below maxTombstones,
// so that pruning, which copies them, is rare.
const keptTombstones = maxTombstones / 2

// versioned is an object with the revision of its last change.
type versioned[T any] struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Object   T
}

// tombstone records the removal of an object.
type tombstone struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Kind     ObjectKind
	Name     string
}

// ObjectKind is the kind of a removed object.
type ObjectKind uint8

// Kinds of objects that can be removed.
const (
	KindRoute ObjectKind = iota + 1
	KindService
	KindBackend
	KindTenant
	KindSuspect
)

// contents is the replicated state as stored in snapshots.
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
	// Removed lists tombstones by revision. Floor is the revision up to which they were pruned.
	Removed []tombstone `cbor:"11,keyasint"`
	Floor   uint64      `cbor:"12,keyasint"`
	// Gone holds the revisions at which backends were removed, by name, and GoneBorn the start times
	// of these backends, see removals.
	Gone map[string]uint64 `cbor:"13,keyasint"`
	// Tenants are those of the current configuration, by name.
	Tenants map[string]*versioned[routing.Tenant] `cbor:"14,keyasint,omitempty"`
	Usage   usage.WindowStore                     `cbor:"15,keyasint"`
	// Acts holds the newest action of each duty, by subject.
	Acts map[string]duty.Action `cbor:"16,keyasint,omitempty"`
	// Suspects are requests that ran on crashed backends.
	Suspects map[quarantine.Fingerprint]*versioned[quarantine.Suspect] `cbor:"17,keyasint,omitempty"`
	GoneBorn map[string]int64                                          `cbor:"18,keyasint,omitempty"`
	// Zones holds the zones of the directory's replicas, by address.
	Zones map[string]*versioned[string] `cbor:"19,keyasint,omitempty"`
	// Orders holds the newest order of each pool, see orderKey.
	Orders map[string]capacity.Order `cbor:"20,keyasint,omitempty"`
	// InUse is the version of the commands in use, see RaiseVersion.
	InUse uint64 `cbor:"21,keyasint,omitempty"`
	// Silenced holds the start times of removed incarnations that may return, by name.
	Silenced map[string]int64 `cbor:"22,keyasint,omitempty"`
}

// Machine is the replicated state machine. Its methods must not be called concurrently.
type Machine struct {
	state contents
	// byName and byAddress map to the IDs of the registered backends.
	byName, byAddress map[string]string
	journal           journal
	// urgentRevision is explained at UrgentRevision. versionRevision is the revision at which the
	// configuration's version last changed, or a later one after a restore.
	urgentRevision, versionRevision uint64
	forwarded                       forwardedServices
}

// NewMachine returns a machine in its initial state.
func NewMachine() *Machine {
	m := &Machine{}
	m.clear()
	return m
}

func (m *Machine) clear() {
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

// Snapshot returns a function that writes the current state, and may run concurrently with other
// methods. Stored objects are replaced and never changed, so copies of the maps suffice.
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

// Restore replaces the state by that of a snapshot. An empty snapshot is the initial state. It returns
// an ErrUnknownVersion error if this build does not support the snapshot's version.
func (m *Machine) Restore(reader io.Reader) error {
	m.clear()
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

// Revision returns the revision of the state, which increases with each change of an object.
func (m *Machine) Revision() uint64 { return m.state.Revision }

// UrgentRevision returns the revision of the newest change that must be sent to watchers without delay.
// Registrations and updates of backends can be delayed and sent together, but not the start of draining.
func (m *Machine) UrgentRevision() uint64 { return m.urgentRevision }

// Version returns the version of the current configuration.
func (m *Machine) Version() uint64 { return m.state.Version }

// Source returns the document of the current configuration, or nil.
func (m *Machine) Source() []byte { return m.state.Source }

// Store returns the registered store with the name, and whether it exists.
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

// Usage returns the recorded usage. It must not be changed.
func (m *Machine) Usage() *usage.WindowStore { return &m.state.Usage }

// Actions returns the newest action of each duty, by subject. The map must not be changed.
func (m *Machine) Actions() map[string]duty.Action { return m.state.Acts }

func sortedObjects[T any](stored map[string]*versioned[T]) []T {
	list := make([]T, 0, len(stored))
	for _, name := range slices.Sorted(maps.Keys(stored)) {
		list = append(list, stored[name].Object)
	}
	return list
}

// Apply applies an encoded command and returns the encoded Result. An entry that cannot be decoded has
// no effect.
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
		panic("directory: encode result: " + err.Error())
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
		m.putModelVersion(*command.NameVersion)
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

// nextRevision increments the revision for a change that is not urgent.
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

// putConfiguration applies a configuration with a higher version than the current one.
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
	m.forwarded = newForwardedServices(m.state.Routes)
	syncObjects(m, m.state.Services, services, KindService)
	m.removeObsoleteOrders()
	if m.state.Limits.Object != configuration.Limits {
		m.state.Limits = versioned[routing.Limits]{Revision: m.nextUrgentRevision(), Object: configuration.Limits}
	}
}

// syncObjects changes the stored objects to those desired, ordered by name. Equal objects keep their
// revision.
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

func (m *Machine) putModelVersion(version ModelVersion) {
	if current := m.state.Models[version.Model]; current != nil && current.Object >= version.Version {
		return
	}
	m.state.Models[version.Model] = &versioned[uint64]{Revision: m.nextUrgentRevision(), Object: version.Version}
}

// putStore registers a store. A store that lost its data returns as another replica, to which an
// earlier retirement does not apply.
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

// reportGroup stores the group's membership, and marks retiring stores that are no longer members as
// retired.
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
