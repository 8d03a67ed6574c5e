package server

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestGatherCarriesInBatches: thousands of things that come at once go in few batches, each once
// and with its batch's outcome.
func TestGatherCarriesInBatches(t *testing.T) {
	const things = 4000
	var batches, taken, failed, inFailed atomic.Int64
	var mutex sync.Mutex
	carried := map[int]int{}
	release := make(chan struct{})
	errFailed := errors.New("not carried")
	g := &gather[int]{carry: func(_ context.Context, batch []int) error {
		taken.Add(int64(len(batch)))
		<-release
		number := batches.Add(1)
		require.LessOrEqual(t, len(batch), gatherMost)
		mutex.Lock()
		defer mutex.Unlock()
		for _, one := range batch {
			carried[one]++
		}
		if number == 2 {
			inFailed.Store(int64(len(batch)))
			return errFailed
		}
		return nil
	}}
	var wait sync.WaitGroup
	for number := range things {
		wait.Go(func() {
			if g.do(t.Context(), number) != nil {
				failed.Add(1)
			}
		})
	}
	waiting := func() bool {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		return len(g.waiting)+int(taken.Load()) == things
	}
	require.Eventually(t, waiting, eventuallyTimeout, eventuallyInterval)
	close(release)
	wait.Wait()
	require.Len(t, carried, things)
	for number, times := range carried {
		require.Equal(t, 1, times, number)
	}
	require.LessOrEqual(t, batches.Load(), int64(things/gatherMost+2*gatherLines))
	require.Equal(t, inFailed.Load(), failed.Load())
	require.NoError(t, g.do(t.Context(), things), "the lines begin anew")
}

// TestGatherLeavesWhoeverHasLeft: a caller whose time is over is not kept by its batch.
func TestGatherLeavesWhoeverHasLeft(t *testing.T) {
	release := make(chan struct{})
	g := &gather[int]{carry: func(context.Context, []int) error {
		<-release
		return nil
	}}
	ended, end := context.WithCancel(t.Context())
	end()
	require.ErrorIs(t, g.do(ended, 1), context.Canceled)
	close(release)
}
