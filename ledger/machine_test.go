package ledger

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

func newStep(id string, samples int) *Step {
	s := &Step{ID: id}
	for number := range samples {
		s.Samples = append(s.Samples, Sample{ID: fmt.Sprintf("%s-%d", id, number), Body: []byte{byte(number)}})
	}
	return s
}

// TestResultPositionsNeverChange checks that recorded results keep their position and content through
// any sequence of commands and restores, without duplicates or results of another step's samples.
func TestResultPositionsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		earlierResults := map[string][]Result{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "step")
			switch rapid.IntRange(0, 6).Draw(t, "command") {
			case 0:
				m.Apply(Command{Submit: newStep(id, rapid.IntRange(1, 6).Draw(t, "samples"))}.Encode())
			case 1, 2, 3:
				record := &Record{Step: id}
				for range rapid.IntRange(1, 3).Draw(t, "results") {
					record.Results = append(record.Results, Result{
						Sample: fmt.Sprintf("%s-%d", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "of"), rapid.IntRange(0, 7).Draw(t, "sample")),
						State:  Succeeded, Text: rapid.StringMatching("[a-z]{0,3}").Draw(t, "text"),
					})
				}
				m.Apply(Command{Record: record}.Encode())
			case 4:
				m.Apply(Command{End: &End{Step: id}}.Encode())
			case 5:
				restored := NewMachine()
				var snapshot bytes.Buffer
				require.NoError(t, m.Snapshot()(&snapshot))
				require.NoError(t, restored.Restore(&snapshot))
				m = restored
			case 6:
				m.Apply(Command{Checkpoint: &Checkpoint{Step: id, Texts: []Continuation{{
					Sample: fmt.Sprintf("%s-%d", id, rapid.IntRange(0, 7).Draw(t, "sample")),
					After:  rapid.Uint64Range(0, 3).Draw(t, "after"), Events: []string{"x"},
				}}}}.Encode())
			}
			for _, entry := range m.Steps() {
				for sample := range entry.Partials {
					require.False(t, entry.Ended || entry.HasResult(sample), "partial text of a sample with a result or of an ended step")
					require.NotNil(t, entry.Sample(sample))
				}
				earlier := earlierResults[entry.Step.ID]
				require.GreaterOrEqual(t, len(entry.Results), len(earlier))
				require.Equal(t, earlier, append([]Result(nil), entry.Results[:len(earlier)]...))
				earlierResults[entry.Step.ID] = append([]Result(nil), entry.Results...)
				recorded := map[string]bool{}
				for _, result := range entry.Results {
					require.False(t, recorded[result.Sample])
					require.NotNil(t, entry.Sample(result.Sample))
					require.True(t, entry.HasResult(result.Sample))
					recorded[result.Sample] = true
				}
			}
		}
	})
}

// TestEndedStepRejectsResults checks that submitting an ended step again does not reopen it.
func TestEndedStepRejectsResults(t *testing.T) {
	m := NewMachine()
	m.Apply(Command{Submit: newStep("a", 2)}.Encode())
	m.Apply(Command{End: &End{Step: "a"}}.Encode())
	m.Apply(Command{Submit: newStep("a", 2)}.Encode())
	m.Apply(Command{Record: &Record{Step: "a", Results: []Result{{Sample: "a-0"}}}}.Encode())
	require.True(t, m.Step("a").Ended)
	require.Empty(t, m.Step("a").Results)
	m.Apply(Command{Prune: &Prune{Steps: []string{"a"}}}.Encode())
	require.Nil(t, m.Step("a"))
}

