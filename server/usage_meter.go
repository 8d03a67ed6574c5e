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
	// usageInterval is the time between two looks for counts that were not told. What a
	// gateway that is killed takes with it is bounded by it and by usageGather.
	usageInterval = 300 * time.Millisecond
	// standstillTold is how long a gateway must have stood still to say so.
	standstillTold = time.Second
	// usageTimeout bounds the telling of counts.
	usageTimeout = time.Second
)

// usageCall tells what a gateway has counted.
type usageCall struct {
	Totals []usage.Totals `cbor:"1,keyasint,omitempty"`
}

// usageAnswer says that the totals are kept.
type usageAnswer struct {
	// Now is the true time in milliseconds since 1970.
	Now int64 `cbor:"1,keyasint"`
	// Window is the length of a window, 0 where usage is not reported.
	Window time.Duration `cbor:"2,keyasint"`
	// Fixed is the newest window that is fixed.
	Fixed int64 `cbor:"3,keyasint"`
}

// usageTeller counts the requests of tenants that begin to run, and tells the directory.
type usageTeller struct {
	watcher *Watcher
	meter   *usage.Meter
	// source names this life of the process.
	source string
}

func newUsageTeller(name string, watcher *Watcher) *usageTeller {
	return &usageTeller{watcher: watcher, meter: usage.NewMeter(), source: name + "/" + strconv.FormatUint(rand.Uint64(), 36)}
}

// note counts a request of a tenant where a backend began to run it. Several backends may
// have, in turn or side by side: it is one request, and began with the first of them.
func (u *usageTeller) note(tenant string, result forward.Result) {
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

// run tells what was counted until the context ends.
func (u *usageTeller) run(ctx context.Context) {
	pulse := clock.NewPauseDetector()
	for ctx.Err() == nil {
		sleep(ctx, usageInterval)
		if elapsed, suspended := pulse.Check(); elapsed > standstillTold {
			event.ProcessStalled.On(u.watcher.logger).Int("ms", elapsed.Milliseconds()).Int("suspended_ms", suspended.Milliseconds()).Send()
		}
		u.tell(ctx)
		pulse.Check()
	}
}

// tell tells the directory all totals of windows that are not fixed, if there is news. What
// is not taken is told again.
func (u *usageTeller) tell(ctx context.Context) {
	totals, mark, news := u.meter.Totals(u.source)
	if !news {
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

// finish tells what is left at a planned stop. The first answer may only bring the time.
func (u *usageTeller) finish(ctx context.Context) {
	u.tell(ctx)
	u.tell(ctx)
}
