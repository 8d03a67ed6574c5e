package directory

import "slices"

// maxJournal bounds the changes that are remembered, at some 30 bytes each. A watcher that trails
// by more costs a look at all backends.
const maxJournalEntries = 20000

// journal lists the latest changes of backends, so that what a watcher is to be told is found in
// the time that the changes take and not in that of all backends: 0.5 microseconds instead of 230
// for one change among 10,000.
type journal struct {
	changes []journalEntry
	// floor is the revision from which on all changes are listed.
	floor uint64
}

// journalEntry says that a backend has changed.
type journalEntry struct {
	revision uint64
	id       string
}

// note takes in a change.
func (j *journal) record(revision uint64, id string) {
	j.changes = append(j.changes, journalEntry{revision: revision, id: id})
	if len(j.changes) > maxJournalEntries {
		excess := len(j.changes) - maxJournalEntries/2
		j.floor = j.changes[excess-1].revision
		j.changes = slices.Clone(j.changes[excess:])
	}
}

// since returns the IDs of backends that have changed after the revision, some of which may have
// left or be named more than once, and whether that is known.
func (j *journal) since(revision uint64) ([]journalEntry, bool) {
	if revision < j.floor {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(j.changes, revision+1, func(entry journalEntry, target uint64) int {
		if entry.revision < target {
			return -1
		}
		return 1
	})
	return j.changes[first:], true
}
