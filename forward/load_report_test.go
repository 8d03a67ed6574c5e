package forward

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/directory"
)

// costWithoutLoad is the reference implementation of the cost of a backend without load reports.
func costWithoutLoad(f *Forwarder, backend directory.Backend, random *rand.Rand, now time.Time) float64 {
	state := f.backends[backend.ID]
	if state == nil {
		state = &backendState{}
	}
	latency := max(float64(state.latency.Milliseconds()), 10)
	if state.latency == 0 || now.Sub(state.measuredAt) > time.Minute {
		latency = max(float64(f.averageLatency[backend.Service].Milliseconds()), 10) * 1.5
	}
	cost := latency * float64(state.inFlight+1)
	if backend.Zone != f.zone {
		cost *= 1.3
	}
	cost *= 1 + 0.2*random.Float64()
	if now.Before(state.avoidedUntil) {
		cost += 1e6
	}
	if backend.Silent {
		cost += 1e5
	}
	return cost
}

// Without load reports, each request must go to the backend with the lowest reference cost, with the
// same number of random draws.
func TestChoiceWithoutLoadIsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, maxFullScan).Draw(t, "backends")
		zones := rapid.SliceOfN(rapid.SampledFrom([]string{"z", "y"}), count, count).Draw(t, "zones")
		catalog := newServiceCatalog(count, func(number int, backend *directory.Backend) { backend.Zone = zones[number] })
		seed := rapid.Uint64().Draw(t, "seed")
		forwarderSource, referenceSource := rand.NewPCG(seed, 1), rand.NewPCG(seed, 1)
		f, random := New(nil, "z", newGuard()), rand.New(referenceSource)
		f.random = rand.New(forwarderSource)
		now := simEpoch
		var busy []directory.Backend
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 90_000).Draw(t, "pause")) * time.Millisecond)
			if len(busy) > 0 && rapid.Bool().Draw(t, "end") {
				outcome := rapid.SampledFrom([]Outcome{Answered, Refused, Lost, NotSent}).Draw(t, "outcome")
				latency := time.Duration(rapid.IntRange(1, 500).Draw(t, "took")) * time.Millisecond
				f.recordAttemptAt(busy[0], Attempt{Outcome: outcome}, latency, rapid.Bool().Draw(t, "cancelled"), now)
				busy = busy[1:]
				continue
			}
			want, lowest := "", 0.0
			for _, backend := range catalog.Backends("s") {
				if cost := costWithoutLoad(f, *backend, random, now); want == "" || cost < lowest {
					want, lowest = backend.ID, cost
				}
			}
			chosen, ok := f.chooseAt(catalog, []string{"s"}, nil, now)
			require.True(t, ok)
			require.Equal(t, want, chosen.ID)
			require.Equal(t, *referenceSource, *forwarderSource, "number of random draws")
			busy = append(busy, chosen)
		}
	})
}

// loadCase is a case of TestSimulatedLoads.
type loadCase struct {
	gateways, backends int
	lastSlowdown       float64
	// maxP99Ratio bounds the p99 latency for each report age, relative to that without reports.
	maxP99Ratio map[time.Duration]float64
	// minWithinTarget bounds the fraction within the target latency with reports 5 ms old.
	minWithinTarget float64
}

// Many gateways with the same load reports must not overload one of several uneven backends, and must reach
// lower latencies than without reports. Expired reports must have no effect.
func TestSimulatedLoads(t *testing.T) {
	const recent, older, expired = 5 * time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond
	cases := []loadCase{
		{48, 4, 0, map[time.Duration]float64{0: 0.95, recent: 0.65, older: 0.8, expired: 1}, 0.995},
		{48, 4, 2, map[time.Duration]float64{0: 0.9, recent: 0.68, older: 0.82, expired: 1}, 0.99},
		{48, 12, 0, map[time.Duration]float64{0: 0.85, recent: 0.65, older: 0.85, expired: 1}, 0.995},
		{835, 4, 0, map[time.Duration]float64{0: 1, recent: 0.45, older: 0.6, expired: 1}, 0.995},
		{835, 12, 0, map[time.Duration]float64{0: 1.05, recent: 0.45, older: 0.6, expired: 1}, 0.995},
		{835, 12, 2, map[time.Duration]float64{0: 1.05, recent: 0.45, older: 0.62, expired: 1}, 0.99},
	}
	for _, test := range cases {
		t.Run(fmt.Sprintf("%d gateways, %d backends, slowdown %v", test.gateways, test.backends, test.lastSlowdown), func(t *testing.T) {
			t.Parallel()
			scenario := loadScenario{gateways: test.gateways, backends: test.backends, lastSlowdown: test.lastSlowdown, slowedFraction: 0.15, utilization: 0.8}
			baseline := scenario.meanOutcome()
			t.Log("without reports", baseline)
			for _, age := range []time.Duration{0, recent, older, expired} {
				scenario.reportsLoad, scenario.reportAge = true, age
				outcome := scenario.meanOutcome()
				t.Log("report age", age, outcome)
				require.LessOrEqual(t, outcome.busiestRatio, 1.25, outcome)
				require.LessOrEqual(t, float64(outcome.p99), test.maxP99Ratio[age]*float64(baseline.p99), outcome)
				require.LessOrEqual(t, outcome.failed, baseline.failed, outcome)
				if age == recent {
					require.GreaterOrEqual(t, outcome.withinTarget, test.minWithinTarget, outcome)
				}
			}
		})
	}
}

