package forward

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// unreservedBodyBytes is the part of each response body that needs no reservation: small responses are read
	// even while large ones have used up the budget.
	unreservedBodyBytes = 64 << 10
	// bodyReadBytes is the size of the first read, and of the smallest later one.
	bodyReadBytes = 4 << 10
	// maxBodyFraction is the largest fraction of the budget that one body may use.
	maxBodyFraction = 0.5
	// memoryDivisor sets the part of a process's memory, 1/memoryDivisor, that is its budget. A body that grows is
	// held twice for a moment.
	memoryDivisor = 8
	// defaultBudgetBytes is the budget of a process without a memory limit.
	defaultBudgetBytes = 128 << 20
)

// ErrBodyTooLarge is returned for a body that exceeds what one may use, or what is left of the budget.
var ErrBodyTooLarge = errors.New("response body too large")

// BodyBudget bounds the memory of the response bodies that a process is reading. A faulty backend may send
// bytes without end, and many requests may be at it. It is safe for concurrent use.
type BodyBudget struct {
	limit    int64
	reserved atomic.Int64
}

// NewProcessBodyBudget returns the budget of a process with that memory limit in MiB, or 0 for none.
func NewProcessBodyBudget(memoryLimit int) *BodyBudget {
	if memoryLimit == 0 {
		return NewBodyBudget(defaultBudgetBytes)
	}
	return NewBodyBudget(int64(memoryLimit) << 20 / memoryDivisor)
}

// NewBodyBudget returns a budget of that many bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// MaxBodyBytes returns the size above which no body can be read.
func (b *BodyBudget) MaxBodyBytes() int64 { return int64(maxBodyFraction * float64(b.limit)) }

// ReadBody reads the body to its end. The caller must close it; if the error is ErrBodyTooLarge, it holds more.
func (b *BodyBudget) ReadBody(body io.Reader) ([]byte, error) {
	reserved := int64(0)
	defer func() { b.reserved.Add(-reserved) }()
	data := make([]byte, 0, bodyReadBytes)
	for {
		count, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if len(data) < cap(data) {
			continue
		}
		capacity := min(2*int64(cap(data)), b.MaxBodyBytes())
		if capacity == int64(cap(data)) || !b.reserve(capacity, &reserved) {
			return nil, ErrBodyTooLarge
		}
		data = append(make([]byte, 0, capacity), data...)
	}
}

// reserve increases the reservation of a body to the capacity, and reports whether the budget allows it.
func (b *BodyBudget) reserve(capacity int64, reserved *int64) bool {
	if capacity <= unreservedBodyBytes {
		return true
	}
	increase := capacity - *reserved
	if b.reserved.Add(increase) > b.limit {
		b.reserved.Add(-increase)
		return false
	}
	*reserved = capacity
	return true
}
