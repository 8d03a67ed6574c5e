package scheduler

import (
	"slices"

	"github.com/dillchute/dillchute/directory"
)

const (
	// loadDivisor bounds the engines that load at the same time to that part of
	// all, since loads slow each other down.
	loadDivisor = 4
)

// Order is an order to an engine to load a version of a model's weights.
type Order struct {
	Backend directory.Backend
	Model   string
	Version uint64
	// Keep lets running samples go on under the new version; otherwise they end first.
	Keep bool
	// SentAt is when it was last sent.
	SentAt int64
}

// Orders returns the orders to send now. Steps allow versions behind the newest
// by some lag, so that an engine need not load every version: of lag + 1
// engines one loads at each publication, those first that fall out of use.
func (s *Scheduler) Orders(now int64) []Order {
	for model, version := range s.newest {
		if s.planned[model] != version {
			s.plan(model, version)
			s.planned[model] = version
		}
	}
	var orders []Order
	for _, model := range s.modelsInOrder() {
		orders = append(orders, s.ordersOf(now, model)...)
	}
	return orders
}

func (s *Scheduler) modelsInOrder() []string {
	models := make([]string, 0, len(s.newest))
	for model := range s.newest {
		models = append(models, model)
	}
	slices.Sort(models)
	return models
}

// holders returns the engines that hold the model, the oldest version first.
func (s *Scheduler) holders(model string) []*engine {
	var holders []*engine
	for _, id := range s.order {
		if known := s.engines[id]; known.versions[model] > 0 && !known.backend.Draining {
			holders = append(holders, known)
		}
	}
	slices.SortStableFunc(holders, func(a, b *engine) int {
		return int(a.versions[model]) - int(b.versions[model])
	})
	return holders
}

// plan chooses the engines that load the version.
func (s *Scheduler) plan(model string, version uint64) {
	holders := s.holders(model)
	share := (len(holders) + int(s.lag[model])) / int(s.lag[model]+1)
	wanted := map[string]bool{}
	for position, known := range holders {
		if position < share {
			wanted[known.backend.ID] = true
		}
	}
	s.wanted[model] = wanted
}

// ordersOf starts loads of the model, as many at once as do not slow each other.
func (s *Scheduler) ordersOf(now int64, model string) []Order {
	newest := s.newest[model]
	holders := s.holders(model)
	most := max(len(holders)/loadDivisor, 1)
	underWay := 0
	for _, known := range holders {
		if known.loading != nil {
			underWay++
		}
	}
	var orders []Order
	for _, known := range holders {
		held := known.versions[model]
		expired := held+s.lag[model] < newest
		due := held < newest && (expired || s.wanted[model][known.backend.ID])
		if !due || known.loading != nil || underWay >= most || now < known.avoidedUntil {
			continue
		}
		order := Order{Backend: known.backend, Model: model, Version: newest, Keep: known.mayChangeVersion(), SentAt: now}
		known.loading = &order
		underWay++
		orders = append(orders, order)
	}
	return orders
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
func (s *Scheduler) LoadEnded(id, model string, version uint64) {
	known := s.engines[id]
	if known == nil {
		return
	}
	known.versions[model] = max(known.versions[model], version)
	if known.loading != nil && known.loading.Model == model && version >= known.loading.Version {
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

// HoldOrders forgets the orders under way: another process may give them now.
func (s *Scheduler) HoldOrders() {
	for _, known := range s.engines {
		known.loading = nil
	}
}

// NoteVersion takes in the version that an engine says it holds.
func (s *Scheduler) NoteVersion(id, model string, version uint64) {
	if known := s.engines[id]; known != nil {
		known.versions[model] = max(known.versions[model], version)
	}
}

// Loading tells whether the engine loads weights.
func (s *Scheduler) Loading(id string) bool {
	known := s.engines[id]
	return known != nil && known.loading != nil
}

func (s *Scheduler) loading() bool {
	for _, known := range s.engines {
		if known.loading != nil {
			return true
		}
	}
	return false
}
