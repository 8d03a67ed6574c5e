package admission

import (
	"hash/maphash"
	"math"
	"slices"
	"time"
)

const (
	// maxSamples is the number of recent attempts kept for each service.
	maxSamples = 8
	// delaySamples is the number of recent answers from which the queue delay is computed.
	delaySamples = 5
	// minSamples answers are needed to start a limit, so that one or two slow ones do not.
	minSamples = 4
	// sampleTTL is how long a sample is used while there is no limit.
	sampleTTL = 2 * time.Second
	// minSilence and maxSilence bound the time without samples after which the admitted fraction
	// grows. Between them it is silenceGaps times the mean time between admitted requests.
	minSilence  = 400 * time.Millisecond
	maxSilence  = 1500 * time.Millisecond
	silenceGaps = 3

	// queueBudgetFraction is the part of the time between the baseline latency and the target that
	// queuing may use. The rest allows for variation of the work and for overshoot of the control
	// loop.
	queueBudgetFraction = 0.35
	// limitStartFactor times the queue delay budget starts a limit: short queues also form below
	// capacity.
	limitStartFactor = 1.3

	// toleratedDeviations is the multiple of the latency deviation that does not count as queuing.
	toleratedDeviations = 3

	// updateInterval is the shortest time between two updates of the admitted fraction.
	updateInterval = 25 * time.Millisecond
	// maxUpdateStep bounds the time that one update accounts for.
	maxUpdateStep = 250 * time.Millisecond
	// proportionalGain and integralGain are the gains of the controller of the fraction's logarithm.
	// The error is the queue delay relative to its budget; integralGain applies per second.
	proportionalGain = 0.5
	integralGain     = 0.5
	// emptyQueueError is the error below which queues count as empty.
	emptyQueueError = -0.5
	// emptyQueueGrowth is the growth rate per second of the fraction while queues are empty.
	emptyQueueGrowth = 3.0
	// silentGrowth is the growth rate per second while there are no answers.
	silentGrowth = 10.0
	// leakRate is the rate per second at which the fraction's logarithm returns to 0, and maxLeakInput
	// bounds the logarithm it applies to. The leak makes the fractions of all processes converge.
	leakRate     = 0.2
	maxLeakInput = 1.0
	// refusalDecrease is the relative decrease of the fraction for a backend's refusal.
	refusalDecrease = 0.25
	// minAdmittedFraction keeps some requests going to detect recovery.
	minAdmittedFraction = 0.02
	// limitEndDelay is how long everything must be admitted before the limit ends.
	limitEndDelay = 300 * time.Millisecond
	// baselineRaiseDelay is how long answers must be slow under a limit before the baseline is raised,
	// if no backend has refused requests: without refusals the work itself has probably become slower.
	baselineRaiseDelay = time.Second
	// maxRaisedBaseline is the largest fraction of the target to which the baseline is raised. Beyond it a
	// limit helps in any case.
	maxRaisedBaseline = 0.5
	// baselineWeight is the weight of an answer in the moving average of the baseline, and
	// limitedBaselineWeight that of a faster answer under a limit.
	baselineWeight        = 0.05
	limitedBaselineWeight = 0.25
	// Time constants of the smoothed rates of arrivals, of answers and of requests admitted under a
	// limit.
	arrivalTimeConstant  = 200 * time.Millisecond
	answerTimeConstant   = 500 * time.Millisecond
	admittedTimeConstant = 2 * time.Second
	// surgeEndFraction of the rate admitted under a limit is well below capacity: at a lower rate of
	// arrivals the surge has ended.
	surgeEndFraction = 0.7
	// surgeEndGaps is the multiple of the mean time between arrivals that counts as the end of a
	// surge.
	surgeEndGaps = 8
)

// sample is the outcome of one attempt.
type sample struct {
	at      time.Time
	backend uint64
	latency time.Duration
	refused bool
}

// service is the state of one service: its latency baseline, recent samples and limit.
type service struct {
	target time.Duration
	// baseline is the latency without queuing, and deviation the mean deviation from it.
	baseline, deviation time.Duration
	baselineSamples     int
	samples             [maxSamples]sample
	nextSample          int

	limiting bool
	// admittedFraction is the fraction of requests that is admitted.
	admittedFraction float64
	// updatedAt is the time of the last update of the fraction.
	updatedAt time.Time
	lastError float64
	// unlimitedSince is the time since which everything is admitted, and slowSince the time since
	// which answers are slow.
	unlimitedSince, slowSince time.Time
	// wasFull is set once a backend's refusal under the limit has shown that the service is full.
	wasFull    bool
	fairShares fairShares
	// admittedRate is the rate of requests admitted under a limit.
	arrivalRate, answerRate, admittedRate rate

	admitted, shareExceeded, lowPriority, tooLate uint64
}

// lowerTarget keeps the shortest target of the service's requests.
func (s *service) lowerTarget(target time.Duration) {
	if target > 0 && (s.target == 0 || target < s.target) {
		s.target = target
	}
}

