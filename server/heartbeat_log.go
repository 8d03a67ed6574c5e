package server

import (
	"sync"
	"time"

	"github.com/dillchute/dillchute/event"
)

// InvalidHeartbeat describes a heartbeat that is ignored because a field is invalid.
type InvalidHeartbeat struct {
	// Backend is the name or ID of the backend that the heartbeat claims to come from.
	Backend string
	// Field is the invalid field, and Reason a short fixed text, which is also a metric label.
	Field, Reason string
}

// heartbeatLogInterval is the minimum time between two log lines about heartbeats that have no effect.
const heartbeatLogInterval = time.Second

// heartbeatLog limits the rate of log lines about heartbeats that have no effect. It is safe for concurrent
// use.
type heartbeatLog struct {
	mutex sync.Mutex
	// loggedAt is when the last line was logged, and suppressed counts the heartbeats since then.
	loggedAt   time.Time
	suppressed uint64
}

// admit reports whether a line may be logged now, and returns the number of heartbeats without one since the
// last line.
func (l *heartbeatLog) admit() (suppressed uint64, admitted bool) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < heartbeatLogInterval {
		l.suppressed++
		return 0, false
	}
	suppressed = l.suppressed
	l.loggedAt, l.suppressed = now, 0
	return suppressed, true
}

// RecordInvalidHeartbeat counts and logs an invalid heartbeat, which changes nothing else.
func (d *Directory) RecordInvalidHeartbeat(invalid InvalidHeartbeat) {
	d.metrics.invalidHeartbeats.WithLabelValues(invalid.Reason).Inc()
	suppressed, admitted := d.invalidReports.admit()
	if !admitted {
		return
	}
	event.InvalidHeartbeatIgnored.On(d.logger).Str("backend", invalid.Backend).Str("field", invalid.Field).
		Str("reason", invalid.Reason).Uint("untold", suppressed).Send()
}

// Reasons why a valid heartbeat is ignored.
const (
	// ignoredOutdated: a heartbeat with a higher sequence number came before.
	ignoredOutdated = "outdated"
	// ignoredRemoved: the incarnation was removed and may not return.
	ignoredRemoved = "removed"
)

// logIgnored logs a valid heartbeat that is ignored, at a limited rate.
func (d *Directory) logIgnored(heartbeat Heartbeat, reason string) {
	suppressed, admitted := d.ignoredReports.admit()
	if !admitted {
		return
	}
	event.HeartbeatIgnored.On(d.logger).Str("backend", heartbeat.Backend.ID).Str("reason", reason).Uint("sequence", heartbeat.Sequence).
		Uint("newest", d.heartbeats.newestSequence(heartbeat.Backend.ID)).Uint("draining", boolToUint(heartbeat.Backend.Draining)).Uint("untold", suppressed).Send()
}

// How a backend announces its departure.
const (
	departureDraining = "draining"
	departureLeft     = "left"
)

// logDeparture logs that this replica acknowledges a departure.
func (d *Directory) logDeparture(backend, how string) {
	event.DepartureAcknowledged.On(d.logger).Str("backend", backend).Str("how", how).Uint("revision", d.view.Load().Revision).Send()
}
