package server

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/event"
)

// Spoiled is something that a backend is said to have said and that cannot be used.
type Spoiled struct {
	// Writer is the name that it came under.
	Writer string
	// Field is what could not be used, and Reason one of a few words that tell why.
	Field, Reason string
}

// spoiledInterval is the least time between two lines about spoiled heartbeats: a writer that
// spoils each of them must not fill the log.
const spoiledInterval = time.Second

// spoiledLog counts what could not be used, and tells of some of it. It may be used concurrently.
type spoiledLog struct {
	mutex sync.Mutex
	// toldAt is when the last line was written, and untold counts what came since.
	toldAt time.Time
	untold uint64
}

// note takes in one, and writes a line if none was written lately.
func (l *spoiledLog) note(now time.Time, spoiled Spoiled, logger *zerolog.Logger) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.toldAt.IsZero() && now.Sub(l.toldAt) < spoiledInterval {
		l.untold++
		return
	}
	event.InvalidHeartbeatIgnored.On(logger).Str("backend", spoiled.Writer).Str("field", spoiled.Field).
		Str("reason", spoiled.Reason).Uint("untold", l.untold).Send()
	l.toldAt, l.untold = now, 0
}

// NoteSpoiled takes in a heartbeat that could not be used: it changes nothing.
func (d *Directory) NoteSpoiled(spoiled Spoiled) {
	d.metrics.invalidHeartbeats.WithLabelValues(spoiled.Reason).Inc()
	d.invalidReports.note(time.Now(), spoiled, d.logger)
}
