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

// TestStartBeforeSuspensionIsNotRun checks that, after a suspension, a leader does not send starts decided
// before it and a runner refuses starts sent before it.
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
	runnerLink := newServerLink(NewServer(scriptedEngine(unreachableEngine), &logger), context.Background(), 1, nil)
	require.True(t, runnerLink.isRecentReport(0))
	source.Suspend(time.Hour)
	require.False(t, runnerLink.isRecentReport(0))
	runnerLink.startRun(start{Run: 1, Sample: &ledger.Sample{}}, 0)
	require.Equal(t, []runReport{{Run: 1, End: scheduler.Interrupted}}, append(runnerLink.nextReport().Runs, runnerLink.nextReport().Runs...))
}
