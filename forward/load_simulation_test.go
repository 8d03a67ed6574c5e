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

// loadModel describes a service and its gateways for a simulation in virtual time.
type loadModel struct {
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
	modelSlots          = 6
	modelQueue          = 24
	modelWorkTime       = 25 * time.Millisecond
	modelSlowdown       = 2.5
	modelSlowdownPeriod = 150 * time.Millisecond
	modelDuration       = 20 * time.Second
	modelWarmup         = 5 * time.Second
	modelLatencyTarget  = 150 * time.Millisecond
)

// modelWorkFactors are the relative durations of the same work at the backends.
var modelWorkFactors = []float64{1.0, 1.0, 1.3}

// loadOutcome summarizes a simulation.
type loadOutcome struct {
	// busiestRatio is the busy time of the busiest backend's slots relative to the mean.
	busiestRatio float64
	p99          time.Duration
	// withinTarget is the fraction of requests answered within modelLatencyTarget, and failed the
	// fraction that every backend refused.
	withinTarget, failed float64
	sent                 []int
}

// String returns the outcome as a line of a table.
func (o loadOutcome) String() string {
	return fmt.Sprintf("busiest/mean %.2f  p99 %4d ms  within target %.3f  failed %.4f", o.busiestRatio, o.p99.Milliseconds(), o.withinTarget, o.failed)
}

type modelEvent struct {
	at  time.Duration
	run func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelBackend is a simulated backend with slots and a queue.
type modelBackend struct {
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
	loadModel
	random     *rand.Rand
	now        time.Duration
	events     modelEvents
	catalog    *directory.Catalog
	states     []*modelBackend
	ids        []string
	forwarders []*Forwarder
	// sentAt holds the times at which each gateway sent its latest requests to each backend.
	sentAt    [][][]time.Duration
	latencies []time.Duration
	finished  int
	rejected  int
}

// modelEpoch is the start time of simulations.
var modelEpoch = time.Unix(1_000_000, 0)

func (m loadModel) simulate() loadOutcome {
	s := &simulation{loadModel: m, random: rand.New(rand.NewPCG(m.seed, 1))}
	s.catalog = newServiceCatalog(m.backends, func(int, *directory.Backend) {})
	rate := 0.0
	for number := range m.backends {
		workFactor := modelWorkFactors[number%len(modelWorkFactors)]
		s.ids = append(s.ids, fmt.Sprintf("b-%05d", number))
		s.states = append(s.states, &modelBackend{workFactor: workFactor, slowdown: 1})
		rate += modelSlots / (modelWorkTime.Seconds() * workFactor * (1 + m.slowedFraction*(modelSlowdown-1)))
		s.recordReport(number)
		if m.slowedFraction > 0 {
			s.changeSlowdown(number)
		}
	}
	for gateway := range m.gateways {
		forwarder := New(nil, "z", newGuard())
		forwarder.random = rand.New(rand.NewPCG(m.seed, uint64(gateway)+2))
		s.forwarders = append(s.forwarders, forwarder)
		s.sentAt = append(s.sentAt, make([][]time.Duration, m.backends))
	}
	if m.lastSlowdown > 0 {
		s.after(modelDuration/2, func() { s.states[m.backends-1].workFactor *= m.lastSlowdown })
	}
	s.scheduleArrivals(rate * m.utilization)
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(modelEvent)
		s.now = event.at
		event.run()
	}
	return s.outcome()
}

func (s *simulation) after(delay time.Duration, run func()) {
	heap.Push(&s.events, modelEvent{s.now + delay, run})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// changeSlowdown sets a random slowdown of the backend and schedules the next change.
func (s *simulation) changeSlowdown(number int) {
	backend := s.states[number]
	backend.slowdown = 1
	if s.random.Float64() < s.slowedFraction {
		backend.slowdown = modelSlowdown
	}
	s.recordReport(number)
	if s.now < modelDuration {
		s.after(s.exponential(modelSlowdownPeriod), func() { s.changeSlowdown(number) })
	}
}

func (s *simulation) scheduleArrivals(perSecond float64) {
	s.after(s.exponential(time.Duration(float64(time.Second)/perSecond)), func() {
		if s.now >= modelDuration {
			return
		}
		s.sendRequest(s.random.IntN(s.gateways), map[string]bool{}, s.now)
		s.scheduleArrivals(perSecond)
	})
}

// recordReport appends the backend's current load to its reports.
func (s *simulation) recordReport(number int) {
	backend := s.states[number]
	load := Load{Running: backend.running, Waiting: len(backend.queue), Slots: modelSlots, Slowdown: int(100 * backend.slowdown)}
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
		f.serviceLoads["s"].reportedAt = modelEpoch.Add(s.now)
		state.service = f.serviceLoads["s"]
		state.report = loadReport{Load: backend.reports[end-1].load, at: modelEpoch.Add(reportTime), sent: len(sentAt) - first}
	}
}

// sendRequest sends a gateway's request to an untried backend.
func (s *simulation) sendRequest(gateway int, tried map[string]bool, start time.Duration) {
	s.deliverReports(gateway)
	measured := s.now >= modelWarmup
	f := s.forwarders[gateway]
	chosen, ok := f.chooseAt(s.catalog, []string{"s"}, tried, modelEpoch.Add(s.now))
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
	if len(backend.queue) >= modelQueue {
		f.recordAttemptAt(chosen, Attempt{Outcome: Refused, Load: newReport()}, 0, false, modelEpoch.Add(s.now))
		s.sendRequest(gateway, tried, start)
		return
	}
	work := math.Exp(0.5*s.random.NormFloat64()-0.125) * float64(modelWorkTime)
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
			f.recordAttemptAt(chosen, Attempt{Outcome: Answered, Load: report}, s.now-sent, false, modelEpoch.Add(s.now))
			if measured {
				s.finished++
				s.latencies = append(s.latencies, s.now-start)
			}
		})
	}
	if backend.running < modelSlots {
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
	within, _ := slices.BinarySearch(s.latencies, modelLatencyTarget)
	outcome.withinTarget = float64(within) / float64(s.finished)
	outcome.failed = float64(s.rejected) / float64(s.finished)
	return outcome
}
