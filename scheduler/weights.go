package scheduler

import (
	"maps"
	"slices"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
)

const (
	// loadDivisor limits concurrent loads to one in loadDivisor engines, because loads slow each
	// other down.
	loadDivisor = 5
	// loadTimeFraction is the fraction of the time that is planned for loads. The rest is left for loads
	// that waiting samples require and for failures.
	loadTimeFraction = 0.8
	// loadReportMillis is how long it may take until the end of a load is known.
	loadReportMillis = 300
	// loadWaitFraction is the fraction of the load time that samples must wait for engines to justify
	// a load.
	loadWaitFraction = 0.5
	// stepStartMillis is the time within which all samples of a step should have started.
	stepStartMillis = 1500
	// minCurrentEngines is the minimum number of engines that hold a model's newest version.
	minCurrentEngines = 2
	// The defaults apply until the first measurement.
	defaultLoadMillis            = 1000
	defaultVersionIntervalMillis = 4000
	defaultTokenMillis           = 1
	// shortestLoadGrowth is the factor by which the recorded shortest load time grows with each
	// load.
	shortestLoadGrowth = 1.01
	// smoothing is the weight of the newest measurement in a moving average.
	smoothing = 0.3
)

// LoadOrder orders an engine to load a version of a model's weights.
type LoadOrder struct {
	Backend directory.Backend
	Model   string
	Version uint64
	// KeepRuns lets running samples continue under the new version. Otherwise they finish first.
	KeepRuns bool
	// SentAt is when the order was issued.
	SentAt int64
}

// modelState is the scheduler's state of a model in training.
type modelState struct {
	name   string
	newest uint64
	// newestAt is when the newest version became known, and versionInterval the average time
	// between versions.
	newestAt        int64
	versionInterval float64
	// allowedLag is how many versions behind the newest the model's steps allow.
	allowedLag uint64
	// stepNumber is the number of the newest step. resubmissionSteps is the average number of steps
	// after which a group is resubmitted, or 0 if none was.
	stepNumber        int
	resubmissionSteps float64
	// expectedTokens and sampleCount are the predicted tokens and the number of samples of the
	// newest step.
	expectedTokens float64
	sampleCount    int
	// hasWaiting is set while samples of the model wait for an engine.
	hasWaiting bool
}

func (s *Scheduler) model(name string) *modelState {
	m := s.models[name]
	if m == nil {
		m = &modelState{name: name, newest: 1, versionInterval: defaultVersionIntervalMillis, expectedTokens: 1}
		s.models[name] = m
	}
	return m
}

// recordNewest records the newest version of the model.
func (m *modelState) recordNewest(now int64, version uint64) {
	if version <= m.newest {
		return
	}
	if m.newestAt > 0 {
		m.versionInterval += smoothing * (float64(now-m.newestAt) - m.versionInterval)
	}
	m.newest, m.newestAt = version, now
}

// recordStep updates the model's state from a new step.
func (m *modelState) recordStep(step *ledger.Step) {
	if m.newest > step.OldestVersion {
		m.allowedLag = m.newest - step.OldestVersion
	}
	m.stepNumber = max(m.stepNumber, step.Number)
	m.expectedTokens, m.sampleCount = 0, len(step.Samples)
	for position := range step.Samples {
		m.expectedTokens += float64(max(step.Samples[position].Predicted, 1))
	}
}

// LoadOrders returns the load orders to send now. Steps allow versions somewhat behind the newest,
// so an engine need not load every version. The number of concurrent loads is limited, because they
// slow each other down. Models whose samples wait for engines come first, then models that too few engines
// could serve after the next version.
func (s *Scheduler) LoadOrders(now int64) []LoadOrder {
	maxLoads := max((max(s.fleetSize, len(s.engines))+loadDivisor/2)/loadDivisor, 1)
	var orders []LoadOrder
	for s.activeLoads(now) < maxLoads {
		e, model := s.nextLoad(now, maxLoads)
		if e == nil {
			break
		}
		order := LoadOrder{
			Backend: e.backend, Model: model.name, Version: model.newest, KeepRuns: e.canChangeVersion(), SentAt: now,
		}
		e.loading = &order
		orders = append(orders, order)
	}
	return orders
}

