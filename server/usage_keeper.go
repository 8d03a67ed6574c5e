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
	// usageGather is how long totals wait for others, so that one entry keeps them all.
	usageGather = 100 * time.Millisecond
	// usageSettling is how long after its end a window is fixed: several times what
	// gateways take to tell, and less than half of the least time that reports are allowed.
	usageSettling = 3 * time.Second
	// usageRetry is the first pause after a report that was not taken; it doubles up to
	// usageRetryMost.
	usageRetry     = 250 * time.Millisecond
	usageRetryMost = time.Second
	// usageSubject names the duty in the record of acts.
	usageSubject = "usage"
)

// UsageSend is one report of usage on its way.
type UsageSend struct {
	DutySend
	Report usage.Report
}

// usageKeeper keeps what gateways count and, on the directory's leader, fixes windows and
// reports them.
type usageKeeper struct {
	settings config.Directory
	replica  *replica.Replica
	machine  *directory.Machine
	client   DutyClient
	clock    *usage.Clock
	duties   *dutyKeeper
	metrics  directoryMetrics
	logger   *zerolog.Logger
	// sending is set while a report is under way: there is one at a time.
	sending atomic.Bool

	mutex sync.Mutex
	// gathering holds totals that wait to be kept, and gathered is closed once they are.
	gathering []usage.Totals
	gathered  *gathered
}

// gathered is a set of totals that is kept by one entry.
type gathered struct {
	done chan struct{}
	err  error
}

// enabled tells whether usage is reported at all.
func (k *usageKeeper) enabled() bool { return k.settings.IsUsageReportingEnabled() && k.client != nil }

// take keeps a gateway's totals, on the leader. It returns once they are committed. While the
// true time is not known, the answer says nothing of it.
func (k *usageKeeper) take(ctx context.Context, call *usageCall) (*usageAnswer, error) {
	if !k.enabled() {
		return &usageAnswer{}, nil
	}
	if len(call.Totals) > 0 {
		if err := k.keep(ctx, call.Totals); err != nil {
			return nil, err
		}
	}
	now, known := k.now()
	if !known {
		return &usageAnswer{}, nil
	}
	answer := &usageAnswer{Now: now, Window: k.settings.UsageWindow}
	k.replica.Do(func() { answer.Fixed = k.machine.Usage().Fixed })
	return answer, nil
}

// keep commits the totals together with others that come at about the same time.
func (k *usageKeeper) keep(ctx context.Context, totals []usage.Totals) error {
	k.mutex.Lock()
	k.gathering = append(k.gathering, totals...)
	group := k.gathered
	if group == nil {
		group = &gathered{done: make(chan struct{})}
		k.gathered = group
		time.AfterFunc(usageGather, k.commit)
	}
	k.mutex.Unlock()
	select {
	case <-group.done:
		return group.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *usageKeeper) commit() {
	k.mutex.Lock()
	totals, group := k.gathering, k.gathered
	k.gathering, k.gathered = nil, nil
	k.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	_, group.err = k.replica.Execute(ctx, directory.Command{CountUsage: totals}.Encode())
	close(group.done)
}

// noteClock takes in a replica's time of day.
func (k *usageKeeper) noteClock(name string, timeOfDay int64) {
	k.clock.AddReading(name, timeOfDay, nowMillis())
}

// now returns the true time in milliseconds since 1970, if it is known.
func (k *usageKeeper) now() (int64, bool) {
	steady := nowMillis()
	ahead, known := k.clock.Offset(steady)
	return steady + ahead, known
}

// review fixes windows that are due and reports the earliest one that has not been taken,
// on the leader.
func (k *usageKeeper) review(ctx context.Context, tenants bool) {
	now, known := k.now()
	if !known || !tenants || !k.enabled() {
		return
	}
	var due []int64
	k.replica.Do(func() { due = k.machine.Usage().DueWindows(now, k.settings.UsageWindow, usageSettling) })
	for _, window := range due {
		if _, err := k.replica.Execute(ctx, directory.Command{FixUsage: window}.Encode()); err != nil {
			event.UsageUpdateFailed.On(k.logger).Uint("window", uint64(window)).Err(err).Send()
			return
		}
	}
	if k.sending.CompareAndSwap(false, true) {
		go func() {
			defer k.sending.Store(false)
			k.tellAll()
		}()
	}
}

// tellAll reports the windows that have not been taken, the earliest first, while this
// replica leads.
func (k *usageKeeper) tellAll() {
	for pause := usageRetry; ; pause = min(2*pause, usageRetryMost) {
		report, ok := k.next()
		if !ok {
			return
		}
		outcome, err := k.send(report)
		event.UsageReported.On(k.logger).Uint("window", uint64(report.Window)).Uint("tenants", uint64(len(report.Counts))).
			Uint("outcome", uint64(outcome)).Err(err).Send()
		if outcome == DutyTaken || outcome == DutyRefused {
			pause = usageRetry / 2
			k.forget(report.Window)
			continue
		}
		time.Sleep(pause)
	}
}

// next returns the report to be sent, if this replica leads and may send one.
func (k *usageKeeper) next() (report usage.Report, ok bool) {
	if !k.duties.mayAct(usageSubject) {
		return report, false
	}
	k.replica.Do(func() { report, ok = k.machine.Usage().NextReport() })
	return report, ok
}

// send sends a report.
func (k *usageKeeper) send(report usage.Report) (DutyOutcome, error) {
	return k.duties.act(usageSubject, nil, func(ctx context.Context, send DutySend) DutyOutcome {
		outcome := k.client.SendUsage(ctx, UsageSend{DutySend: send, Report: report})
		k.metrics.usage.WithLabelValues(outcome.String()).Inc()
		return outcome
	})
}

// forget notes that a window needs no more telling. If that fails the window is told again,
// in the same way.
func (k *usageKeeper) forget(window int64) {
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	if _, err := k.replica.Execute(ctx, directory.Command{ToldUsage: window}.Encode()); err != nil {
		event.UsageUpdateFailed.On(k.logger).Uint("window", uint64(window)).Err(err).Send()
	}
}