// TestCheckpointsExtendPartialText checks continuations that append, repeat, overlap, replace or would
// leave a gap, and that later checkpoints do not modify a snapshot taken before.
func TestCheckpointsExtendPartialText(t *testing.T) {
	m := NewMachine()
	m.Apply(Command{Submit: newStep("a", 2)}.Encode())
	checkpoint := func(after uint64, versions []uint64, events ...string) {
		m.Apply(Command{Checkpoint: &Checkpoint{Step: "a", Texts: []Continuation{
			{Sample: "a-0", After: after, Events: events, Versions: versions},
		}}}.Encode())
	}
	checkpoint(0, []uint64{1}, "1", "2")
	checkpoint(2, []uint64{1, 2}, "3", "4")
	snapshot := m.Snapshot()
	checkpoint(2, []uint64{1, 2}, "3", "4")
	require.Equal(t, Partial{Events: []string{"1", "2", "3", "4"}, Versions: []uint64{1, 2}}, m.Step("a").Partials["a-0"])
	checkpoint(5, []uint64{1}, "6")
	require.Len(t, m.Step("a").Partials["a-0"].Events, 4)
	checkpoint(3, []uint64{1, 2}, "d", "e")
	require.Equal(t, []string{"1", "2", "3", "d", "e"}, m.Step("a").Partials["a-0"].Events)
	checkpoint(0, []uint64{3}, "new")
	require.Equal(t, Partial{Events: []string{"new"}, Versions: []uint64{3}}, m.Step("a").Partials["a-0"])

	var written bytes.Buffer
	require.NoError(t, snapshot(&written))
	restored := NewMachine()
	require.NoError(t, restored.Restore(&written))
	require.Equal(t, []string{"1", "2", "3", "4"}, restored.Step("a").Partials["a-0"].Events)

	m.Apply(Command{Record: &Record{Step: "a", Results: []Result{{Sample: "a-0", State: Succeeded}}}}.Encode())
	checkpoint(0, []uint64{3}, "late")
	require.Empty(t, m.Step("a").Partials)
}

// TestLargeCommandsArePacked also checks that unpacked entries of earlier versions are decoded.
func TestLargeCommandsArePacked(t *testing.T) {
	record := Command{Record: &Record{Step: "a", Results: []Result{
		{Sample: "a-0", State: Succeeded, Text: strings.Repeat("a text of many words ", 1000)},
	}}}
	unpacked, err := encoder.Marshal(record)
	require.NoError(t, err)
	require.Less(t, len(record.Encode()), len(unpacked)/2)
	for _, data := range [][]byte{unpacked, record.Encode()} {
		m := NewMachine()
		m.Apply(Command{Submit: newStep("a", 1)}.Encode())
		m.Apply(data)
		require.Equal(t, record.Record.Results, m.Step("a").Results)
	}
}

// TestPacesSurviveSnapshot also checks that a newer report replaces all earlier paces.
func TestPacesSurviveSnapshot(t *testing.T) {
	m := NewMachine()
	generation := m.Generation
	m.Apply(Command{Paces: &Paces{Millis: map[string]float64{"e0": 40, "e1": 50}}}.Encode())
	m.Apply(Command{Paces: &Paces{Millis: map[string]float64{"e0": 41}}}.Encode())
	require.Equal(t, generation, m.Generation, "paces change no step")
	var snapshot bytes.Buffer
	require.NoError(t, m.Snapshot()(&snapshot))
	restored := NewMachine()
	require.NoError(t, restored.Restore(&snapshot))
	require.Equal(t, map[string]float64{"e0": 41}, restored.Paces())
}

// TestRecordRestoresTextFromCheckpoint checks that a shortened result is completed from the checkpoint
// and ignored if the checkpoint does not match.
func TestRecordRestoresTextFromCheckpoint(t *testing.T) {
	events := []string{"1", "2", "3", "4"}
	complete := Result{Sample: "a-0", State: Succeeded, Text: JoinEvents(events), Versions: []uint64{1}}
	shortened := complete
	shortened.ShortenText(events, 3)
	require.Equal(t, "4", shortened.Text)
	for name, kept := range map[string][]string{
		"identical": {"1", "2", "3"}, "longer": {"1", "2", "3", "x"}, "different": {"1", "x", "3"}, "shorter": {"1", "2"}, "missing": nil,
	} {
		m := NewMachine()
		m.Apply(Command{Submit: newStep("a", 1)}.Encode())
		if kept != nil {
			m.Apply(Command{Checkpoint: &Checkpoint{Step: "a", Texts: []Continuation{{Sample: "a-0", Events: kept}}}}.Encode())
		}
		m.Apply(Command{Record: &Record{Step: "a", Results: []Result{shortened}}}.Encode())
		if name != "identical" && name != "longer" {
			require.Empty(t, m.Step("a").Results, name)
			m.Apply(Command{Record: &Record{Step: "a", Results: []Result{complete}}}.Encode())
		}
		require.Equal(t, []Result{complete}, m.Step("a").Results, name)
	}
}
