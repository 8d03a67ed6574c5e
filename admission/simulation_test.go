package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// scenario configures a simulation of callers, gateways and backends.
type scenario struct {
	gateways, backends, slots, queueLength int
	// surgeLoad and baseLoad are the rates of first attempts during the surge and outside of it, as
	// multiples of the capacity of all backends.
	surgeLoad, baseLoad float64
	// downBackends is the number of backends that are down during the surge.
	downBackends  int
	surgeDuration time.Duration
	// tenants is the number of tenants, 0 for none. The first one sends half of the requests.
	tenants int
	// workFactors multiply the work time of the first backends.
	workFactors []float64
	// urgentFraction is the fraction of requests with priority 0; the others have priority 1.
	urgentFraction float64
	// reportsLoad is set if backends report their load.
	reportsLoad bool
	// hedges is set if gateways hedge requests while there is no limit.
	hedges     bool
	seed       uint64
	newLimiter func(random *rand.Rand) Limiter
	// defaultRetryAfter is the wait of callers that were refused without a RetryAfter.
	defaultRetryAfter time.Duration
}

const (
	simTarget      = 150 * time.Millisecond
	simDeadline    = 800 * time.Millisecond
	simWorkTime    = 25 * time.Millisecond
	clientLatency  = 3 * time.Millisecond
	backendLatency = 800 * time.Microsecond
	calmDuration   = 3 * time.Second
)

func (s scenario) capacity(backends int) float64 {
	return float64(backends*s.slots) / simWorkTime.Seconds()
}

// results counts requests of the surge by outcome.
type results struct {
	offered, inTarget, retriedInTarget, late, refusedTwice, refusedOnce, failed, attempts int
	byTenant                                                                              map[int]*[2]int
	byPriority                                                                            [2][2]int
	// refusedBefore and refusedAfter count refusals outside of the surge.
	refusedBefore, refusedAfter int
	reward                      float64
	notAdmitted                 int
	// idleRefusals counts refusals while fewer than half of the slots were in use.
	idleRefusals  int
	lastRefusedAt time.Duration
}

type simRequest struct {
	startedAt, sentAt time.Duration
	tenant            int
	priority          int
	isRetry           bool
	gateway           int
	inSurge           bool
	done              bool
	pending, attempts int
	unreached         int
	// triedBackends is a bit set of backend indexes.
	triedBackends uint64
}

type simAttempt struct {
	request   *simRequest
	gateway   int
	backend   int
	startedAt time.Duration
}

type simBackend struct {
	running    int
	waiting    []*simAttempt
	down       bool
	workFactor float64
}

type backendView struct {
	latency      float64
	inFlight     int
	avoidedUntil time.Duration
}

type simGateway struct {
	limiter Limiter
	views   []backendView
}

type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation runs a scenario in virtual time.
type simulation struct {
	scenario
	results
	random          *rand.Rand
	now             time.Duration
	scheduledEvents int
	events          eventQueue
	gatewayStates   []*simGateway
	backendStates   []*simBackend
}

var simEpoch = time.Unix(1_000_000, 0)

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.scheduledEvents++
	heap.Push(&s.events, simEvent{s.now + delay, s.scheduledEvents, run})
}

func (s *simulation) currentTime() time.Time { return simEpoch.Add(s.now) }

// run simulates a calm period, the surge and another calm period.
func (s scenario) run() *simulation {
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(s.seed, 1))}
	sim.byTenant = map[int]*[2]int{}
	for position := range s.gateways {
		sim.gatewayStates = append(sim.gatewayStates, &simGateway{
			limiter: s.newLimiter(rand.New(rand.NewPCG(s.seed, uint64(position)+2))), views: make([]backendView, s.backends),
		})
	}
	for position := range s.backends {
		workFactor := 1.0
		if position < len(s.workFactors) {
			workFactor = s.workFactors[position]
		}
		sim.backendStates = append(sim.backendStates, &simBackend{workFactor: workFactor})
	}
	sim.scheduleArrival()
	sim.schedule(calmDuration, func() { sim.setDown(true) })
	sim.schedule(calmDuration+s.surgeDuration, func() { sim.setDown(false) })
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(simEvent)
		sim.now = next.at
		next.run()
	}
	return sim
}

func (s *simulation) setDown(down bool) {
	for _, backend := range s.backendStates[:s.downBackends] {
		backend.down = down
		for _, attempt := range backend.waiting {
			s.failAttempt(attempt, false)
		}
		backend.waiting = nil
	}
}

func (s *simulation) inSurge() bool {
	return s.now >= calmDuration && s.now < calmDuration+s.surgeDuration
}

