package server

import (
	"context"
	"strconv"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

const (
	orderTimeout  = 800 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	// minLoadTime is the time from the start of a load to the first query of the engine.
	minLoadTime = 900 * time.Millisecond
	// loadPollInterval is the time between queries of a loading engine.
	loadPollInterval = 60 * time.Millisecond
	// loadTimeout is the time after which a load counts as failed.
	loadTimeout = 8 * time.Second
	// conflictBackoff is the pause after an order that conflicted with another one or was not answered.
	conflictBackoff = 250 * time.Millisecond
)

// runLoad sends a load order until the engine holds the version. Each request contains the engine's expected
// sequence, so that only one of a delayed request and its retry takes effect.
func (l *leadership) runLoad(order scheduler.LoadOrder) {
	limited, cancel := context.WithTimeout(l.context, loadTimeout)
	defer cancel()
	began := clock.Now()
	held, loaded := l.loadUntilHeld(limited, order)
	outcome := "done"
	if held < order.Version {
		outcome = "failed"
	}
	l.metrics.loads.WithLabelValues(outcome).Observe(clock.Since(began).Seconds())
	l.loop.Submit(func() {
		l.loadsCheckedAt = time.Time{}
		line := event.LoadEnded.On(l.logger).Str("engine", order.Backend.ID).Str("model", order.Model).
			Uint("version", order.Version).Uint("held", held)
		line.Send()
		if held >= order.Version {
			l.scheduler.LoadCompleted(nowMillis(), order.Backend.ID, order.Model, held, loaded)
			return
		}
		l.scheduler.LoadFailed(nowMillis(), order.Backend.ID)
	})
}

// loadUntilHeld returns the version that the engine holds at the end, 0 if unknown, and whether this order
// loaded it.
func (l *leadership) loadUntilHeld(ctx context.Context, order scheduler.LoadOrder) (held uint64, loaded bool) {
	for ctx.Err() == nil {
		report, err := l.queryEngine(ctx, order.Backend)
		if err != nil || !l.isSameIncarnation(order.Backend, report) {
			return 0, false
		}
		if held := report.versionOf(order.Model); held >= order.Version {
			return held, false
		}
		if report.Busy {
			sleep(ctx, loadPollInterval)
			continue
		}
		request := LoadRequest{Order: order, Holder: l.settings.Name, Fence: l.term, Sequence: report.Sequence}
		switch l.sendOrder(ctx, request) {
		case LoadHeld:
			return order.Version, false
		case LoadRefused:
			return 0, false
		case LoadConflict, LoadUnanswered:
			sleep(ctx, conflictBackoff)
		case LoadStarted:
			sleep(ctx, minLoadTime)
			if held := l.awaitLoad(ctx, order); held >= order.Version {
				return held, true
			}
		}
	}
	return 0, false
}

// sendOrder records the order in the ledger for the next leader, then sends it. It does not send the order if
// recording took longer than duty.MaxStartDelay.
func (l *leadership) sendOrder(ctx context.Context, request LoadRequest) LoadAnswer {
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := clock.Now()
	record := &duty.Action{Subject: orderSubject(request.Order.Backend), Holder: l.settings.Name, At: nowMillis()}
	if _, err := l.replica.Execute(limited, ledger.Command{Order: record}.Encode()); err != nil || clock.Since(began) > duty.MaxStartDelay {
		return LoadConflict
	}
	request.SendBy = began.Add(duty.MaxStartDelay)
	answer := l.engines.Load(limited, request)
	l.metrics.orders.WithLabelValues(strconv.Itoa(int(answer))).Inc()
	event.LoadOrdered.On(l.logger).Str("engine", request.Order.Backend.ID).Uint("version", request.Order.Version).
		Uint("fence", request.Fence).Uint("sequence", request.Sequence).Uint("answer", uint64(answer)).Send()
	return answer
}

// orderSubject returns the subject of the engine's order lease. All incarnations under one name share it,
// so that a new leader also waits for the lease after the engine has restarted.
func orderSubject(backend directory.Backend) string { return backend.NameOrID() }

// isSameIncarnation reports whether the report is from the incarnation that the order is meant for. A later
// one reports its versions when it registers, and counts orders from zero.
func (l *leadership) isSameIncarnation(backend directory.Backend, report EngineReport) bool {
	if report.StartTime == backend.Born || report.StartTime == 0 || backend.Born == 0 {
		return true
	}
	event.EngineRestarted.On(l.logger).Str("engine", backend.ID).Int("born", report.StartTime).Send()
	return false
}

// awaitLoad polls the engine until its load has ended, and returns the version that it holds.
func (l *leadership) awaitLoad(ctx context.Context, order scheduler.LoadOrder) uint64 {
	for ctx.Err() == nil {
		report, err := l.queryEngine(ctx, order.Backend)
		held := report.versionOf(order.Model)
		if err != nil || !l.isSameIncarnation(order.Backend, report) {
			return 0
		}
		if held >= order.Version || !report.Busy {
			return held
		}
		sleep(ctx, loadPollInterval)
	}
	return 0
}

func (l *leadership) queryEngine(ctx context.Context, backend directory.Backend) (EngineReport, error) {
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return l.engines.Report(limited, backend)
}

func (r EngineReport) versionOf(model string) uint64 {
	for _, held := range r.Models {
		if held.Model == model {
			return held.Version
		}
	}
	return 0
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}
