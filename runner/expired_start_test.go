package runner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// TestExpiredStartIsNotSent checks that a start pending for longer than maxPendingTime is dropped and its
// run interrupted.
func TestExpiredStartIsNotSent(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	link := &Link{runs: map[uint64]*linkRun{}, changed: make(chan struct{}, 1)}
	link.isOpen.Store(true)
	request := Request{Step: "s", Sample: &ledger.Sample{ID: "x"}, DecidedAt: clock.Now()}
	expired := &linkRun{ended: make(chan scheduler.RunEnd, 1)}
	_, ok := link.queueStart(expired, request)
	require.True(t, ok)
	source.Suspend(maxPendingTime + time.Millisecond)
	require.Empty(t, link.takePending().Starts)
	require.Equal(t, scheduler.Interrupted, <-expired.ended)
	require.Empty(t, link.runs)

	request.DecidedAt = clock.Now()
	prompt := &linkRun{ended: make(chan scheduler.RunEnd, 1)}
	number, ok := link.queueStart(prompt, request)
	require.True(t, ok)
	sent := link.takePending()
	require.Len(t, sent.Starts, 1)
	require.Equal(t, number, sent.Starts[0].Run)
	require.Contains(t, link.runs, number)
}
