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
	modelTarget    = 150 * time.Millisecond
	modelDeadline  = 800 * time.Millisecond
	modelWorkTime  = 25 * time.Millisecond
	clientLatency  = 3 * time.Millisecond
	backendLatency = 800 * time.Microsecond
	calmDuration   = 3 * time.Second
)

func (s scenario) capacity(backends int) float64 {
	return float64(backends*s.slots) / modelWorkTime.Seconds()
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

type modelRequest struct {
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

type modelAttempt struct {
	request   *modelRequest
	gateway   int
	backend   int
	startedAt time.Duration
}

type modelBackend struct {
	running    int
	waiting    []*modelAttempt
	down       bool
	workFactor float64
}

type backendView struct {
	latency      float64
	inFlight     int
	avoidedUntil time.Duration
}

type modelGateway struct {
	limiter Limiter
	views   []backendView
}

type modelEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// model simulates a scenario in virtual time.
type model struct {
	scenario
	results
	random          *rand.Rand
	now             time.Duration
	scheduledEvents int
	events          eventQueue
	gatewayStates   []*modelGateway
	backendStates   []*modelBackend
}

var modelEpoch = time.Unix(1_000_000, 0)

func (m *model) schedule(delay time.Duration, run func()) {
	m.scheduledEvents++
	heap.Push(&m.events, modelEvent{m.now + delay, m.scheduledEvents, run})
}

func (m *model) currentTime() time.Time { return modelEpoch.Add(m.now) }

// run simulates a calm period, the surge and another calm period.
func (s scenario) run() *model {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(s.seed, 1))}
	m.byTenant = map[int]*[2]int{}
	for position := range s.gateways {
		m.gatewayStates = append(m.gatewayStates, &modelGateway{
			limiter: s.newLimiter(rand.New(rand.NewPCG(s.seed, uint64(position)+2))), views: make([]backendView, s.backends),
		})
	}
	for position := range s.backends {
		workFactor := 1.0
		if position < len(s.workFactors) {
			workFactor = s.workFactors[position]
		}
		m.backendStates = append(m.backendStates, &modelBackend{workFactor: workFactor})
	}
	m.scheduleArrival()
	m.schedule(calmDuration, func() { m.setDown(true) })
	m.schedule(calmDuration+s.surgeDuration, func() { m.setDown(false) })
	for len(m.events) > 0 {
		next := heap.Pop(&m.events).(modelEvent)
		m.now = next.at
		next.run()
	}
	return m
}

func (m *model) setDown(down bool) {
	for _, backend := range m.backendStates[:m.downBackends] {
		backend.down = down
		for _, attempt := range backend.waiting {
			m.failAttempt(attempt, false)
		}
		backend.waiting = nil
	}
}

func (m *model) inSurge() bool { return m.now >= calmDuration && m.now < calmDuration+m.surgeDuration }

// scheduleArrival schedules the next first attempt.
func (m *model) scheduleArrival() {
	if m.now >= 2*calmDuration+m.surgeDuration {
		return
	}
	rate := m.baseLoad * m.capacity(m.backends)
	if m.inSurge() {
		rate = m.surgeLoad * m.capacity(m.backends)
	}
	// A gap ends at the start of the surge, when the rate changes.
	gap := time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
	if edge := calmDuration - m.now; edge > 0 && gap > edge {
		m.schedule(edge, m.scheduleArrival)
		return
	}
	m.schedule(gap, func() {
		request := &modelRequest{startedAt: m.now, inSurge: m.inSurge(), priority: 1}
		if m.tenants > 0 && m.random.Float64() < 0.5 {
			request.tenant = 1 + m.random.IntN(m.tenants-1)
		}
		if m.random.Float64() < m.urgentFraction {
			request.priority = 0
		}
		if request.inSurge {
			m.offered++
			m.tenantCounts(request)[0]++
			m.byPriority[request.priority][0]++
		}
		m.schedule(clientLatency, func() { m.receive(request) })
		m.scheduleArrival()
	})
}

func (m *model) tenantCounts(request *modelRequest) *[2]int {
	counts := m.byTenant[request.tenant]
	if counts == nil {
		counts = &[2]int{}
		m.byTenant[request.tenant] = counts
	}
	return counts
}

