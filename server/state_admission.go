package server

import (
	"sync"

	"github.com/dillchute/dillchute/intake"
)

// Parts of a process's memory, 1/divisor, for what it has accepted from clients and must keep.
const (
	// stepsDivisor is that for the steps of a store, which it keeps for the retention time.
	stepsDivisor = 6
	// backendsDivisor is that for the registrations of backends, of which each gateway has a copy.
	backendsDivisor = 32
	// defaultStateBytes replaces each part in a process without a memory limit.
	defaultStateBytes = 1 << 30
)

// stateAdmission bounds the memory of what a group of replicas has accepted: what it could not keep, it must refuse. The
// process that proposes an addition checks it; the other replicas hold the same state.
type stateAdmission struct {
	limit int64

	mutex sync.Mutex
	// proposed is the size of the additions that were admitted and are not known to be part of the state yet.
	proposed int64
}

// newStateAdmission returns the admission to a part, 1/divisor, of the memory limit in MiB, or 0 for none.
func newStateAdmission(memoryLimit, divisor int) *stateAdmission {
	if memoryLimit == 0 {
		return &stateAdmission{limit: defaultStateBytes}
	}
	return &stateAdmission{limit: int64(memoryLimit) * mebibyte / int64(divisor)}
}

// admit admits an addition of the size to a state of the size, both in bytes. The returned function must be called once the
// addition is part of the state, or was not accepted. It fails with intake.ErrTooLarge if the addition never fits, and with
// intake.ErrBusy if it does not fit now.
func (a *stateAdmission) admit(addition, state int64) (func(), error) {
	if addition > a.limit {
		return nil, intake.ErrTooLarge.New("%d bytes exceed the limit of %d bytes for the whole state", addition, a.limit)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if addition+state+a.proposed > a.limit {
		return nil, intake.ErrBusy.New("no room for %d bytes: %d of %d bytes are used", addition, state+a.proposed, a.limit)
	}
	a.proposed += addition
	return func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.proposed -= addition
	}, nil
}
