package forward

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dillchute/dillchute/directory"
)

// loadScenario describes a service and its gateways for a simulation in virtual time.
type loadScenario struct {
	gateways, backends int
	// reportAge is the age of the gateways' load reports; 0 means that gateways have only the reports
	// in their own responses.
	reportAge time.Duration
	// reportsLoad is unset if backends do not report their load.
	reportsLoad bool
	// slowedFraction is the fraction of the time in which a backend is slowed by other workloads on
	// its machine.
	slowedFraction float64
	// utilization is the offered load as a fraction of the service's capacity.
	utilization float64
	// lastSlowdown is the factor by which the last backend slows down in the middle of the simulation,
	// 0 for none.
	lastSlowdown float64
	seed         uint64
}

const (
	simSlots          = 6
	simQueue          = 24
	simWorkTime       = 25 * time.Millisecond
	simSlowdown       = 2.5
	simSlowdownPeriod = 150 * time.Millisecond
	simDuration       = 20 * time.Second
	simWarmup         = 5 * time.Second
	simLatencyTarget  = 150 * time.Millisecond
)

// simWorkFactors are the relative durations of the same work at the backends.
var simWorkFactors = []float64{1.0, 1.0, 1.3}

// loadOutcome summarizes a simulation.
type loadOutcome struct {
	// busiestRatio is the busy time of the busiest backend's slots relative to the mean.
	busiestRatio float64
	p99          time.Duration
	// withinTarget is the fraction of requests answered within simLatencyTarget, and failed the
	// fraction that every backend refused.
	withinTarget, failed float64
	sent                 []int
}

// String returns the outcome as a line of a table.
func (o loadOutcome) String() string {
	return fmt.Sprintf("busiest/mean %.2f  p99 %4d ms  within target %.3f  failed %.4f", o.busiestRatio, o.p99.Milliseconds(), o.withinTarget, o.failed)
}

type simEvent struct {
	at  time.Duration
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simBackend is a simulated backend with slots and a queue.
type simBackend struct {
	workFactor, slowdown float64
	running              int
	queue                []func()
	busyTime             time.Duration
	requests             int
	// reports holds the backend's load reports, the oldest first.
	reports []timedLoad
}

type timedLoad struct {
	at   time.Duration
	load Load
}

// simulation is the state of a running simulation.
type simulation struct {
	loadScenario
	random     *rand.Rand
	now        time.Duration
	events     simEvents
	catalog    *directory.Catalog
	states     []*simBackend
	ids        []string
	forwarders []*Forwarder
	// sentAt holds the times at which each gateway sent its latest requests to each backend.
	sentAt    [][][]time.Duration
	latencies []time.Duration
	finished  int
	rejected  int
}

// simEpoch is the start time of simulations.
var simEpoch = time.Unix(1_000_000, 0)

func (l loadScenario) simulate() loadOutcome {
	s := &simulation{loadScenario: l, random: rand.New(rand.NewPCG(l.seed, 1))}
	s.catalog = newServiceCatalog(l.backends, func(int, *directory.Backend) {})
	rate := 0.0
	for number := range l.backends {
		workFactor := simWorkFactors[number%len(simWorkFactors)]
		s.ids = append(s.ids, fmt.Sprintf("b-%05d", number))
		s.states = append(s.states, &simBackend{workFactor: workFactor, slowdown: 1})
		rate += simSlots / (simWorkTime.Seconds() * workFactor * (1 + l.slowedFraction*(simSlowdown-1)))
		s.recordReport(number)
		if l.slowedFraction > 0 {
			s.changeSlowdown(number)
		}
	}
	for gateway := range l.gateways {
		forwarder := New(nil, "z", newGuard())
		forwarder.random = rand.New(rand.NewPCG(l.seed, uint64(gateway)+2))
		s.forwarders = append(s.forwarders, forwarder)
		s.sentAt = append(s.sentAt, make([][]time.Duration, l.backends))
	}
	if l.lastSlowdown > 0 {
		s.after(simDuration/2, func() { s.states[l.backends-1].workFactor *= l.lastSlowdown })
	}
	s.scheduleArrivals(rate * l.utilization)
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.run()
	}
	return s.outcome()
}

func (s *simulation) after(delay time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.now + delay, run})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// changeSlowdown sets a random slowdown of the backend and schedules the next change.
func (s *simulation) changeSlowdown(number int) {
	backend := s.states[number]
	backend.slowdown = 1
	if s.random.Float64() < s.slowedFraction {
		backend.slowdown = simSlowdown
	}
	s.recordReport(number)
	if s.now < simDuration {
		s.after(s.exponential(simSlowdownPeriod), func() { s.changeSlowdown(number) })
	}
}

