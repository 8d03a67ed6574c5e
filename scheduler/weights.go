package scheduler

import (
	"maps"
	"slices"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
)

const (
	// loadDivisor bounds the engines that load at the same time to that part of
	// all, rounded to the nearest, since loads slow each other down.
	loadDivisor = 5
	// loadShare is the part of the time that is planned for loads; the rest
	// serves samples that wait, and makes up for failures.
	loadShare = 0.8
	// noticeMillis is how long after its end a load is known to have ended.
	noticeMillis = 300
	// waitShare of a load's time is how long samples must wait for engines to
	// be worth a load.
	waitShare = 0.5
	// drainMillis is the time within which the samples of a step should have
	// started.
	drainMillis = 1500
	// minHolders is the least number of engines that hold a model's newest version.
	minHolders = 2
	// defaultLoadMillis and defaultPublicationMillis hold until measured.
	defaultLoadMillis        = 1000
	defaultPublicationMillis = 4000
	defaultTokenMillis       = 1
	// shortestGrowth is the factor by which the shortest load grows with each one.
	shortestGrowth = 1.01
	// smoothing is the weight of the newest measurement.
	smoothing = 0.3
)

// Order is an order to an engine to load a version of a model's weights.
type LoadOrder struct {
	Backend directory.Backend
	Model   string
	Version uint64
	// Keep lets running samples go on under the new version; otherwise they end first.
	KeepRuns bool
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
	// number is that of its newest step, and returnSteps the usual number of steps
	// after which a group comes again, 0 if none has.
	number      int
	returnSteps float64
	// work is the expected number of tokens of its newest step, and samples its samples.
	work    float64
	samples int
	// waiting is set while samples of the model wait.
	waiting bool
}

func (s *Scheduler) model(name string) *modelState {
	known := s.models[name]
	if known == nil {
		known = &modelState{name: name, newest: 1, interval: defaultPublicationMillis, work: 1}
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
	m.number = max(m.number, step.Number)
	m.work, m.samples = 0, len(step.Samples)
	for position := range step.Samples {
		m.work += float64(max(step.Samples[position].Predicted, 1))
	}
}

// Orders returns the orders to send now. Steps allow versions behind the newest
// by some lag, so that an engine need not load every version. Loads slow each
// other down, so that there is time for a few only, and they are spent where
// they help most: first on models whose samples wait for engines, then on
// models that too few engines could serve after the next publication.
func (s *Scheduler) LoadOrders(now int64) []LoadOrder {
	most := max((max(s.fleet, len(s.engines))+loadDivisor/2)/loadDivisor, 1)
	var orders []LoadOrder
	for s.loadsUnderWay(now) < most {
		known, model := s.nextLoad(now, most)
		if known == nil {
			break
		}
		order := LoadOrder{
			Backend: known.backend, Model: model.name, Version: model.newest, KeepRuns: known.mayChangeVersion(), SentAt: now,
		}
		known.loading = &order
		orders = append(orders, order)
	}
	return orders
}

// loadsUnderWay counts the engines that load. One whose usual time is just over
// does not count: that it has ended is only known some time later. One that is
// not known to have ended then is slow, and counts.
func (s *Scheduler) loadsUnderWay(now int64) int {
	count := 0
	for _, known := range s.engines {
		if known.loading == nil {
			continue
		}
		overdue := float64(now-known.loading.SentAt) - s.shortestLoad
		if overdue < 0 || overdue > noticeMillis {
			count++
		}
	}
	return count
}

// nextLoad chooses the load that helps most, or nil.
func (s *Scheduler) nextLoad(now int64, most int) (*engine, *modelState) {
	var chosen *engine
	var chosenModel *modelState
	highest := 0.0
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		model := s.models[name]
		need := s.need(model, most)
		if need <= highest {
			continue
		}
		if known := s.cheapest(now, model); known != nil {
			chosen, chosenModel, highest = known, model, need
		}
	}
	return chosen, chosenModel
}

// need rates how much another engine with the model's newest version helps.
// Above 1, samples wait longer for engines than a load takes; below, it is the
// part of the engines that are missing for the next step.
func (s *Scheduler) need(model *modelState, most int) float64 {
	serving, current := 0, 0
	for _, known := range s.engines {
		version := known.versions[model.name]
		if known.loading != nil && known.loading.Model == model.name {
			version = known.loading.Version
		}
		if known.backend.Draining || version == 0 {
			continue
		}
		if version+model.lag >= model.newest {
			serving++
		}
		if version == model.newest {
			current++
		}
	}
	if wait := s.waitingMillis(model) / float64(max(serving, 1)); wait > waitShare*s.loadMillis {
		return 1 + wait/s.loadMillis
	}
	wanted := s.wantedEngines(model, most)
	return float64(wanted-current) / float64(wanted)
}

