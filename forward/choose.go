package forward

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/routing"
)

// backendState is what this process knows of a backend.
type backendState struct {
	inFlight int
	// suspects counts the requests in flight that are suspects.
	suspects int
	latency  time.Duration
	// measuredAt is when latency was last updated.
	measuredAt   time.Time
	avoidedUntil time.Time
	// report is the backend's latest load report.
	report    loadReport
	baselines baselineLatencies
	// service is the load state of the backend's service, nil until the backend has reported its load.
	service *serviceLoadState
}

// latencyLifetime is how long a latency is used after the backend's last request. A slow backend gets
// no requests while others are faster, so its latency must expire for it to be tried again.
const latencyLifetime = time.Minute

// recordLatency updates the backend's average latency.
func (s *backendState) recordLatency(latency time.Duration, now time.Time) {
	if now.Sub(s.measuredAt) > latencyLifetime {
		s.latency = 0
	}
	s.latency = smoothed(s.latency, latency, latencySmoothing)
	s.measuredAt = now
}

// orderServices returns the route's services, starting with the one that the round robin picked.
func (f *Forwarder) orderServices(route routing.Route) []string {
	services := make([]string, 0, len(route.Shares))
	if len(route.Shares) == 1 {
		return append(services, route.Shares[0].Service)
	}
	chosen := f.pickShare(route)
	services = append(services, route.Shares[chosen].Service)
	for position, share := range route.Shares {
		if position != chosen && share.Weight > 0 {
			services = append(services, share.Service)
		}
	}
	return services
}

// maxInitialTurns bounds the random number of turns by which the round robin of a split route is
// advanced before its first request.
const maxInitialTurns = 1000

// pickShare picks a share by smooth weighted round robin. Each process starts at a random point of the
// cycle, so that many processes with few requests each still follow the weights together.
func (f *Forwarder) pickShare(route routing.Route) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	credits := f.credits[route.Key()]
	if len(credits) != len(route.Shares) {
		credits = make([]float64, len(route.Shares))
		f.credits[route.Key()] = credits
		for range f.random.IntN(maxInitialTurns) {
			nextShare(credits, route.Shares)
		}
	}
	return nextShare(credits, route.Shares)
}

// nextShare advances the round robin by one turn and returns the index of the picked share.
func nextShare(credits []float64, shares []routing.Share) int {
	best, total := 0, 0.0
	for position, share := range shares {
		credits[position] += share.Weight
		total += share.Weight
		if credits[position] > credits[best] {
			best = position
		}
	}
	credits[best] -= total
	return best
}

// choose returns a backend of the first service that has an eligible one, and counts the request as in
// flight there.
func (f *Forwarder) choose(catalog *directory.Catalog, services []string, tried map[string]bool) (directory.Backend, bool) {
	return f.chooseAt(catalog, services, tried, time.Now())
}

func (f *Forwarder) chooseAt(catalog *directory.Catalog, services []string, tried map[string]bool, now time.Time) (directory.Backend, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	selection := selection{now: now, crashed: KnownCrashedBackends(catalog, f.guard), tried: tried}
	for _, service := range services {
		if best := f.cheapest(catalog, service, selection); best != nil {
			state := f.state(best.ID)
			state.inFlight++
			state.report.sent++
			return *best, true
		}
	}
	return directory.Backend{}, false
}

// selection holds the inputs by which backends are rated for one attempt.
type selection struct {
	now     time.Time
	crashed CrashedBackends
	tried   map[string]bool
}

const (
	// maxFullScan is the largest number of a service's backends that are all rated for each attempt.
	// In larger services, the backends that this process uses and sampledBackends others are rated.
	// This bounds the cost of a choice and the number of connections of each process.
	maxFullScan = 32
	// sampledBackends is large enough that the sample probably contains a healthy backend in the same
	// zone even while a large part of the service is down.
	sampledBackends = 8
)

