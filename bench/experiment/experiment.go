// Package experiment runs variants of a deployment in the simulator over the same
// seeds and compares their idle and wasted shares.
package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/joomcode/errorx"

	"github.com/dillchute/dillchute/bench/simulate"
	"github.com/dillchute/dillchute/config"
)

var (
	namespace = errorx.NewNamespace("experiment")
	// ErrInvalid reports an experiment file that cannot be read or is invalid.
	ErrInvalid = namespace.NewType("invalid")
)

// Experiment describes the variants to compare.
type Experiment struct {
	Name      string    `yaml:"name"`
	Seeds     int       `yaml:"seeds"`
	FirstSeed uint64    `yaml:"first_seed"`
	Variants  []Variant `yaml:"variants"`
}

// Variant is one configuration of the deployment.
type Variant struct {
	Name     string            `yaml:"name"`
	Scenario simulate.Scenario `yaml:"scenario"`
}

// UnmarshalYAML applies the file's fields to a default scenario without faults.
func (v *Variant) UnmarshalYAML(node ast.Node) error {
	type plain Variant
	defaults := plain{Scenario: simulate.BaseScenario("variant")}
	if err := config.DecodeNode(node, &defaults); err != nil {
		return err
	}
	*v = Variant(defaults)
	return nil
}

// Load reads and checks an experiment file.
func Load(path string) (*Experiment, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "read experiment")
	}
	loaded := &Experiment{Seeds: 20, FirstSeed: 1}
	if err := config.DecodeStrict(data, loaded); err != nil {
		return nil, ErrInvalid.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	if loaded.Seeds < 1 || len(loaded.Variants) == 0 {
		return nil, ErrInvalid.New("%s: seeds must be at least 1, and there must be variants", path)
	}
	for position, variant := range loaded.Variants {
		if variant.Name == "" {
			return nil, ErrInvalid.New("%s: variants[%d].name: must not be empty", path, position)
		}
		if err := variant.Scenario.Validate(); err != nil {
			return nil, ErrInvalid.New("%s: variants[%d].scenario: %s", path, position, err)
		}
	}
	return loaded, nil
}

// Outcome holds the results of one variant, one per seed.
type Outcome struct {
	Variant string
	Results []simulate.Result
}

// Run runs all variants over the seeds in parallel.
func (e *Experiment) Run() []Outcome {
	outcomes := make([]Outcome, len(e.Variants))
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for position, variant := range e.Variants {
		outcomes[position] = Outcome{Variant: variant.Name, Results: make([]simulate.Result, e.Seeds)}
		for number := range e.Seeds {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				outcomes[position].Results[number] = simulate.Run(variant.Scenario, e.FirstSeed+uint64(number), false)
			})
		}
	}
	group.Wait()
	return outcomes
}

// Print writes a table of means and standard deviations over the seeds. The ratio
// compares the mean idle share with that of the first variant.
func (e *Experiment) Print(out io.Writer, outcomes []Outcome) {
	fmt.Fprintf(out, "%s: %d seeds from %d\n", e.Name, e.Seeds, e.FirstSeed)
	fmt.Fprintf(out, "%-28s %16s %7s %16s %22s %7s\n", "variant", "idle share", "ratio", "wasted tokens", "stale ms p50/p99/max", "failed")
	baseline := 0.0
	for position, outcome := range outcomes {
		idle, idleDeviation := outcome.meanAndDeviation(func(r simulate.Result) float64 { return r.Counts.IdleShare() })
		wasted, wastedDeviation := outcome.meanAndDeviation(func(r simulate.Result) float64 { return r.Counts.WastedShare() })
		if position == 0 {
			baseline = idle
		}
		p50, p99, maximum := outcome.staleness()
		fmt.Fprintf(out, "%-28s %7.3f ± %6.3f %7.3f %7.3f ± %6.3f %22s %7d\n", outcome.Variant,
			idle, idleDeviation, idle/baseline, wasted, wastedDeviation, fmt.Sprintf("%d/%d/%d", p50, p99, maximum), outcome.failedRuns())
	}
}

func (o Outcome) meanAndDeviation(value func(simulate.Result) float64) (mean, deviation float64) {
	for _, result := range o.Results {
		mean += value(result) / float64(len(o.Results))
	}
	for _, result := range o.Results {
		difference := value(result) - mean
		deviation += difference * difference / float64(len(o.Results))
	}
	return mean, math.Sqrt(deviation)
}

func (o Outcome) staleness() (p50, p99, maximum int64) {
	var times []int64
	for _, result := range o.Results {
		times = append(times, result.Counts.StaleMillis...)
	}
	if len(times) == 0 {
		return 0, 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100], times[len(times)-1]
}

// failedRuns returns the number of runs with violations.
func (o Outcome) failedRuns() int {
	count := 0
	for _, result := range o.Results {
		if len(result.Violations) > 0 {
			count++
		}
	}
	return count
}

// WriteCSV writes the results of each run.
func WriteCSV(path string, outcomes []Outcome) error {
	file, err := os.Create(path)
	if err != nil {
		return ErrInvalid.Wrap(err, "create")
	}
	defer file.Close()
	writer := csv.NewWriter(file)
	rows := [][]string{{"variant", "seed", "idle_share", "wasted_share", "delivered", "answered", "not_run", "unknown", "violations"}}
	for _, outcome := range outcomes {
		for _, result := range outcome.Results {
			counts := result.Counts
			rows = append(rows, []string{
				outcome.Variant, strconv.FormatUint(result.Seed, 10), fmt.Sprintf("%.4f", counts.IdleShare()),
				fmt.Sprintf("%.4f", counts.WastedShare()), strconv.Itoa(counts.Delivered), strconv.Itoa(counts.Answered),
				strconv.Itoa(counts.NotRun), strconv.Itoa(counts.Unknown), strconv.Itoa(len(result.Violations)),
			})
		}
	}
	return writer.WriteAll(rows)
}
