package server

import (
	"context"
	"sync"
	"time"
)

const (
	// gatherLines is how many batches may be under way: one that waits for an answer in vain
	// does not hold the next one up.
	gatherLines = 4
	// gatherMost bounds a batch, so that one entry of the log stays below a few hundred
	// kilobytes.
	gatherMost = 512
	// gatherTimeout bounds a batch's way, a little longer than callers wait.
	gatherTimeout = time.Second
)

// gather carries things on in batches: whatever comes while batches are under way goes with the
// next one. Nothing waits while none is, so that one alone is as quick as without; a thousand at a
// time cost some ten calls and entries of the log. It may be used concurrently.
type gather[T any] struct {
	carry func(ctx context.Context, batch []T) error

	mutex    sync.Mutex
	waiting  []enlisted[T]
	underWay int
}

// enlisted is one thing that waits for its batch's outcome.
type enlisted[T any] struct {
	thing T
	done  chan error
}

// do carries the thing on and returns its batch's outcome. It returns early if the context ends.
func (g *gather[T]) do(ctx context.Context, thing T) error {
	one := enlisted[T]{thing: thing, done: make(chan error, 1)}
	g.mutex.Lock()
	g.waiting = append(g.waiting, one)
	if g.underWay < gatherLines {
		g.underWay++
		go g.carryOn()
	}
	g.mutex.Unlock()
	select {
	case err := <-one.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// carryOn carries batches on until nothing waits.
func (g *gather[T]) carryOn() {
	for batch := g.take(); len(batch) > 0; batch = g.take() {
		things := make([]T, 0, len(batch))
		for _, one := range batch {
			things = append(things, one.thing)
		}
		ctx, cancel := context.WithTimeout(context.Background(), gatherTimeout)
		err := g.carry(ctx, things)
		cancel()
		for _, one := range batch {
			one.done <- err
		}
	}
}

// take returns the next batch, and counts the line as ended if there is none.
func (g *gather[T]) take() []enlisted[T] {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	batch := g.waiting[:min(len(g.waiting), gatherMost)]
	g.waiting = g.waiting[len(batch):]
	if len(batch) == 0 {
		g.waiting = nil
		g.underWay--
	}
	return batch
}
