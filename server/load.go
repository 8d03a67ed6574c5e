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
	// loadTime is how long an engine loads at least, before it is asked.
	loadTime = 900 * time.Millisecond
	// loadPoll is the time between questions whether a load has ended.
	loadPoll = 60 * time.Millisecond
	// loadLimit is how long a load may take before it counts as failed.
	loadLimit = 8 * time.Second
	// conflictPause is waited after an order that met another one.
	conflictPause = 250 * time.Millisecond
)

// load carries an order through: it is sent until the engine holds the version.
// Each send names the sequence that the engine must be at, so that of an order
// which is carried out late and its repetition only one takes effect.
func (t *tenure) load(order scheduler.LoadOrder) {
	limited, cancel := context.WithTimeout(t.context, loadLimit)
	defer cancel()
	began := clock.Now()
	held, tookPlace := t.loadUntilHeld(limited, order)
	outcome := "done"
	if held < order.Version {
		outcome = "failed"
	}
	t.metrics.loads.WithLabelValues(outcome).Observe(clock.Since(began).Seconds())
	t.loop.Submit(func() {
		t.ordersAt = time.Time{}
		line := event.LoadEnded.On(t.logger).Str("engine", order.Backend.ID).Str("model", order.Model).
			Uint("version", order.Version).Uint("held", held)
		line.Send()
		if held >= order.Version {
			t.scheduler.LoadCompleted(nowMillis(), order.Backend.ID, order.Model, held, tookPlace)
			return
		}
		t.scheduler.LoadFailed(nowMillis(), order.Backend.ID)
	})
}

// loadUntilHeld returns the version that the engine holds in the end, 0 if none is
// known, and whether it loaded it by this order.
func (t *tenure) loadUntilHeld(ctx context.Context, order scheduler.LoadOrder) (held uint64, tookPlace bool) {
	for ctx.Err() == nil {
		report, err := t.report(ctx, order.Backend)
		if err != nil || !t.isSameLife(order.Backend, report) {
			return 0, false
		}
		if held := report.version(order.Model); held >= order.Version {
			return held, false
		}
		if report.Busy {
			sleep(ctx, loadPoll)
			continue
		}
		request := LoadRequest{Order: order, Holder: t.settings.Name, Fence: t.term, Sequence: report.Sequence}
		switch t.sendOrder(ctx, request) {
		case LoadHeld:
			return order.Version, false
		case LoadRefused:
			return 0, false
		case LoadConflict, LoadUnanswered:
			sleep(ctx, conflictPause)
		case LoadStarted:
			sleep(ctx, loadTime)
			if held := t.awaitLoad(ctx, order); held >= order.Version {
				return held, true
			}
		}
	}
	return 0, false
}

// sendOrder gives an order, which is recorded first: the next leader must know
// of it. An order that was recorded too long ago is not given any more.
func (t *tenure) sendOrder(ctx context.Context, request LoadRequest) LoadAnswer {
	limited, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := clock.Now()
	record := &duty.Action{Subject: orderSubject(request.Order.Backend), Holder: t.settings.Name, At: nowMillis()}
	if _, err := t.replica.Execute(limited, ledger.Command{Order: record}.Encode()); err != nil || clock.Since(began) > duty.MaxStartDelay {
		return LoadConflict
	}
	request.SendBy = began.Add(duty.MaxStartDelay)
	answer := t.engines.Load(limited, request)
	t.metrics.orders.WithLabelValues(strconv.Itoa(int(answer))).Inc()
	event.LoadOrdered.On(t.logger).Str("engine", request.Order.Backend.ID).Uint("version", request.Order.Version).
		Uint("fence", request.Fence).Uint("sequence", request.Sequence).Uint("answer", uint64(answer)).Send()
	return answer
}

// orderSubject names the engine whose holders of orders are kept apart: all lives under one name
// count as one engine, so that a new leader waits for the lease whether or not it has started again.
func orderSubject(backend directory.Backend) string { return backend.NameOrID() }

// isSameLife tells whether a report is of the life that an order was meant for. What a later one
// holds is told by its own registration, and its count of orders has begun anew.
func (t *tenure) isSameLife(backend directory.Backend, report EngineReport) bool {
	if report.Born == backend.Born || report.Born == 0 || backend.Born == 0 {
		return true
	}
	event.EngineRestarted.On(t.logger).Str("engine", backend.ID).Int("born", report.Born).Send()
	return false
}

// awaitLoad asks the engine until it has loaded, and returns what it holds.
func (t *tenure) awaitLoad(ctx context.Context, order scheduler.LoadOrder) uint64 {
	for ctx.Err() == nil {
		report, err := t.report(ctx, order.Backend)
		held := report.version(order.Model)
		if err != nil || !t.isSameLife(order.Backend, report) {
			return 0
		}
		if held >= order.Version || !report.Busy {
			return held
		}
		sleep(ctx, loadPoll)
	}
	return 0
}

func (t *tenure) report(ctx context.Context, backend directory.Backend) (EngineReport, error) {
	limited, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return t.engines.Report(limited, backend)
}

func (r EngineReport) version(model string) uint64 {
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
