package forward

import (
	"math"
	"sync"
	"time"
)

// retryDetector detects callers' retries of refused requests by their remaining time. Callers keep
// their deadline when they retry after waits of different lengths, while first attempts come with few
// different remaining times.
type retryDetector struct {
	mutex  sync.Mutex
	routes map[string]*recentRemainingTimes
}

// recentRemainingTimes counts the most frequent remaining times of a route's recent requests.
type recentRemainingTimes struct {
	counts    [maxTrackedTimes]remainingTimeCount
	total     float64
	updatedAt time.Time
}

// remainingTimeCount is the exponentially decayed number of requests with a remaining time, which is
// given in steps of remainingTimeStep.
type remainingTimeCount struct {
	steps  int64
	weight float64
}

const (
	// remainingTimeStep is the resolution of remaining times. It allows for the time in transit.
	remainingTimeStep = 5 * time.Millisecond
	// maxTrackedTimes is large enough for all frequent remaining times.
	maxTrackedTimes = 16
	// frequentFraction is the minimum fraction of a route's requests that have the remaining time of a
	// first attempt. Remaining times of retries are spread over many steps, few of which are that
	// frequent.
	frequentFraction = 0.03
	// remainingTimeDecay is the time constant of the exponential decay.
	remainingTimeDecay = 10 * time.Second
)

// isRetry counts a request, and reports whether it is probably a retry.
func (r *retryDetector) isRetry(now time.Time, route string, remaining time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	d := r.routes[route]
	if d == nil {
		d = &recentRemainingTimes{updatedAt: now}
		r.routes[route] = d
	}
	d.decay(now)
	steps := int64((remaining + remainingTimeStep - 1) / remainingTimeStep)
	d.add(steps)
	return d.isRare(steps) && d.longestFrequent() > steps
}

func (d *recentRemainingTimes) decay(now time.Time) {
	factor := math.Exp(-now.Sub(d.updatedAt).Seconds() / remainingTimeDecay.Seconds())
	d.updatedAt = now
	d.total *= factor
	for position := range d.counts {
		d.counts[position].weight *= factor
	}
}

// add counts a request. A new remaining time replaces the rarest one.
func (d *recentRemainingTimes) add(steps int64) {
	d.total++
	rarest := &d.counts[0]
	for position := range d.counts {
		c := &d.counts[position]
		if c.steps == steps {
			c.weight++
			return
		}
		if c.weight < rarest.weight {
			rarest = c
		}
	}
	*rarest = remainingTimeCount{steps: steps, weight: 1}
}

func (d *recentRemainingTimes) isRare(steps int64) bool {
	for _, c := range d.counts {
		if c.steps == steps {
			return c.weight < frequentFraction*d.total
		}
	}
	return true
}

// longestFrequent returns the longest of the frequent remaining times.
func (d *recentRemainingTimes) longestFrequent() int64 {
	longest := int64(0)
	for _, c := range d.counts {
		if c.weight >= frequentFraction*d.total {
			longest = max(longest, c.steps)
		}
	}
	return longest
}

// removeStale removes the routes without recent requests.
func (r *retryDetector) removeStale(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for route, d := range r.routes {
		if now.Sub(d.updatedAt) > remainingTimeDecay {
			delete(r.routes, route)
		}
	}
}
