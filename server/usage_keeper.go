package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/duty"
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
	// usageSendTimeout bounds one report. It is shorter than a lease by more than
	// duty.SendLimit, so that a successor's wait covers it.
	usageSendTimeout = 800 * time.Millisecond
	// usageSubject names the duty in the record of acts.
	usageSubject = "usage"
)

// UsageOutcome is what became of a report of usage.
type UsageOutcome uint8

// The outcomes.
const (
	// UsageTaken: the report is taken, now or before.
	UsageTaken UsageOutcome = iota + 1
	// UsageBusy: it was not taken, and may be sent again later.
	UsageBusy
	// UsageUnanswered: it may have been taken.
	UsageUnanswered
	// UsageRefused: it will never be taken.
	UsageRefused
)

// UsageSend is one report of usage on its way.
type UsageSend struct {
	Report usage.Report
	// Holder is the process that reports, and Fence rises with each change of it.
	Holder string
	Fence  uint64
	// SendBy is until when the report may be written, by package clock.
	SendBy time.Time
}

// UsageClient takes reports of usage out of the system.
type UsageClient interface {
	SendUsage(ctx context.Context, send UsageSend) UsageOutcome
}

// usageKeeper keeps what gateways count and, on the directory's leader, fixes windows and
// reports them.
type usageKeeper struct {
	settings config.Directory
	replica  *replica.Replica
	machine  *directory.Machine
	client   UsageClient
	clock    *usage.Clock
	acts     *duty.Watch
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
func (k *usageKeeper) enabled() bool { return k.settings.Reports() && k.client != nil }

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
	k.clock.Note(name, timeOfDay, nowMillis())
}

// now returns the true time in milliseconds since 1970, if it is known.
func (k *usageKeeper) now() (int64, bool) {
	steady := nowMillis()
	ahead, known := k.clock.Ahead(steady)
	return steady + ahead, known
}

// noteActs has every replica learn when others have acted.
func (k *usageKeeper) noteActs() {
	k.replica.Do(func() { k.acts.Note(nowMillis(), k.machine.Acts()) })
}

// review fixes windows that are due and reports the earliest one that has not been taken,
// on the leader.
func (k *usageKeeper) review(ctx context.Context, tenants bool) {
	now, known := k.now()
	if !known || !tenants || !k.enabled() {
		return
	}
	var due []int64
	k.replica.Do(func() { due = k.machine.Usage().Due(now, k.settings.UsageWindow, usageSettling) })
	for _, window := range due {
		if _, err := k.replica.Execute(ctx, directory.Command{FixUsage: window}.Encode()); err != nil {
			event.UsageUnfixed.On(k.logger).Uint("window", uint64(window)).Err(err).Send()
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
		if outcome == UsageTaken || outcome == UsageRefused {
			pause = usageRetry / 2
			k.forget(report.Window)
			continue
		}
		time.Sleep(pause)
	}
}

// next returns the report to be sent, if this replica leads and may send one.
func (k *usageKeeper) next() (report usage.Report, ok bool) {
	if !k.replica.Status().Serving {
		return report, false
	}
	k.noteActs()
	if nowMillis() < k.acts.FreeAt(usageSubject, k.settings.Name, k.settings.DutyLease) {
		return report, false
	}
	k.replica.Do(func() { report, ok = k.machine.Usage().Next() })
	return report, ok
}

// send sends a report after it was recorded that this process is about to. What took too
// long is not sent: another process may act by then.
func (k *usageKeeper) send(report usage.Report) (UsageOutcome, error) {
	term := k.replica.Status().Term
	began := clock.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(duty.SendLimit+usageSendTimeout))
	defer cancel()
	act := &duty.Act{Subject: usageSubject, Holder: k.settings.Name, At: nowMillis()}
	if _, err := k.replica.Execute(ctx, directory.Command{Act: act}.Encode()); err != nil {
		return UsageBusy, err
	}
	if status := k.replica.Status(); !status.Serving || status.Term != term || clock.Since(began) > duty.SendLimit {
		return UsageBusy, nil
	}
	outcome := k.client.SendUsage(ctx, UsageSend{Report: report, Holder: k.settings.Name, Fence: term, SendBy: began.Add(duty.SendLimit)})
	k.metrics.usage.WithLabelValues(outcome.String()).Inc()
	return outcome, nil
}

// forget notes that a window needs no more telling. If that fails the window is told again,
// in the same way.
func (k *usageKeeper) forget(window int64) {
	ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
	defer cancel()
	if _, err := k.replica.Execute(ctx, directory.Command{ToldUsage: window}.Encode()); err != nil {
		event.UsageUnfixed.On(k.logger).Uint("window", uint64(window)).Err(err).Send()
	}
}

// String returns the outcome's name in metrics.
func (o UsageOutcome) String() string {
	return [...]string{"unknown", "taken", "busy", "unanswered", "refused"}[o]
}
