package server

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/event"
)

// InvalidHeartbeat describes a heartbeat that is ignored because a field is invalid.
type InvalidHeartbeat struct {
	// Backend is the name or ID of the backend that the heartbeat claims to come from.
	Backend string
	// Field is the invalid field, and Reason a short fixed text, which is also a metric label.
	Field, Reason string
}

// invalidHeartbeatLogInterval is the minimum time between two log lines about invalid heartbeats.
const invalidHeartbeatLogInterval = time.Second

// invalidHeartbeatLog logs invalid heartbeats at a limited rate. It is safe for concurrent use.
type invalidHeartbeatLog struct {
	mutex sync.Mutex
	// loggedAt is when the last line was logged, and suppressed counts the heartbeats since then.
	loggedAt   time.Time
	suppressed uint64
}

// log logs an invalid heartbeat unless one was logged within invalidHeartbeatLogInterval.
func (l *invalidHeartbeatLog) log(now time.Time, invalid InvalidHeartbeat, logger *zerolog.Logger) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < invalidHeartbeatLogInterval {
		l.suppressed++
		return
	}
	event.InvalidHeartbeatIgnored.On(logger).Str("backend", invalid.Backend).Str("field", invalid.Field).
		Str("reason", invalid.Reason).Uint("untold", l.suppressed).Send()
	l.loggedAt, l.suppressed = now, 0
}

// RecordInvalidHeartbeat counts and logs an invalid heartbeat, which changes nothing else.
func (d *Directory) RecordInvalidHeartbeat(invalid InvalidHeartbeat) {
	d.metrics.invalidHeartbeats.WithLabelValues(invalid.Reason).Inc()
	d.invalidReports.log(time.Now(), invalid, d.logger)
}
