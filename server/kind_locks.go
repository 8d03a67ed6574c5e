package server

import (
	"sync"

	"github.com/dillchute/dillchute/quarantine"
)

// kindLocks allows one reward call at a time for each suspected kind, so that each call knows the result of
// the one before. Otherwise all calls that waited for a backend could crash several backends at once. It is
// safe for concurrent use.
type kindLocks struct {
	mutex  sync.Mutex
	locked map[quarantine.Fingerprint]bool
}

func newKindLocks() *kindLocks { return &kindLocks{locked: map[quarantine.Fingerprint]bool{}} }

// tryLock locks the kind and reports whether it was free. If so, the caller must call unlock.
func (k *kindLocks) tryLock(kind quarantine.Fingerprint) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.locked[kind] {
		return false
	}
	k.locked[kind] = true
	return true
}

func (k *kindLocks) unlock(kind quarantine.Fingerprint) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	delete(k.locked, kind)
}
