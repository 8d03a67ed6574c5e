package server

import (
	"sync"

	"github.com/dillchute/dillchute/quarantine"
)

// kindTurns lets one reward call of each suspected kind be under way at a time, so that each knows
// what the one before has done. Without it all that had waited for a backend to come back would end
// as many backends as it reaches at that moment. It may be used concurrently.
type kindTurns struct {
	mutex sync.Mutex
	taken map[quarantine.Fingerprint]bool
}

func newKindTurns() *kindTurns { return &kindTurns{taken: map[quarantine.Fingerprint]bool{}} }

// take takes the kind's turn, and tells whether it was free. leave must follow then.
func (k *kindTurns) take(kind quarantine.Fingerprint) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.taken[kind] {
		return false
	}
	k.taken[kind] = true
	return true
}

func (k *kindTurns) leave(kind quarantine.Fingerprint) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.taken, kind)
}
