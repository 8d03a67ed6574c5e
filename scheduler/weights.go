package scheduler

import (
	"maps"
	"slices"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
)

const (
	// loadDivisor bounds the engines that load at the same time to that part of
	// all, since loads slow each other down.
	loadDivisor = 4
	// loadShare is the part of the time in which loads may be under way; the
	// rest makes up for failures, and lets a load begin when it is called for.
	loadShare = 0.7
	// minHolders is the least number of engines that follow a model's versions.
	minHolders = 2
	// defaultLoadMillis and defaultPublicationMillis hold until measured.
	defaultLoadMillis        = 1000
	defaultPublicationMillis = 4000
	// smoothing is the weight of the newest measurement.
	smoothing = 0.3
)

// Order is an order to an engine to load a version of a model's weights.
type Order struct {
	Backend directory.Backend
	Model   string
	Version uint64
	// Keep lets running samples go on under the new version; otherwise they end first.
	Keep bool
	// SentAt is when it was given.
	SentAt int64
}

// modelState is what is known of a model that is being trained.
type modelState struct {
	name   string
	newest uint64
	// namedAt is when the newest version became known, and interval the usual
	// time between versions.
	namedAt  int64
	interval float64
	// lag is how many versions behind the newest the model's steps allow.
	lag uint64
	// work is the expected number of tokens of its newest step.
	work float64
	// homes are the engines that follow the model's versions.
	homes map[string]bool
	// planned is the version for which wanted has been chosen.
	planned uint64
	// wanted are the engines that load the newest version although they could
	// still do without.
	wanted map[string]bool
}

func (s *Scheduler) model(name string) *modelState {
	known := s.models[name]
	if known == nil {
		known = &modelState{name: name, newest: 1, interval: defaultPublicationMillis, work: 1, homes: map[string]bool{}}
		s.models[name] = known
	}
	return known
}

// noteNewest takes in the newest version of a model.
func (m *modelState) noteNewest(now int64, version uint64) {
	if version <= m.newest {
		return
	}
	if m.namedAt > 0 {
		m.interval += smoothing * (float64(now-m.namedAt) - m.interval)
	}
	m.newest, m.namedAt = version, now
}

// noteStep takes in what a step tells of its model.
func (m *modelState) noteStep(step *ledger.Step) {
	if m.newest > step.OldestVersion {
		m.lag = m.newest - step.OldestVersion
	}
	m.work = 0
	for position := range step.Samples {
		m.work += float64(max(step.Samples[position].Predicted, 1))
	}
}

// Orders returns the orders to send now. Steps allow versions behind the newest
// by some lag, so that an engine need not load every version: of lag + 1
// engines one loads at each publication, those first that fall out of use.
// Where loads would take more time than there is, each model is followed by a
// part of the engines only.
func (s *Scheduler) Orders(now int64) []Order {
	s.chooseHomes()
	candidates := s.dueLoads()
	most := max(len(s.engines)/loadDivisor, 1)
	var orders []Order
	for _, candidate := range candidates {
		if s.loadsUnderWay() >= most {
			break
		}
		known := candidate.engine
		if known.loading != nil || now < known.avoidedUntil {
			continue
		}
		order := Order{
			Backend: known.backend, Model: candidate.model.name, Version: candidate.model.newest,
			Keep: known.mayChangeVersion(), SentAt: now,
		}
		known.loading = &order
		orders = append(orders, order)
	}
	return orders
}

func (s *Scheduler) loadsUnderWay() int {
	count := 0
	for _, known := range s.engines {
		if known.loading != nil {
			count++
		}
	}
	return count
}

// dueLoad is a load that should be done.
type dueLoad struct {
	model  *modelState
	engine *engine
	// served is the part of the model's homes that can serve its next step.
	served float64
}

// dueLoads returns the loads to be done, the most urgent first: of models with
// the smallest part of engines in use, then the oldest versions.
func (s *Scheduler) dueLoads() []dueLoad {
	var due []dueLoad
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		model := s.models[name]
		holders := s.holders(model)
		model.plan(holders)
		served := model.servedShare(holders)
		for _, known := range holders {
			held := known.versions[name]
			expired := held+model.lag < model.newest
			if held < model.newest && (expired || model.wanted[known.backend.ID]) {
				due = append(due, dueLoad{model: model, engine: known, served: served})
			}
		}
	}
	slices.SortStableFunc(due, func(a, b dueLoad) int {
		switch {
		case a.served < b.served:
			return -1
		case a.served > b.served:
			return 1
		default:
			return int(a.model.namedAt - b.model.namedAt)
		}
	})
	return due
}

func (m *modelState) servedShare(holders []*engine) float64 {
	served := 0
	for _, known := range holders {
		if known.versions[m.name]+m.lag >= m.newest {
			served++
		}
	}
	return float64(served) / float64(max(len(holders), 1))
}