func (s *simulation) scheduleArrivals(perSecond float64) {
	s.after(s.exponential(time.Duration(float64(time.Second)/perSecond)), func() {
		if s.now >= simDuration {
			return
		}
		s.sendRequest(s.random.IntN(s.gateways), map[string]bool{}, s.now)
		s.scheduleArrivals(perSecond)
	})
}

// recordReport appends the backend's current load to its reports.
func (s *simulation) recordReport(number int) {
	backend := s.states[number]
	load := Load{Running: backend.running, Waiting: len(backend.queue), Slots: simSlots, Slowdown: int(100 * backend.slowdown)}
	backend.reports = append(backend.reports, timedLoad{s.now, load})
}

// deliverReports gives a gateway the reports of all backends with the configured age.
func (s *simulation) deliverReports(gateway int) {
	if !s.reportsLoad || s.reportAge == 0 {
		return
	}
	reportTime := s.now - s.reportAge
	f := s.forwarders[gateway]
	for number, backend := range s.states {
		end, _ := slices.BinarySearchFunc(backend.reports, reportTime, func(t timedLoad, at time.Duration) int {
			return int(t.at - at)
		})
		if end == 0 {
			continue
		}
		sentAt := s.sentAt[gateway][number]
		first, _ := slices.BinarySearch(sentAt, reportTime)
		s.sentAt[gateway][number] = sentAt[first:]
		state := f.state(s.ids[number])
		if f.serviceLoads["s"] == nil {
			f.serviceLoads["s"] = &serviceLoadState{}
		}
		f.serviceLoads["s"].reportedAt = simEpoch.Add(s.now)
		state.service = f.serviceLoads["s"]
		state.report = loadReport{Load: backend.reports[end-1].load, at: simEpoch.Add(reportTime), sent: len(sentAt) - first}
	}
}

// sendRequest sends a gateway's request to an untried backend.
func (s *simulation) sendRequest(gateway int, tried map[string]bool, start time.Duration) {
	s.deliverReports(gateway)
	measured := s.now >= simWarmup
	f := s.forwarders[gateway]
	chosen, ok := f.chooseAt(s.catalog, []string{"s"}, tried, simEpoch.Add(s.now))
	if !ok {
		if measured {
			s.finished, s.rejected = s.finished+1, s.rejected+1
		}
		return
	}
	tried[chosen.ID] = true
	number := backendNumber(chosen)
	backend, sent := s.states[number], s.now
	s.sentAt[gateway][number] = append(s.sentAt[gateway][number], sent)
	newReport := func() *Load {
		s.recordReport(number)
		if !s.reportsLoad || s.reportAge > 0 {
			return nil
		}
		load := backend.reports[len(backend.reports)-1].load
		return &load
	}
	if len(backend.queue) >= simQueue {
		f.recordAttemptAt(chosen, Attempt{Outcome: Refused, Load: newReport()}, 0, false, simEpoch.Add(s.now))
		s.sendRequest(gateway, tried, start)
		return
	}
	work := math.Exp(0.5*s.random.NormFloat64()-0.125) * float64(simWorkTime)
	run := func() {
		backend.running++
		duration := time.Duration(work * backend.workFactor * backend.slowdown)
		if measured {
			backend.busyTime += duration
			backend.requests++
		}
		s.after(duration, func() {
			report := newReport()
			backend.running--
			if len(backend.queue) > 0 {
				next := backend.queue[0]
				backend.queue = backend.queue[1:]
				next()
			}
			s.recordReport(number)
			f.recordAttemptAt(chosen, Attempt{Outcome: Answered, Load: report}, s.now-sent, false, simEpoch.Add(s.now))
			if measured {
				s.finished++
				s.latencies = append(s.latencies, s.now-start)
			}
		})
	}
	if backend.running < simSlots {
		run()
	} else {
		backend.queue = append(backend.queue, run)
	}
	s.recordReport(number)
}

func (s *simulation) outcome() loadOutcome {
	var outcome loadOutcome
	var total, busiest time.Duration
	for _, backend := range s.states {
		total += backend.busyTime
		busiest = max(busiest, backend.busyTime)
		outcome.sent = append(outcome.sent, backend.requests)
	}
	outcome.busiestRatio = float64(busiest) * float64(len(s.states)) / float64(total)
	slices.Sort(s.latencies)
	outcome.p99 = s.latencies[len(s.latencies)*99/100]
	within, _ := slices.BinarySearch(s.latencies, simLatencyTarget)
	outcome.withinTarget = float64(within) / float64(s.finished)
	outcome.failed = float64(s.rejected) / float64(s.finished)
	return outcome
}