// cheapest returns the service's backend with the lowest cost, or nil if none is eligible.
func (f *Forwarder) cheapest(catalog *directory.Catalog, service string, selection selection) *directory.Backend {
	all := catalog.Backends(service)
	if len(all) <= maxFullScan {
		best, _ := f.cheapestOf(slices.Values(all), selection)
		return best
	}
	best, cost := f.cheapestOf(f.candidates(catalog, service, all), selection)
	if best == nil || cost >= silentCost {
		// The sample contains no healthy backend: rate all of them.
		best, _ = f.cheapestOf(slices.Values(all), selection)
	}
	return best
}

// candidates yields the service's backends that this process uses and a random sample of all.
func (f *Forwarder) candidates(catalog *directory.Catalog, service string, all []*directory.Backend) iter.Seq[*directory.Backend] {
	return func(yield func(*directory.Backend) bool) {
		for id := range f.backends {
			if backend, ok := catalog.Backend(id); ok && backend.Service == service && !yield(&backend) {
				return
			}
		}
		for range sampledBackends {
			if !yield(all[f.random.IntN(len(all))]) {
				return
			}
		}
	}
}

// cheapestOf returns the candidate with the lowest cost and that cost, or nil.
func (f *Forwarder) cheapestOf(candidates iter.Seq[*directory.Backend], selection selection) (best *directory.Backend, bestCost float64) {
	for backend := range candidates {
		if backend.Draining || selection.tried[backend.ID] {
			continue
		}
		cost := f.cost(*backend, selection.now)
		if selection.crashed.Has(backend.ID) {
			cost += crashedCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = backend, cost
		}
	}
	return best, bestCost
}

const (
	avoidedCost = 1e6
	silentCost  = 1e5
	// crashedCost is added for a backend that has crashed: its process is down.
	crashedCost     = 1e6
	remoteSurcharge = 0.3
	// randomSurcharge is the random part of a cost, which spreads requests over equal backends.
	randomSurcharge = 0.2
	// minLatencyMillis is the lower bound of latencies: below it, differences are ignored.
	minLatencyMillis = 10.0
	// unmeasuredSurcharge is added for a backend whose latency this process has not measured: it needs
	// a new connection and is probably like the others. It exceeds the usual noise of a known
	// backend's latency, and is less than a slowdown that callers would notice.
	unmeasuredSurcharge = 0.5
	// averageSmoothing is the weight of the newest latency in a service's average, which must change
	// more slowly than the latency of a single backend.
	averageSmoothing = 0.05
)

// cost returns the backend's expected latency in milliseconds, with large surcharges for backends that
// fail or are silent.
func (f *Forwarder) cost(backend directory.Backend, now time.Time) float64 {
	state := f.backends[backend.ID]
	if state == nil {
		state = &unusedBackend
	}
	latency := max(float64(state.latency.Milliseconds()), minLatencyMillis)
	if state.latency == 0 || now.Sub(state.measuredAt) > latencyLifetime {
		latency = max(float64(f.assumedLatency(backend.Service, now).Milliseconds()), minLatencyMillis) * (1 + unmeasuredSurcharge)
	}
	cost := latency * float64(state.inFlight+1)
	age := now.Sub(state.report.at)
	if reportWeight := state.report.weight(age); reportWeight > 0 {
		expected := state.expectedLatency(age)
		cost += reportWeight * (float64(expected)/float64(time.Millisecond) - cost)
	}
	if backend.Zone != f.zone {
		cost *= 1 + remoteSurcharge
	}
	cost *= 1 + randomSurcharge*f.random.Float64()
	if now.Before(state.avoidedUntil) {
		cost += avoidedCost
	}
	if backend.Silent {
		cost += silentCost
	}
	return cost
}

// assumedLatency returns the latency assumed for a backend of the service that this process has not
// measured. If the service's backends report their load, it excludes the wait for a slot: the backend
// may be idle while those in use are full.
func (f *Forwarder) assumedLatency(service string, now time.Time) time.Duration {
	average := f.averageLatency[service]
	if load := f.serviceLoads[service]; load.isFresh(now) && load.baseline > 0 {
		return min(average, load.baseline)
	}
	return average
}

