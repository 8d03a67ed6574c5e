package server

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/usage"
)

const (
	// usageReportInterval is the time between usage reports. Together with usageBatchDelay it limits
	// the counts lost when a gateway is killed.
	usageReportInterval = 300 * time.Millisecond
	// minLoggedStall is the shortest stall of the gateway that is logged.
	minLoggedStall = time.Second
	// usageTimeout limits the time to send or commit usage.
	usageTimeout = time.Second
)

// usageCall reports the totals counted by a gateway.
type usageCall struct {
	Totals []usage.Totals `cbor:"1,keyasint,omitempty"`
}

// usageAnswer confirms that the totals are committed.
type usageAnswer struct {
	// Now is the true time in milliseconds since 1970.
	Now int64 `cbor:"1,keyasint"`
	// Window is the length of a window; 0 if usage reporting is disabled.
	Window time.Duration `cbor:"2,keyasint"`
	// Fixed is the newest fixed window.
	Fixed int64 `cbor:"3,keyasint"`
}

// usageReporter counts each tenant's started requests and reports them to the directory.
type usageReporter struct {
	watcher *Watcher
	meter   *usage.Meter
	// source identifies this incarnation of the process.
	source string
}

func newUsageReporter(name string, watcher *Watcher) *usageReporter {
	return &usageReporter{watcher: watcher, meter: usage.NewMeter(), source: name + "/" + strconv.FormatUint(rand.Uint64(), 36)}
}

// record counts a tenant's request that may have started on a backend. A request with several attempts
// counts once, at the start of the first one that may have run.
func (u *usageReporter) record(tenant string, result forward.Result) {
	if tenant == "" {
		return
	}
	for _, attempt := range result.History {
		if attempt.MayHaveRun() {
			u.meter.Record(tenant, nowMillis()-clock.Since(attempt.StartedAt).Milliseconds())
			return
		}
	}
}

// run reports usage until the context ends.
func (u *usageReporter) run(ctx context.Context) {
	pauses := clock.NewPauseDetector()
	for ctx.Err() == nil {
		sleep(ctx, usageReportInterval)
		if elapsed, suspended := pauses.Check(); elapsed > minLoggedStall {
			event.ProcessStalled.On(u.watcher.logger).Int("ms", elapsed.Milliseconds()).Int("suspended_ms", suspended.Milliseconds()).Send()
		}
		u.report(ctx)
		pauses.Check()
	}
}

// report sends the totals of all windows that are not fixed, if they have changed. Totals that were not
// accepted are sent again.
func (u *usageReporter) report(ctx context.Context) {
	totals, mark, changed := u.meter.Totals(u.source)
	if !changed {
		return
	}
	limited, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	answer, err := u.watcher.call(limited, directoryCall{Usage: &usageCall{Totals: totals}})
	if err != nil {
		event.UsageSendFailed.On(u.watcher.logger).Uint("windows", uint64(len(totals))).Err(err).Send()
		return
	}
	if answer.Usage == nil || answer.Usage.Window == 0 {
		return
	}
	u.meter.Acknowledge(mark, answer.Usage.Now, nowMillis(), answer.Usage.Fixed, answer.Usage.Window)
}

// flush reports the remaining counts at a graceful shutdown. It reports twice because the first answer
// may only provide the true time, which is needed to assign counts to windows.
func (u *usageReporter) flush(ctx context.Context) {
	u.report(ctx)
	u.report(ctx)
}
