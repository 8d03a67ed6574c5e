package directory

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestJournalTellsWhatAScanTells: whatever a watcher knows, also when the journal reaches back less
// far than the watcher trails, it is told of the same backends as by a look at all of them.
func TestJournalTellsWhatAScanTells(t *testing.T) {
	m := NewMachine()
	const names = 300
	for number := range maxJournal + maxJournal/4 {
		backend := Backend{ID: fmt.Sprint(number % names), Service: "s", Address: fmt.Sprint(number % names), Slots: number}
		apply(t, m, Command{PutBackend: &backend})
	}
	require.Greater(t, m.journal.floor, uint64(0))
	require.LessOrEqual(t, len(m.journal.changes), maxJournal)
	for _, since := range []uint64{0, 1, m.journal.floor - 1, m.journal.floor, m.Revision() - names - 5, m.Revision() - 1, m.Revision()} {
		byID := func(backends []Backend) []Backend {
			slices.SortFunc(backends, func(a, b Backend) int { return a.Slots - b.Slots })
			return backends
		}
		require.Equal(t, byID(changed(m.state.Backends, since)), byID(m.DeltaSince(since).Backends), "since %d", since)
	}
}
