package usage

import (
	"maps"
	"sync"
	"time"
)

// maxPending bounds the requests that wait until the true time is known.
const maxPending = 10000

// startedRequest is a request with its start in milliseconds of the process's monotonic time.
type startedRequest struct {
	tenant    string
	startedAt int64
}

// Meter counts the requests that a gateway forwards. It is safe for concurrent use.
type Meter struct {
	mutex sync.Mutex
	// clockOffset is the true time minus the monotonic time, in milliseconds. It and windowLength
	// are known once windowLength is not 0.
	clockOffset  int64
	windowLength time.Duration
	pending      []startedRequest
	open         map[int64]Counts
	fixed        int64
	// changes is the number of recorded requests, and acknowledged its value at the last
	// acknowledged totals.
	changes, acknowledged uint64
	late, dropped         uint64
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{open: map[int64]Counts{}} }

// Record counts a request of the tenant that started at the monotonic time in milliseconds.
func (m *Meter) Record(tenant string, startedAt int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.changes++
	if len(m.pending) >= maxPending {
		m.dropped++
		return
	}
	m.pending = append(m.pending, startedRequest{tenant: tenant, startedAt: startedAt})
}

// Totals returns the totals of the open windows, a mark for Acknowledge, and whether there are
// unacknowledged changes. There are no totals before the true time is known.
func (m *Meter) Totals(source string) (totals []Totals, mark uint64, changed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.assignWindows()
	for window, counts := range m.open {
		totals = append(totals, Totals{Source: source, Window: window, Counts: maps.Clone(counts)})
	}
	return totals, m.changes, m.changes != m.acknowledged
}

// assignWindows adds the pending requests to their windows.
func (m *Meter) assignWindows() {
	if m.windowLength == 0 {
		return
	}
	for _, request := range m.pending {
		window := WindowAt(request.startedAt+m.clockOffset, m.windowLength)
		if window <= m.fixed {
			m.late++
			continue
		}
		if m.open[window] == nil {
			m.open[window] = Counts{}
		}
		m.open[window][request.tenant]++
	}
	m.pending = nil
}

// Acknowledge notes that totals up to the mark are stored durably. Now is the true time and monotonic
// this process's monotonic time, in milliseconds; fixed is the newest fixed window.
func (m *Meter) Acknowledge(mark uint64, now, monotonic, fixed int64, windowLength time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.windowLength != 0 {
		m.acknowledged = max(m.acknowledged, mark)
	}
	m.clockOffset, m.windowLength = now-monotonic, windowLength
	m.fixed = max(m.fixed, fixed)
	maps.DeleteFunc(m.open, func(window int64, _ Counts) bool { return window <= m.fixed })
}

// Lost returns how many requests came too late for their window, and how many were dropped because
// maxPending requests were waiting.
func (m *Meter) Lost() (late, dropped uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.late, m.dropped
}
