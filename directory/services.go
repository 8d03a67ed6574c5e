package directory

import (
	"cmp"
	"maps"
	"slices"
)

// minRebuildChanges is the number of changed backends up to which the lists of services are always
// updated incrementally.
const minRebuildChanges = 32

// rebuildDivisor sets the fraction of all backends, 1/rebuildDivisor, above which rebuilding the lists
// is cheaper than an incremental update.
const rebuildDivisor = 20

// indexBackends updates the lists of services' backends. base is the catalog before the delta.
func (c *Catalog) indexBackends(base *Catalog, delta Delta) {
	removed := delta.removedNames(KindBackend)
	switch changes := len(delta.Backends) + len(removed); {
	case delta.Full || changes > minRebuildChanges && changes*rebuildDivisor > c.backends.count:
		c.rebuildLists()
	case changes > 0:
		c.byService = updatedLists(base, c, delta.Backends, removed)
	}
}

// rebuildLists builds all lists from the catalog's backends.
func (c *Catalog) rebuildLists() {
	c.byService = map[string][]*Backend{}
	for backend := range c.backends.all() {
		c.byService[backend.Service] = append(c.byService[backend.Service], backend)
	}
	for _, list := range c.byService {
		slices.SortFunc(list, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// updatedLists returns the lists of the base with the changes applied. Unchanged lists are shared with
// the base. Changed lists are copied, because the base may be read concurrently.
func updatedLists(base, next *Catalog, changed []Backend, removed []string) map[string][]*Backend {
	lists := serviceLists{byService: maps.Clone(base.byService), copied: map[string]bool{}}
	if lists.byService == nil {
		lists.byService = map[string][]*Backend{}
	}
	for _, id := range removed {
		if previous := base.backends.get(id); previous != nil {
			lists.remove(previous)
		}
	}
	for _, backend := range changed {
		if previous := base.backends.get(backend.ID); previous != nil {
			lists.remove(previous)
		}
		lists.add(next.backends.get(backend.ID))
	}
	return lists.byService
}

// serviceLists holds the lists of backends during an update. Only copied lists may be changed.
type serviceLists struct {
	byService map[string][]*Backend
	copied    map[string]bool
}

// find returns the index of the backend in the list of its service, and whether it is listed.
func (l serviceLists) find(backend *Backend) (int, bool) {
	return slices.BinarySearchFunc(l.byService[backend.Service], backend.ID, func(listed *Backend, id string) int {
		return cmp.Compare(listed.ID, id)
	})
}

// copyList copies the service's list before its first change.
func (l serviceLists) copyList(service string) {
	if !l.copied[service] {
		l.byService[service] = slices.Clone(l.byService[service])
		l.copied[service] = true
	}
}

func (l serviceLists) remove(backend *Backend) {
	index, ok := l.find(backend)
	if !ok {
		return
	}
	l.copyList(backend.Service)
	list := slices.Delete(l.byService[backend.Service], index, index+1)
	l.byService[backend.Service] = list
	if len(list) == 0 {
		delete(l.byService, backend.Service)
		delete(l.copied, backend.Service)
	}
}

func (l serviceLists) add(backend *Backend) {
	index, ok := l.find(backend)
	if ok {
		return
	}
	l.copyList(backend.Service)
	l.byService[backend.Service] = slices.Insert(l.byService[backend.Service], index, backend)
}
