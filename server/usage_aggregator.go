package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/usage"
)

const (
	// usageBatchDelay is how long totals are collected before they are committed as one log entry.
	usageBatchDelay = 100 * time.Millisecond
	// usageSettleDelay is the time between the end of a window and fixing it. It leaves gateways time
	// for several reports, and is less than half of the shortest permitted reporting time.
	usageSettleDelay = 3 * time.Second
	// minUsageRetryDelay is the initial delay after a report that was not accepted. It doubles up to
	// maxUsageRetryDelay.
	minUsageRetryDelay = 250 * time.Millisecond
	maxUsageRetryDelay = time.Second
	// usageSubject is the duty subject of usage reports.
	usageSubject = "usage"
)

// UsageSend is one attempt to send a usage report.
type UsageSend struct {
	DutySend
	Report usage.Report
}

// usageAggregator commits the totals counted by gateways. On the directory's leader it also fixes
// windows and reports them.
type usageAggregator struct {
	settings config.Directory
	replica  *replica.Replica
	machine  *directory.Machine
	client   DutyClient
	clock    *usage.Clock
	duties   *dutyCoordinator
	metrics  directoryMetrics
	logger   *zerolog.Logger
	// sending is set while reports are being sent.
	sending atomic.Bool

	mutex sync.Mutex
	// pendingTotals are the totals to commit with pendingBatch.
	pendingTotals []usage.Totals
	pendingBatch  *usageBatch
}

// usageBatch is a set of totals committed as one log entry. Its done channel is closed afterwards.
type usageBatch struct {
	done chan struct{}
	err  error
}

// isEnabled reports whether usage reporting is configured.
func (a *usageAggregator) isEnabled() bool {
	return a.settings.IsUsageReportingEnabled() && a.client != nil
}

// handleCall commits a gateway's totals on the leader and returns the current time and window. The
// answer is empty while the time is unknown.
func (a *usageAggregator) handleCall(ctx context.Context, call *usageCall) (*usageAnswer, error) {
	if !a.isEnabled() {
		return &usageAnswer{}, nil
	}
	if len(call.Totals) > 0 {
		if err := a.commitTotals(ctx, call.Totals); err != nil {
			return nil, err
		}
	}
	now, known := a.now()
	if !known {
		return &usageAnswer{}, nil
	}
	answer := &usageAnswer{Now: now, Window: a.settings.UsageWindow}
	a.replica.Do(func() { answer.Fixed = a.machine.Usage().Fixed })
	return answer, nil
}

// commitTotals adds the totals to the pending batch and waits until it is committed.
func (a *usageAggregator) commitTotals(ctx context.Context, totals []usage.Totals) error {
	a.mutex.Lock()
	a.pendingTotals = append(a.pendingTotals, totals...)
	batch := a.pendingBatch
	if batch == nil {
		batch = &usageBatch{done: make(chan struct{})}
		a.pendingBatch = batch
		time.AfterFunc(usageBatchDelay, a.commitBatch)
	}
	a.mutex.Unlock()
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *usageAggregator) commitBatch() {
	a.mutex.Lock()
	totals, batch := a.pendingTotals, a.pendingBatch
	a.pendingTotals, a.pendingBatch = nil, nil
	a.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	_, batch.err = a.replica.Execute(ctx, directory.Command{CountUsage: totals}.Encode())
	close(batch.done)
}

// recordClock records a reading of a replica's wall clock.
func (a *usageAggregator) recordClock(name string, wallMillis int64) {
	a.clock.AddReading(name, wallMillis, nowMillis())
}

// now returns the true time in milliseconds since 1970, if it is known.
func (a *usageAggregator) now() (int64, bool) {
	monotonic := nowMillis()
	offset, known := a.clock.Offset(monotonic)
	return monotonic + offset, known
}

// review fixes the due windows and starts reporting. It runs on the leader.
func (a *usageAggregator) review(ctx context.Context, hasTenants bool) {
	now, known := a.now()
	if !known || !hasTenants || !a.isEnabled() {
		return
	}
	var due []int64
	a.replica.Do(func() { due = a.machine.Usage().DueWindows(now, a.settings.UsageWindow, usageSettleDelay) })
	for _, window := range due {
		if _, err := a.replica.Execute(ctx, directory.Command{FixUsage: window}.Encode()); err != nil {
			event.UsageUpdateFailed.On(a.logger).Uint("window", uint64(window)).Err(err).Send()
			return
		}
	}
	if a.sending.CompareAndSwap(false, true) {
		go func() {
			defer a.sending.Store(false)
			a.reportWindows()
		}()
	}
}

// reportWindows sends the unreported windows, earliest first, while this replica is the leader.
func (a *usageAggregator) reportWindows() {
	for delay := minUsageRetryDelay; ; delay = min(2*delay, maxUsageRetryDelay) {
		report, ok := a.nextReport()
		if !ok {
			return
		}
		outcome, err := a.sendReport(report)
		event.UsageReported.On(a.logger).Uint("window", uint64(report.Window)).Uint("tenants", uint64(len(report.Counts))).
			Uint("outcome", uint64(outcome)).Err(err).Send()
		if outcome == DutyAccepted || outcome == DutyRefused {
			delay = minUsageRetryDelay / 2
			a.markReported(report.Window)
			continue
		}
		time.Sleep(delay)
	}
}

// nextReport returns the next report if this replica may send it.
func (a *usageAggregator) nextReport() (report usage.Report, ok bool) {
	if !a.duties.mayAct(usageSubject) {
		return report, false
	}
	a.replica.Do(func() { report, ok = a.machine.Usage().NextReport() })
	return report, ok
}

// sendReport sends a report.
func (a *usageAggregator) sendReport(report usage.Report) (DutyOutcome, error) {
	return a.duties.act(usageSubject, nil, func(ctx context.Context, send DutySend) DutyOutcome {
		outcome := a.client.SendUsage(ctx, UsageSend{DutySend: send, Report: report})
		a.metrics.usageReports.WithLabelValues(outcome.String()).Inc()
		return outcome
	})
}

// markReported records that a window has been reported. If that fails, the same report is sent again.
func (a *usageAggregator) markReported(window int64) {
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	if _, err := a.replica.Execute(ctx, directory.Command{ToldUsage: window}.Encode()); err != nil {
		event.UsageUpdateFailed.On(a.logger).Uint("window", uint64(window)).Err(err).Send()
	}
}
