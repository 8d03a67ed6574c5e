package admission

import (
	"math/rand/v2"
	"sync"
	"time"
)

// LocalLimiter is a Limiter that uses only what its own process observes. All processes observe the
// same backends, so their limits converge without coordination.
type LocalLimiter struct {
	mutex    sync.Mutex
	random   *rand.Rand
	services map[string]*service
}

// NewLocalLimiter returns a limiter that admits everything until a service is overloaded.
func NewLocalLimiter(random *rand.Rand) *LocalLimiter {
	return &LocalLimiter{random: random, services: map[string]*service{}}
}

// Admit implements Limiter.
func (l *LocalLimiter) Admit(now time.Time, request Request) Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.service(request.Service)
	s.lowerTarget(request.Target)
	s.recordArrival(now)
	s.update(now)
	if !s.limiting {
		s.admitted++
		return Decision{Admitted: true}
	}
	decision := s.decide(now, request, l.random.Float64())
	if !decision.Admitted {
		decision.RetryAfter = RetryAfter(request.Remaining, l.random.Float64())
	}
	return decision
}

// Observe implements Limiter.
func (l *LocalLimiter) Observe(now time.Time, observation Observation) {
	if !observation.Answered && !observation.Refused {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.service(observation.Service).observe(now, observation)
}

// IsLimiting implements Limiter.
func (l *LocalLimiter) IsLimiting(now time.Time, service string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.services[service]
	if s == nil {
		return false
	}
	s.update(now)
	return s.limiting
}

func (l *LocalLimiter) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{admittedFraction: 1}
		l.services[name] = s
	}
	return s
}

// Prune drops the state of services that are neither kept nor limited.
func (l *LocalLimiter) Prune(keep func(service string) bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for name := range l.services {
		if !keep(name) && !l.services[name].limiting {
			delete(l.services, name)
		}
	}
}

// Status is the state of a service's limit.
type Status struct {
	Service  string
	Limiting bool
	// AdmittedFraction is the fraction of requests that is admitted.
	AdmittedFraction float64
	// BaselineLatency is the latency without queuing, and QueueDelay how far answers exceed it now.
	BaselineLatency, QueueDelay time.Duration
	// Admitted and Refused count requests since the process started.
	Admitted uint64
	Refused  map[Reason]uint64
}

// Statuses returns the status of each service, in no particular order.
func (l *LocalLimiter) Statuses(now time.Time) []Status {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	statuses := make([]Status, 0, len(l.services))
	for name, s := range l.services {
		s.update(now)
		delay, _ := s.queueDelay(now)
		statuses = append(statuses, Status{
			Service: name, Limiting: s.limiting, AdmittedFraction: s.admittedFraction, BaselineLatency: s.baseline, QueueDelay: delay, Admitted: s.admitted,
			Refused: map[Reason]uint64{ShareExceeded: s.shareExceeded, LowPriority: s.lowPriority, TooLate: s.tooLate},
		})
	}
	return statuses
}

const (
	// maxWaitFraction is the largest fraction of the remaining time that a caller is asked to wait:
	// the retry needs time to be served, and callers ignore longer waits.
	maxWaitFraction = 1.0 / 3
	// minWaitFraction is the shortest wait as a fraction of the longest. Waits are drawn from the
	// range between them, so that callers refused at the same time do not retry at the same time.
	minWaitFraction = 0.25
)

// RetryAfter returns how long a refused caller should wait, for a random draw from [0, 1).
func RetryAfter(remaining time.Duration, draw float64) time.Duration {
	maxWait := maxWaitFraction * float64(max(remaining, 0))
	return time.Duration(maxWait * (minWaitFraction + (1-minWaitFraction)*draw)).Truncate(time.Millisecond)
}