// queueDelayBudget returns the acceptable queue delay.
func (s *service) queueDelayBudget() time.Duration {
	return max(time.Duration(queueBudgetFraction*float64(s.target-s.baseline)), toleratedDeviations*s.deviation)
}

var hashSeed = maphash.MakeSeed()

// observe records the outcome of an attempt.
func (s *service) observe(now time.Time, observation Observation) {
	latency := observation.Latency
	if observation.Answered && observation.Slots > 0 {
		// The reported queue is more recent than the one that this request waited in.
		latency = s.baseline + s.baseline*time.Duration(observation.Waiting)/time.Duration(observation.Slots)
	}
	s.samples[s.nextSample] = sample{at: now, backend: maphash.String(hashSeed, observation.Backend), latency: latency, refused: observation.Refused}
	s.nextSample = (s.nextSample + 1) % maxSamples
	if observation.Answered {
		s.updateBaseline(observation.Latency)
		s.answerRate.add(now, answerTimeConstant)
	}
	if observation.Refused && s.target > 0 && s.isFull(now) {
		s.startLimit(now)
		s.wasFull = true
		s.decreaseForRefusal(now)
	}
	s.update(now)
}

// updateBaseline adds a latency to the baseline unless it includes queuing.
func (s *service) updateBaseline(latency time.Duration) {
	switch {
	case s.baseline == 0 || s.baselineSamples < minSamples && latency < s.baseline:
		// Keeps the fastest of the first answers, since the others may have queued.
		s.baseline, s.deviation = latency, latency/4
	case s.limiting && latency < s.baseline:
		// Queuing only adds latency, so a faster answer lowers the baseline.
		s.baseline += time.Duration(limitedBaselineWeight * float64(latency-s.baseline))
		s.deviation = min(s.deviation, s.baseline/4)
	case s.baselineSamples >= minSamples && !s.limiting && latency < s.baseline+s.queueDelayBudget():
		s.baseline += time.Duration(baselineWeight * float64(latency-s.baseline))
		s.deviation += time.Duration(baselineWeight * float64((latency-s.baseline).Abs()-s.deviation))
	}
	s.baselineSamples = min(s.baselineSamples+1, minSamples)
}

// queueDelay returns how far recent answers exceed the baseline, and how many there are. It uses the
// lower median, so that a few slow backends do not count as overload.
func (s *service) queueDelay(now time.Time) (delay time.Duration, answers int) {
	maxAge := sampleTTL
	if s.limiting {
		maxAge = s.silenceTimeout()
	}
	var latencies [delaySamples]time.Duration
	for age := 1; age <= maxSamples && answers < delaySamples; age++ {
		sample := &s.samples[(s.nextSample+maxSamples-age)%maxSamples]
		if !sample.refused && !sample.at.IsZero() && now.Sub(sample.at) < maxAge {
			latencies[answers] = sample.latency
			answers++
		}
	}
	if answers == 0 {
		return 0, 0
	}
	slices.Sort(latencies[:answers])
	return max(latencies[(answers-1)/2]-s.baseline, 0), answers
}

// decreaseForRefusal decreases the fraction after a backend's refusal, but not below the fraction that
// is answered.
func (s *service) decreaseForRefusal(now time.Time) {
	answeredFraction := s.answerRate.current(now, answerTimeConstant) / max(s.arrivalRate.current(now, arrivalTimeConstant), 1)
	s.admittedFraction = max(s.admittedFraction*(1-refusalDecrease), min(s.admittedFraction, answeredFraction), minAdmittedFraction)
}

// isFull reports whether a backend's refusal shows that the service is full.
func (s *service) isFull(now time.Time) bool {
	delay, answers := s.queueDelay(now)
	return answers > 0 && s.limiting && delay > s.queueDelayBudget()/2 || s.isRefusing(now)
}

// isRefusing reports whether most of the recently tried backends have refused a request: a single one
// that does is not overload of the service.
func (s *service) isRefusing(now time.Time) bool {
	tried, refused := 0, 0
	for position, candidate := range s.samples {
		if candidate.at.IsZero() || now.Sub(candidate.at) >= sampleTTL || s.hasEarlierSample(position, now) {
			continue
		}
		tried++
		if s.hasRefused(candidate.backend, now) {
			refused++
		}
	}
	return refused*2 > tried && refused > 1
}

// hasEarlierSample reports whether a recent sample before the position is of the same backend.
func (s *service) hasEarlierSample(position int, now time.Time) bool {
	for _, other := range s.samples[:position] {
		if other.backend == s.samples[position].backend && now.Sub(other.at) < sampleTTL {
			return true
		}
	}
	return false
}

func (s *service) hasRefused(backend uint64, now time.Time) bool {
	for _, other := range s.samples {
		if other.refused && other.backend == backend && now.Sub(other.at) < sampleTTL {
			return true
		}
	}
	return false
}

// silenceTimeout returns the time without answers after which the fraction grows.
func (s *service) silenceTimeout() time.Duration {
	gap := float64(time.Second) / max(s.admittedRate.perSecond, 1)
	return min(max(minSilence, time.Duration(silenceGaps*gap)), maxSilence)
}

