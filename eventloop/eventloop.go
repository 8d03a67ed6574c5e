// Package eventloop runs a deterministic core in a process: calls from any
// goroutine are carried out one after the other by one goroutine, and what
// they produced is flushed once for each batch of calls that had gathered.
package eventloop

import (
	"context"
	"time"
)

const (
	queueLength = 4096
	// maxBatch bounds the calls between two flushes.
	maxBatch = 1024
)

// Loop carries out calls one after the other.
type Loop struct {
	calls chan func()
	done  chan struct{}
}

// New returns a loop that accepts calls and carries none out before Run.
func New() *Loop {
	return &Loop{calls: make(chan func(), queueLength), done: make(chan struct{})}
}

// Call queues the function and waits while the queue is full. It returns false
// if the loop has ended; the function may then never run.
func (l *Loop) Call(call func()) bool {
	select {
	case l.calls <- call:
		return true
	case <-l.done:
		return false
	}
}

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Run carries out calls, ticks at the interval, and flushes after each batch,
// until the context ends or flush returns an error, which it returns.
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

// Ask carries out the question in the loop and returns its answer. It returns
// false if the loop has ended before.
func Ask[T any](l *Loop, question func() T) (T, bool) {
	answered := make(chan T, 1)
	var none T
	if !l.Call(func() { answered <- question() }) {
		return none, false
	}
	select {
	case answer := <-answered:
		return answer, true
	case <-l.done:
	}
	// The loop may have carried the call out before it ended.
	select {
	case answer := <-answered:
		return answer, true
	default:
		return none, false
	}
}
