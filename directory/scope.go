package directory

import (
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/dillchute/dillchute/routing"
)

// Scope selects the backends that a watcher receives. All other objects are sent to every watcher.
type Scope string

const (
	// ScopeAll selects all backends, for processes that run samples.
	ScopeAll Scope = ""
	// ScopeForwarded selects the backends of services with routes for single requests, without their
	// models. It is for gateways, which pass on samples instead of running them.
	ScopeForwarded Scope = "forwarded"
	// ScopeNone selects no backend, for runners, which receive the backend with each run.
	ScopeNone Scope = "none"
)

// Watch describes a watcher's copy of the directory and the scope it requests.
type Watch struct {
	// Since is the revision of the copy, 0 if there is none.
	Since uint64
	Scope Scope
	// Held is Delta.Held of the last delta applied. If it differs from the current value, the
	// watcher receives a full delta.
	Held string
}

// forwardedServices holds the services with routes for single requests, and a digest of their names.
type forwardedServices struct {
	services map[string]bool
	digest   string
}

// newForwardedServices returns the services to which the routes send single requests.
func newForwardedServices(routes map[string]*versioned[routing.Route]) forwardedServices {
	f := forwardedServices{services: map[string]bool{}}
	var names []string
	for _, route := range routes {
		if route.Object.Kind == routing.Rollout {
			continue
		}
		for _, share := range route.Object.Shares {
			if !f.services[share.Service] {
				f.services[share.Service] = true
				names = append(names, share.Service)
			}
		}
	}
	slices.Sort(names)
	hash := fnv.New64a()
	for _, name := range names {
		// Writes to a hash never fail.
		_, _ = hash.Write([]byte(name + "\n"))
	}
	f.digest = strconv.FormatUint(hash.Sum64(), 36)
	return f
}

// scopeKey identifies the services that the scope selects now. It changes when these do.
func (m *Machine) scopeKey(scope Scope) string {
	if scope == ScopeForwarded {
		return string(scope) + "-" + m.forwarded.digest
	}
	return string(scope)
}

// IsScopeCurrent reports whether the watcher's copy is of the services that its scope selects now.
func (m *Machine) IsScopeCurrent(watch Watch) bool { return m.scopeKey(watch.Scope) == watch.Held }

// DeltaFor returns the changes that the watcher lacks, limited to its scope.
func (m *Machine) DeltaFor(watch Watch) Delta {
	since := watch.Since
	if !m.IsScopeCurrent(watch) {
		since = 0
	}
	delta := m.DeltaSince(since)
	delta.Held = m.scopeKey(watch.Scope)
	switch watch.Scope {
	case ScopeNone:
		delta.Backends, delta.Models = nil, nil
		delta.Removed = slices.DeleteFunc(delta.Removed, func(removed Removed) bool { return removed.Kind == KindBackend })
	case ScopeForwarded:
		delta.Models = nil
		delta.Backends = slices.DeleteFunc(delta.Backends, func(backend Backend) bool { return !m.forwarded.services[backend.Service] })
		for position := range delta.Backends {
			delta.Backends[position].Models = nil
		}
	}
	return delta
}

// IsEmpty reports whether the delta changes nothing but the revision.
func (d Delta) IsEmpty() bool {
	return !d.Full && !d.versionChanged && d.Limits == nil && d.Group == nil && len(d.Routes) == 0 && len(d.Services) == 0 &&
		len(d.Backends) == 0 && len(d.Models) == 0 && len(d.Stores) == 0 && len(d.Removed) == 0 && len(d.Tenants) == 0 &&
		len(d.Suspects) == 0 && len(d.Zones) == 0
}

// putZone stores the zone of a replica of the directory.
func (m *Machine) putZone(replica ReplicaZone) {
	if stored := m.state.Zones[replica.Address]; stored == nil || stored.Object != replica.Zone {
		m.state.Zones[replica.Address] = &versioned[string]{Revision: m.nextUrgentRevision(), Object: replica.Zone}
	}
}
