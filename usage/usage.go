// Package usage counts the requests of each tenant that started in each time window, so that every
// report of a window has the same counts. Gateways count the requests that start (Meter) and repeatedly send
// their totals of the open windows; the replicated WindowStore keeps the highest totals of each gateway.
// Fixing a window adds them up and makes the result final: it is reported unchanged until the receiver
// accepts it. Windows are based on the median of several machines' clocks (Clock). The package reads no
// system clock and uses no network or disk.
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
func (s *WindowStore) Clone() WindowStore {
	open := make(map[int64]map[string]Counts, len(s.Open))
	for window, sources := range s.Open {
		copiedSources := make(map[string]Counts, len(sources))
		for source, counts := range sources {
			copiedSources[source] = maps.Clone(counts)
		}
		open[window] = copiedSources
	}
	return WindowStore{Fixed: s.Fixed, Open: open, Untold: slices.Clone(s.Untold)}
}

// Add merges totals, which may arrive repeatedly and in any order. Totals of a fixed window are ignored.
func (s *WindowStore) Add(totals Totals) {
	if totals.Window <= s.Fixed {
		return
	}
	if s.Open == nil {
		s.Open = map[int64]map[string]Counts{}
	}
	if s.Open[totals.Window] == nil {
		s.Open[totals.Window] = map[string]Counts{}
	}
	known := s.Open[totals.Window][totals.Source]
	if known == nil {
		known = Counts{}
		s.Open[totals.Window][totals.Source] = known
	}
	for tenant, count := range totals.Counts {
		known[tenant] = max(known[tenant], count)
	}
}

// Fix makes the counts of the window final. Earlier open windows are discarded without a report.
func (s *WindowStore) Fix(window int64) {
	if window <= s.Fixed {
		return
	}
	counts := Counts{}
	for _, source := range s.Open[window] {
		for tenant, count := range source {
			counts[tenant] += count
		}
	}
	maps.DeleteFunc(s.Open, func(open int64, _ map[string]Counts) bool { return open <= window })
	s.Fixed = window
	s.Untold = append(s.Untold, Report{Window: window, Counts: counts})
	if surplus := len(s.Untold) - maxPendingReports; surplus > 0 {
		s.Untold = slices.Clone(s.Untold[surplus:])
	}
}

// RemoveReport removes the pending report of the window after it was accepted.
func (s *WindowStore) RemoveReport(window int64) {
	s.Untold = slices.DeleteFunc(slices.Clone(s.Untold), func(report Report) bool { return report.Window == window })
}

// NextReport returns the earliest pending report, and whether there is one.
func (s *WindowStore) NextReport() (Report, bool) {
	if len(s.Untold) == 0 {
		return Report{}, false
	}
	return s.Untold[0], true
}

// maxCatchUpWindows bounds the overdue windows that DueWindows returns besides the newest one.
const maxCatchUpWindows = 12

// DueWindows returns the windows to fix at the time in Unix milliseconds. A window is due the settling
// time after its end. If none was fixed before, only the newest one is due.
func (s *WindowStore) DueWindows(now int64, windowLength, settling time.Duration) []int64 {
	newest := WindowAt(now-settling.Milliseconds(), windowLength) - 1
	first := s.Fixed + 1
	if s.Fixed == 0 {
		first = newest
	}
	first = max(first, newest-maxCatchUpWindows)
	var due []int64
	for window := first; window <= newest; window++ {
		due = append(due, window)
	}
	return due
}
