package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/admission"
	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/forward"
)

// gatewayLimits tells operators how services stand that have more requests than they can serve.
type gatewayLimits struct {
	limiter *admission.LocalLimiter
	logger  *zerolog.Logger
	// woken holds something once a request was not admitted.
	woken chan struct{}
	// limited holds what was known of the limited services when their limits began. It is run's.
	limited map[string]limitBegun
}

// limitBegun is how a service stood when its limit was seen to begin.
type limitBegun struct {
	at       time.Time
	standing admission.Status
}

func newGatewayLimits(logger *zerolog.Logger) *gatewayLimits {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &gatewayLimits{
		limiter: admission.NewLocalLimiter(random), logger: logger, woken: make(chan struct{}, 1), limited: map[string]limitBegun{},
	}
}

// limitReview is the time between two looks at the limits, which are told of but not decided here.
const limitReview = 500 * time.Millisecond

// run logs which limits begin and end until the context ends. It sleeps while there are none.
func (l *gatewayLimits) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.woken:
		}
		for l.review(clock.Now()); len(l.limited) > 0 && ctx.Err() == nil; l.review(clock.Now()) {
			sleep(ctx, limitReview)
		}
	}
}

// wake has the limits looked at, since a request was not admitted.
func (l *gatewayLimits) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

func (l *gatewayLimits) review(now time.Time) {
	for _, standing := range l.limiter.Statuses(now) {
		begun, known := l.limited[standing.Service]
		switch {
		case standing.Limiting && !known:
			l.limited[standing.Service] = limitBegun{now, standing}
			event.LimitStarted.On(l.logger).Str("service", standing.Service).Uint("percent", percent(standing.AdmittedFraction)).
				Int("usual_ms", standing.BaselineLatency.Milliseconds()).Int("delay_ms", standing.QueueDelay.Milliseconds()).Send()
		case !standing.Limiting && known:
			delete(l.limited, standing.Service)
			event.LimitEnded.On(l.logger).Str("service", standing.Service).Int("ms", now.Sub(begun.at).Milliseconds()).
				Uint("admitted", standing.Admitted-begun.standing.Admitted).
				Uint("refused", refusedOf(standing)-refusedOf(begun.standing)).Send()
		}
	}
}

// refusedOf returns how many requests were refused for any reason.
func refusedOf(standing admission.Status) uint64 {
	sum := uint64(0)
	for _, number := range standing.Refused {
		sum += number
	}
	return sum
}

func percent(part float64) uint64 { return uint64(part*100 + 0.5) }

// forget drops the services that have no backends.
func (l *gatewayLimits) forget(catalog *directory.Catalog) {
	l.limiter.Prune(func(service string) bool { return len(catalog.Backends(service)) > 0 })
}

// collect emits the shares of the services that are limited, and counts of all.
func (l *gatewayLimits) collect(emit chan<- prometheus.Metric) { l.collectAt(clock.Now(), emit) }

func (l *gatewayLimits) collectAt(now time.Time, emit chan<- prometheus.Metric) {
	admitted, refused := uint64(0), map[admission.Reason]uint64{}
	for _, standing := range l.limiter.Statuses(now) {
		admitted += standing.Admitted
		for reason, number := range standing.Refused {
			refused[reason] += number
		}
		if standing.Limiting {
			gauge(emit, "gateway_limit_share", "The part of a limited service's requests that is admitted.", standing.AdmittedFraction, "service", standing.Service)
		}
	}
	counter(emit, "gateway_admitted_total", "Requests that were admitted to their service.", admitted)
	for reason, number := range refused {
		counter(emit, "gateway_limited_total", "Requests that were not admitted, by reason.", number, "reason", string(reason))
	}
}

// addLimit adds to the last line of a request that was not admitted which limit refused it, and how
// full the service was.
func addLimit(line *event.Line, request *forward.Request, result forward.Result) {
	limit := result.Admission
	line.Str("limit", string(limit.Reason)).Str("service", limit.Service).Str("tenant", request.Tenant).
		Uint("part_percent", percent(limit.AdmittedFraction)).Int("delay_ms", limit.QueueDelay.Milliseconds()).
		Int("retry_after_ms", limit.RetryAfter.Milliseconds())
}