// simSeeds is the number of simulations that are averaged.
const simSeeds = 3

// meanOutcome returns the mean outcome of simSeeds simulations.
func (l loadScenario) meanOutcome() loadOutcome {
	var mean loadOutcome
	for seed := range simSeeds {
		l.seed = uint64(seed) + 1
		outcome := l.simulate()
		mean.busiestRatio += outcome.busiestRatio / simSeeds
		mean.p99 += outcome.p99 / simSeeds
		mean.withinTarget += outcome.withinTarget / simSeeds
		mean.failed += outcome.failed / simSeeds
	}
	return mean
}

// backendAnswer is the latency of a backend's requests and the load that it reports.
type backendAnswer struct {
	latency time.Duration
	load    Load
}

func backendNumber(backend directory.Backend) int {
	number, err := strconv.Atoi(backend.ID[len("b-"):])
	if err != nil {
		panic(err)
	}
	return number
}

// newInformedForwarder returns a forwarder with load reports and latencies of three equal backends.
func newInformedForwarder() (*Forwarder, *directory.Catalog, time.Time) {
	f := New(nil, "z", newGuard())
	f.random = rand.New(rand.NewPCG(1, 2))
	catalog := newServiceCatalog(3, func(int, *directory.Backend) {})
	now := simEpoch
	for range 30 {
		for _, backend := range catalog.Backends("s") {
			f.state(backend.ID).inFlight++
			f.recordAttemptAt(*backend, Attempt{Outcome: Answered, Load: &Load{Running: 2, Slots: 6, Slowdown: 100}}, 25*time.Millisecond, false, now)
		}
		now = now.Add(time.Millisecond)
	}
	return f, catalog, now
}

// recordAnswers records answers of each backend with the forwarder.
func recordAnswers(f *Forwarder, catalog *directory.Catalog, now time.Time, requests int, answer func(number int) backendAnswer) {
	for number, backend := range catalog.Backends("s") {
		reply := answer(number)
		for range requests {
			f.state(backend.ID).inFlight++
			f.recordAttemptAt(*backend, Attempt{Outcome: Answered, Load: &reply.load}, reply.latency, false, now)
		}
	}
}

// countChoices returns how many of 300 choices in the same state each backend gets.
func countChoices(f *Forwarder, catalog *directory.Catalog, now time.Time) []int {
	counts := make([]int, len(catalog.Backends("s")))
	for range 300 {
		chosen, _ := f.chooseAt(catalog, []string{"s"}, nil, now)
		counts[backendNumber(chosen)]++
		state := f.state(chosen.ID)
		state.inFlight--
		state.report.sent--
	}
	return counts
}