// scheduleArrival schedules the next first attempt.
func (s *simulation) scheduleArrival() {
	if s.now >= 2*calmDuration+s.surgeDuration {
		return
	}
	rate := s.baseLoad * s.capacity(s.backends)
	if s.inSurge() {
		rate = s.surgeLoad * s.capacity(s.backends)
	}
	// A gap ends at the start of the surge, when the rate changes.
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if edge := calmDuration - s.now; edge > 0 && gap > edge {
		s.schedule(edge, s.scheduleArrival)
		return
	}
	s.schedule(gap, func() {
		request := &simRequest{startedAt: s.now, inSurge: s.inSurge(), priority: 1}
		if s.tenants > 0 && s.random.Float64() < 0.5 {
			request.tenant = 1 + s.random.IntN(s.tenants-1)
		}
		if s.random.Float64() < s.urgentFraction {
			request.priority = 0
		}
		if request.inSurge {
			s.offered++
			s.tenantCounts(request)[0]++
			s.byPriority[request.priority][0]++
		}
		s.schedule(clientLatency, func() { s.receive(request) })
		s.scheduleArrival()
	})
}

func (s *simulation) tenantCounts(request *simRequest) *[2]int {
	counts := s.byTenant[request.tenant]
	if counts == nil {
		counts = &[2]int{}
		s.byTenant[request.tenant] = counts
	}
	return counts
}

// receive handles an attempt of a caller at a gateway.
func (s *simulation) receive(request *simRequest) {
	request.gateway = s.random.IntN(s.gateways)
	request.sentAt, request.done, request.attempts, request.unreached, request.pending, request.triedBackends = s.now, false, 0, 0, 0, 0
	gateway := s.gatewayStates[request.gateway]
	admissionRequest := Request{
		Service: "s", Priority: request.priority, IsRetry: request.isRetry, Target: simTarget,
		Remaining: simDeadline - (s.now - request.startedAt),
	}
	if s.tenants > 0 {
		admissionRequest.Tenant = strconv.Itoa(request.tenant)
	}
	decision := gateway.limiter.Admit(s.currentTime(), admissionRequest)
	if !decision.Admitted {
		s.notAdmitted++
		s.countIdleRefusal()
		s.refuse(request, decision.RetryAfter)
		return
	}
	s.send(request)
	s.hedge(request)
}

// countIdleRefusal counts a refusal while backends had free capacity.
func (s *simulation) countIdleRefusal() {
	running, slots, waiting := 0, 0, 0
	for _, backend := range s.backendStates {
		if !backend.down {
			running += backend.running
			slots += s.slots
			waiting += len(backend.waiting)
		}
	}
	if running*2 < slots && waiting == 0 {
		s.idleRefusals++
	}
}

func (s *simulation) hedge(request *simRequest) {
	sent := s.now
	s.schedule(simTarget/2, func() {
		if s.hedges && !request.done && request.sentAt == sent && !s.gatewayStates[request.gateway].limiter.IsLimiting(s.currentTime(), "s") {
			s.send(request)
			s.hedge(request)
		}
	})
}

// send sends the request to the backend with the lowest estimated cost.
func (s *simulation) send(request *simRequest) bool {
	if request.attempts >= 2 {
		return false
	}
	gateway := s.gatewayStates[request.gateway]
	best, bestCost := -1, 0.0
	for position := range s.backendStates {
		view := &gateway.views[position]
		if request.triedBackends&(1<<position) != 0 {
			continue
		}
		cost := max(view.latency, 10) * float64(view.inFlight+1) * (1 + 0.2*s.random.Float64())
		if s.now < view.avoidedUntil {
			cost += 1e6
		}
		if best < 0 || cost < bestCost {
			best, bestCost = position, cost
		}
	}
	if best < 0 {
		return false
	}
	request.attempts++
	request.triedBackends |= 1 << best
	request.pending++
	gateway.views[best].inFlight++
	if request.inSurge {
		s.attempts++
	}
	attempt := &simAttempt{request: request, gateway: request.gateway, backend: best, startedAt: s.now}
	s.schedule(backendLatency, func() { s.deliver(attempt) })
	return true
}

func (s *simulation) deliver(attempt *simAttempt) {
	backend := s.backendStates[attempt.backend]
	switch {
	case backend.down:
		s.schedule(backendLatency, func() { s.failAttempt(attempt, false) })
	case backend.running < s.slots:
		s.execute(attempt)
	case len(backend.waiting) < s.queueLength:
		backend.waiting = append(backend.waiting, attempt)
	default:
		s.schedule(backendLatency, func() { s.failAttempt(attempt, true) })
	}
}

func (s *simulation) execute(attempt *simAttempt) {
	backend := s.backendStates[attempt.backend]
	backend.running++
	const spread = 0.47
	workTime := simWorkTime.Seconds() * 0.96 * math.Exp(s.random.NormFloat64()*spread-spread*spread/2) * backend.workFactor
	if s.random.Float64() < 0.01 {
		workTime *= 5
	}
	s.schedule(time.Duration(workTime*float64(time.Second)), func() {
		backend.running--
		s.executeNext(backend)
		observed := Observation{Service: "s", Backend: strconv.Itoa(attempt.backend), Answered: true}
		if s.reportsLoad {
			observed.Waiting, observed.Slots = len(backend.waiting), s.slots
		}
		s.schedule(backendLatency, func() { s.completeAttempt(attempt, observed) })
	})
}

