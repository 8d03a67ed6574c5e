package forward

import (
	"errors"
	"io"

	"github.com/joomcode/errorx"

	"github.com/dillchute/dillchute/intake"
)

const (
	// unreservedBodyBytes is the part of each response body that needs no reservation: small responses are read
	// even while large ones have used up the budget.
	unreservedBodyBytes = 16 << 10
	// maxBodyDivisor sets the part of the budget, 1/maxBodyDivisor, that one body may use.
	maxBodyDivisor = 4
)

// ErrBodyTooLarge is returned for a body that exceeds what one may use, or what is left of the budget.
var ErrBodyTooLarge = errors.New("response body too large")

// BodyBudget bounds the memory of the response bodies that a process holds. A faulty backend may send bytes without end,
// and callers may read slowly. It is safe for concurrent use.
type BodyBudget struct{ budget *intake.Budget }

// NewBodyBudget returns a budget for response bodies, which may share its room with other data.
func NewBodyBudget(budget *intake.Budget) *BodyBudget { return &BodyBudget{budget: budget} }

// MaxBodyBytes returns the size above which no body can be read.
func (b *BodyBudget) MaxBodyBytes() int64 { return b.budget.Limit() / maxBodyDivisor }

// ReadBody reads the body, whose sender states the length or a negative one, to its end. The caller must close it; if the
// error is ErrBodyTooLarge, it holds more. The memory is reserved until the scope ends, or until ReadBody returns if the
// scope is nil.
func (b *BodyBudget) ReadBody(body io.Reader, length int64, scope *intake.Scope) ([]byte, error) {
	read, err := b.budget.Read(body, length, b.MaxBodyBytes(), unreservedBodyBytes)
	if errorx.IsOfType(err, intake.ErrTooLarge) || errorx.IsOfType(err, intake.ErrBusy) {
		return nil, ErrBodyTooLarge
	}
	if err != nil {
		return nil, err
	}
	if scope == nil {
		read.Release()
	} else {
		scope.Add(read.Memory)
	}
	return read.Bytes, nil
}
