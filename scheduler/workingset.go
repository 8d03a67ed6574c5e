package scheduler

import (
	"cmp"
	"slices"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/internal/rendezvous"
)

const (
	// leastWorkingSet is the number of a service's engines up to which all of them are used. Of
	// more, as many are as the open steps need, so that the time of each look and the number of
	// loads follow the work and not the fleet.
	leastWorkingSet = 128
	// workingSetSpare is how many times the engines are used that the samples of the models'
	// newest steps would fill: samples run faster on engines that are not full, those of two
	// steps overlap, and some engines load, drain or fail.
	workingSetSpare = 1.5
)

// WorkingSet chooses which of a service's many engines are used. Once chosen, an engine stays until
// it is gone, since it holds the newest weights; one that drains or is silent is made up for.
type WorkingSet struct {
	chosen map[string]bool
	// preferred are the engines' own names that an earlier leader has used.
	preferred map[string]bool
}

// NewWorkingSet returns a set that has chosen no engine. Those of the preferred names, their own,
// are chosen first: an earlier leader has ordered them lately, so that they hold the newest
// weights.
func NewWorkingSet(preferred map[string]bool) *WorkingSet {
	return &WorkingSet{chosen: map[string]bool{}, preferred: preferred}
}

// Include has engines chosen, where they are of the service: they run samples of an earlier leader.
func (w *WorkingSet) Include(ids []string) {
	for _, id := range ids {
		w.chosen[id] = true
	}
}

// Choose returns the engines that are used of the service's, which are ordered by ID, for that
// many samples at a time. It looks at all of them only where some must be chosen.
func (w *WorkingSet) Choose(service []*directory.Backend, samples int) []directory.Backend {
	if len(service) <= leastWorkingSet {
		return copies(service)
	}
	used, sound := w.members(service)
	if missing := workingSetSize(service, samples) - sound; missing > 0 {
		used = append(used, w.best(service, missing)...)
	}
	slices.SortFunc(used, func(a, b *directory.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return copies(used)
}

// workingSetSize returns how many engines of the service are used for that many samples.
func workingSetSize(service []*directory.Backend, samples int) int {
	slots := max(service[0].Slots, 1)
	wanted := int(workingSetSpare*float64(samples)/float64(slots)) + 1
	return min(max(wanted, leastWorkingSet), len(service))
}

// members returns the chosen engines that are still there, and how many of them are sound. Those
// that are gone are chosen no more.
func (w *WorkingSet) members(service []*directory.Backend) (used []*directory.Backend, sound int) {
	for id := range w.chosen {
		place, there := slices.BinarySearchFunc(service, id, func(backend *directory.Backend, id string) int {
			return cmp.Compare(backend.ID, id)
		})
		if !there {
			delete(w.chosen, id)
			continue
		}
		used = append(used, service[place])
		if isSound(service[place]) {
			sound++
		}
	}
	return used, sound
}

func isSound(backend *directory.Backend) bool { return !backend.Draining && !backend.Silent }

// best chooses that many more sound engines.
func (w *WorkingSet) best(service []*directory.Backend, count int) []*directory.Backend {
	type candidate struct {
		backend   *directory.Backend
		preferred bool
		versions  uint64
		rank      uint64
	}
	var candidates []candidate
	for _, backend := range service {
		if w.chosen[backend.ID] || !isSound(backend) {
			continue
		}
		one := candidate{backend: backend, preferred: w.preferred[backend.OwnName()], rank: rendezvous.Score(backend.Service, backend.ID)}
		for _, held := range backend.Models {
			one.versions += held.Version
		}
		candidates = append(candidates, one)
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
	for _, one := range candidates[:min(count, len(candidates))] {
		w.chosen[one.backend.ID] = true
		chosen = append(chosen, one.backend)
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

// SamplesAtOnce returns how many samples the models' newest steps have together.
func (s *Scheduler) SamplesAtOnce() int {
	samples := 0
	for _, model := range s.models {
		samples += model.samples
	}
	return samples
}

// SetFleet tells how many engines there are, used or not: loads slow each other down where many
// of them load.
func (s *Scheduler) SetFleet(engines int) { s.fleet = engines }