func (s *simulation) executeNext(backend *simBackend) {
	for len(backend.waiting) > 0 {
		attempt := backend.waiting[0]
		backend.waiting = backend.waiting[1:]
		if !attempt.request.done {
			s.execute(attempt)
			return
		}
	}
}

func (s *simulation) completeAttempt(attempt *simAttempt, observed Observation) {
	gateway, request := s.gatewayStates[attempt.gateway], attempt.request
	view := &gateway.views[attempt.backend]
	view.inFlight--
	latency := s.now - attempt.startedAt
	view.latency += 0.2 * (latency.Seconds()*1000 - view.latency)
	view.avoidedUntil = 0
	if request.done {
		return
	}
	observed.Latency = latency
	gateway.limiter.Observe(s.currentTime(), observed)
	request.done = true
	s.schedule(clientLatency, func() { s.recordAnswer(request) })
}

// failAttempt ends an attempt without an answer.
func (s *simulation) failAttempt(attempt *simAttempt, refused bool) {
	gateway, request := s.gatewayStates[attempt.gateway], attempt.request
	view := &gateway.views[attempt.backend]
	view.inFlight--
	request.pending--
	if !refused && request.unreached < 3 {
		// The backend was not reached, so the attempt does not count.
		request.unreached++
		request.attempts--
	}
	view.avoidedUntil = s.now + 1500*time.Millisecond
	isLimiting := false
	if refused {
		view.avoidedUntil = s.now + 50*time.Millisecond
		gateway.limiter.Observe(s.currentTime(), Observation{Service: "s", Backend: strconv.Itoa(attempt.backend), Refused: true})
		isLimiting = gateway.limiter.IsLimiting(s.currentTime(), "s")
	}
	if request.done || !isLimiting && s.send(request) || request.pending > 0 {
		return
	}
	request.done = true
	s.refuse(request, 0)
}

// refuse returns a refusal to the caller, which retries once.
func (s *simulation) refuse(request *simRequest, retryAfter time.Duration) {
	if retryAfter == 0 {
		retryAfter = s.defaultRetryAfter
	}
	if !request.inSurge {
		if s.now < calmDuration {
			s.refusedBefore++
		} else {
			s.refusedAfter++
		}
	}
	s.lastRefusedAt = max(s.lastRefusedAt, s.now)
	if request.isRetry {
		if request.inSurge {
			s.refusedTwice++
			s.reward -= 0.06
		}
		return
	}
	if request.inSurge {
		s.refusedOnce++
	}
	request.isRetry = true
	// The caller opens a connection before it sends the retry.
	s.schedule(clientLatency+retryAfter+3*clientLatency, func() { s.receive(request) })
}

func (s *simulation) recordAnswer(request *simRequest) {
	if !request.inSurge {
		return
	}
	s.tenantCounts(request)[1]++
	s.byPriority[request.priority][1]++
	latency, attemptLatency := s.now-request.startedAt, s.now-request.sentAt+clientLatency
	switch {
	case latency > simDeadline:
		s.failed++
		return
	case latency <= simTarget:
		s.inTarget++
		s.reward += 0.2
	case request.isRetry && attemptLatency <= simTarget:
		s.retriedInTarget++
		s.reward += 0.125
	default:
		s.late++
		s.reward += 0.05
	}
}

// servable returns the number of requests that the backends could have served in the surge.
func (s *simulation) servable() float64 {
	return min(float64(s.offered), s.capacity(s.backends-s.downBackends)*s.surgeDuration.Seconds())
}

// fairLevel returns the largest number of answers per tenant under max-min fairness.
func (s *simulation) fairLevel() float64 {
	offered, remaining := []int{}, 0.0
	for _, t := range s.byTenant {
		offered, remaining = append(offered, t[0]), remaining+float64(t[1])
	}
	slices.Sort(offered)
	for position, count := range offered {
		if equalShare := remaining / float64(len(offered)-position); float64(count) >= equalShare {
			return equalShare
		}
		remaining -= float64(count)
	}
	return math.Inf(1)
}

// minFairness returns the smallest fraction of its fair share that any tenant got.
func (s *simulation) minFairness() float64 {
	fairLevel, fairness := s.fairLevel(), 1.0
	for _, t := range s.byTenant {
		fairness = min(fairness, float64(t[1])/min(float64(t[0]), fairLevel))
	}
	return fairness
}

// smallTenantFairness returns the fraction of their fair shares that all tenants but the large one
// got.
func (s *simulation) smallTenantFairness() float64 {
	fairLevel, fair, served := s.fairLevel(), 0.0, 0.0
	for name, t := range s.byTenant {
		if name > 0 {
			fair, served = fair+min(float64(t[0]), fairLevel), served+float64(t[1])
		}
	}
	return served / max(fair, 1)
}
