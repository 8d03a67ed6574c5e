package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dillchute/dillchute/admission"
	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/routing"
)

// SetLimiter sets the limiter that admits requests. It must be called before the first request.
func (f *Forwarder) SetLimiter(limiter admission.Limiter) { f.admissionControl.limiter = limiter }

// admissionControl queries the limiter and reports observations to it.
type admissionControl struct {
	limiter admission.Limiter
	retries retryDetector
}

// admit decides whether the request may be sent to the first service of its route.
func (a *admissionControl) admit(services []string, route routing.Route, request *Request) admission.Decision {
	now, remaining := clock.Now(), request.remaining()
	return a.limiter.Admit(now, admission.Request{
		Service: services[0], Tenant: request.Tenant, Priority: request.Priority, IsRetry: a.retries.isRetry(now, route.Key(), remaining),
		Target: time.Duration(route.TargetMillis) * time.Millisecond, Remaining: remaining,
	})
}

// observe reports an attempt to the limiter, unless it was cancelled: its latency then shows nothing
// about a queue.
func (a *admissionControl) observe(ctx context.Context, backend directory.Backend, attempt Attempt, latency time.Duration) {
	observation := admission.Observation{
		Service: backend.Service, Backend: backend.ID, Latency: latency, Refused: attempt.Outcome == Refused,
		Answered: attempt.Outcome == Answered && attempt.Response.Status < minServerErrorStatus,
	}
	if ctx.Err() != nil && !observation.Answered {
		return
	}
	if load := attempt.Load; load != nil {
		observation.Waiting, observation.Slots = load.Waiting, load.Slots
	}
	a.limiter.Observe(clock.Now(), observation)
}

// minServerErrorStatus is the lowest HTTP status of a server error.
const minServerErrorStatus = 500

// isLimiting reports whether requests must not be sent twice, since the service is overloaded.
func (e *exchange) isLimiting() bool {
	return e.forwarder.admissionControl.limiter.IsLimiting(clock.Now(), e.services[0])
}

// mayRetry reports whether another backend may be tried after the outcome.
func (e *exchange) mayRetry(outcome Outcome) bool {
	switch outcome {
	case Refused:
		return !e.isLimiting()
	case NotSent, Misdirected:
		return true
	default:
		return e.route.Kind == routing.Repeatable
	}
}

// retryAfter returns how long the caller of a refused request should wait before a retry, 0 if that is
// not known.
func (e *exchange) retryAfter() time.Duration {
	if !e.isLimiting() {
		return 0
	}
	return admission.RetryAfter(e.request.remaining(), rand.Float64())
}

// overloadedResult returns the result of a request that was not admitted.
func overloadedResult(decision admission.Decision) Result {
	return Result{Reason: Overloaded, RetryAfter: decision.RetryAfter, Admission: decision}
}