// holders returns the model's homes, the oldest version first and among equals
// those that run least.
func (s *Scheduler) holders(model *modelState) []*engine {
	var holders []*engine
	for _, id := range s.order {
		if known := s.engines[id]; model.homes[id] && !known.backend.Draining {
			holders = append(holders, known)
		}
	}
	slices.SortStableFunc(holders, func(a, b *engine) int {
		if a.versions[model.name] != b.versions[model.name] {
			return int(a.versions[model.name]) - int(b.versions[model.name])
		}
		return len(a.running) - len(b.running)
	})
	return holders
}

// plan chooses, once for each version, the engines that load it.
func (m *modelState) plan(holders []*engine) {
	if m.planned == m.newest {
		return
	}
	m.planned = m.newest
	share := (len(holders) + int(m.lag)) / int(m.lag+1)
	m.wanted = map[string]bool{}
	for _, known := range holders[:min(share, len(holders))] {
		m.wanted[known.backend.ID] = true
	}
}

// chooseHomes gives each model as many engines as can follow it, in proportion
// to its work. Engines stay with their models where that is possible.
func (s *Scheduler) chooseHomes() {
	sizes := s.homeSizes()
	burden := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		s.models[name].keepHomes(s, sizes[name], burden)
	}
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		s.models[name].fillHomes(s, sizes[name], burden)
	}
}

// homeSizes returns the number of engines for each model.
func (s *Scheduler) homeSizes() map[string]int {
	total, pairs := 0.0, 0.0
	for _, model := range s.models {
		total += model.work
		pairs += model.interval * float64(model.lag+1) / float64(len(s.models))
	}
	usable := 0
	for _, known := range s.engines {
		if !known.backend.Draining {
			usable++
		}
	}
	most := float64(max(len(s.engines)/loadDivisor, 1))
	pairs = max(loadShare*most*pairs/s.loadMillis, float64(usable))
	sizes := map[string]int{}
	for name, model := range s.models {
		size := int(pairs*model.work/total + 0.5)
		sizes[name] = min(max(size, minHolders), usable)
	}
	return sizes
}

// keepHomes drops homes that are gone, and those beyond the size with the
// oldest versions.
func (m *modelState) keepHomes(s *Scheduler, size int, burden map[string]float64) {
	for id := range m.homes {
		if known := s.engines[id]; known == nil || known.backend.Draining {
			delete(m.homes, id)
		}
	}
	holders := s.holders(m)
	for position := 0; position < len(holders)-size; position++ {
		delete(m.homes, holders[position].backend.ID)
	}
	for id := range m.homes {
		burden[id] += m.work / float64(size)
	}
}

// fillHomes adds the engines that carry least, until there are enough.
func (m *modelState) fillHomes(s *Scheduler, size int, burden map[string]float64) {
	for len(m.homes) < size {
		best := ""
		for _, id := range s.order {
			if s.engines[id].backend.Draining || m.homes[id] || s.engines[id].versions[m.name] == 0 {
				continue
			}
			if best == "" || burden[id] < burden[best] {
				best = id
			}
		}
		if best == "" {
			return
		}
		m.homes[best] = true
		m.planned = 0
		burden[best] += m.work / float64(size)
	}
}

// mayChangeVersion tells whether no running sample needs a single version.
func (e *engine) mayChangeVersion() bool {
	for task := range e.running {
		if task.Step.SingleVersion {
			return false
		}
	}
	return true
}

// LoadEnded takes in that the engine holds the version now.
func (s *Scheduler) LoadEnded(now int64, id, model string, version uint64) {
	known := s.engines[id]
	if known == nil {
		return
	}
	known.versions[model] = max(known.versions[model], version)
	if known.loading != nil && known.loading.Model == model && version >= known.loading.Version {
		s.loadMillis += smoothing * (float64(now-known.loading.SentAt) - s.loadMillis)
		known.loading = nil
		known.recover()
	}
}

// LoadFailed takes in that the engine does not load; another order may follow
// after a while.
func (s *Scheduler) LoadFailed(now int64, id string) {
	known := s.engines[id]
	if known == nil || known.loading == nil {
		return
	}
	known.loading = nil
	known.fail(now)
}

// NoteVersion takes in the version that an engine says it holds.
func (s *Scheduler) NoteVersion(id, model string, version uint64) {
	if known := s.engines[id]; known != nil {
		known.versions[model] = max(known.versions[model], version)
	}
}

// Loading tells whether the engine loads the model's weights.
func (s *Scheduler) Loading(id, model string) bool {
	known := s.engines[id]
	return known != nil && known.loading != nil && known.loading.Model == model
}
