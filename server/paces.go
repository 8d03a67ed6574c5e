package server

import (
	"math"
	"time"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/ledger"
)

const (
	// pacesInterval is the least time between two records of the engines' paces.
	pacesInterval = time.Second
	// paceChange is the part by which a pace must have changed to be recorded anew.
	paceChange = 0.1
)

// recordPaces has the ledger keep the engines' paces once one has changed, so
// that the next leader places long samples as well as this one.
func (t *tenure) recordPaces() {
	if time.Since(t.pacesAt) < pacesInterval {
		return
	}
	t.pacesAt = time.Now()
	paces := t.scheduler.Paces()
	if !pacesChanged(t.recordedPaces, paces) {
		return
	}
	t.recordedPaces = paces
	event.PacesRecorded.On(t.logger).Uint("engines", uint64(len(paces))).Send()
	go t.replica.Execute(t.context, ledger.Command{Paces: &ledger.Paces{Millis: paces}}.Encode())
}

// pacesChanged tells whether an engine's pace differs from the recorded one.
func pacesChanged(recorded, paces map[string]float64) bool {
	for id, pace := range paces {
		if math.Abs(pace-recorded[id]) > paceChange*pace {
			return true
		}
	}
	return false
}