// receive handles an attempt of a caller at a gateway.
func (m *model) receive(request *modelRequest) {
	request.gateway = m.random.IntN(m.gateways)
	request.sentAt, request.done, request.attempts, request.unreached, request.pending, request.triedBackends = m.now, false, 0, 0, 0, 0
	gateway := m.gatewayStates[request.gateway]
	admissionRequest := Request{
		Service: "s", Priority: request.priority, IsRetry: request.isRetry, Target: modelTarget,
		Remaining: modelDeadline - (m.now - request.startedAt),
	}
	if m.tenants > 0 {
		admissionRequest.Tenant = strconv.Itoa(request.tenant)
	}
	decision := gateway.limiter.Admit(m.currentTime(), admissionRequest)
	if !decision.Admitted {
		m.notAdmitted++
		m.countIdleRefusal()
		m.refuse(request, decision.RetryAfter)
		return
	}
	m.send(request)
	m.hedge(request)
}

// countIdleRefusal counts a refusal while backends had free capacity.
func (m *model) countIdleRefusal() {
	running, slots, waiting := 0, 0, 0
	for _, backend := range m.backendStates {
		if !backend.down {
			running += backend.running
			slots += m.slots
			waiting += len(backend.waiting)
		}
	}
	if running*2 < slots && waiting == 0 {
		m.idleRefusals++
	}
}

func (m *model) hedge(request *modelRequest) {
	sent := m.now
	m.schedule(modelTarget/2, func() {
		if m.hedges && !request.done && request.sentAt == sent && !m.gatewayStates[request.gateway].limiter.IsLimiting(m.currentTime(), "s") {
			m.send(request)
			m.hedge(request)
		}
	})
}

