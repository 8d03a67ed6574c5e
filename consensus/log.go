package consensus

// log holds the entries after the newest snapshot in memory.
type log struct {
	// snapshotIndex and snapshotTerm identify the entry before entries[0].
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []Entry
	committed     uint64
	// applied is the index of the last entry returned in Ready.Committed.
	applied uint64
	// stable is the index of the last entry that is persisted.
	stable uint64
}

func (l *log) lastIndex() uint64 {
	return l.snapshotIndex + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry, and false if the log does not hold it.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.snapshotIndex {
		return l.snapshotTerm, true
	}
	if index < l.snapshotIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].Term, true
}

func (l *log) matches(index, term uint64) bool {
	ownTerm, ok := l.term(index)
	return ok && ownTerm == term
}

// slice returns the entries in (after, through].
func (l *log) slice(after, through uint64) []Entry {
	if through <= after {
		return nil
	}
	return l.entries[after-l.snapshotIndex : through-l.snapshotIndex]
}

// append adds entries, the first of which must follow a matching entry. Entries that
// are already present are kept, because a delayed append must not truncate entries
// that were acknowledged since. Only a term conflict truncates the log, and never
// the committed prefix.
func (l *log) append(entries []Entry) {
	for position, entry := range entries {
		if l.matches(entry.Index, entry.Term) || entry.Index <= l.snapshotIndex {
			continue
		}
		if entry.Index <= l.committed {
			panic("consensus: an append conflicts with a committed entry")
		}
		kept := l.entries[:entry.Index-l.snapshotIndex-1]
		// The full slice expression forces a copy, so that slices returned
		// in earlier messages are not overwritten.
		l.entries = append(kept[:len(kept):len(kept)], entries[position:]...)
		l.stable = min(l.stable, entry.Index-1)
		return
	}
}

// isUpToDate reports whether a candidate's log is at least as up-to-date as this one.
func (l *log) isUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}

// compact drops the entries up to and including the index, which must be applied.
func (l *log) compact(index, term uint64) {
	l.entries = append([]Entry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex, l.snapshotTerm = index, term
}

// restore replaces the log with a snapshot.
func (l *log) restore(index, term uint64) {
	*l = log{
		snapshotIndex: index, snapshotTerm: term,
		committed: index, applied: index, stable: index,
	}
}
