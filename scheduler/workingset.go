package scheduler

import (
	"cmp"
	"slices"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/internal/rendezvous"
)

const (
	// minWorkingSet is the number of engines of a service up to which all are used. Of larger
	// services only as many are used as the open steps need, so that the cost of scheduling and the
	// number of loads depend on the work and not on the size of the fleet.
	minWorkingSet = 128
	// workingSetFactor is the ratio of slots used to samples in the models' newest steps. It allows
	// for overlapping steps and for engines that load, drain or fail; also, samples run faster on
	// engines that are not full.
	workingSetFactor = 1.5
)

// WorkingSet selects which engines of a large service are used. A selected engine stays until it is
// gone, because it holds recent weights; draining and silent engines are replaced by additional
// ones.
type WorkingSet struct {
	selected map[string]bool
	// preferred holds the names of engines that an earlier leader has used.
	preferred map[string]bool
}

// NewWorkingSet returns an empty set. Engines with the preferred names are selected first: an
// earlier leader has sent them load orders, so they probably hold the newest weights.
func NewWorkingSet(preferred map[string]bool) *WorkingSet {
	return &WorkingSet{selected: map[string]bool{}, preferred: preferred}
}

// Include adds engines that run samples of an earlier leader. IDs of other services are ignored.
func (w *WorkingSet) Include(ids []string) {
	for _, id := range ids {
		w.selected[id] = true
	}
}

// Choose returns which of a service's backends to use for the given number of concurrent samples. The
// backends must be ordered by ID. It scans all of them only if more must be selected.
func (w *WorkingSet) Choose(backends []*directory.Backend, samples int) []directory.Backend {
	if len(backends) <= minWorkingSet {
		return copies(backends)
	}
	selected, healthy := w.currentMembers(backends)
	if missing := workingSetSize(backends, samples) - healthy; missing > 0 {
		selected = append(selected, w.chooseMore(backends, missing)...)
	}
	slices.SortFunc(selected, func(a, b *directory.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return copies(selected)
}

// workingSetSize returns how many engines of the service to use for that many samples.
func workingSetSize(backends []*directory.Backend, samples int) int {
	slots := max(backends[0].Slots, 1)
	wanted := int(workingSetFactor*float64(samples)/float64(slots)) + 1
	return min(max(wanted, minWorkingSet), len(backends))
}

// currentMembers returns the selected engines that still exist and how many of them are healthy. It
// removes the others from the set.
func (w *WorkingSet) currentMembers(backends []*directory.Backend) (selected []*directory.Backend, healthy int) {
	for id := range w.selected {
		index, found := slices.BinarySearchFunc(backends, id, func(backend *directory.Backend, id string) int {
			return cmp.Compare(backend.ID, id)
		})
		if !found {
			delete(w.selected, id)
			continue
		}
		selected = append(selected, backends[index])
		if isHealthy(backends[index]) {
			healthy++
		}
	}
	return selected, healthy
}

func isHealthy(backend *directory.Backend) bool { return !backend.Draining && !backend.Silent }

// chooseMore selects up to count more healthy engines.
func (w *WorkingSet) chooseMore(backends []*directory.Backend, count int) []*directory.Backend {
	type candidate struct {
		backend   *directory.Backend
		preferred bool
		versions  uint64
		rank      uint64
	}
	var candidates []candidate
	for _, backend := range backends {
		if w.selected[backend.ID] || !isHealthy(backend) {
			continue
		}
		c := candidate{backend: backend, preferred: w.preferred[backend.NameOrID()], rank: rendezvous.Score(backend.Service, backend.ID)}
		for _, held := range backend.Models {
			c.versions += held.Version
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.preferred != b.preferred {
			if a.preferred {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.versions, a.versions), cmp.Compare(b.rank, a.rank))
	})
	var chosen []*directory.Backend
	for _, c := range candidates[:min(count, len(candidates))] {
		w.selected[c.backend.ID] = true
		chosen = append(chosen, c.backend)
	}
	return chosen
}

func copies(backends []*directory.Backend) []directory.Backend {
	list := make([]directory.Backend, 0, len(backends))
	for _, backend := range backends {
		list = append(list, *backend)
	}
	return list
}

// ConcurrentSamples returns the total number of samples in the models' newest steps.
func (s *Scheduler) ConcurrentSamples() int {
	samples := 0
	for _, model := range s.models {
		samples += model.sampleCount
	}
	return samples
}

// SetFleetSize sets the number of existing engines, including unused ones. It determines how many
// engines may load at the same time.
func (s *Scheduler) SetFleetSize(engines int) { s.fleetSize = engines }