// A backend that differs from the two others in speed or load must get fewer or more requests as long
// as the difference lasts.
func TestUnevenBackends(t *testing.T) {
	normal, slowed := Load{Running: 2, Slots: 6, Slowdown: 100}, Load{Running: 2, Slots: 6, Slowdown: 250}
	firstBackend := func(load Load, latency time.Duration) func(int) backendAnswer {
		return func(number int) backendAnswer {
			if number == 0 {
				return backendAnswer{latency, load}
			}
			return backendAnswer{25 * time.Millisecond, normal}
		}
	}
	tests := []struct {
		name     string
		answer   func(int) backendAnswer
		requests int
		// after is the time from the reports to the choices.
		after              time.Duration
		minCount, maxCount int
	}{
		{"equal", firstBackend(normal, 25*time.Millisecond), 1, time.Millisecond, 60, 140},
		{"permanently slower, after one request", firstBackend(normal, 33*time.Millisecond), 1, time.Millisecond, 60, 140},
		{"permanently slower, after many requests", firstBackend(normal, 36*time.Millisecond), 60, time.Millisecond, 0, 5},
		{"temporarily slower", firstBackend(slowed, 62500*time.Microsecond), 1, time.Millisecond, 0, 5},
		{"temporarily slower, slowdown expired", firstBackend(slowed, 62500*time.Microsecond), 1, slowdownLifetime + 50*time.Millisecond, 60, 140},
		{"temporarily slower, after many requests, slowdown expired", firstBackend(slowed, 62500*time.Microsecond), 60, slowdownLifetime, 60, 140},
		{"temporarily faster", firstBackend(Load{Running: 2, Slots: 6, Slowdown: 50}, 12*time.Millisecond), 1, time.Millisecond, 150, 300},
		{"full", firstBackend(Load{Running: 6, Waiting: 6, Slots: 6, Slowdown: 100}, 55*time.Millisecond), 1, time.Millisecond, 0, 5},
		{"nearly full, same baseline latency", firstBackend(Load{Running: 5, Slots: 6, Slowdown: 100}, 33*time.Millisecond), 60, time.Millisecond, 0, 60},
		{"empty", firstBackend(Load{Running: 0, Slots: 6, Slowdown: 100}, 25*time.Millisecond), 1, time.Millisecond, 100, 300},
		{"no slowdown reported", firstBackend(Load{Running: 2, Slots: 6}, 25*time.Millisecond), 1, time.Millisecond, 60, 140},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, catalog, now := newInformedForwarder()
			recordAnswers(f, catalog, now, test.requests, test.answer)
			counts := countChoices(f, catalog, now.Add(test.after))
			require.GreaterOrEqual(t, counts[0], test.minCount, counts)
			require.LessOrEqual(t, counts[0], test.maxCount, counts)
		})
	}
}

// The weight of a report must start at one half and fall to zero with age; a reported slowdown expires
// sooner.
func TestReportWeightDecays(t *testing.T) {
	report := loadReport{Load: Load{Running: 6, Waiting: 3, Slots: 6, Slowdown: 250}, at: simEpoch, sent: 4}
	for _, test := range []struct {
		age              time.Duration
		weight, slowdown float64
	}{
		{-time.Millisecond, 0.5, 2.5},
		{0, 0.5, 2.5},
		{slowdownLifetime / 2, 0.5 * (1 - 150.0/400), 1.75},
		{reportLifetime / 2, 0.25, 1.5},
		{slowdownLifetime, 0.125, 1},
		{reportLifetime, 0, 1},
		{time.Hour, 0, 1},
	} {
		require.InDelta(t, test.weight, report.weight(test.age), 1e-9, test.age)
		require.InDelta(t, test.slowdown, report.slowdown(test.age), 1e-9, test.age)
	}
	require.Zero(t, (&loadReport{}).weight(0))
	require.InDelta(t, 14.0/6, report.occupancy(9), 1e-9, "includes requests sent since the report")
	require.InDelta(t, 11.0/6, report.occupancy(1), 1e-9, "at most the requests in flight")
	require.Equal(t, "running=6 waiting=3 slots=6 slowdown=250 sent=4", report.String())
}

// Baseline latencies must exclude the wait for a slot and the slowdown. Cancelled requests may only
// raise them.
func TestBaselineEstimates(t *testing.T) {
	now := simEpoch
	state := &backendState{report: loadReport{Load: Load{Running: 11, Slots: 6, Slowdown: 200}, at: now}, service: &serviceLoadState{}, measuredAt: now}
	const twoRounds = 2 + utilizationPenalty
	state.recordBaseline(2*twoRounds*20*time.Millisecond, now)
	require.Equal(t, 20*time.Millisecond, state.baselines.nearlyFull)
	require.Equal(t, 20*time.Millisecond, state.service.baseline)
	require.InDelta(t, float64(2*twoRounds*20*time.Millisecond), float64(state.expectedLatency(0)), 1e3)
	state.recordLowerBound(time.Millisecond, now)
	require.Equal(t, 20*time.Millisecond, state.baselines.nearlyFull, "cancelled below the baseline latency")
	state.recordLowerBound(2*twoRounds*40*time.Millisecond, now)
	require.Equal(t, 21*time.Millisecond, state.baselines.nearlyFull)
	later := now.Add(latencyLifetime + time.Second)
	state.recordBaseline(time.Second, later)
	require.Equal(t, 21*time.Millisecond, state.baselines.nearlyFull, "the load report has expired")
	state.report.at = later
	state.recordBaseline(2*twoRounds*30*time.Millisecond, later)
	require.Equal(t, 30*time.Millisecond, state.baselines.nearlyFull, "the earlier baseline latency has expired")
}

