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

func step(id string, samples int) *Step {
	s := &Step{ID: id}
	for number := range samples {
		s.Samples = append(s.Samples, Sample{ID: fmt.Sprintf("%s-%d", id, number), Body: []byte{byte(number)}})
	}
	return s
}

// TestPositionsNeverChange: whatever is recorded, repeated, ended or restored
// from a snapshot, a result keeps its position and content, no sample stands
// twice, and what belongs to another step is not taken.
func TestPositionsNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		seen := map[string][]Result{}
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "step")
			switch rapid.IntRange(0, 6).Draw(t, "command") {
			case 0:
				m.Apply(Command{Submit: step(id, rapid.IntRange(1, 6).Draw(t, "samples"))}.Encode())
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
				var written bytes.Buffer
				require.NoError(t, m.Snapshot()(&written))
				require.NoError(t, restored.Restore(&written))
				m = restored
			case 6:
				m.Apply(Command{Checkpoint: &Checkpoint{Step: id, Texts: []Continuation{{
					Sample: fmt.Sprintf("%s-%d", id, rapid.IntRange(0, 7).Draw(t, "sample")),
					After:  rapid.Uint64Range(0, 3).Draw(t, "after"), Events: []string{"x"},
				}}}}.Encode())
			}
			for _, entry := range m.Steps() {
				for sample := range entry.Partials {
					require.False(t, entry.Ended || entry.Listed(sample), "no partial text beside a result")
					require.NotNil(t, entry.Sample(sample))
				}
				before := seen[entry.Step.ID]
				require.GreaterOrEqual(t, len(entry.Results), len(before))
				require.Equal(t, before, append([]Result(nil), entry.Results[:len(before)]...))
				seen[entry.Step.ID] = append([]Result(nil), entry.Results...)
				samples := map[string]bool{}
				for _, result := range entry.Results {
					require.False(t, samples[result.Sample])
					require.NotNil(t, entry.Sample(result.Sample))
					require.True(t, entry.Listed(result.Sample))
					samples[result.Sample] = true
				}
			}
		}
	})
}

// TestEndedStepTakesNoMoreResults also holds for a step that is sent again.
func TestEndedStepTakesNoMoreResults(t *testing.T) {
	m := NewMachine()
	m.Apply(Command{Submit: step("a", 2)}.Encode())
	m.Apply(Command{End: &End{Step: "a"}}.Encode())
	m.Apply(Command{Submit: step("a", 2)}.Encode())
	m.Apply(Command{Record: &Record{Step: "a", Results: []Result{{Sample: "a-0"}}}}.Encode())
	require.True(t, m.Step("a").Ended)
	require.Empty(t, m.Step("a").Results)
	m.Apply(Command{Prune: &Prune{Steps: []string{"a"}}}.Encode())
	require.Nil(t, m.Step("a"))
}

// TestCheckpointsTileTheText: a checkpoint adds to what is kept, repeats change
// nothing, a gap is refused, a text that begins anew replaces the old one, and
// a copy for a snapshot does not change.
func TestCheckpointsTileTheText(t *testing.T) {
	m := NewMachine()
	m.Apply(Command{Submit: step("a", 2)}.Encode())
	save := func(after uint64, versions []uint64, events ...string) {
		m.Apply(Command{Checkpoint: &Checkpoint{Step: "a", Texts: []Continuation{
			{Sample: "a-0", After: after, Events: events, Versions: versions},
		}}}.Encode())
	}
	save(0, []uint64{1}, "1", "2")
	save(2, []uint64{1, 2}, "3", "4")
	snapshot := m.Snapshot()
	save(2, []uint64{1, 2}, "3", "4")
	require.Equal(t, Partial{Events: []string{"1", "2", "3", "4"}, Versions: []uint64{1, 2}}, m.Step("a").Partials["a-0"])
	save(5, []uint64{1}, "6")
	require.Len(t, m.Step("a").Partials["a-0"].Events, 4)
	save(3, []uint64{1, 2}, "d", "e")
	require.Equal(t, []string{"1", "2", "3", "d", "e"}, m.Step("a").Partials["a-0"].Events)
	save(0, []uint64{3}, "new")
	require.Equal(t, Partial{Events: []string{"new"}, Versions: []uint64{3}}, m.Step("a").Partials["a-0"])

	var written bytes.Buffer
	require.NoError(t, snapshot(&written))
	restored := NewMachine()
	require.NoError(t, restored.Restore(&written))
	require.Equal(t, []string{"1", "2", "3", "4"}, restored.Step("a").Partials["a-0"].Events)

	m.Apply(Command{Record: &Record{Step: "a", Results: []Result{{Sample: "a-0", State: Succeeded}}}}.Encode())
	save(0, []uint64{3}, "late")
	require.Empty(t, m.Step("a").Partials)
}

