package simulate

import (
	"fmt"
	"runtime"
	"slices"
	"sort"
	"sync"

	"github.com/dillchute/dillchute/bench/oracle"
)

// leavingGraceMillis is the time after which an engine that the platform lists as leaving must get
// no new work. It covers control's poll, a commit and a heartbeat.
const leavingGraceMillis = 5000

// Result is the outcome of running a scenario with one seed.
type Result struct {
	Scenario   string
	Seed       uint64
	Digest     uint64
	Violations []oracle.Violation
	Counts     oracle.Counts
	Faults     map[string]int
	// EndMillis is the virtual time at which the work was done, or the limit was reached.
	EndMillis int64
	Timings   map[Timing][]int64
	Trace     []string
}

// Run runs a scenario with one seed. With keepTrace, the result holds the trace.
func Run(scenario Scenario, seed uint64, keepTrace bool) Result {
	world := newWorld(seed)
	world.keepTrace, world.clocksSkipSuspensions = keepTrace, scenario.SteadyClocks
	cl := newCluster(world, scenario.Topology, scenario.Load)
	cl.start()
	cl.scheduleFaults(scenario)
	limit := scenario.FaultsUntil + scenario.MaxDuration + scenario.RecoverLimit
	world.runUntil(limit, cl.finished)
	end := world.now
	// Calls made after this point may stay unanswered and are not checked.
	operations := cl.operations
	// Run the checks that are still scheduled and deliver late messages.
	world.runUntil(end+inForceLimitMillis, func() bool { return false })
	cl.measureLeaving(world.history)
	violations, counts := oracle.Check(world.history, oracle.Expectations{
		AllDelivered: true, NoUnknown: scenario.NoUnknown, LeavingGraceMillis: leavingGraceMillis,
	})
	violations = append(violations, cl.violations...)
	violations = append(violations, checkLinearizability(operations, end)...)
	if end >= limit {
		violations = append(violations, oracle.Violation{Promise: NoProgress, At: end, Detail: cl.describeUnfinished()})
	}
	return Result{
		Scenario: scenario.Name, Seed: seed, Digest: world.digest.Sum64(), Violations: violations, Counts: counts,
		Faults: world.faults, EndMillis: end, Timings: cl.timings, Trace: world.trace,
	}
}

// NoProgress is violated by a run whose work was not done by the limit.
const NoProgress oracle.Promise = "progress"

func (cl *cluster) describeUnfinished() string {
	text := fmt.Sprintf("trainer: %d of %d steps done, %d samples received for the next, %d steps submitted, cursor %d, finished %t;",
		cl.trainer.done, cl.trainer.steps, cl.trainer.received[cl.trainer.done+1], cl.trainer.submitted, cl.trainer.cursor, cl.trainer.finished)
	for _, caller := range cl.callers {
		text += fmt.Sprintf(" %s: %d remaining, %d pending;", caller.name, caller.remaining, caller.pending)
	}
	for _, operator := range cl.operators {
		text += fmt.Sprintf(" %s: %d remaining;", operator.name, operator.remaining)
	}
	if leader := cl.leader(); leader.alive {
		machine := leader.core.Machine()
		text += fmt.Sprintf(" leader %s (%t) term %d;", leader.name, leader.isLeader(), leader.core.Raft().Term())
		if ledger := machine.Ledgers[samplePool]; ledger != nil {
			text += fmt.Sprintf(" pending %d, samples %d, completed %d;", ledger.Pending(), len(ledger.Samples), ledger.CompletedCount())
		}
	}
	for _, target := range cl.nodes {
		if target.alive {
			text += fmt.Sprintf(" %s leased %t in flight %d;", target.name, target.core.HasLease(), target.core.InFlight())
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
			at := cl.world.randomBetween(scenario.FaultsFrom, scenario.FaultsUntil)
			duration := cl.world.randomBetween(scenario.MinDuration, scenario.MaxDuration)
			cl.world.schedule(at, func() { cl.inject(kind, duration) })
		}
	}
}

// Summary aggregates results.
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
	// EndMillis holds the virtual times at which runs ended, in ascending order.
	EndMillis []int64
	// Timings holds all measured times, in ascending order.
	Timings map[Timing][]int64
	// WaitMillis and TrainMillis are totals over all trainers.
	WaitMillis  int64
	TrainMillis int64
}

// RunAll runs each scenario with consecutive seeds, in parallel on all cores. The summary does not
// depend on the order in which runs finish.
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
			for i := range seeds {
				jobs <- job{scenario: scenario, seed: first + uint64(i)}
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

// IdleShare returns the fraction of the trainers' time that they spent waiting.
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
