package simulate

import (
	"fmt"
	"runtime"
	"slices"
	"sort"
	"sync"

	"github.com/dillchute/dillchute/bench/oracle"
)

// leavingGraceMillis is the time after which an engine that the platform lists
// as leaving gets no new work: control's poll, a commit and a heartbeat.
const leavingGraceMillis = 5000

// Result is what became of one seed of a scenario.
type Result struct {
	Scenario   string
	Seed       uint64
	Digest     uint64
	Violations []oracle.Violation
	Counts     oracle.Counts
	Faults     map[string]int
	// EndMillis is the virtual time at which all work had ended.
	EndMillis int64
	Timings   map[Timing][]int64
	Trace     []string
}

// Run runs one seed of a scenario. With keepTrace the result holds the trace.
func Run(scenario Scenario, seed uint64, keepTrace bool) Result {
	world := newWorld(seed)
	world.traceAll, world.steadyClocks = keepTrace, scenario.SteadyClocks
	cl := newCluster(world, scenario.Topology, scenario.Load)
	cl.start()
	cl.scheduleFaults(scenario)
	limit := scenario.FaultsUntil + scenario.MaxDuration + scenario.RecoverLimit
	world.runUntil(limit, cl.finished)
	end := world.now
	// No call of an operator is open now; later ones may be cut off by the end.
	operations := cl.operations
	// Checks that are still to come, and late messages, get their time too.
	world.runUntil(end+inForceMillis, func() bool { return false })
	cl.timeLeaving(world.history)
	violations, counts := oracle.Check(world.history, oracle.Expect{
		AllDelivered: true, NoUnknown: scenario.NoUnknown, LeavingGraceMillis: leavingGraceMillis,
	})
	violations = append(violations, cl.violations...)
	violations = append(violations, judgeLinearizability(operations, end)...)
	if end >= limit {
		violations = append(violations, oracle.Violation{Promise: NoProgress, At: end, Detail: cl.unfinished()})
	}
	return Result{
		Scenario: scenario.Name, Seed: seed, Digest: world.digest.Sum64(), Violations: violations, Counts: counts,
		Faults: world.faults, EndMillis: end, Timings: cl.timings, Trace: world.trace,
	}
}

// NoProgress marks a run that had not ended its work by the limit.
const NoProgress oracle.Promise = "progress"

func (cl *cluster) unfinished() string {
	text := fmt.Sprintf("trainer: step %d of %d done, %d received of the next, submitted %d, cursor %d, finished %t;",
		cl.trainer.done, cl.trainer.steps, cl.trainer.received[cl.trainer.done+1], cl.trainer.submitted, cl.trainer.cursor, cl.trainer.finished)
	for _, caller := range cl.callers {
		text += fmt.Sprintf(" %s: %d left, %d open;", caller.name, caller.left, caller.open)
	}
	for _, operator := range cl.operators {
		text += fmt.Sprintf(" %s: %d left;", operator.name, operator.left)
	}
	if leader := cl.leader(); leader.alive {
		machine := leader.core.Machine()
		text += fmt.Sprintf(" leader %s (%t) term %d;", leader.name, leader.leads(), leader.core.Raft().Term())
		if ledger := machine.Ledgers[samplePool]; ledger != nil {
			text += fmt.Sprintf(" pending %d, samples %d, completed %d;", ledger.Pending(), len(ledger.Samples), ledger.CompletedCount())
		}
	}
	for _, checked := range cl.nodes {
		if checked.alive {
			text += fmt.Sprintf(" %s leased %t in flight %d;", checked.name, checked.core.HasLease(), checked.core.InFlight())
		}
	}
	return text
}

func (cl *cluster) scheduleFaults(scenario Scenario) {
	for _, timed := range scenario.Timeline {
		cl.world.schedule(timed.At, func() { cl.inject(timed.Kind, timed.Duration) })
	}
	for range scenario.Repeat {
		for _, kind := range scenario.Faults {
			at := cl.world.between(scenario.FaultsFrom, scenario.FaultsUntil)
			duration := cl.world.between(scenario.MinDuration, scenario.MaxDuration)
			cl.world.schedule(at, func() { cl.inject(kind, duration) })
		}
	}
}

// Summary adds up results.
type Summary struct {
	Seeds      int
	Faults     map[string]int
	Submitted  int
	Delivered  int
	Answered   int
	NotRun     int
	Unknown    int
	Violations map[oracle.Promise]int
	// Failed are the results with violations, ordered by scenario and seed.
	Failed []Result
	// EndMillis are the virtual times at which runs ended, in order.
	EndMillis []int64
	// Timings are all that were measured, in order.
	Timings map[Timing][]int64
	// WaitMillis and TrainMillis are those of all trainers.
	WaitMillis  int64
	TrainMillis int64
}

// RunAll runs seeds of the scenarios on all cores. The summary does not depend
// on how the runs are spread.
func RunAll(scenarios []Scenario, first uint64, seeds int) Summary {
	type job struct {
		scenario Scenario
		seed     uint64
	}
	jobs := make(chan job)
	results := make(chan Result)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for next := range jobs {
				results <- Run(next.scenario, next.seed, false)
			}
		}()
	}
	go func() {
		for _, scenario := range scenarios {
			for number := range seeds {
				jobs <- job{scenario: scenario, seed: first + uint64(number)}
			}
		}
		close(jobs)
		workers.Wait()
		close(results)
	}()
	summary := Summary{Faults: map[string]int{}, Violations: map[oracle.Promise]int{}, Timings: map[Timing][]int64{}}
	for result := range results {
		summary.add(result)
	}
	sort.Slice(summary.Failed, func(i, j int) bool {
		a, b := summary.Failed[i], summary.Failed[j]
		return a.Scenario < b.Scenario || (a.Scenario == b.Scenario && a.Seed < b.Seed)
	})
	slices.Sort(summary.EndMillis)
	for _, times := range summary.Timings {
		slices.Sort(times)
	}
	return summary
}

// IdleShare is the trainers' waiting as a share of their waiting and training.
func (s *Summary) IdleShare() float64 {
	return oracle.Counts{WaitMillis: s.WaitMillis, TrainMillis: s.TrainMillis}.IdleShare()
}

func (s *Summary) add(result Result) {
	s.Seeds++
	for kind, count := range result.Faults {
		s.Faults[kind] += count
	}
	s.Submitted += result.Counts.Submitted
	s.Delivered += result.Counts.Delivered
	s.Answered += result.Counts.Answered
	s.NotRun += result.Counts.NotRun
	s.Unknown += result.Counts.Unknown
	s.WaitMillis += result.Counts.WaitMillis
	s.TrainMillis += result.Counts.TrainMillis
	s.EndMillis = append(s.EndMillis, result.EndMillis)
	for timing, times := range result.Timings {
		s.Timings[timing] = append(s.Timings[timing], times...)
	}
	for _, violation := range result.Violations {
		s.Violations[violation.Promise]++
	}
	if len(result.Violations) > 0 {
		s.Failed = append(s.Failed, result)
	}
}