// TestLargeCommandsArePacked: and entries of an earlier version, which are not,
// are still read.
func TestLargeCommandsArePacked(t *testing.T) {
	record := Command{Record: &Record{Step: "a", Results: []Result{
		{Sample: "a-0", State: Succeeded, Text: strings.Repeat("a text of many words ", 1000)},
	}}}
	plain, err := encoder.Marshal(record)
	require.NoError(t, err)
	require.Less(t, len(record.Encode()), len(plain)/2)
	for _, data := range [][]byte{plain, record.Encode()} {
		m := NewMachine()
		m.Apply(Command{Submit: step("a", 1)}.Encode())
		m.Apply(data)
		require.Equal(t, record.Record.Results, m.Step("a").Results)
	}
}

// TestPacesAreKept: also over a snapshot, and the newest replace the others.
func TestPacesAreKept(t *testing.T) {
	m := NewMachine()
	generation := m.Generation
	m.Apply(Command{Paces: &Paces{Millis: map[string]float64{"e0": 40, "e1": 50}}}.Encode())
	m.Apply(Command{Paces: &Paces{Millis: map[string]float64{"e0": 41}}}.Encode())
	require.Equal(t, generation, m.Generation, "no result has changed")
	var written bytes.Buffer
	require.NoError(t, m.Snapshot()(&written))
	restored := NewMachine()
	require.NoError(t, restored.Restore(&written))
	require.Equal(t, map[string]float64{"e0": 41}, restored.Paces())
}

// TestResultsGoOnFromWhatIsKept: a result that holds only the events after those
// of a checkpoint is listed with its whole text; one that does not fit what is
// kept is not taken.
func TestResultsGoOnFromWhatIsKept(t *testing.T) {
	events := []string{"1", "2", "3", "4"}
	whole := Result{Sample: "a-0", State: Succeeded, Text: JoinEvents(events), Versions: []uint64{1}}
	shortened := whole
	shortened.ShortenText(events, 3)
	require.Equal(t, "4", shortened.Text)
	for name, kept := range map[string][]string{
		"as it was": {"1", "2", "3"}, "longer": {"1", "2", "3", "x"}, "another text": {"1", "x", "3"}, "shorter": {"1", "2"}, "nothing": nil,
	} {
		m := NewMachine()
		m.Apply(Command{Submit: step("a", 1)}.Encode())
		if kept != nil {
			m.Apply(Command{Checkpoint: &Checkpoint{Step: "a", Texts: []Continuation{{Sample: "a-0", Events: kept}}}}.Encode())
		}
		m.Apply(Command{Record: &Record{Step: "a", Results: []Result{shortened}}}.Encode())
		if name != "as it was" && name != "longer" {
			require.Empty(t, m.Step("a").Results, name)
			m.Apply(Command{Record: &Record{Step: "a", Results: []Result{whole}}}.Encode())
		}
		require.Equal(t, []Result{whole}, m.Step("a").Results, name)
	}
}
