package directory

import (
	"hash/fnv"
	"slices"
	"strconv"

	"github.com/dillchute/dillchute/routing"
)

// Scope is the part of the backends that a watcher follows. All else is told to everybody.
type Scope string

// The scopes.
const (
	// ScopeAll is all backends: for whoever runs samples.
	ScopeAll Scope = ""
	// ScopeForwarded are the backends of services to which single requests go, without what they
	// hold: for gateways, which hand the samples of steps on.
	ScopeForwarded Scope = "forwarded"
	// ScopeNone is no backend: for processes that are told with each order what it concerns.
	ScopeNone Scope = "none"
)

// Watch is what a watcher knows and wants to know.
type Watch struct {
	// Since is the revision that it knows, 0 for none.
	Since uint64
	Scope Scope
	// Held is the Held of the last delta that it took in. Where another would be held now, it is
	// told everything anew.
	Held string
}

// forwarded are the services to which single requests go by the configuration in force, with a
// digest of them.
type forwarded struct {
	services map[string]bool
	digest   string
}

// forwardedBy returns the services to which the routes send single requests.
func newForwarded(routes map[string]*versioned[routing.Route]) forwarded {
	f := forwarded{services: map[string]bool{}}
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
		// Writes to a hash do not fail.
		_, _ = hash.Write([]byte(name + "\n"))
	}
	f.digest = strconv.FormatUint(hash.Sum64(), 36)
	return f
}

// held returns what a watcher of the scope holds once it has taken in a delta made now.
func (m *Machine) scopeKey(scope Scope) string {
	if scope == ScopeForwarded {
		return string(scope) + "-" + m.forwarded.digest
	}
	return string(scope)
}

// IsScopeCurrent reports whether the watcher holds the backends that are in its scope now.
func (m *Machine) IsScopeCurrent(watch Watch) bool { return m.scopeKey(watch.Scope) == watch.Held }

// DeltaFor returns what a watcher is to be told.
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

// IsEmpty tells whether the delta says nothing but that there is another revision.
func (d Delta) IsEmpty() bool {
	return !d.Full && !d.versionChanged && d.Limits == nil && d.Group == nil && len(d.Routes) == 0 && len(d.Services) == 0 &&
		len(d.Backends) == 0 && len(d.Models) == 0 && len(d.Stores) == 0 && len(d.Removed) == 0 && len(d.Tenants) == 0 &&
		len(d.Suspects) == 0 && len(d.Zones) == 0
}

// putZone notes where a replica of the directory is.
func (m *Machine) putZone(replica ReplicaZone) {
	if stored := m.state.Zones[replica.Address]; stored == nil || stored.Object != replica.Zone {
		m.state.Zones[replica.Address] = &versioned[string]{Revision: m.nextUrgentRevision(), Object: replica.Zone}
	}
}