// waitingMillis returns the time that one engine would take for the model's
// waiting samples. While samples of chosen groups wait for room, the others do not count.
func (s *Scheduler) waitingMillis(model *modelState) float64 {
	tokens := 0
	for _, task := range s.waiting.tasks {
		if task.State == Waiting && task.Step.Model == model.name && (task.rank == rankChosen || !s.plan.chosenWait) {
			tokens += max(task.Sample.Predicted, 1)
		}
	}
	return float64(tokens) * s.tokenMillis / s.slots()
}

func (s *Scheduler) slots() float64 {
	total := 0
	for _, known := range s.engines {
		total += max(known.backend.Slots, 1)
	}
	return float64(max(total, 1)) / float64(max(len(s.engines), 1))
}

// wantedEngines returns how many engines should hold the newest version before
// the next publication: as many as start the model's steps soon, and no more
// than its part of the loads that there is time for.
func (s *Scheduler) wantedEngines(model *modelState, most int) int {
	work, share := 0.0, 0.0
	for _, other := range s.models {
		work += other.work
	}
	if work > 0 {
		share = model.work / work
	}
	affordable := int(loadShare * float64(most) * model.interval / s.loadMillis * share)
	useful := int(model.work*s.tokenMillis/(s.slots()*drainMillis)) + 1
	return min(max(min(affordable, useful), minHolders), max(len(s.engines), 1))
}

// cheapest returns the engine that is to load the model next: one that cannot
// serve the model now, where there is one, and of these the one that serves the
// least work of other models.
func (s *Scheduler) cheapest(now int64, model *modelState) *engine {
	var best *engine
	bestCost := 0.0
	for _, known := range s.order {
		version := known.versions[model.name]
		if version == 0 || version >= model.newest || known.loading != nil || known.backend.Draining ||
			now < known.avoidedUntil || now < s.orderAfter[known.backend.OwnName()] {
			continue
		}
		if cost := s.loadCost(known, model); best == nil || cost < bestCost {
			best, bestCost = known, cost
		}
	}
	return best
}

const (
	// servingCost is added for an engine that can serve the model already.
	servingCost = 1000
	runningCost = 0.01
)

func (s *Scheduler) loadCost(known *engine, model *modelState) float64 {
	cost, total := 0.0, 0.0
	for _, other := range s.models {
		total += other.work
	}
	for name, other := range s.models {
		switch serves := known.versions[name]+other.lag >= other.newest; {
		case serves && name == model.name:
			cost += servingCost
		case serves:
			cost += other.work / max(total, 1)
		}
	}
	return cost + runningCost*float64(len(known.running))
}

// DeferOrders has the engine that calls itself by the name given no orders before the time, also
// if it starts again meanwhile.
func (s *Scheduler) DeferLoads(name string, until int64) { s.orderAfter[name] = until }

// mayChangeVersion tells whether no running sample needs a single version.
func (e *engine) mayChangeVersion() bool {
	for task := range e.running {
		if task.Step.SingleVersion {
			return false
		}
	}
	return true
}

// LoadEnded takes in that the engine holds the version now. Only a load that took
// place tells how long loads take: the engine may have held the version before.
func (s *Scheduler) LoadCompleted(now int64, id, model string, version uint64, tookPlace bool) {
	known := s.engines[id]
	if known == nil {
		return
	}
	known.versions[model] = max(known.versions[model], version)
	if known.loading == nil || known.loading.Model != model || version < known.loading.Version {
		return
	}
	if tookPlace {
		s.observeLoad(float64(now - known.loading.SentAt))
	}
	known.loading = nil
	known.recover()
}

// observeLoad takes in how long a load took. The shortest one is remembered, and
// grows slowly in case loads have become longer.
func (s *Scheduler) observeLoad(millis float64) {
	s.loadMillis += smoothing * (millis - s.loadMillis)
	s.shortestLoad = min(s.shortestLoad*shortestGrowth, millis)
}

// anyModel stands for the model of a load that another leader has ordered.
const anyModel = ""

// loads tells whether the engine loads weights of the model, as far as is known.
func (e *engine) loads(model string) bool {
	return e.loading != nil && (e.loading.Model == model || e.loading.Model == anyModel)
}

// NoteBusy takes in that the engine loads by an order of another leader.
func (s *Scheduler) MarkLoading(now int64, id string) {
	if known := s.engines[id]; known != nil && known.loading == nil {
		known.loading = &LoadOrder{Backend: known.backend, Model: anyModel, SentAt: now}
	}
}

// NoteIdle takes in that the engine loads no more by an order of another leader.
func (s *Scheduler) ClearLoading(id string) {
	if known := s.engines[id]; known != nil && known.loading != nil && known.loading.Model == anyModel {
		known.loading = nil
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
func (s *Scheduler) RecordVersion(id, model string, version uint64) {
	if known := s.engines[id]; known != nil {
		known.versions[model] = max(known.versions[model], version)
	}
}

// Loading tells whether the engine loads the model's weights.
func (s *Scheduler) IsLoading(id, model string) bool {
	known := s.engines[id]
	return known != nil && known.loads(model)
}