// activeLoads returns the number of engines that are loading. A load that has just exceeded the
// shortest load time does not count, because its end may not be known yet. One that exceeds it by
// more than loadReportMillis counts again as slow.
func (s *Scheduler) activeLoads(now int64) int {
	count := 0
	for _, e := range s.engines {
		if e.loading == nil {
			continue
		}
		overdue := float64(now-e.loading.SentAt) - s.shortestLoadMillis
		if overdue < 0 || overdue > loadReportMillis {
			count++
		}
	}
	return count
}

// nextLoad returns the engine and the model of the most needed load, or nil.
func (s *Scheduler) nextLoad(now int64, maxLoads int) (*engine, *modelState) {
	var chosen *engine
	var chosenModel *modelState
	highest := 0.0
	for _, name := range slices.Sorted(maps.Keys(s.models)) {
		model := s.models[name]
		need := s.loadNeed(model, maxLoads)
		if need <= highest {
			continue
		}
		if e := s.cheapestToLoad(now, model); e != nil {
			chosen, chosenModel, highest = e, model, need
		}
	}
	return chosen, chosenModel
}

// loadNeed rates the need for another engine with the model's newest version. Above 1, samples wait
// too long for engines; otherwise it is the missing fraction of the engines wanted for the next step.
func (s *Scheduler) loadNeed(model *modelState, maxLoads int) float64 {
	serving, upToDate := 0, 0
	for _, e := range s.engines {
		version := e.versions[model.name]
		if e.loading != nil && e.loading.Model == model.name {
			version = e.loading.Version
		}
		if e.backend.Draining || version == 0 {
			continue
		}
		if version+model.allowedLag >= model.newest {
			serving++
		}
		if version == model.newest {
			upToDate++
		}
	}
	if wait := s.waitingMillis(model) / float64(max(serving, 1)); wait > loadWaitFraction*s.loadMillis {
		return 1 + wait/s.loadMillis
	}
	wanted := s.wantedEngines(model, maxLoads)
	return float64(wanted-upToDate) / float64(wanted)
}

// waitingMillis returns the time that one engine would need for the model's waiting samples. While
// tasks of chosen groups wait for a slot, only chosen groups count.
func (s *Scheduler) waitingMillis(model *modelState) float64 {
	tokens := 0
	for _, task := range s.waiting.tasks {
		if task.State == Waiting && task.Step.Model == model.name && (task.rank == rankChosen || !s.plan.chosenWaiting) {
			tokens += max(task.Sample.Predicted, 1)
		}
	}
	return float64(tokens) * s.tokenMillis / s.meanSlots()
}

func (s *Scheduler) meanSlots() float64 {
	total := 0
	for _, e := range s.engines {
		total += max(e.backend.Slots, 1)
	}
	return float64(max(total, 1)) / float64(max(len(s.engines), 1))
}

// wantedEngines returns how many engines should hold the newest version before the next one is
// published: enough to start the model's steps quickly, within the model's share of the possible
// loads.
func (s *Scheduler) wantedEngines(model *modelState, maxLoads int) int {
	work, share := 0.0, 0.0
	for _, other := range s.models {
		work += other.expectedTokens
	}
	if work > 0 {
		share = model.expectedTokens / work
	}
	affordable := int(loadTimeFraction * float64(maxLoads) * model.versionInterval / s.loadMillis * share)
	useful := int(model.expectedTokens*s.tokenMillis/(s.meanSlots()*stepStartMillis)) + 1
	return min(max(min(affordable, useful), minCurrentEngines), max(len(s.engines), 1))
}

