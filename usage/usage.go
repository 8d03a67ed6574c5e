// Package usage counts the requests of each tenant that began to run in each window of
// time, so that each window is told once and never in two ways.
//
// Gateways count what they see begin (Meter), and tell their totals of each window that is
// not fixed yet, as often as they like. The replicated record (Book) keeps the highest of
// each gateway; fixing a window adds them up, and what was fixed is told unchanged until it
// is taken. Windows go by true time, for which the middle of several machines' clocks stands
// (Clock). The package has no clock, socket or disk.
package usage

import (
	"maps"
	"slices"
	"time"
)

// WindowAt returns the number of the window that holds the time, in milliseconds since 1970.
func WindowAt(millis int64, length time.Duration) int64 { return millis / length.Milliseconds() }

// WindowEnd returns when the window ends, in milliseconds since 1970.
func WindowEnd(window int64, length time.Duration) int64 {
	return (window + 1) * length.Milliseconds()
}

// Counts are numbers of requests by tenant.
type Counts map[string]uint64

// Totals is what one process has counted in a window so far.
type Totals struct {
	// Source names one life of the process that counts.
	Source string `cbor:"1,keyasint"`
	Window int64  `cbor:"2,keyasint"`
	Counts Counts `cbor:"3,keyasint"`
}

// Report is a window that is fixed.
type Report struct {
	Window int64  `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

// Book is the replicated record. Its methods must not be called concurrently.
type Book struct {
	// Fixed is the newest window that is fixed, 0 for none.
	Fixed int64 `cbor:"1,keyasint"`
	// Open holds the totals of windows that are not fixed, by window and source.
	Open map[int64]map[string]Counts `cbor:"2,keyasint,omitempty"`
	// Untold are fixed windows that have not been taken yet, the earliest first.
	Untold []Report `cbor:"3,keyasint,omitempty"`
}

// maxUntold bounds the windows that wait to be told: beyond it the earliest are dropped,
// long after they were due.
const maxUntold = 100

// Clone returns a copy that shares nothing that changes.
func (b *Book) Clone() Book {
	open := make(map[int64]map[string]Counts, len(b.Open))
	for window, sources := range b.Open {
		copied := make(map[string]Counts, len(sources))
		for source, counts := range sources {
			copied[source] = maps.Clone(counts)
		}
		open[window] = copied
	}
	return Book{Fixed: b.Fixed, Open: open, Untold: slices.Clone(b.Untold)}
}

// Count takes in totals. They may come twice and in any order; those of a window that is
// fixed come too late.
func (b *Book) Count(totals Totals) {
	if totals.Window <= b.Fixed {
		return
	}
	if b.Open == nil {
		b.Open = map[int64]map[string]Counts{}
	}
	if b.Open[totals.Window] == nil {
		b.Open[totals.Window] = map[string]Counts{}
	}
	known := b.Open[totals.Window][totals.Source]
	if known == nil {
		known = Counts{}
		b.Open[totals.Window][totals.Source] = known
	}
	for tenant, count := range totals.Counts {
		known[tenant] = max(known[tenant], count)
	}
}

// Fix closes the window and all before it. Only the window itself is to be told: those
// before it that were not fixed are past telling.
func (b *Book) Fix(window int64) {
	if window <= b.Fixed {
		return
	}
	counts := Counts{}
	for _, source := range b.Open[window] {
		for tenant, count := range source {
			counts[tenant] += count
		}
	}
	maps.DeleteFunc(b.Open, func(open int64, _ map[string]Counts) bool { return open <= window })
	b.Fixed = window
	b.Untold = append(b.Untold, Report{Window: window, Counts: counts})
	if surplus := len(b.Untold) - maxUntold; surplus > 0 {
		b.Untold = slices.Clone(b.Untold[surplus:])
	}
}

// Told forgets a window that was taken.
func (b *Book) Told(window int64) {
	b.Untold = slices.DeleteFunc(slices.Clone(b.Untold), func(report Report) bool { return report.Window == window })
}

// Next returns the earliest window that is to be told, and whether there is one.
func (b *Book) Next() (Report, bool) {
	if len(b.Untold) == 0 {
		return Report{}, false
	}
	return b.Untold[0], true
}

// maxLag is the largest number of windows that are fixed one by one after a time in which
// none could be.
const maxLag = 12

// Due returns the windows to be fixed at the time, in milliseconds since 1970, where a
// window is fixed the settling time after its end. Before the first one, windows that have
// passed are nobody's.
func (b *Book) Due(now int64, length, settling time.Duration) []int64 {
	newest := WindowAt(now-settling.Milliseconds(), length) - 1
	first := b.Fixed + 1
	if b.Fixed == 0 {
		first = newest
	}
	first = max(first, newest-maxLag)
	var due []int64
	for window := first; window <= newest; window++ {
		due = append(due, window)
	}
	return due
}
