package admission

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"time"
)

const (
	// countTimeConstant is the time constant of the decay of counters. It covers tenants that send a
	// request every few seconds, and is short compared with a surge.
	countTimeConstant = 6 * time.Second
	// minEstimateFraction bounds lowerEstimate from below, as a fraction of the count.
	minEstimateFraction = 0.25
	// maxCallers bounds the callers with a counter of their own. Others share sharedCounters counters
	// per class, by hash.
	maxCallers     = 256
	sharedCounters = 16
	// minActiveCount is the count below which a caller is not active.
	minActiveCount = 0.05
	// priorityLevels is the number of distinct priorities. Each has two classes: first attempts and
	// retries.
	priorityLevels = 4
	classCount     = 2 * priorityLevels
	// Each priority gets at least minLowerPriorityFraction of the fraction of the next higher one, and
	// retries get at least minRetryFraction of that of first attempts. The latter is for first
	// attempts that are wrongly classified as retries. It is small, since a first attempt that is admitted
	// in place of a retry is answered sooner.
	minLowerPriorityFraction = 0.25
	minRetryFraction         = 0.05
	// bisectionSteps bounds the search for the level; its precision is finer than any count.
	bisectionSteps = 24
	// divideInterval is the shortest time between two divisions.
	divideInterval = 50 * time.Millisecond
)

// callerKey identifies the requests of one class from a tenant or a zone.
type callerKey struct {
	tenant, zone string
	class        uint8
}

// counter is an exponentially decayed number of arrivals.
type counter struct {
	class uint8
	value float64
	at    time.Time
}

func (c *counter) decay(now time.Time) {
	c.value *= math.Exp(-now.Sub(c.at).Seconds() / countTimeConstant.Seconds())
	c.at = now
}

// fairShares divides the admitted fraction of a service's requests among callers: by priority, and
// within a class by max-min fairness.
type fairShares struct {
	counters  map[callerKey]*counter
	shared    [classCount][sharedCounters]counter
	dividedAt time.Time
	// fractions are the admitted fractions of the classes, and limits the largest number of requests
	// that each caller of a class may have admitted.
	fractions, limits [classCount]float64
	// active is a buffer reused by each division.
	active []*counter
}

func (s *fairShares) clear() {
	clear(s.counters)
	*s = fairShares{counters: s.counters, active: s.active}
}

// classOf returns the class of a request. Retries come after first attempts of the same priority.
func classOf(request Request) uint8 {
	class := 2 * uint8(min(max(request.Priority, 0), priorityLevels-1))
	if request.IsRetry {
		class++
	}
	return class
}

// recordRequest counts a request. It returns the admitted fraction of requests like it, and whether
// the next more urgent class is admitted in full.
func (s *fairShares) recordRequest(now time.Time, request Request, admittedFraction float64) (fraction float64, moreUrgentAdmitted bool) {
	class := classOf(request)
	c := s.counterFor(now, request, class)
	c.decay(now)
	// Counts half of this request: the mean of the values before and after it.
	value := c.value + 0.5
	c.value++
	if s.dividedAt.IsZero() {
		return admittedFraction, true
	}
	return min(s.limits[class]/lowerEstimate(value), 1), class == 0 || s.fractions[class-1] >= 1
}

func (s *fairShares) counterFor(now time.Time, request Request, class uint8) *counter {
	key := callerKey{tenant: request.Tenant, class: class}
	if request.Tenant == "" {
		key.zone = request.Zone
	}
	if c := s.counters[key]; c != nil {
		return c
	}
	if len(s.counters) >= maxCallers {
		return &s.shared[class][maphash.Comparable(hashSeed, key)%sharedCounters]
	}
	if s.counters == nil {
		s.counters = make(map[callerKey]*counter, maxCallers)
	}
	c := &counter{class: class, at: now}
	s.counters[key] = c
	return c
}

// divide sets the limits of all classes so that the given fraction of all requests is admitted.
func (s *fairShares) divide(now time.Time, admittedFraction float64) {
	if now.Sub(s.dividedAt) < divideInterval {
		return
	}
	s.dividedAt = now
	s.collectActive(now)
	slices.SortFunc(s.active, func(a, b *counter) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.value, b.value))
	})
	var totals [classCount]float64
	for _, c := range s.active {
		totals[c.class] += c.value
	}
	s.fractions = classFractions(totals, admittedFraction)
	s.limits = [classCount]float64{}
	for rest := s.active; len(rest) > 0; {
		class, size := rest[0].class, 1
		for size < len(rest) && rest[size].class == class {
			size++
		}
		s.limits[class] = callerLimit(rest[:size], s.fractions[class]*totals[class])
		rest = rest[size:]
	}
}

// collectActive lists the active counters and removes those of inactive callers.
func (s *fairShares) collectActive(now time.Time) {
	s.active = s.active[:0]
	for key, c := range s.counters {
		c.decay(now)
		if c.value < minActiveCount {
			delete(s.counters, key)
			continue
		}
		s.active = append(s.active, c)
	}
	for class := range s.shared {
		for position := range s.shared[class] {
			c := &s.shared[class][position]
			c.class = uint8(class)
			if c.decay(now); c.value >= minActiveCount {
				s.active = append(s.active, c)
			}
		}
	}
}

// lowerEstimate returns the count less one standard deviation, so that callers with few requests are
// not limited for random variation.
func lowerEstimate(value float64) float64 {
	return max(value-math.Sqrt(value), minEstimateFraction*value)
}

// callerLimit returns the limit on each caller's lowerEstimate at which the counters, sorted by value,
// use up the budget.
func callerLimit(counters []*counter, budget float64) float64 {
	weight := 0.0
	for _, c := range counters {
		weight += c.value / lowerEstimate(c.value)
	}
	for _, c := range counters {
		if limit := budget / weight; lowerEstimate(c.value) >= limit {
			return limit
		}
		budget -= c.value
		weight -= c.value / lowerEstimate(c.value)
	}
	return math.Inf(1)
}

// classFractions returns the admitted fraction of each class for a given fraction of all requests.
func classFractions(totals [classCount]float64, admittedFraction float64) (fractions [classCount]float64) {
	total := 0.0
	for _, value := range totals {
		total += value
	}
	low, high := 0.0, float64(classCount)
	for range bisectionSteps {
		middle, admitted := (low+high)/2, 0.0
		fractions = fractionsAtLevel(middle)
		for class, value := range totals {
			admitted += fractions[class] * value
		}
		if admitted > admittedFraction*total {
			high = middle
		} else {
			low = middle
		}
	}
	return fractionsAtLevel(high)
}

// fractionsAtLevel returns the fractions at a level, which is the number of classes admitted in full,
// from the most urgent one, and a fraction of the next one.
func fractionsAtLevel(level float64) (fractions [classCount]float64) {
	for class := range fractions {
		fractions[class] = min(max(level-float64(class), 0), 1)
		switch {
		case class%2 == 1:
			fractions[class] = max(fractions[class], minRetryFraction*fractions[class-1])
		case class > 0:
			fractions[class] = max(fractions[class], minLowerPriorityFraction*fractions[class-2])
		}
	}
	return fractions
}
