package command

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/bench/simulate"
	"github.com/dillchute/dillchute/command"
)

type simulateCommand struct {
	List         bool     `help:"Print the scenarios and the promises they attack."`
	Scenario     []string `help:"Scenarios to run; all if not given."`
	ScenarioFile string   `help:"File of a scenario to run instead." type:"path"`
	Seeds        int      `default:"10" help:"Seeds of each scenario."`
	FirstSeed    uint64   `default:"1" help:"The first seed."`
	Trace        bool     `help:"Print the whole trace of the first seed."`
}

const (
	maxFailuresShown = 5
	// traceLinesShown is the number of trace lines printed before a violation.
	traceLinesShown = 40
)

// Run runs the scenarios and prints a summary.
func (c *simulateCommand) Run(streams command.Streams) error {
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	if c.List {
		for _, scenario := range scenarios {
			fmt.Fprintf(streams.Out, "%s: tests %v with %v\n", scenario.Name, scenario.Promises, scenario.Faults)
		}
		return nil
	}
	if c.Trace {
		for _, line := range simulate.Run(scenarios[0], c.FirstSeed, true).Trace {
			fmt.Fprintln(streams.Out, line)
		}
		return nil
	}
	startTime := time.Now()
	summary := simulate.RunAll(scenarios, c.FirstSeed, c.Seeds)
	printSummary(streams.Out, scenarios, summary, time.Since(startTime))
	if len(summary.Failed) > 0 {
		return command.ErrFailed.New("%d of %d runs violated a promise", len(summary.Failed), summary.Seeds)
	}
	if summary.Delivered == 0 {
		return command.ErrFailed.New("no samples were delivered")
	}
	return nil
}

func (c *simulateCommand) scenarios() ([]simulate.Scenario, error) {
	if c.ScenarioFile != "" {
		scenario, err := simulate.LoadScenario(c.ScenarioFile)
		if err != nil {
			return nil, command.ErrUsage.Wrap(err, "scenario")
		}
		return []simulate.Scenario{scenario}, nil
	}
	all := simulate.Scenarios()
	if len(c.Scenario) == 0 {
		return all, nil
	}
	var selected []simulate.Scenario
	for _, name := range c.Scenario {
		found := false
		for _, scenario := range all {
			if scenario.Name == name {
				selected, found = append(selected, scenario), true
			}
		}
		if !found {
			return nil, command.ErrUsage.New("unknown scenario %q; --list prints all", name)
		}
	}
	return selected, nil
}

func printSummary(out io.Writer, scenarios []simulate.Scenario, summary simulate.Summary, elapsed time.Duration) {
	byName := map[string]simulate.Scenario{}
	for _, scenario := range scenarios {
		byName[scenario.Name] = scenario
	}
	for position, failed := range summary.Failed {
		if position == maxFailuresShown {
			fmt.Fprintf(out, "... and %d more failed runs\n", len(summary.Failed)-position)
			break
		}
		printFailure(out, byName[failed.Scenario], failed)
	}
	fmt.Fprintf(out, "%d runs of %d scenarios in %s\n", summary.Seeds, len(scenarios), elapsed.Round(time.Millisecond))
	kinds := make([]string, 0, len(summary.Faults))
	for kind := range summary.Faults {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	for _, kind := range kinds {
		fmt.Fprintf(out, "  fault %-16s %d\n", kind, summary.Faults[kind])
	}
	fmt.Fprintf(out, "  samples submitted %d, delivered %d\n", summary.Submitted, summary.Delivered)
	fmt.Fprintf(out, "  live answered %d, not run %d, unknown %d\n", summary.Answered, summary.NotRun, summary.Unknown)
	fmt.Fprintf(out, "  trainer idle share %.3f\n", summary.IdleShare())
	printPercentiles(out, "virtual time to the end", summary.EndMillis)
	for _, timing := range simulate.Timings {
		printPercentiles(out, "time "+string(timing), summary.Timings[timing])
	}
	fmt.Fprintf(out, "  failed runs %d, violations %v\n", len(summary.Failed), summary.Violations)
}

// printPercentiles prints percentiles of times in ascending order.
func printPercentiles(out io.Writer, name string, times []int64) {
	count := len(times)
	if count == 0 {
		return
	}
	fmt.Fprintf(out, "  %s: p50 %d ms, p99 %d ms, max %d ms (%d)\n",
		name, times[count/2], times[count*99/100], times[count-1], count)
}

// printFailure repeats the run with a trace and prints the lines before the first violation.
func printFailure(out io.Writer, scenario simulate.Scenario, failed simulate.Result) {
	fmt.Fprintf(out, "FAILED scenario %s, seed %d\n", failed.Scenario, failed.Seed)
	first := failed.Violations[0]
	counts := map[oracle.Promise]int{}
	for _, violation := range failed.Violations {
		counts[violation.Promise]++
		if counts[violation.Promise] <= 2 {
			fmt.Fprintf(out, "  %8d %s: %s\n", violation.At, violation.Promise, violation.Detail)
		}
	}
	trace := simulate.Run(scenario, failed.Seed, true).Trace
	end := len(trace)
	if first.At > 0 {
		end = sort.Search(len(trace), func(i int) bool { return trace[i][:8] > fmt.Sprintf("%8d", first.At) })
	}
	for _, line := range trace[max(0, end-traceLinesShown):end] {
		fmt.Fprintln(out, "  | "+line)
	}
}