// unusedBackend is the state of a backend that this process does not use. It must not be modified.
var unusedBackend backendState

func (f *Forwarder) state(id string) *backendState {
	state := f.backends[id]
	if state == nil {
		state = &backendState{}
		f.backends[id] = state
	}
	return state
}

// recordAttempt updates the backend's state with the result of an attempt.
func (f *Forwarder) recordAttempt(backend directory.Backend, attempt Attempt, latency time.Duration, cancelled bool) {
	f.recordAttemptAt(backend, attempt, latency, cancelled, time.Now())
}

func (f *Forwarder) recordAttemptAt(backend directory.Backend, attempt Attempt, latency time.Duration, cancelled bool, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	state := f.state(backend.ID)
	state.inFlight--
	f.recordLoad(state, backend.Service, attempt, now)
	f.hedgeBudget = min(f.hedgeBudget+hedgeBudgetFraction, hedgeBudgetBurst)
	if cancelled && attempt.Outcome != Answered {
		// Another attempt answered first, or the caller gave up.
		if latency > slowFactor*state.latency && latency > minHedgeDelay {
			state.avoidedUntil = now.Add(slowPenalty)
		}
		state.recordLowerBound(latency, now)
		state.recordLatency(latency, now)
		return
	}
	switch attempt.Outcome {
	case Answered:
		state.recordBaseline(latency, now)
		state.recordLatency(state.report.withoutSlowdown(latency, now), now)
		f.averageLatency[backend.Service] = smoothed(f.averageLatency[backend.Service], latency, averageSmoothing)
		state.avoidedUntil = time.Time{}
	case Refused:
		state.avoidedUntil = now.Add(refusalPenalty)
	default:
		state.avoidedUntil = now.Add(failurePenalty)
	}
}

// recordLoad records the load that the backend reported with its answer.
func (f *Forwarder) recordLoad(state *backendState, service string, attempt Attempt, now time.Time) {
	if attempt.Load == nil {
		return
	}
	load := *attempt.Load
	if attempt.Outcome == Answered {
		// The report includes the answered request.
		load.Running = max(load.Running-1, 0)
	}
	serviceLoad := f.serviceLoads[service]
	if serviceLoad == nil {
		serviceLoad = &serviceLoadState{}
		f.serviceLoads[service] = serviceLoad
	}
	serviceLoad.recordReport(state, load, now)
}

// smoothed returns the exponential moving average including the newest latency. An average of 0 means
// that there is none yet.
func smoothed(average, newest time.Duration, weight float64) time.Duration {
	if average == 0 {
		return newest
	}
	return average + time.Duration(weight*float64(newest-average))
}

func (f *Forwarder) spendHedgeBudget() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.hedgeBudget < 1 {
		return false
	}
	f.hedgeBudget--
	return true
}

// Forget removes the state of backends that are not in the catalog, and state that has expired.
func (f *Forwarder) Forget(catalog *directory.Catalog) {
	f.admissionControl.retries.removeStale(clock.Now())
	f.forgetAt(catalog, time.Now())
}

func (f *Forwarder) forgetAt(catalog *directory.Catalog, now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for id, state := range f.backends {
		_, ok := catalog.Backend(id)
		unused := now.Sub(state.measuredAt) > latencyLifetime && now.After(state.avoidedUntil)
		if (!ok || unused) && state.inFlight == 0 {
			delete(f.backends, id)
		}
	}
	maps.DeleteFunc(f.crashedSince, func(id string, _ time.Time) bool {
		_, ok := catalog.Backend(id)
		return !ok
	})
	for service, load := range f.serviceLoads {
		if !load.isFresh(now) {
			delete(f.serviceLoads, service)
		}
	}
}
