package directory

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestJournalMatchesScan: a delta holds the same backends as a scan of all of them, also if the journal
// does not reach back far enough.
func TestJournalMatchesScan(t *testing.T) {
	m := NewMachine()
	const names = 300
	for number := range maxJournalEntries + maxJournalEntries/4 {
		backend := Backend{ID: fmt.Sprint(number % names), Service: "s", Address: fmt.Sprint(number % names), Slots: number}
		apply(t, m, Command{PutBackend: &backend})
	}
	require.Greater(t, m.journal.floor, uint64(0))
	require.LessOrEqual(t, len(m.journal.changes), maxJournalEntries)
	for _, since := range []uint64{0, 1, m.journal.floor - 1, m.journal.floor, m.Revision() - names - 5, m.Revision() - 1, m.Revision()} {
		sorted := func(backends []Backend) []Backend {
			slices.SortFunc(backends, func(a, b Backend) int { return a.Slots - b.Slots })
			return backends
		}
		require.Equal(t, sorted(changedSince(m.state.Backends, since)), sorted(m.DeltaSince(since).Backends), "since %d", since)
	}
}

// TestUrgentChanges: registrations of backends and updates of their models are not urgent, all other
// changes are.
func TestUrgentChanges(t *testing.T) {
	m := NewMachine()
	for _, c := range []struct {
		name     string
		command  Command
		isUrgent bool
	}{
		{"a configuration", Command{PutConfiguration: configuration(1, "/a/")}, true},
		{"a registration", Command{PutBackend: &Backend{ID: "a", Address: "1"}}, false},
		{"another version", Command{PutBackend: &Backend{ID: "a", Address: "1", Models: []ModelVersion{{Model: "m", Version: 2}}}}, false},
		{"draining", Command{PutBackend: &Backend{ID: "a", Address: "1", Draining: true}}, true},
		{"still draining", Command{PutBackend: &Backend{ID: "a", Address: "1", Slots: 3, Draining: true}}, false},
		{"a registration in a batch", Command{Batch: []Command{{PutBackend: &Backend{ID: "b", Address: "2"}}}}, false},
		{"an address reused by another backend", Command{PutBackend: &Backend{ID: "c", Address: "2"}}, true},
		{"leaving", Command{RemoveBackend: &RemoveBackend{Name: "a"}}, true},
		{"a named version", Command{NameVersion: &ModelVersion{Model: "m", Version: 2}}, true},
	} {
		before := m.Revision()
		apply(t, m, c.command)
		require.Greater(t, m.Revision(), before, c.name)
		require.Equal(t, c.isUrgent, m.UrgentRevision() > before, c.name)
	}
}
