package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"

	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/protocol"
)

// leavingGraceMillis is the time after which a leaving engine must receive no new
// work: twice the sum of the platform's lag, control's poll interval and the heartbeat interval.
const leavingGraceMillis = 8000

// Report summarizes a run and the violations that the oracle found.
type Report struct {
	Workload         string         `json:"workload"`
	FailedParts      []string       `json:"failed_parts"`
	SamplesSubmitted int            `json:"samples_submitted"`
	SamplesDelivered int            `json:"samples_delivered"`
	StepsWhole       int            `json:"steps_whole"`
	Lost             int            `json:"samples_lost"`
	Violations       map[string]int `json:"violations"`
	Examples         []string       `json:"examples"`
	Answered         int            `json:"live_answered_whole"`
	NotRun           int            `json:"live_not_run"`
	Unknown          int            `json:"live_unknown"`
	LiveP50Millis    int64          `json:"live_p50_milliseconds"`
	LiveP99Millis    int64          `json:"live_p99_milliseconds"`
	IdleShare        float64        `json:"trainer_idle_share"`
	StaleVersionsP50 uint64         `json:"staleness_versions_p50"`
	StaleVersionsP99 uint64         `json:"staleness_versions_p99"`
	StaleVersionsMax uint64         `json:"staleness_versions_max"`
	StaleMillisP50   int64          `json:"staleness_milliseconds_p50"`
	StaleMillisP99   int64          `json:"staleness_milliseconds_p99"`
	StaleMillisMax   int64          `json:"staleness_milliseconds_max"`
	WastedShare      float64        `json:"wasted_token_share"`
}

func (f *Fleet) report(failed []string) (*Report, error) {
	paths, err := filepath.Glob(f.path("records/*.jsonl"))
	if err != nil {
		return nil, ErrStart.Wrap(err, "list records")
	}
	var events []oracle.Event
	for _, path := range paths {
		recorded, err := readRecord(path)
		if err != nil {
			return nil, ErrStart.Wrap(err, "read %s", path)
		}
		events = append(events, recorded...)
	}
	violations, counts := oracle.Check(events, oracle.Expectations{AllDelivered: true, LeavingGraceMillis: leavingGraceMillis})
	report := newReport(f.config.Workload.Name, failed, violations, counts)
	report.setLatencies(events)
	return report, nil
}

func readRecord(path string) ([]oracle.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return oracle.Read(file)
}

// maxExamples bounds the violations that are reported in detail.
const maxExamples = 10

func newReport(name string, failed []string, violations []oracle.Violation, counts oracle.Counts) *Report {
	report := &Report{
		Workload: name, FailedParts: failed, SamplesSubmitted: counts.Submitted, SamplesDelivered: counts.Delivered,
		StepsWhole: counts.Steps, Lost: max(0, counts.Submitted-counts.Delivered), Violations: map[string]int{},
		Answered: counts.Answered, NotRun: counts.NotRun, Unknown: counts.Unknown,
	}
	for _, violation := range violations {
		report.Violations[string(violation.Promise)]++
		if len(report.Examples) < maxExamples {
			report.Examples = append(report.Examples, fmt.Sprintf("%s: %s", violation.Promise, violation.Detail))
		}
	}
	report.IdleShare, report.WastedShare = counts.IdleShare(), counts.WastedShare()
	report.StaleVersionsP50, report.StaleVersionsP99, report.StaleVersionsMax = quantiles(counts.StaleVersions)
	report.StaleMillisP50, report.StaleMillisP99, report.StaleMillisMax = quantiles(counts.StaleMillis)
	return report
}

// quantiles returns the median, the 99th percentile and the maximum.
func quantiles[T uint64 | int64](values []T) (p50, p99, maximum T) {
	if len(values) == 0 {
		return 0, 0, 0
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	last := len(values) - 1
	return values[last/2], values[last*99/100], values[last]
}

func (r *Report) setLatencies(events []oracle.Event) {
	sent := map[string]int64{}
	for _, event := range events {
		if event.Sent != nil {
			sent[fmt.Sprint(event.Sent.Key, event.Sent.Attempt)] = event.At
		}
	}
	var latencies []int64
	for _, event := range events {
		if event.Ended != nil && event.Ended.Outcome == protocol.OutcomeAnswered {
			latencies = append(latencies, event.At-sent[fmt.Sprint(event.Ended.Key, event.Ended.Attempt)])
		}
	}
	r.LiveP50Millis, r.LiveP99Millis, _ = quantiles(latencies)
}

// err returns ErrViolated if the run failed.
func (r *Report) err() error {
	if len(r.Violations) > 0 || len(r.FailedParts) > 0 {
		return ErrViolated.New("violations: %v; failed parts: %v", r.Violations, r.FailedParts)
	}
	if r.SamplesDelivered == 0 {
		return ErrViolated.New("no samples were delivered")
	}
	return nil
}

// Print writes the report as text.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "workload %s\n", r.Workload)
	fmt.Fprintf(out, "  complete steps delivered   %d\n", r.StepsWhole)
	fmt.Fprintf(out, "  samples submitted          %d, delivered %d, lost %d\n", r.SamplesSubmitted, r.SamplesDelivered, r.Lost)
	fmt.Fprintf(out, "  samples duplicated or reordered %d, mislabelled %d, over the bound %d\n",
		r.Violations[string(oracle.ExactlyOnce)], r.Violations[string(oracle.ExactVersions)], r.Violations[string(oracle.StalenessBound)])
	fmt.Fprintf(out, "  complete live answers      %d, not run %d, unknown %d, broken %d\n",
		r.Answered, r.NotRun, r.Unknown, r.Violations[string(oracle.CompleteAnswers)])
	fmt.Fprintf(out, "  live latency               p50 %d ms, p99 %d ms\n", r.LiveP50Millis, r.LiveP99Millis)
	fmt.Fprintf(out, "  trainer idle share         %.3f\n", r.IdleShare)
	fmt.Fprintf(out, "  staleness in versions      p50 %d, p99 %d, max %d\n", r.StaleVersionsP50, r.StaleVersionsP99, r.StaleVersionsMax)
	fmt.Fprintf(out, "  staleness in milliseconds  p50 %d, p99 %d, max %d\n", r.StaleMillisP50, r.StaleMillisP99, r.StaleMillisMax)
	fmt.Fprintf(out, "  wasted token share         %.3f\n", r.WastedShare)
	fmt.Fprintf(out, "  violations                 %v\n", r.Violations)
	for _, example := range r.Examples {
		fmt.Fprintf(out, "    %s\n", example)
	}
}

// Write writes the report as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		panic("fleet: encode report: " + err.Error())
	}
	return os.WriteFile(path, append(data, '\n'), fileMode)
}
