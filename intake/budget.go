package intake

import (
	"math"
	"sync/atomic"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("intake")
	// ErrBusy is the type of errors for data that the budget has no room for now. The same data may fit later.
	ErrBusy = namespace.NewType("busy")
	// ErrTooLarge is the type of errors for data that exceeds a limit, or the whole budget. It never fits.
	ErrTooLarge = namespace.NewType("too_large")
	// ErrTimeout is the type of errors for a body that makes no progress, or is not whole in time.
	ErrTimeout = namespace.NewType("timeout")
)

// IsRefusal reports whether the error says that a budget or a limit has no room.
func IsRefusal(err error) bool {
	return errorx.IsOfType(err, ErrBusy) || errorx.IsOfType(err, ErrTooLarge)
}

// Budget bounds the memory that the data of clients takes in a process. It is safe for concurrent use.
type Budget struct {
	limit    int64
	reserved atomic.Int64
}

// NewBudget returns a budget of that many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Unlimited returns a budget that is never used up.
func Unlimited() *Budget { return NewBudget(math.MaxInt64 / 2) }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Reserved returns the number of reserved bytes.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }

// Reservation is what one request, head or answer has reserved. The zero value is not usable; a Reservation is not safe for
// concurrent use.
type Reservation struct {
	budget *Budget
	// free bytes are not reserved, so that small data fits even while large data has used up the budget.
	free  int64
	bytes int64
}

// NewReservation returns a reservation of nothing, whose first free bytes need no room in the budget.
func (b *Budget) NewReservation(free int64) *Reservation { return &Reservation{budget: b, free: free} }

// Resize changes the reservation to that many bytes in total. If there is no room, it leaves the reservation as it is and
// returns an ErrBusy error, or an ErrTooLarge error if there never is.
func (r *Reservation) Resize(total int64) error {
	wanted := max(total-r.free, 0)
	increase := wanted - r.bytes
	if wanted > r.budget.limit {
		return ErrTooLarge.New("%d bytes exceed the budget of %d bytes", total, r.budget.limit)
	}
	if reserved := r.budget.reserved.Add(increase); increase > 0 && reserved > r.budget.limit {
		r.budget.reserved.Add(-increase)
		return ErrBusy.New("no room for %d bytes: %d of %d bytes are reserved", total, reserved-increase, r.budget.limit)
	}
	r.bytes = wanted
	return nil
}

// Release ends the reservation. It may be called repeatedly, and on nil.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budget.reserved.Add(-r.bytes)
	r.bytes = 0
}
