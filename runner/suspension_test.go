package runner

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// TestStartFromBeforeASuspensionIsNotBegun: neither does a leader that was suspended send what
// it had decided before, nor a runner begin what it was asked for before.
func TestStartBeforeSuspensionIsNotRun(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()

	link := &Link{runs: map[uint64]*linkRun{}, changed: make(chan struct{}, 1)}
	link.isOpen.Store(true)
	run := &linkRun{ended: make(chan scheduler.RunEnd, 1)}
	_, ok := link.queueStart(run, Request{Step: "s", Sample: &ledger.Sample{ID: "x"}, DecidedAt: clock.Now()})
	require.True(t, ok)
	source.Suspend(time.Hour)
	require.Empty(t, link.takePending().Starts)
	require.Equal(t, scheduler.Interrupted, <-run.ended)

	logger := zerolog.Nop()
	served := newServerLink(NewServer(scriptedEngine(unreachableEngine), &logger), context.Background(), 1, nil)
	require.True(t, served.isRecentReport(0))
	source.Suspend(time.Hour)
	require.False(t, served.isRecentReport(0))
	served.startRun(start{Run: 1, Sample: &ledger.Sample{}}, 0)
	require.Equal(t, []runReport{{Run: 1, End: scheduler.Interrupted}}, append(served.nextReport().Runs, served.nextReport().Runs...))
}
