package server

import (
	"context"
	"sync"
	"time"
)

const (
	// maxConcurrentBatches allows more than one batch at a time, so that a batch which runs into its
	// timeout does not block the next one.
	maxConcurrentBatches = 4
	// maxBatchSize keeps a batch's log entry below a few hundred kilobytes.
	maxBatchSize = 512
	// batchTimeout limits the processing of one batch. It is slightly longer than callers wait.
	batchTimeout = time.Second
)

// batcher processes values in batches, to reduce the number of calls and log entries. A value is processed
// immediately if a worker is available; otherwise it joins the next batch. A thousand values at a time take
// some ten calls and log entries. It is safe for concurrent use.
type batcher[T any] struct {
	process func(ctx context.Context, batch []T) error

	mutex   sync.Mutex
	waiting []batchItem[T]
	workers int
}

// batchItem is a value whose caller waits for the outcome of its batch.
type batchItem[T any] struct {
	value T
	done  chan error
}

// do processes the value and returns the outcome of its batch. It returns early if the context ends.
func (b *batcher[T]) do(ctx context.Context, value T) error {
	item := batchItem[T]{value: value, done: make(chan error, 1)}
	b.mutex.Lock()
	b.waiting = append(b.waiting, item)
	if b.workers < maxConcurrentBatches {
		b.workers++
		go b.processBatches()
	}
	b.mutex.Unlock()
	select {
	case err := <-item.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// processBatches processes batches until no values are waiting.
func (b *batcher[T]) processBatches() {
	for batch := b.nextBatch(); len(batch) > 0; batch = b.nextBatch() {
		values := make([]T, 0, len(batch))
		for _, item := range batch {
			values = append(values, item.value)
		}
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		err := b.process(ctx, values)
		cancel()
		for _, item := range batch {
			item.done <- err
		}
	}
}

// nextBatch returns the next batch. If it is empty, the calling worker must end.
func (b *batcher[T]) nextBatch() []batchItem[T] {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	batch := b.waiting[:min(len(b.waiting), maxBatchSize)]
	b.waiting = b.waiting[len(batch):]
	if len(batch) == 0 {
		b.waiting = nil
		b.workers--
	}
	return batch
}