func (s *service) newestSampleTime() time.Time {
	return s.samples[(s.nextSample+maxSamples-1)%maxSamples].at
}

// startLimit starts a limit unless there is one.
func (s *service) startLimit(now time.Time) {
	if s.limiting {
		return
	}
	s.limiting, s.admittedFraction, s.updatedAt, s.lastError = true, 1, now, 0
	s.unlimitedSince, s.slowSince, s.wasFull = now, now, false
	s.fairShares.clear()
}

// recordArrival counts a request. After a gap too long for a surge, everything is admitted again.
func (s *service) recordArrival(now time.Time) {
	gap := now.Sub(s.arrivalRate.at).Seconds()
	if s.limiting && gap*s.arrivalRate.perSecond > surgeEndGaps && s.isSurgeOver(now) {
		s.admittedFraction = 1
	}
	s.arrivalRate.add(now, arrivalTimeConstant)
}

// isSurgeOver reports whether the arrival rate is well below the rate admitted under the limit.
func (s *service) isSurgeOver(now time.Time) bool {
	return s.arrivalRate.current(now, arrivalTimeConstant) < surgeEndFraction*s.admittedRate.current(now, admittedTimeConstant)
}

// update starts, adjusts or ends the limit as of now.
func (s *service) update(now time.Time) {
	if !s.limiting {
		if delay, answers := s.queueDelay(now); answers >= minSamples && s.target > 0 && float64(delay) > limitStartFactor*float64(s.queueDelayBudget()) {
			s.startLimit(now)
		}
		return
	}
	step := now.Sub(s.updatedAt)
	if step < updateInterval {
		return
	}
	s.updatedAt = now
	s.updateFraction(now, step)
	s.raiseBaseline(now)
	s.fairShares.divide(now, s.admittedFraction)
	if s.admittedFraction < 1 {
		s.unlimitedSince = now
	} else if now.Sub(s.unlimitedSince) >= limitEndDelay {
		s.limiting = false
	}
}

// updateFraction adjusts the fraction to the current queue delay.
func (s *service) updateFraction(now time.Time, step time.Duration) {
	if s.isSurgeOver(now) {
		s.admittedFraction = 1
		return
	}
	delay, answers := s.queueDelay(now)
	if answers == 0 {
		s.growFraction(min(step, now.Sub(s.newestSampleTime())-s.silenceTimeout()))
		return
	}
	seconds := min(step, maxUpdateStep).Seconds()
	queueError := float64(delay-s.queueDelayBudget()) / float64(s.queueDelayBudget())
	change := -(integralGain*queueError+leakRate*max(math.Log(s.admittedFraction), -maxLeakInput))*seconds - proportionalGain*(queueError-s.lastError)
	s.lastError = queueError
	if queueError < emptyQueueError {
		change = max(change, emptyQueueGrowth*seconds)
	}
	s.admittedFraction = min(max(s.admittedFraction*math.Exp(change), minAdmittedFraction), 1)
}

// growFraction grows the fraction for a time without answers.
func (s *service) growFraction(step time.Duration) {
	s.admittedFraction = min(s.admittedFraction*math.Exp(silentGrowth*max(step, 0).Seconds()), 1)
}

// raiseBaseline raises the baseline if answers stay slow under the limit without refusals.
func (s *service) raiseBaseline(now time.Time) {
	delay, _ := s.queueDelay(now)
	if delay < s.queueDelayBudget() {
		s.slowSince = now
	}
	if now.Sub(s.slowSince) < baselineRaiseDelay || s.wasFull {
		return
	}
	s.slowSince, s.admittedFraction = now, 1
	s.baseline = max(s.baseline, min(s.baseline+delay, time.Duration(maxRaisedBaseline*float64(s.target))))
}

// decide admits or refuses a request under a limit, for a random draw from [0, 1).
func (s *service) decide(now time.Time, request Request, draw float64) Decision {
	delay, _ := s.queueDelay(now)
	decision := Decision{Service: request.Service, QueueDelay: delay}
	if request.Remaining > 0 && request.Remaining < s.baseline+delay {
		s.tooLate++
		decision.Reason = TooLate
		return decision
	}
	fraction, moreUrgentAdmitted := s.fairShares.recordRequest(now, request, s.admittedFraction)
	if s.admittedFraction >= 1 || draw < fraction {
		s.admitted++
		s.admittedRate.add(now, admittedTimeConstant)
		return Decision{Admitted: true}
	}
	decision.AdmittedFraction, decision.Reason = fraction, ShareExceeded
	if moreUrgentAdmitted {
		s.shareExceeded++
		return decision
	}
	s.lowPriority++
	decision.Reason = LowPriority
	return decision
}

// rate is an exponentially smoothed event rate.
type rate struct {
	perSecond float64
	at        time.Time
}

// add counts an event.
func (r *rate) add(now time.Time, timeConstant time.Duration) {
	r.perSecond = r.current(now, timeConstant) + 1/timeConstant.Seconds()
	r.at = now
}

func (r *rate) current(now time.Time, timeConstant time.Duration) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/timeConstant.Seconds())
}
