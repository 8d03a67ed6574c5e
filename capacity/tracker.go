package capacity

import (
	"slices"
	"time"
)

// orderTracker follows the orders of a pool and the backends that register for them.
type orderTracker struct {
	// order is the newest order; its number is 0 if there is none.
	order Order
	// orderSeenAt is when the newest order, or its repetition, was first observed.
	orderSeenAt int64
	expectation
	// hadBackends is set once the pool has had a registered backend.
	hadBackends bool
	// pausedAt and pausedUntil are the start and the end of the last backoff. failures is the number of
	// consecutive failures.
	pausedUntil, pausedAt int64
	failures              int
	// failureCounted is set once failures includes the newest order.
	failureCounted bool
	// previous is the expectation before the newest order, restored if that is rejected.
	previous expectation
	// unanswered is the number of consecutive repetitions of an unanswered order.
	unanswered int
}

// expectation holds the backends that orders are expected to produce.
type expectation struct {
	// cohorts holds the target counts that are not reached yet, the earliest order first.
	cohorts []cohort
	// maxRegistered is the highest number of registered backends since the newest order. Backends lost
	// since then are not expected to return.
	maxRegistered int
}

// cohort is a target count and the time when it was ordered.
type cohort struct {
	count     int
	orderedAt int64
}

// afterOrder returns the expectation after a new order.
func (e expectation) afterOrder(now int64, count, registered int) expectation {
	cohorts := slices.DeleteFunc(slices.Clone(e.cohorts), func(c cohort) bool { return c.count >= count })
	return expectation{cohorts: append(cohorts, cohort{count: count, orderedAt: now}), maxRegistered: registered}
}

// dropArrived drops the cohorts whose target count has been reached.
func (e *expectation) dropArrived() {
	for len(e.cohorts) > 0 && e.cohorts[0].count <= e.maxRegistered {
		e.cohorts = e.cohorts[1:]
	}
}

// observe updates the tracker with the pool's newest order and state.
func (t *orderTracker) observe(now int64, order Order, state PoolState, registrationTimeout int64) {
	registered := state.registered()
	if order.Number != t.order.Number {
		t.startOrder(now, order, registered)
	}
	t.order = order
	if state.isDraining() && order.Number == 0 {
		t.maxRegistered = 0
	}
	t.maxRegistered = max(t.maxRegistered, registered)
	t.hadBackends = t.hadBackends || registered > 0
	t.applyAnswer(now)
	t.dropArrived()
	switch {
	case len(t.cohorts) > 0 && now-t.cohorts[0].orderedAt >= registrationTimeout:
		// Backends of the pool's later orders are not expected either.
		t.cohorts = nil
		t.pause(now, exhaustedBackoff)
	case len(t.cohorts) == 0 && t.hasOrder() && t.order.Answer == Accepted && t.maxRegistered >= t.order.Count():
		t.failures = 0
	}
}

// startOrder starts to track a new order. Repeating an unanswered order does not extend its registration
// timeout.
func (t *orderTracker) startOrder(now int64, order Order, registered int) {
	repeats := t.hasOrder() && t.order.Answer == Open && t.order.Wish == order.Wish
	t.orderSeenAt, t.failureCounted = now, false
	if repeats {
		t.unanswered++
		return
	}
	t.unanswered, t.previous = 0, t.expectation
	t.expectation = t.afterOrder(now, order.Wish.Count, registered)
}

// applyAnswer handles a rejection of the newest order, once.
func (t *orderTracker) applyAnswer(now int64) {
	if t.failureCounted || !t.hasOrder() {
		return
	}
	switch t.order.Answer {
	case Exhausted:
		t.pause(now, exhaustedBackoff)
	case Refused:
		t.pause(now, refusedBackoff)
	default:
		return
	}
	t.failureCounted, t.expectation = true, t.previous
}

// pause starts a backoff during which the pool is not scaled up.
func (t *orderTracker) pause(now int64, base time.Duration) {
	t.pausedAt = now
	t.pausedUntil = now + min(base<<min(t.failures, 8), maxBackoff).Milliseconds()
	t.failures++
}

func (t *orderTracker) hasOrder() bool { return t.order.Number > 0 }

// ordered returns the pool's target count at the platform.
func (t *orderTracker) ordered() int {
	if t.hasOrder() {
		return t.order.Count()
	}
	return t.maxRegistered
}

// maxOrdered returns the highest number of backends that the pool's orders may produce.
func (t *orderTracker) maxOrdered() int {
	if t.hasOrder() {
		return t.order.MaxCount()
	}
	return 0
}

// hasGrown reports whether a pool without an order has more backends than ever before.
func (t *orderTracker) hasGrown(state PoolState) bool {
	return !t.hasOrder() && state.registered() > t.maxRegistered
}

// pending returns how many ordered backends are expected to register.
func (t *orderTracker) pending() int {
	if len(t.cohorts) == 0 {
		return 0
	}
	return max(t.cohorts[len(t.cohorts)-1].count-t.maxRegistered, 0)
}

// isPaused reports whether the pool is in a backoff.
func (t *orderTracker) isPaused(now int64) bool {
	return now < t.pausedUntil
}

// isDue reports whether an order with this count must be sent now.
func (t *orderTracker) isDue(now int64, count int, state PoolState, fleet Fleet) bool {
	since := now - t.orderSeenAt
	switch {
	case !t.hasOrder():
		return count != t.ordered() || state.Wanted > state.baseline
	case t.order.wasRejected() && t.order.Wish.Count < t.order.Before:
		// A rejected scale-down is retried only after a pause.
		return count != t.order.Count() && since >= (openRetryInterval<<min(t.failures, maxRetryDoublings)).Milliseconds()
	case count != t.order.Count():
		return true
	case t.order.Answer == Open:
		return since >= (openRetryInterval << min(t.unanswered, maxRetryDoublings)).Milliseconds()
	}
	// The ordered backends did not register, or were lost since.
	return state.Wanted > state.baseline && since >= registrationTimeoutMillis(fleet.Scale)
}

// maxRetryDoublings limits how often the interval between repeated orders doubles.
const maxRetryDoublings = 3
