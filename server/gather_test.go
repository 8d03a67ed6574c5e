package server

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBatcherProcessesInBatches checks that thousands of concurrent values are processed in few batches, each
// exactly once, and that each caller gets the outcome of its batch.
func TestBatcherProcessesInBatches(t *testing.T) {
	const items = 4000
	var batches, received, failed, sizeOfFailed atomic.Int64
	var mutex sync.Mutex
	processed := map[int]int{}
	release := make(chan struct{})
	errFailed := errors.New("batch failed")
	b := &batcher[int]{process: func(_ context.Context, batch []int) error {
		received.Add(int64(len(batch)))
		<-release
		number := batches.Add(1)
		require.LessOrEqual(t, len(batch), maxBatchSize)
		mutex.Lock()
		defer mutex.Unlock()
		for _, value := range batch {
			processed[value]++
		}
		if number == 2 {
			sizeOfFailed.Store(int64(len(batch)))
			return errFailed
		}
		return nil
	}}
	var callers sync.WaitGroup
	for number := range items {
		callers.Go(func() {
			if b.do(t.Context(), number) != nil {
				failed.Add(1)
			}
		})
	}
	allQueued := func() bool {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		return len(b.waiting)+int(received.Load()) == items
	}
	require.Eventually(t, allQueued, waitTimeout, pollInterval)
	close(release)
	callers.Wait()
	require.Len(t, processed, items)
	for number, count := range processed {
		require.Equal(t, 1, count, number)
	}
	require.LessOrEqual(t, batches.Load(), int64(items/maxBatchSize+2*maxConcurrentBatches))
	require.Equal(t, sizeOfFailed.Load(), failed.Load())
	require.NoError(t, b.do(t.Context(), items), "a new worker starts after all have ended")
}

// TestBatcherHonorsContext checks that do returns when its context ends, although the batch is still running.
func TestBatcherHonorsContext(t *testing.T) {
	release := make(chan struct{})
	b := &batcher[int]{process: func(context.Context, []int) error {
		<-release
		return nil
	}}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, b.do(ctx, 1), context.Canceled)
	close(release)
}