// send sends the request to the backend with the lowest estimated cost.
func (m *model) send(request *modelRequest) bool {
	if request.attempts >= 2 {
		return false
	}
	gateway := m.gatewayStates[request.gateway]
	best, bestCost := -1, 0.0
	for position := range m.backendStates {
		view := &gateway.views[position]
		if request.triedBackends&(1<<position) != 0 {
			continue
		}
		cost := max(view.latency, 10) * float64(view.inFlight+1) * (1 + 0.2*m.random.Float64())
		if m.now < view.avoidedUntil {
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
		m.attempts++
	}
	attempt := &modelAttempt{request: request, gateway: request.gateway, backend: best, startedAt: m.now}
	m.schedule(backendLatency, func() { m.deliver(attempt) })
	return true
}

func (m *model) deliver(attempt *modelAttempt) {
	backend := m.backendStates[attempt.backend]
	switch {
	case backend.down:
		m.schedule(backendLatency, func() { m.failAttempt(attempt, false) })
	case backend.running < m.slots:
		m.execute(attempt)
	case len(backend.waiting) < m.queueLength:
		backend.waiting = append(backend.waiting, attempt)
	default:
		m.schedule(backendLatency, func() { m.failAttempt(attempt, true) })
	}
}

func (m *model) execute(attempt *modelAttempt) {
	backend := m.backendStates[attempt.backend]
	backend.running++
	const spread = 0.47
	workTime := modelWorkTime.Seconds() * 0.96 * math.Exp(m.random.NormFloat64()*spread-spread*spread/2) * backend.workFactor
	if m.random.Float64() < 0.01 {
		workTime *= 5
	}
	m.schedule(time.Duration(workTime*float64(time.Second)), func() {
		backend.running--
		m.executeNext(backend)
		observed := Observation{Service: "s", Backend: strconv.Itoa(attempt.backend), Answered: true}
		if m.reportsLoad {
			observed.Waiting, observed.Slots = len(backend.waiting), m.slots
		}
		m.schedule(backendLatency, func() { m.completeAttempt(attempt, observed) })
	})
}

func (m *model) executeNext(backend *modelBackend) {
	for len(backend.waiting) > 0 {
		attempt := backend.waiting[0]
		backend.waiting = backend.waiting[1:]
		if !attempt.request.done {
			m.execute(attempt)
			return
		}
	}
}

func (m *model) completeAttempt(attempt *modelAttempt, observed Observation) {
	gateway, request := m.gatewayStates[attempt.gateway], attempt.request
	view := &gateway.views[attempt.backend]
	view.inFlight--
	latency := m.now - attempt.startedAt
	view.latency += 0.2 * (latency.Seconds()*1000 - view.latency)
	view.avoidedUntil = 0
	if request.done {
		return
	}
	observed.Latency = latency
	gateway.limiter.Observe(m.currentTime(), observed)
	request.done = true
	m.schedule(clientLatency, func() { m.recordAnswer(request) })
}

// failAttempt ends an attempt without an answer.
func (m *model) failAttempt(attempt *modelAttempt, refused bool) {
	gateway, request := m.gatewayStates[attempt.gateway], attempt.request
	view := &gateway.views[attempt.backend]
	view.inFlight--
	request.pending--
	if !refused && request.unreached < 3 {
		// The backend was not reached, so the attempt does not count.
		request.unreached++
		request.attempts--
	}
	view.avoidedUntil = m.now + 1500*time.Millisecond
	isLimiting := false
	if refused {
		view.avoidedUntil = m.now + 50*time.Millisecond
		gateway.limiter.Observe(m.currentTime(), Observation{Service: "s", Backend: strconv.Itoa(attempt.backend), Refused: true})
		isLimiting = gateway.limiter.IsLimiting(m.currentTime(), "s")
	}
	if request.done || !isLimiting && m.send(request) || request.pending > 0 {
		return
	}
	request.done = true
	m.refuse(request, 0)
}

// refuse returns a refusal to the caller, which retries once.
func (m *model) refuse(request *modelRequest, retryAfter time.Duration) {
	if retryAfter == 0 {
		retryAfter = m.defaultRetryAfter
	}
	if !request.inSurge {
		if m.now < calmDuration {
			m.refusedBefore++
		} else {
			m.refusedAfter++
		}
	}
	m.lastRefusedAt = max(m.lastRefusedAt, m.now)
	if request.isRetry {
		if request.inSurge {
			m.refusedTwice++
			m.reward -= 0.06
		}
		return
	}
	if request.inSurge {
		m.refusedOnce++
	}
	request.isRetry = true
	// The caller opens a connection before it sends the retry.
	m.schedule(clientLatency+retryAfter+3*clientLatency, func() { m.receive(request) })
}

func (m *model) recordAnswer(request *modelRequest) {
	if !request.inSurge {
		return
	}
	m.tenantCounts(request)[1]++
	m.byPriority[request.priority][1]++
	latency, attemptLatency := m.now-request.startedAt, m.now-request.sentAt+clientLatency
	switch {
	case latency > modelDeadline:
		m.failed++
		return
	case latency <= modelTarget:
		m.inTarget++
		m.reward += 0.2
	case request.isRetry && attemptLatency <= modelTarget:
		m.retriedInTarget++
		m.reward += 0.125
	default:
		m.late++
		m.reward += 0.05
	}
}

// servable returns the number of requests that the backends could have served in the surge.
func (m *model) servable() float64 {
	return min(float64(m.offered), m.capacity(m.backends-m.downBackends)*m.surgeDuration.Seconds())
}

// fairLevel returns the largest number of answers per tenant under max-min fairness.
func (m *model) fairLevel() float64 {
	offered, remaining := []int{}, 0.0
	for _, t := range m.byTenant {
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
func (m *model) minFairness() float64 {
	fairLevel, fairness := m.fairLevel(), 1.0
	for _, t := range m.byTenant {
		fairness = min(fairness, float64(t[1])/min(float64(t[0]), fairLevel))
	}
	return fairness
}

// smallTenantFairness returns the fraction of their fair shares that all tenants but the large one
// got.
func (m *model) smallTenantFairness() float64 {
	fairLevel, fair, served := m.fairLevel(), 0.0, 0.0
	for name, t := range m.byTenant {
		if name > 0 {
			fair, served = fair+min(float64(t[0]), fairLevel), served+float64(t[1])
		}
	}
	return served / max(fair, 1)
}
