package usage

import (
	"maps"
	"sync"
	"time"
)

// maxPending bounds the requests that wait for the true time to be known.
const maxPending = 10000

// begun is a request that began to run, at a time of the process's steady clock in
// milliseconds.
type begun struct {
	tenant string
	at     int64
}

// Meter counts, in a process that passes requests on. It may be used concurrently.
type Meter struct {
	mutex sync.Mutex
	// ahead is by how much the true time is ahead of the steady time, in milliseconds, and
	// length the length of a window; they are known once length is not 0.
	ahead   int64
	length  time.Duration
	pending []begun
	open    map[int64]Counts
	fixed   int64
	// changes counts what was counted, and told is as of the last totals that were taken.
	changes, told uint64
	late, dropped uint64
}

// NewMeter returns a meter that has counted nothing.
func NewMeter() *Meter { return &Meter{open: map[int64]Counts{}} }

// Note counts a request of the tenant that began to run at a time of the steady clock, in
// milliseconds.
func (m *Meter) Note(tenant string, at int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.changes++
	if len(m.pending) >= maxPending {
		m.dropped++
		return
	}
	m.pending = append(m.pending, begun{tenant: tenant, at: at})
}

// Totals returns what is to be told of the source, with a mark for Taken, and whether
// there is anything that was not told yet. Before the true time is known there are none.
func (m *Meter) Totals(source string) (totals []Totals, mark uint64, news bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sort()
	for window, counts := range m.open {
		totals = append(totals, Totals{Source: source, Window: window, Counts: maps.Clone(counts)})
	}
	return totals, m.changes, m.changes != m.told
}

// sort puts the pending requests into their windows.
func (m *Meter) sort() {
	if m.length == 0 {
		return
	}
	for _, one := range m.pending {
		window := WindowAt(one.at+m.ahead, m.length)
		if window <= m.fixed {
			m.late++
			continue
		}
		if m.open[window] == nil {
			m.open[window] = Counts{}
		}
		m.open[window][one.tenant]++
	}
	m.pending = nil
}

// Taken notes that totals up to the mark are kept for good. Now is the true time and steady
// this process's steady time, in milliseconds; fixed is the newest window that is fixed.
func (m *Meter) Taken(mark uint64, now, steady, fixed int64, length time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.length != 0 {
		m.told = max(m.told, mark)
	}
	m.ahead, m.length = now-steady, length
	m.fixed = max(m.fixed, fixed)
	maps.DeleteFunc(m.open, func(window int64, _ Counts) bool { return window <= m.fixed })
}

// Lost returns how many requests came too late for their window, and how many were not
// counted for lack of room.
func (m *Meter) Lost() (late, dropped uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.late, m.dropped
}