// A cancelled attempt must raise its backend's baseline latency if it exceeds it, and not change it
// otherwise.
func TestCancelledAttemptRaisesBaseline(t *testing.T) {
	f, catalog, now := newInformedForwarder()
	backend := *catalog.Backends("s")[0]
	before := f.state(backend.ID).baselines
	for _, test := range []struct {
		latency        time.Duration
		raisesBaseline bool
	}{{time.Millisecond, false}, {time.Second, true}} {
		f.state(backend.ID).inFlight++
		f.recordAttemptAt(backend, Attempt{Outcome: Lost}, test.latency, true, now)
		require.Equal(t, test.raisesBaseline, f.state(backend.ID).baselines.normal > before.normal)
		require.GreaterOrEqual(t, f.state(backend.ID).baselines.normal, before.normal)
	}
}

// The backend's baseline latency at the occupancy must be preferred to its other one, and that to the
// fallback; minLatencyMillis is the lower bound.
func TestBaselineByOccupancy(t *testing.T) {
	const fallback, normal, nearlyFull = 20 * time.Millisecond, 25 * time.Millisecond, 70 * time.Millisecond
	for _, test := range []struct {
		baselines baselineLatencies
		occupancy float64
		want      time.Duration
	}{
		{baselineLatencies{normal, nearlyFull}, 0.5, normal},
		{baselineLatencies{normal, nearlyFull}, nearlyFullOccupancy, nearlyFull},
		{baselineLatencies{normal, nearlyFull}, 3, nearlyFull},
		{baselineLatencies{normal: normal}, 3, normal},
		{baselineLatencies{nearlyFull: nearlyFull}, 0.5, nearlyFull},
		{baselineLatencies{}, 0.5, fallback},
		{baselineLatencies{}, 3, fallback},
		{baselineLatencies{normal: time.Millisecond}, 0.5, minLatencyMillis * time.Millisecond},
	} {
		require.Equal(t, test.want, test.baselines.at(test.occupancy, fallback), test)
	}
	var recorded baselineLatencies
	recorded.record(normal, 0.5)
	recorded.record(nearlyFull, nearlyFullOccupancy)
	require.Equal(t, baselineLatencies{normal, nearlyFull}, recorded)
}

// The load in an answer includes the answered request, which must not count as running; that in a
// refusal does not. Services without recent reports must be removed.
func TestAnsweredRequestIsNotCountedAsRunning(t *testing.T) {
	f, catalog := New(nil, "z", newGuard()), newServiceCatalog(1, func(int, *directory.Backend) {})
	for outcome, running := range map[Outcome]int{Answered: 2, Refused: 3} {
		chosen, _ := f.chooseAt(catalog, []string{"s"}, nil, simEpoch)
		f.recordAttemptAt(chosen, Attempt{Outcome: outcome, Load: &Load{Running: 3, Slots: 6}}, answerLatency, false, simEpoch)
		require.Equal(t, running, f.state(chosen.ID).report.Running, outcome)
	}
	f.forgetAt(catalog, simEpoch.Add(serviceLoadLifetime-1))
	require.Len(t, f.serviceLoads, 1)
	f.forgetAt(catalog, simEpoch.Add(serviceLoadLifetime))
	require.Empty(t, f.serviceLoads)
}

// For an unmeasured backend, the baseline latency of its service must be assumed while load reports
// are fresh, and the average latency otherwise.
func TestAssumedLatency(t *testing.T) {
	f := New(nil, "z", newGuard())
	f.averageLatency["s"] = 100 * time.Millisecond
	require.Equal(t, 100*time.Millisecond, f.assumedLatency("s", simEpoch))
	f.serviceLoads["s"] = &serviceLoadState{reportedAt: simEpoch, baseline: 30 * time.Millisecond}
	require.Equal(t, 30*time.Millisecond, f.assumedLatency("s", simEpoch))
	require.Equal(t, 100*time.Millisecond, f.assumedLatency("s", simEpoch.Add(serviceLoadLifetime)))
}

