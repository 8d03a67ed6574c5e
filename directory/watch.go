package directory

import (
	"iter"
	"maps"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
)

// Delta holds the changes after a revision. A full delta replaces the watcher's copy.
type Delta struct {
	Revision uint64            `cbor:"1,keyasint"`
	Full     bool              `cbor:"2,keyasint,omitempty"`
	Version  uint64            `cbor:"3,keyasint"`
	Routes   []routing.Route   `cbor:"4,keyasint,omitempty"`
	Services []routing.Service `cbor:"5,keyasint,omitempty"`
	Limits   *routing.Limits   `cbor:"6,keyasint,omitempty"`
	Backends []Backend         `cbor:"7,keyasint,omitempty"`
	Models   []ModelVersion    `cbor:"8,keyasint,omitempty"`
	Stores   []Store           `cbor:"9,keyasint,omitempty"`
	Group    *Group            `cbor:"10,keyasint,omitempty"`
	Removed  []Removed         `cbor:"11,keyasint,omitempty"`
	// Replicas are the members of the directory's own group.
	Replicas []consensus.Member `cbor:"12,keyasint,omitempty"`
	Tenants  []routing.Tenant   `cbor:"13,keyasint,omitempty"`
	// Suspects are requests that ran on crashed backends.
	Suspects []quarantine.Suspect `cbor:"14,keyasint,omitempty"`
	// Zones are the zones of the directory's own replicas.
	Zones []ReplicaZone `cbor:"15,keyasint,omitempty"`
	// Held identifies the services that the watcher's scope selects, see Watch.
	Held string `cbor:"16,keyasint,omitempty"`

	// versionChanged is set if the version of the configuration has changed.
	versionChanged bool
}

// Removed identifies a removed object.
type Removed struct {
	_    struct{} `cbor:",toarray"`
	Kind ObjectKind
	Name string
}

// DeltaSince returns the changes after the revision in all objects.
func (m *Machine) DeltaSince(since uint64) Delta {
	s := &m.state
	delta := Delta{Revision: s.Revision, Version: s.Version, versionChanged: m.versionRevision > since}
	if since < s.Floor || since > s.Revision {
		delta.Full, since = true, 0
	}
	delta.Full = delta.Full || since == 0
	delta.Routes = changedSince(s.Routes, since)
	delta.Services = changedSince(s.Services, since)
	delta.Backends = m.changedBackends(since)
	delta.Stores = changedSince(s.Stores, since)
	delta.Tenants = changedSince(s.Tenants, since)
	delta.Suspects = changedSince(s.Suspects, since)
	if s.Limits.Revision > since {
		limits := s.Limits.Object
		delta.Limits = &limits
	}
	if s.Group.Revision > since {
		group := s.Group.Object
		delta.Group = &group
	}
	for name, version := range s.Models {
		if version.Revision > since {
			delta.Models = append(delta.Models, ModelVersion{Model: name, Version: version.Object})
		}
	}
	for address, zone := range s.Zones {
		if zone.Revision > since {
			delta.Zones = append(delta.Zones, ReplicaZone{Address: address, Zone: zone.Object})
		}
	}
	if !delta.Full {
		for position := len(s.Removed) - 1; position >= 0 && s.Removed[position].Revision > since; position-- {
			delta.Removed = append(delta.Removed, Removed{Kind: s.Removed[position].Kind, Name: s.Removed[position].Name})
		}
	}
	return delta
}

// changedBackends returns the backends that changed after the revision.
func (m *Machine) changedBackends(since uint64) []Backend {
	entries, isComplete := m.journal.since(since)
	if !isComplete {
		return changedSince(m.state.Backends, since)
	}
	var list []Backend
	for _, entry := range entries {
		// Each backend is returned once, with its last change.
		if current := m.state.Backends[entry.id]; current != nil && current.Revision == entry.revision {
			list = append(list, current.Object)
		}
	}
	return list
}

func changedSince[K comparable, T any](stored map[K]*versioned[T], since uint64) []T {
	var list []T
	for _, object := range stored {
		if object.Revision > since {
			list = append(list, object.Object)
		}
	}
	return list
}