// cheapestToLoad returns the engine that should load the model next, or nil. It prefers engines
// that cannot serve the model now, and among these the one that serves the least work of other
// models.
func (s *Scheduler) cheapestToLoad(now int64, model *modelState) *engine {
	var best *engine
	bestCost := 0.0
	for _, e := range s.sortedEngines {
		version := e.versions[model.name]
		if version == 0 || version >= model.newest || e.loading != nil || e.backend.Draining ||
			now < e.avoidedUntil || now < s.loadsDeferredUntil[e.backend.NameOrID()] {
			continue
		}
		if cost := s.loadCost(e, model); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

const (
	// servingCost is added for an engine that can already serve the model.
	servingCost = 1000
	runningCost = 0.01
)

func (s *Scheduler) loadCost(e *engine, model *modelState) float64 {
	cost, total := 0.0, 0.0
	for _, other := range s.models {
		total += other.expectedTokens
	}
	for name, other := range s.models {
		switch serves := e.versions[name]+other.allowedLag >= other.newest; {
		case serves && name == model.name:
			cost += servingCost
		case serves:
			cost += other.expectedTokens / max(total, 1)
		}
	}
	return cost + runningCost*float64(len(e.running))
}

// DeferLoads blocks load orders to the engine of that name until the given time, even if the engine
// restarts meanwhile.
func (s *Scheduler) DeferLoads(name string, until int64) { s.loadsDeferredUntil[name] = until }

// canChangeVersion reports whether no running sample requires a single version.
func (e *engine) canChangeVersion() bool {
	for task := range e.running {
		if task.Step.SingleVersion {
			return false
		}
	}
	return true
}

// LoadCompleted records that the engine holds the version. The load time is measured only if
// loaded is set, since the engine may already have held the version. A version that cannot exist counts as a failed load.
func (s *Scheduler) LoadCompleted(now int64, id, model string, version uint64, loaded bool) {
	e := s.engines[id]
	if e == nil {
		return
	}
	if version > s.highestVersion(model) {
		s.LoadFailed(now, id)
		return
	}
	e.versions[model] = max(e.versions[model], version)
	if e.loading == nil || e.loading.Model != model || version < e.loading.Version {
		return
	}
	if loaded {
		s.observeLoad(float64(now - e.loading.SentAt))
	}
	e.loading = nil
	e.resetBackoff()
}

// observeLoad updates the average and the shortest load time. The shortest time slowly grows in
// case loads become slower.
func (s *Scheduler) observeLoad(millis float64) {
	s.loadMillis += smoothing * (millis - s.loadMillis)
	s.shortestLoadMillis = min(s.shortestLoadMillis*shortestLoadGrowth, millis)
}

// anyModel is the model of a load that another leader ordered.
const anyModel = ""

// isLoading reports whether the engine may be loading weights of the model.
func (e *engine) isLoading(model string) bool {
	return e.loading != nil && (e.loading.Model == model || e.loading.Model == anyModel)
}

// MarkLoading records that the engine is loading on another leader's order.
func (s *Scheduler) MarkLoading(now int64, id string) {
	if e := s.engines[id]; e != nil && e.loading == nil {
		e.loading = &LoadOrder{Backend: e.backend, Model: anyModel, SentAt: now}
	}
}

// ClearLoading records that a load on another leader's order has ended.
func (s *Scheduler) ClearLoading(id string) {
	if e := s.engines[id]; e != nil && e.loading != nil && e.loading.Model == anyModel {
		e.loading = nil
	}
}

// LoadFailed records that the load failed. The engine gets no new order until its backoff has
// passed.
func (s *Scheduler) LoadFailed(now int64, id string) {
	e := s.engines[id]
	if e == nil || e.loading == nil {
		return
	}
	e.loading = nil
	e.recordFailure(now)
}

// RecordVersion records the version that the engine reports to hold. A version that cannot exist is ignored.
func (s *Scheduler) RecordVersion(id, model string, version uint64) {
	if e := s.engines[id]; e != nil && version <= s.highestVersion(model) {
		e.versions[model] = max(e.versions[model], version)
	}
}

// IsLoading reports whether the engine may be loading the model's weights.
func (s *Scheduler) IsLoading(id, model string) bool {
	e := s.engines[id]
	return e != nil && e.isLoading(model)
}
