package ledger

import (
	"strings"
	"testing"

	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/internal/golden"
	"github.com/dillchute/dillchute/internal/pack"
)

// TestGoldenCommands decodes the commands and snapshot records that earlier builds wrote.
func TestGoldenCommands(t *testing.T) {
	decode := func(data []byte, into any) error { return pack.Decode(data, maxCommandBytes, into) }
	encode := func(value any) []byte {
		data, err := encoder.Marshal(value)
		if err != nil {
			panic(err)
		}
		return pack.Pack(data)
	}
	golden.Check(t, []golden.Kind{
		{Name: "Command", Zero: Command{}, IsUnion: true, Encode: encode, Decode: decode},
		{Name: "snapshotHeader", Zero: snapshotHeader{}, Encode: encode, Decode: decode},
		{Name: "Entry", Zero: Entry{}, Encode: encode, Decode: decode},
	})
}

// TestGoldenLog applies the logs that earlier builds wrote.
func TestGoldenLog(t *testing.T) {
	var entries [][]byte
	for _, command := range commandsOfEachKind() {
		entries = append(entries, command.Encode())
	}
	entries = append(entries, []byte("no command"))
	golden.CheckLog(t, func() golden.Machine { return NewMachine() }, entries, func(*testing.T, string, golden.Machine) {})
}

// commandsOfEachKind returns commands of every kind, some of which have no effect.
func commandsOfEachKind() []Command {
	step := filledStep("step")
	shortened := Result{Sample: "sample-2", State: Succeeded, Text: "one\ntwo\nthree", Versions: []uint64{4}, Score: "0.5"}
	shortened.ShortenText([]string{"one", "two", "three"}, 2)
	mismatched := Result{Sample: "sample-3", State: Succeeded, Text: "rest", Kept: 5, Checksum: 1}
	checkpoint := func(sample string, after uint64, events ...string) Command {
		return Command{Checkpoint: &Checkpoint{Step: "step", Texts: []Continuation{{Sample: sample, After: after, Events: events, Versions: []uint64{4, 5}}}}}
	}
	return []Command{
		{Submit: step}, {Submit: step}, {Submit: filledStep("pruned")}, {Submit: filledStep("ended")}, {Submit: filledStep("unknown")},
		{Record: &Record{Step: "step", Results: []Result{{Sample: "sample-1", State: FailedPermanently}, {Sample: "sample-9", State: FailedPermanently}, {Sample: "sample-1", State: Succeeded}}}},
		checkpoint("sample-2", 0, "one", "draft"), checkpoint("sample-2", 1, "two"), checkpoint("sample-3", 0, "begun"), checkpoint("sample-3", 3, "gap"), checkpoint("sample-1", 0, "late"),
		{Record: &Record{Step: "step", Results: []Result{shortened, mismatched}}},
		{Failed: &Failed{Step: "step", Sample: "sample-3", Counts: Failures{Runs: 2}}},
		{Failed: &Failed{Step: "step", Sample: "sample-3", Counts: Failures{Runs: 1, Rewards: 3}}},
		{Failed: &Failed{Step: "step", Sample: "sample-1", Counts: Failures{Runs: 1}}},
		{End: &End{Step: "ended"}}, {End: &End{Step: "missing"}},
		{Record: &Record{Step: "ended", Results: []Result{{Sample: "sample-1", State: FailedPermanently}}}},
		{Prune: &Prune{Steps: []string{"pruned", "missing"}}},
		{Order: &duty.Action{Subject: "engine-1", Holder: "ledger-1", At: 5}}, {Order: &duty.Action{Subject: "engine-1", Holder: "ledger-2", At: 9}},
		{Paces: &Paces{Millis: map[string]float64{"engine-1": 12.5, "engine-2": 40}}},
	}
}

func filledStep(id string) *Step {
	step := golden.Filled(Step{})
	step.ID, step.Samples = id, nil
	for _, name := range []string{"sample-1", "sample-2", "sample-3"} {
		sample := golden.Filled(Sample{})
		sample.ID, sample.Body = name, []byte(strings.Repeat("a long prompt is packed ", 30))
		step.Samples = append(step.Samples, sample)
	}
	return &step
}
