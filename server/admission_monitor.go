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

// admissionMonitor logs when the limiter starts and stops limiting a service, and exports its metrics.
type admissionMonitor struct {
	limiter *admission.LocalLimiter
	logger  *zerolog.Logger
	// refusal wakes run after a request was not admitted.
	refusal chan struct{}
	// activeLimits holds the limited services by name. Only run uses it.
	activeLimits map[string]limitStart
}

// limitStart is a service's status when its limit was first observed.
type limitStart struct {
	startedAt time.Time
	status    admission.Status
}

func newAdmissionMonitor(logger *zerolog.Logger) *admissionMonitor {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &admissionMonitor{
		limiter: admission.NewLocalLimiter(random), logger: logger, refusal: make(chan struct{}, 1), activeLimits: map[string]limitStart{},
	}
}

// limitReviewInterval is the interval between two reviews while a service is limited.
const limitReviewInterval = 500 * time.Millisecond

// run logs the start and the end of limits until the context ends. It is idle while no service is limited.
func (m *admissionMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-m.refusal:
		}
		for m.review(clock.Now()); len(m.activeLimits) > 0 && ctx.Err() == nil; m.review(clock.Now()) {
			sleep(ctx, limitReviewInterval)
		}
	}
}

// notifyRefusal triggers a review after a request was not admitted. It never blocks.
func (m *admissionMonitor) notifyRefusal() {
	select {
	case m.refusal <- struct{}{}:
	default:
	}
}

func (m *admissionMonitor) review(now time.Time) {
	for _, status := range m.limiter.Statuses(now) {
		start, active := m.activeLimits[status.Service]
		switch {
		case status.Limiting && !active:
			m.activeLimits[status.Service] = limitStart{now, status}
			event.LimitStarted.On(m.logger).Str("service", status.Service).Uint("percent", percent(status.AdmittedFraction)).
				Int("usual_ms", status.BaselineLatency.Milliseconds()).Int("delay_ms", status.QueueDelay.Milliseconds()).Send()
		case !status.Limiting && active:
			delete(m.activeLimits, status.Service)
			event.LimitEnded.On(m.logger).Str("service", status.Service).Int("ms", now.Sub(start.startedAt).Milliseconds()).
				Uint("admitted", status.Admitted-start.status.Admitted).
				Uint("refused", totalRefused(status)-totalRefused(start.status)).Send()
		}
	}
}

// totalRefused returns the number of refused requests over all reasons.
func totalRefused(status admission.Status) uint64 {
	total := uint64(0)
	for _, count := range status.Refused {
		total += count
	}
	return total
}

func percent(fraction float64) uint64 { return uint64(fraction*100 + 0.5) }

// prune drops the state of services without backends.
func (m *admissionMonitor) prune(catalog *directory.Catalog) {
	m.limiter.Prune(func(service string) bool { return len(catalog.Backends(service)) > 0 })
}

// collect emits the admitted fraction of each limited service, and the counts over all services.
func (m *admissionMonitor) collect(emit chan<- prometheus.Metric) { m.collectAt(clock.Now(), emit) }

func (m *admissionMonitor) collectAt(now time.Time, emit chan<- prometheus.Metric) {
	admitted, refused := uint64(0), map[admission.Reason]uint64{}
	for _, status := range m.limiter.Statuses(now) {
		admitted += status.Admitted
		for reason, count := range status.Refused {
			refused[reason] += count
		}
		if status.Limiting {
			gauge(emit, "gateway_limit_share", "The part of a limited service's requests that is admitted.", status.AdmittedFraction, "service", status.Service)
		}
	}
	counter(emit, "gateway_admitted_total", "Requests that were admitted to their service.", admitted)
	for reason, count := range refused {
		counter(emit, "gateway_limited_total", "Requests that were not admitted, by reason.", count, "reason", string(reason))
	}
}

// addAdmissionFields adds the admission decision to the log line of a request that was not admitted.
func addAdmissionFields(line *event.Line, request *forward.Request, result forward.Result) {
	decision := result.Admission
	line.Str("limit", string(decision.Reason)).Str("service", decision.Service).Str("tenant", request.Tenant).
		Uint("part_percent", percent(decision.AdmittedFraction)).Int("delay_ms", decision.QueueDelay.Milliseconds()).
		Int("retry_after_ms", decision.RetryAfter.Milliseconds())
}
