package server

import (
	"math"
	"time"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/ledger"
)

const (
	// pacesInterval is the minimum time between two records of the engines' paces.
	pacesInterval = time.Second
	// minPaceChange is the relative change of a pace above which the paces are recorded again.
	minPaceChange = 0.1
)

// recordPaces records the engines' paces in the ledger if they have changed, for the next leader.
func (l *leadership) recordPaces() {
	if time.Since(l.pacesCheckedAt) < pacesInterval {
		return
	}
	l.pacesCheckedAt = time.Now()
	paces := l.scheduler.Paces()
	if !pacesChanged(l.recordedPaces, paces) {
		return
	}
	l.recordedPaces = paces
	event.PacesRecorded.On(l.logger).Uint("engines", uint64(len(paces))).Send()
	go l.replica.Execute(l.context, ledger.Command{Paces: &ledger.Paces{Millis: paces}}.Encode())
}

// pacesChanged reports whether any engine's pace differs noticeably from the recorded one.
func pacesChanged(recorded, paces map[string]float64) bool {
	for id, pace := range paces {
		if math.Abs(pace-recorded[id]) > minPaceChange*pace {
			return true
		}
	}
	return false
}