// A backend that is slow when nearly full must be avoided before all its slots are in use, and used
// again once its load has fallen.
func TestBackendSlowWhenNearlyFullIsAvoided(t *testing.T) {
	normal, nearlyFull := Load{Running: 2, Slots: 6, Slowdown: 100}, Load{Running: 5, Slots: 6, Slowdown: 100}
	f, catalog, now := newInformedForwarder()
	for range 40 {
		now = now.Add(10 * time.Millisecond)
		recordAnswers(f, catalog, now, 1, func(number int) backendAnswer {
			if number == 0 {
				return backendAnswer{90 * time.Millisecond, nearlyFull}
			}
			return backendAnswer{35 * time.Millisecond, nearlyFull}
		})
	}
	counts := countChoices(f, catalog, now.Add(time.Millisecond))
	require.LessOrEqual(t, counts[0], 5, "all backends nearly full: %v", counts)
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		recordAnswers(f, catalog, now, 1, func(int) backendAnswer { return backendAnswer{25 * time.Millisecond, normal} })
	}
	counts = countChoices(f, catalog, now.Add(time.Millisecond))
	require.InDelta(t, 100, counts[0], 60, "no backend nearly full: %v", counts)
}

// Whatever backends report, state must stay bounded and expire, and under load each backend must be
// used, including one that never reports its load.
func TestNoBackendStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const backends, notReporting = 6, 5
		f := New(nil, "z", newGuard())
		f.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		catalog := newServiceCatalog(backends, func(int, *directory.Backend) {})
		now := simEpoch
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond)
			chosen, ok := f.chooseAt(catalog, []string{"s"}, nil, now)
			require.True(t, ok)
			attempt := Attempt{Outcome: rapid.SampledFrom([]Outcome{Answered, Refused, Lost}).Draw(t, "outcome")}
			if backendNumber(chosen) != notReporting && rapid.Bool().Draw(t, "tells") {
				attempt.Load = &Load{
					Running: rapid.IntRange(0, 1<<20).Draw(t, "running"), Waiting: rapid.IntRange(0, 1<<20).Draw(t, "waiting"),
					Slots: rapid.IntRange(1, 1<<20).Draw(t, "slots"), Slowdown: rapid.IntRange(0, 1<<20).Draw(t, "slowdown"),
				}
			}
			f.recordAttemptAt(chosen, attempt, time.Duration(rapid.IntRange(0, 2000).Draw(t, "took"))*time.Millisecond, false, now)
			require.Zero(t, f.state(chosen.ID).inFlight)
		}
		require.LessOrEqual(t, len(f.backends), backends)
		require.LessOrEqual(t, len(f.serviceLoads), 1)

		now = now.Add(2 * latencyLifetime)
		f.forgetAt(catalog, now)
		require.Empty(t, f.backends, "old state must be removed")
		require.Empty(t, f.serviceLoads)
		load := &Load{Running: 6, Waiting: 12, Slots: 6, Slowdown: 100}
		counts := make([]int, backends)
		var pending []directory.Backend
		for range 200 * backends {
			now = now.Add(time.Millisecond)
			chosen, _ := f.chooseAt(catalog, []string{"s"}, nil, now)
			counts[backendNumber(chosen)]++
			if pending = append(pending, chosen); len(pending) <= 4*backends {
				continue
			}
			attempt := Attempt{Outcome: Answered, Load: load}
			if backendNumber(pending[0]) == notReporting {
				attempt.Load = nil
			}
			f.recordAttemptAt(pending[0], attempt, 100*time.Millisecond, false, now)
			pending = pending[1:]
		}
		for number := range backends {
			require.GreaterOrEqual(t, counts[number], 20, counts)
		}
	})
}

// BenchmarkChooseWithLoadReports measures the choice in a service of maxFullScan backends with and
// without load reports.
func BenchmarkChooseWithLoadReports(b *testing.B) {
	for name, load := range map[string]*Load{"without reports": nil, "with reports": {Running: 2, Slots: 6, Slowdown: 120}} {
		b.Run(name, func(b *testing.B) {
			catalog := newServiceCatalog(maxFullScan, func(int, *directory.Backend) {})
			f := New(nil, "z", newGuard())
			recordAnswer := func(backend directory.Backend) {
				f.recordAttemptAt(backend, Attempt{Outcome: Answered, Load: load}, answerLatency, false, simEpoch)
			}
			for range 20 {
				for _, backend := range catalog.Backends("s") {
					f.state(backend.ID).inFlight++
					recordAnswer(*backend)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				backend, _ := f.chooseAt(catalog, []string{"s"}, nil, simEpoch)
				recordAnswer(backend)
			}
		})
	}
}
