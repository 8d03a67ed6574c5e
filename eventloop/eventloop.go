// Package eventloop runs a deterministic core in a single goroutine. Functions submitted from any
// goroutine run one at a time, and their output is flushed once per batch.
package eventloop

import (
	"context"
	"time"
)

const (
	queueCapacity = 4096
	// maxBatch bounds the number of functions between two flushes.
	maxBatch = 1024
)

// Loop runs submitted functions one at a time.
type Loop struct {
	calls chan func()
	done  chan struct{}
}

// New returns a loop that queues functions until Run is called.
func New() *Loop {
	return &Loop{calls: make(chan func(), queueCapacity), done: make(chan struct{})}
}

// Submit queues f and blocks while the queue is full. It returns false if the loop has ended; f may
// then never run.
func (l *Loop) Submit(f func()) bool {
	select {
	case l.calls <- f:
		return true
	case <-l.done:
		return false
	}
}

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Run runs the submitted functions, calls tick at the interval, and calls flush after each batch. It
// returns when the context ends or flush returns an error, with that error.
func (l *Loop) Run(ctx context.Context, interval time.Duration, tick func(), flush func() error) error {
	defer close(l.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			tick()
		case call := <-l.calls:
			call()
			l.drain()
		}
		if err := flush(); err != nil {
			return err
		}
	}
}

func (l *Loop) drain() {
	for count := 1; count < maxBatch; count++ {
		select {
		case call := <-l.calls:
			call()
		default:
			return
		}
	}
}

// Call runs f in the loop and returns its result. It returns false if the loop ended before f ran.
func Call[T any](l *Loop, f func() T) (T, bool) {
	results := make(chan T, 1)
	var zero T
	if !l.Submit(func() { results <- f() }) {
		return zero, false
	}
	select {
	case result := <-results:
		return result, true
	case <-l.done:
	}
	// The loop may have run f before it ended.
	select {
	case result := <-results:
		return result, true
	default:
		return zero, false
	}
}
