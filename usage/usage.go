// Package usage counts the requests of each tenant that started in each time window, so that every
// report of a window has the same counts.
//
// Gateways count the requests that start (Meter) and repeatedly send their totals of the open windows.
// The replicated WindowStore keeps the highest totals of each gateway. Fixing a window adds them up and
// makes the result final; it is reported unchanged until the receiver accepts it. Windows are based on
// the median of several machines' clocks (Clock).
//
// The package reads no system clock and uses no network or disk.
package usage

import (
	"maps"
	"slices"
	"time"
)

// WindowAt returns the number of the window that contains the time in Unix milliseconds.
func WindowAt(millis int64, windowLength time.Duration) int64 {
	return millis / windowLength.Milliseconds()
}

// WindowEnd returns the end of the window in Unix milliseconds.
func WindowEnd(window int64, windowLength time.Duration) int64 {
	return (window + 1) * windowLength.Milliseconds()
}

// Counts maps tenants to numbers of requests.
type Counts map[string]uint64

// Totals holds the counts of one process for a window so far.
type Totals struct {
	// Source identifies the counting process; it changes when the process restarts.
	Source string `cbor:"1,keyasint"`
	Window int64  `cbor:"2,keyasint"`
	Counts Counts `cbor:"3,keyasint"`
}

// Report holds the final counts of a fixed window.
type Report struct {
	Window int64  `cbor:"1,keyasint"`
	Counts Counts `cbor:"2,keyasint"`
}

// WindowStore is the replicated state of all windows. It is not safe for concurrent use.
type WindowStore struct {
	// Fixed is the newest fixed window, 0 for none.
	Fixed int64 `cbor:"1,keyasint"`
	// Open holds the totals of open windows by window and source.
	Open map[int64]map[string]Counts `cbor:"2,keyasint,omitempty"`
	// Untold lists the pending reports, which were not accepted yet, the earliest first.
	Untold []Report `cbor:"3,keyasint,omitempty"`
}

// maxPendingReports bounds the reports in Untold. Beyond it the earliest are dropped.
const maxPendingReports = 100

// Clone returns a copy that shares no mutable state.
func (b *WindowStore) Clone() WindowStore {
	open := make(map[int64]map[string]Counts, len(b.Open))
	for window, sources := range b.Open {
		copiedSources := make(map[string]Counts, len(sources))
		for source, counts := range sources {
			copiedSources[source] = maps.Clone(counts)
		}
		open[window] = copiedSources
	}
	return WindowStore{Fixed: b.Fixed, Open: open, Untold: slices.Clone(b.Untold)}
}

// Add merges totals, which may arrive repeatedly and in any order. Totals of a fixed window are ignored.
func (b *WindowStore) Add(totals Totals) {
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

// Fix makes the counts of the window final. Earlier open windows are discarded without a report.
func (b *WindowStore) Fix(window int64) {
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
	if surplus := len(b.Untold) - maxPendingReports; surplus > 0 {
		b.Untold = slices.Clone(b.Untold[surplus:])
	}
}

// RemoveReport removes the pending report of the window after it was accepted.
func (b *WindowStore) RemoveReport(window int64) {
	b.Untold = slices.DeleteFunc(slices.Clone(b.Untold), func(report Report) bool { return report.Window == window })
}

// NextReport returns the earliest pending report, and whether there is one.
func (b *WindowStore) NextReport() (Report, bool) {
	if len(b.Untold) == 0 {
		return Report{}, false
	}
	return b.Untold[0], true
}

// maxCatchUpWindows bounds the overdue windows that DueWindows returns besides the newest one.
const maxCatchUpWindows = 12

// DueWindows returns the windows to fix at the time in Unix milliseconds. A window is due the settling
// time after its end. If none was fixed before, only the newest one is due.
func (b *WindowStore) DueWindows(now int64, windowLength, settling time.Duration) []int64 {
	newest := WindowAt(now-settling.Milliseconds(), windowLength) - 1
	first := b.Fixed + 1
	if b.Fixed == 0 {
		first = newest
	}
	first = max(first, newest-maxCatchUpWindows)
	var due []int64
	for window := first; window <= newest; window++ {
		due = append(due, window)
	}
	return due
}
