package consensus

// log is the in-memory copy of the entries after the newest snapshot.
type log struct {
	// snapshotIndex and snapshotTerm name the entry before entries[0].
	snapshotIndex uint64
	snapshotTerm  uint64
	entries       []Entry
	committed     uint64
	// applied is the last entry handed out in Ready.Committed.
	applied uint64
	// stable is the last entry handed out in Ready.Entries.
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
	own, ok := l.term(index)
	return ok && own == term
}

// slice returns the entries in (after, through].
func (l *log) slice(after, through uint64) []Entry {
	if through <= after {
		return nil
	}
	return l.entries[after-l.snapshotIndex : through-l.snapshotIndex]
}

// append adds entries whose first follows an entry that matches. Entries that
// are there already are kept: an old append that arrives late must not cut off
// newer entries that were acknowledged since. Only a conflict of terms
// truncates, and that never reaches the committed prefix.
func (l *log) append(entries []Entry) {
	for position, entry := range entries {
		if l.matches(entry.Index, entry.Term) || entry.Index <= l.snapshotIndex {
			continue
		}
		if entry.Index <= l.committed {
			panic("consensus: an append conflicts with a committed entry")
		}
		kept := l.entries[:entry.Index-l.snapshotIndex-1]
		// The full slice expression forces a copy, so that slices handed out
		// in earlier messages keep their content.
		l.entries = append(kept[:len(kept):len(kept)], entries[position:]...)
		l.stable = min(l.stable, entry.Index-1)
		return
	}
}

// upToDate tells whether a candidate's log is at least as complete as this one.
func (l *log) upToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}

// compact drops the entries up to the index, which must be applied.
func (l *log) compact(index, term uint64) {
	l.entries = append([]Entry(nil), l.entries[index-l.snapshotIndex:]...)
	l.snapshotIndex, l.snapshotTerm = index, term
}

// restore replaces the log by a snapshot.
func (l *log) restore(index, term uint64) {
	*l = log{
		snapshotIndex: index, snapshotTerm: term,
		committed: index, applied: index, stable: index,
	}
}
