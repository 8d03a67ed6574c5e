package ledger

import (
	"bytes"
	"fmt"
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
			switch rapid.IntRange(0, 5).Draw(t, "command") {
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
			}
			for _, entry := range m.Steps() {
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
