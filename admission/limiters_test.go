package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// overloadScenario is the scenario in which limiters are compared; gateways see few requests before
// the surge.
func overloadScenario(factor float64) scenario {
	return scenario{
		gateways: 54, backends: 4, slots: 6, queueLength: 24, surgeLoad: factor, baseLoad: 0.0125, surgeDuration: 8 * time.Second,
		hedges: true, seed: 7, defaultRetryAfter: 100 * time.Millisecond, newLimiter: newLocal,
	}
}

func newLocal(random *rand.Rand) Limiter { return NewLocalLimiter(random) }

func newAdmitAll(*rand.Rand) Limiter { return AdmitAll{} }

// equalRetries is a LocalLimiter that treats retries like first attempts.
type equalRetries struct{ *LocalLimiter }

func (e equalRetries) Admit(now time.Time, request Request) Decision {
	request.IsRetry = false
	return e.LocalLimiter.Admit(now, request)
}

// retriesFirst is a LocalLimiter that prefers retries to first attempts.
type retriesFirst struct{ *LocalLimiter }

func (r retriesFirst) Admit(now time.Time, request Request) Decision {
	request.IsRetry = !request.IsRetry
	return r.LocalLimiter.Admit(now, request)
}

// adaptiveThrottle is client-side adaptive throttling: it admits slightly more than the fraction that
// backends have accepted recently, and ignores latency.
type adaptiveThrottle struct {
	random             *rand.Rand
	requests, accepted rate
}

const (
	throttleTimeConstant = 2 * time.Second
	throttleMultiplier   = 1.1
)

func (t *adaptiveThrottle) Admit(now time.Time, _ Request) Decision {
	requests, accepted := t.requests.current(now, throttleTimeConstant), t.accepted.current(now, throttleTimeConstant)
	t.requests.add(now, throttleTimeConstant)
	if t.random.Float64() < (requests-throttleMultiplier*accepted)/(requests+1) {
		return Decision{RetryAfter: RetryAfter(simDeadline, t.random.Float64())}
	}
	return Decision{Admitted: true}
}

func (t *adaptiveThrottle) Observe(now time.Time, observation Observation) {
	if observation.Answered {
		t.accepted.add(now, throttleTimeConstant)
	}
}

func (t *adaptiveThrottle) IsLimiting(now time.Time, _ string) bool {
	return t.requests.current(now, throttleTimeConstant) > throttleMultiplier*t.accepted.current(now, throttleTimeConstant)+1
}

// allocator divides the capacity among gateways by the first attempts of the last period. Unlike a
// real allocator it knows the capacity, so it is an upper bound.
type allocator struct {
	period      time.Duration
	capacity    float64
	periodStart time.Time
	// requests counts the requests of this period, and admittedFraction applies to them.
	requests, admittedFraction float64
}

func (a *allocator) recordRequest(now time.Time) float64 {
	if now.Sub(a.periodStart) >= a.period {
		a.admittedFraction = min(a.capacity*a.period.Seconds()/max(a.requests, 1), 1)
		a.periodStart, a.requests = now, 0
	}
	a.requests++
	return a.admittedFraction
}

// allocatedLimiter admits the fraction set by the allocator.
type allocatedLimiter struct {
	*allocator
	random *rand.Rand
}

func (a allocatedLimiter) Admit(now time.Time, request Request) Decision {
	if request.IsRetry && a.admittedFraction < 1 || a.random.Float64() >= a.recordRequest(now) {
		return Decision{RetryAfter: RetryAfter(request.Remaining, a.random.Float64())}
	}
	return Decision{Admitted: true}
}

func (allocatedLimiter) Observe(time.Time, Observation) {}

func (a allocatedLimiter) IsLimiting(time.Time, string) bool { return a.admittedFraction < 1 }

// limiterConstructors returns the limiters to compare, by name.
func limiterConstructors(capacity float64) map[string]func(*rand.Rand) Limiter {
	shared := &allocator{period: 200 * time.Millisecond, capacity: capacity, admittedFraction: 1}
	return map[string]func(*rand.Rand) Limiter{
		"none": newAdmitAll, "local": newLocal,
		"local, equal retries": func(random *rand.Rand) Limiter { return equalRetries{NewLocalLimiter(random)} },
		"local, retries first": func(random *rand.Rand) Limiter { return retriesFirst{NewLocalLimiter(random)} },
		"adaptive throttling":  func(random *rand.Rand) Limiter { return &adaptiveThrottle{random: random} },
		"central allocation":   func(random *rand.Rand) Limiter { return allocatedLimiter{shared, random} },
	}
}

// BenchmarkLimiters compares the outcomes of requests by limiter; run it with -benchtime 1x.
func BenchmarkLimiters(b *testing.B) {
	for _, gateways := range []int{54, 835} {
		for _, factor := range []float64{1.5, 2, 4} {
			s := overloadScenario(factor)
			s.gateways = gateways
			for name, limit := range limiterConstructors(s.capacity(s.backends)) {
				b.Run(fmt.Sprintf("%d gateways/x%g/%s", gateways, factor, name), func(b *testing.B) {
					s.newLimiter = limit
					for range b.N {
						sim := s.run()
						b.ReportMetric(float64(sim.inTarget)/sim.servable(), "in_target/servable")
						b.ReportMetric(float64(sim.retriedInTarget)/sim.servable(), "retried/servable")
						b.ReportMetric(float64(sim.late)/float64(sim.offered), "late/offered")
						b.ReportMetric(float64(sim.attempts)/float64(sim.offered), "attempts/offered")
						b.ReportMetric(sim.reward/(0.2*sim.servable()), "reward/servable")
					}
				})
			}
		}
	}
}

// BenchmarkAdmit measures an admission decision under a limit with many tenants.
func BenchmarkAdmit(b *testing.B) {
	l := NewLocalLimiter(rand.New(rand.NewPCG(1, 2)))
	now := simEpoch
	startLimit(l, now)
	names := make([]string, 10_000)
	for position := range names {
		names[position] = fmt.Sprint("tenant-", position)
	}
	b.ReportAllocs()
	for position := 0; b.Loop(); position++ {
		now = now.Add(time.Millisecond)
		if position%20 == 0 {
			observeSlowAnswers(l, now)
		}
		l.Admit(now, Request{Service: "s", Tenant: names[position%len(names)], Target: simTarget, Remaining: simDeadline})
	}
}

// BenchmarkDivide measures a division among the maximum number of callers.
func BenchmarkDivide(b *testing.B) {
	var s fairShares
	now := simEpoch
	for position := range 2 * maxCallers {
		s.recordRequest(now, Request{Tenant: fmt.Sprint("tenant-", position), Priority: position % priorityLevels}, 0.5)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.dividedAt = time.Time{}
		s.divide(now, 0.5)
	}
}
