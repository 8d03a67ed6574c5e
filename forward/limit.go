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

// LimitBy has the limiter decide about requests from now on. It is called before the first one.
func (f *Forwarder) LimitBy(limiter admission.Limiter) { f.limits.limiter = limiter }

// limits asks and tells the limiter.
type limits struct {
	limiter admission.Limiter
	first   firstTries
}

// admit asks whether the request may be passed on to the first service of its route.
func (l *limits) admit(services []string, route routing.Route, request *Request) admission.Decision {
	now, remaining := clock.Now(), request.remaining()
	return l.limiter.Admit(now, admission.Request{
		Service: services[0], Tenant: request.Tenant, Priority: request.Priority, IsRetry: l.first.isReturning(now, route.Key(), remaining),
		Target: time.Duration(route.TargetMillis) * time.Millisecond, Remaining: remaining,
	})
}

// note tells what an attempt has shown of its service. An attempt that was not waited for, and a
// failure, show nothing of a queue.
func (l *limits) note(ctx context.Context, backend directory.Backend, attempt Attempt, took time.Duration) {
	seen := admission.Observation{
		Service: backend.Service, Backend: backend.ID, Latency: took, Refused: attempt.Outcome == Refused,
		Answered: attempt.Outcome == Answered && attempt.Response.Status < firstFailure,
	}
	if ctx.Err() != nil && !seen.Answered {
		return
	}
	if load := attempt.Load; load != nil {
		seen.Waiting, seen.Slots = load.Waiting, load.Slots
	}
	l.limiter.Observe(clock.Now(), seen)
}

// firstFailure is the lowest status of a backend that failed.
const firstFailure = 500

// isLimiting tells whether nothing is sent twice, since more is asked of the service than it can
// serve in time.
func (r *run) isLimiting() bool {
	return r.forwarder.limits.limiter.IsLimiting(clock.Now(), r.services[0])
}

// mayRepeat tells whether another backend may be asked after the outcome.
func (r *run) mayRepeat(outcome Outcome) bool {
	switch outcome {
	case Refused:
		return !r.isLimiting()
	case NotSent, Misdirected:
		return true
	default:
		return r.route.Kind == routing.Repeatable
	}
}

// retryAfter returns when a caller should come back whose request backends had no room for, 0 if
// that is not known.
func (r *run) retryAfter() time.Duration {
	if !r.isLimiting() {
		return 0
	}
	return admission.RetryAfter(r.request.remaining(), rand.Float64())
}

// refuseOverload ends a request that was not admitted.
func refuseOverload(decision admission.Decision) Result {
	return Result{Reason: Overloaded, RetryAfter: decision.RetryAfter, Limit: decision}
}