// Catalog is a watcher's copy of the directory. It is immutable; With returns an updated copy.
type Catalog struct {
	Revision uint64
	// Version is the version of the current configuration, 0 if there is none.
	Version  uint64
	Table    *routing.Table
	Limits   routing.Limits
	Services map[string]routing.Service
	Models   map[string]uint64
	Stores   map[string]Store
	Group    Group
	Replicas []consensus.Member
	// Suspects are requests that ran on crashed backends.
	Suspects map[quarantine.Fingerprint]quarantine.Suspect
	// Zones holds the known zones of the directory's replicas, by address.
	Zones map[string]ReplicaZone
	// Held is that of the last delta, see Watch.
	Held string

	routes    map[string]routing.Route
	backends  *backendShards
	byService map[string][]*Backend
	// crashed holds the IDs of the backends that crashed while they ran a suspect.
	crashed     map[string]bool
	tenants     map[string]routing.Tenant
	tenantByKey map[string]routing.Tenant
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog { return &Catalog{Table: routing.NewTable(nil)} }

// Backends returns the service's backends, ordered by ID. The result must not be changed.
func (c *Catalog) Backends(service string) []*Backend { return c.byService[service] }

// BackendCount returns the number of all backends.
func (c *Catalog) BackendCount() int {
	if c.backends == nil {
		return 0
	}
	return c.backends.count
}

// Backend returns the backend with the ID, and whether it exists.
func (c *Catalog) Backend(id string) (Backend, bool) {
	backend := c.backends.get(id)
	if backend == nil {
		return Backend{}, false
	}
	return *backend, true
}

// AllBackends returns the backends in any order. They must not be changed.
func (c *Catalog) AllBackends() iter.Seq[*Backend] { return c.backends.all() }

// HasCrashed reports whether the backend crashed while it ran a suspect. It is still listed until it is
// removed as silent or another backend registers at its address.
func (c *Catalog) HasCrashed(id string) bool { return c.crashed[id] }

// HasTenants reports whether any tenant is configured, so that requests need a key.
func (c *Catalog) HasTenants() bool { return len(c.tenants) > 0 }

// TenantByKey returns the tenant with the key, and whether it exists.
func (c *Catalog) TenantByKey(key string) (routing.Tenant, bool) {
	tenant, ok := c.tenantByKey[key]
	return tenant, ok
}

// With returns the catalog with the delta applied.
func (c *Catalog) With(delta Delta) *Catalog {
	base := c
	if delta.Full {
		base = NewCatalog()
	}
	next := &Catalog{
		Revision: delta.Revision, Version: delta.Version, Limits: base.Limits, Group: base.Group,
		Table: base.Table, Replicas: c.Replicas, byService: base.byService, tenantByKey: base.tenantByKey, crashed: base.crashed, Held: delta.Held,
	}
	next.routes = merge(base.routes, delta.Routes, routing.Route.Key, delta.removedNames(KindRoute))
	next.Services = merge(base.Services, delta.Services, func(s routing.Service) string { return s.Name }, delta.removedNames(KindService))
	next.backends = base.backends.with(delta.Backends, delta.removedNames(KindBackend))
	next.tenants = merge(base.tenants, delta.Tenants, func(t routing.Tenant) string { return t.Name }, delta.removedNames(KindTenant))
	next.Suspects = merge(base.Suspects, delta.Suspects, suspectKey, removedKeys[quarantine.Fingerprint](delta, KindSuspect))
	next.Stores = merge(base.Stores, delta.Stores, func(s Store) string { return s.Name }, nil)
	next.Zones = merge(base.Zones, delta.Zones, func(z ReplicaZone) string { return z.Address }, nil)
	next.Models = mergeModels(base.Models, delta.Models)
	if delta.Limits != nil {
		next.Limits = *delta.Limits
	}
	if delta.Group != nil {
		next.Group = *delta.Group
	}
	if len(delta.Replicas) > 0 {
		next.Replicas = delta.Replicas
	}
	next.updateIndexes(base, delta)
	return next
}

// updateIndexes rebuilds the indexes that the delta affects. base is the catalog before the delta.
func (c *Catalog) updateIndexes(base *Catalog, delta Delta) {
	if delta.Full || len(delta.Routes) > 0 || len(delta.removedNames(KindRoute)) > 0 {
		routes := make([]routing.Route, 0, len(c.routes))
		for _, route := range c.routes {
			routes = append(routes, route)
		}
		c.Table = routing.NewTable(routes)
	}
	c.indexBackends(base, delta)
	if len(delta.Suspects) > 0 || len(delta.removedNames(KindSuspect)) > 0 {
		c.crashed = crashedBackends(c.Suspects)
	}
	if delta.Full || len(delta.Tenants) > 0 || len(delta.removedNames(KindTenant)) > 0 {
		c.tenantByKey = map[string]routing.Tenant{}
		for _, tenant := range c.tenants {
			for _, key := range tenant.Keys {
				c.tenantByKey[key] = tenant
			}
		}
	}
}

// crashedBackends returns the IDs of the backends that crashed while they ran a suspect.
func crashedBackends(suspects map[quarantine.Fingerprint]quarantine.Suspect) map[string]bool {
	crashed := map[string]bool{}
	for _, suspect := range suspects {
		for _, backend := range suspect.Ended {
			crashed[backend] = true
		}
	}
	return crashed
}

func (d Delta) removedNames(kind ObjectKind) []string { return removedKeys[string](d, kind) }

// removedKeys returns the names of the removed objects of the kind.
func removedKeys[K ~string](d Delta, kind ObjectKind) []K {
	var keys []K
	for _, removed := range d.Removed {
		if removed.Kind == kind {
			keys = append(keys, K(removed.Name))
		}
	}
	return keys
}

func suspectKey(suspect quarantine.Suspect) quarantine.Fingerprint { return suspect.Fingerprint }

// merge returns the objects with the changes applied. Without changes it returns the base itself.
func merge[K comparable, T any](base map[K]T, changes []T, key func(T) K, removed []K) map[K]T {
	if len(changes) == 0 && len(removed) == 0 {
		return base
	}
	merged := maps.Clone(base)
	if merged == nil {
		merged = make(map[K]T, len(changes))
	}
	for _, name := range removed {
		delete(merged, name)
	}
	for _, object := range changes {
		merged[key(object)] = object
	}
	return merged
}

func mergeModels(base map[string]uint64, changes []ModelVersion) map[string]uint64 {
	if len(changes) == 0 {
		return base
	}
	merged := make(map[string]uint64, len(base)+len(changes))
	for model, version := range base {
		merged[model] = version
	}
	for _, change := range changes {
		merged[change.Model] = change.Version
	}
	return merged
}
