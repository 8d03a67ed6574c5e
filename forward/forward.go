// Package forward sends requests to the backends of services: it chooses a backend, retries and hedges
// where that is allowed, and returns the response or the reason why there is none.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dillchute/dillchute/admission"
	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
)

// Request is a caller's request.
type Request struct {
	ID string
	// StableID is set on a request whose retries by the caller have the same ID.
	StableID bool

	Method string
	Host   string
	// Target is the path and query as received.
	Target string
	Header http.Header
	Body   []byte
	// Tenant is the name of the caller's tenant, "" for none. Priority is the request's priority, 0
	// for the most urgent.
	Tenant   string
	Priority int
	// Deadline is when the caller gives up, on the clock of package clock.
	Deadline time.Time
	// Memory holds the reservations for responses until the caller has read the one that it gets. If it is nil, they end
	// once a response is read.
	Memory *intake.Scope
}

// remaining returns the time left until the deadline. Timers do not replace it: they do not advance
// while the machine is suspended.
func (r *Request) remaining() time.Duration {
	if r.Deadline.IsZero() {
		return noDeadlineTimeout
	}
	return clock.Until(r.Deadline)
}

// noDeadlineTimeout is the timeout of a request without a deadline.
const noDeadlineTimeout = time.Hour

// Content returns what identifies the request to the quarantine guard.
func (r *Request) Content() quarantine.Content {
	content := quarantine.Content{Tenant: r.Tenant, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}
	if r.StableID {
		content.ID = r.ID
	}
	return content
}

// Response is a complete response of a backend.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the backend's signature of the response.
	Signature string
}

// Outcome is the outcome of one attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered: the backend returned a complete response.
	Answered Outcome = iota + 1
	// NotSent: no byte of the request can have reached the backend.
	NotSent
	// Refused: the backend reported that it did not run the request.
	Refused
	// Misdirected: another backend has this address now, and did not run the request.
	Misdirected
	// Lost: the request may have run, but there is no complete response.
	Lost
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return [...]string{"pending", "answered", "not_sent", "refused", "misdirected", "lost"}[o]
}

// Attempt is the result of sending a request to one backend.
type Attempt struct {
	Outcome  Outcome
	Response Response
	// Broken is set on a lost attempt whose connection the other side ended.
	Broken bool
	// Load is the load that the backend reported with its response or refusal, or nil.
	Load *Load
}

// Client sends a request to one backend and returns its complete response. The backend has until the
// context's deadline.
type Client interface {
	Send(ctx context.Context, backend directory.Backend, request *Request) Attempt
}

// Reason is why a request ended without a backend's response.
type Reason string

// The reasons for the lack of a response.
const (
	// NoBackend: no backend of the services accepts requests.
	NoBackend Reason = "no_backend"
	// Full: every backend that was tried refused the request.
	Full Reason = "full"
	// Overloaded: the request was not admitted, since the service has more requests than it can serve
	// in time.
	Overloaded Reason = "overloaded"
	// Expired: the request's deadline has passed.
	Expired Reason = "expired"
	// NoAnswer: a backend may have run the request, but none returned a complete response.
	NoAnswer Reason = "no_answer"
	// Abandoned: the caller cancelled the request.
	Abandoned Reason = "abandoned"
	// Stopping: this process shut down before the request was finished.
	Stopping Reason = "stopping"
	// Quarantined: the request has crashed the backends that ran it, and is not sent again.
	Quarantined Reason = "quarantined"
	// Postponed: the request is suspected of a crash, and too many backends are unavailable to send it
	// now.
	Postponed Reason = "postponed"
)

// Result is the result of a request.
type Result struct {
	// Response is nil if no backend returned a response; Reason is set then.
	Response *Response
	Reason   Reason
	// RetryAfter is how long the caller should wait before a retry, 0 if that is not known.
	RetryAfter time.Duration
	// Admission is the decision that rejected a request that was not admitted.
	Admission admission.Decision
	// MayHaveRun is set unless it is certain that no backend ran the request.
	MayHaveRun bool
	Attempts   int
	// Failures counts the backends that ran the request and failed it (status 500). Other server errors, such as that of
	// a backend that reached the deadline, say nothing about the request.
	Failures int
	// History holds the attempts in the order of their start.
	History []AttemptRecord
	// Backend and Service are those that returned the response.
	Backend string
	Service string
}

// AttemptRecord describes one attempt of a request.
type AttemptRecord struct {
	Backend string
	// Outcome is 0 if the request ended before the attempt.
	Outcome Outcome
	// Status is the response's status, 0 if there was no response.
	Status int
	// Broken is set on a lost attempt whose connection the other side ended.
	Broken    bool
	StartedAt time.Time
	// Duration is the time until the end of the attempt, or of the request if that came first.
	Duration time.Duration
}

// MayHaveRun reports whether the backend may have run the request.
func (a AttemptRecord) MayHaveRun() bool {
	return a.Outcome == 0 || a.Outcome == Answered || a.Outcome == Lost
}

// recordStart appends an attempt that starts now.
func (r *Result) recordStart(backend string) {
	r.History = append(r.History, AttemptRecord{Backend: backend, StartedAt: clock.Now()})
}

// recordEnd records the end of the latest attempt at the backend.
func (r *Result) recordEnd(backend string, attempt Attempt) {
	for position := len(r.History) - 1; position >= 0; position-- {
		if record := &r.History[position]; record.Backend == backend {
			record.Outcome, record.Status, record.Broken = attempt.Outcome, attempt.Response.Status, attempt.Broken
			record.Duration = clock.Since(record.StartedAt)
			return
		}
	}
}

// recordPending sets the durations of the attempts that have not ended.
func (r *Result) recordPending() {
	for position := range r.History {
		if record := &r.History[position]; record.Outcome == 0 {
			record.Duration = clock.Since(record.StartedAt)
		}
	}
}

const (
	// hedgeDelayFraction is the fraction of the route's target latency after which a repeatable
	// request without a response is sent to a second backend.
	hedgeDelayFraction = 0.5
	minHedgeDelay      = 30 * time.Millisecond
	// failurePenalty is how long a backend is avoided after a failure, and refusalPenalty after a
	// refusal.
	failurePenalty = 1500 * time.Millisecond
	refusalPenalty = 50 * time.Millisecond
	// slowPenalty is how long a backend is avoided after an attempt that was cancelled later than
	// slowFactor times the backend's latency.
	slowPenalty = 500 * time.Millisecond
	slowFactor  = 4
	// latencySmoothing is the weight of the newest latency in a backend's average.
	latencySmoothing = 0.2
	// maxUnreachedAttempts is the number of attempts at unreachable backends that do not count towards
	// the route's limit: the request was not sent, and another backend can still serve it. The limit
	// bounds the time and the connections used this way.
	maxUnreachedAttempts = 3
	// hedgeBudgetFraction is the fraction of requests that may be hedged, and hedgeBudgetBurst the
	// number of hedges that may be saved up.
	hedgeBudgetFraction = 0.25
	hedgeBudgetBurst    = 20
)

// Forwarder sends requests to backends. Its methods may be called concurrently.
type Forwarder struct {
	client Client
	zone   string
	guard  *quarantine.Guard

	mutex sync.Mutex
	// random breaks ties between equal backends.
	random   *rand.Rand
	backends map[string]*backendState
	// crashedSince holds when this process learned that backends had crashed, by ID.
	crashedSince map[string]time.Time
	// averageLatency holds the average latency of each service's backends.
	averageLatency map[string]time.Duration
	// serviceLoads holds the load state of the services whose backends report their load.
	serviceLoads map[string]*serviceLoadState
	// credits holds the state of each split route's smooth weighted round robin.
	credits          map[string][]float64
	hedgeBudget      float64
	admissionControl admissionControl
}

// New returns a forwarder for a process in the zone. The guard decides which requests are quarantined.
func New(client Client, zone string, guard *quarantine.Guard) *Forwarder {
	return &Forwarder{
		client: client, zone: zone, guard: guard, backends: map[string]*backendState{}, crashedSince: map[string]time.Time{}, averageLatency: map[string]time.Duration{},
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		credits: map[string][]float64{}, hedgeBudget: hedgeBudgetBurst, serviceLoads: map[string]*serviceLoadState{},
		admissionControl: admissionControl{limiter: admission.AdmitAll{}, retries: retryDetector{routes: map[string]*recentRemainingTimes{}}},
	}
}

// exchange is one request that is being forwarded.
type exchange struct {
	forwarder *Forwarder
	catalog   *directory.Catalog
	route     routing.Route
	request   *Request
	services  []string
	tried     map[string]bool
	pending   int
	// unreached counts the attempts that did not reach a backend.
	unreached      int
	result         Result
	attemptResults chan attemptResult
	// fallback is a backend's server error, which is returned if no better response arrives.
	fallback *attemptResult
	quarantineCheck
}

type attemptResult struct {
	attempt Attempt
	backend directory.Backend
}

// Do sends the request to the route's services. It returns once there is a response, or it is certain
// that there will be none.
func (f *Forwarder) Do(ctx context.Context, catalog *directory.Catalog, route routing.Route, request *Request) Result {
	ctx, cancel := context.WithTimeout(ctx, request.remaining())
	defer cancel()
	services := f.orderServices(route)
	if decision := f.admissionControl.admit(services, route, request); !decision.Admitted {
		return overloadedResult(decision)
	}
	e := &exchange{
		forwarder: f, catalog: catalog, route: route, request: request, services: services,
		tried: map[string]bool{}, attemptResults: make(chan attemptResult, maxAttempts(catalog, services, route)),
		quarantineCheck: f.checkQuarantine(ctx, catalog, services, request),
	}
	result := e.do(ctx)
	result.recordPending()
	return result
}

// maxAttempts returns the largest number of attempts of a request: one at each backend, and no more than the route
// allows. The route alone sets no bound, since it may allow any number.
func maxAttempts(catalog *directory.Catalog, services []string, route routing.Route) int {
	backends := 0
	for _, service := range services {
		backends += len(catalog.Backends(service))
	}
	return min(max(route.Attempts, 1)+maxUnreachedAttempts, backends)
}

func (e *exchange) do(ctx context.Context) Result {
	if !e.startAttempt(ctx) {
		if e.request.remaining() <= 0 {
			return e.finish(Expired)
		}
		return e.finish(e.unsentReason())
	}
	hedge := time.NewTimer(e.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return e.finishCancelled(ctx)
		case <-hedge.C:
			if e.route.Kind == routing.Repeatable && e.mayHedge() && !e.isLimiting() && e.forwarder.spendHedgeBudget() {
				e.startAttempt(ctx)
			}
			hedge.Reset(e.hedgeDelay())
		case done := <-e.attemptResults:
			if e.handleResult(done) {
				return e.result
			}
			if ctx.Err() != nil {
				return e.finishCancelled(ctx)
			}
			if e.mayRetry(done.attempt.Outcome) && !isUnreachedSuspect(&e.quarantineCheck, done.attempt.Outcome) {
				e.startAttempt(ctx)
			}
			if e.pending == 0 {
				return e.finish(e.failureReason(done.attempt.Outcome))
			}
		}
	}
}

// cancellationReason returns the reason for which the context has ended. A process that shuts down
// cancels requests with the cause context.DeadlineExceeded, so these count as expired.
func cancellationReason(ctx context.Context) Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return Expired
	}
	return Abandoned
}

func (e *exchange) failureReason(last Outcome) Reason {
	if e.request.remaining() <= 0 {
		return Expired
	}
	if e.result.MayHaveRun || last == Lost {
		return NoAnswer
	}
	if reason := e.unsentReason(); reason != NoBackend {
		return reason
	}
	return Full
}

func (e *exchange) hedgeDelay() time.Duration {
	return max(time.Duration(float64(e.route.TargetMillis)*hedgeDelayFraction)*time.Millisecond, minHedgeDelay)
}

// finishCancelled finishes a request whose context has ended, with a response that is already
// available if there is one.
func (e *exchange) finishCancelled(ctx context.Context) Result {
	if e.handleReadyResults() {
		return e.result
	}
	return e.finish(cancellationReason(ctx))
}

// handleReadyResults handles the attempts that have already ended, and reports whether one of them
// finishes the request.
func (e *exchange) handleReadyResults() bool {
	for {
		select {
		case done := <-e.attemptResults:
			if e.handleResult(done) {
				return true
			}
		default:
			return false
		}
	}
}

// handleResult handles the end of an attempt, and reports whether it finishes the request.
func (e *exchange) handleResult(done attemptResult) bool {
	e.pending--
	e.result.recordEnd(done.backend.ID, done.attempt)
	e.recordOutcome(done.attempt.Outcome)
	switch done.attempt.Outcome {
	case NotSent:
		e.unreached++
	case Answered:
		e.result.MayHaveRun = true
		if e.route.Kind == routing.Repeatable && done.attempt.Response.Status >= http.StatusInternalServerError {
			e.fallback = &done
			if done.attempt.Response.Status == http.StatusInternalServerError {
				e.result.Failures++
			}
			return false
		}
		e.setResponse(done)
		return true
	case Lost:
		e.result.MayHaveRun = true
	}
	return false
}

func (e *exchange) setResponse(done attemptResult) {
	response := done.attempt.Response
	e.result.Response, e.result.Backend, e.result.Service = &response, done.backend.ID, done.backend.Service
}

func (e *exchange) finish(reason Reason) Result {
	if e.pending > 0 {
		e.result.MayHaveRun = true
	}
	if e.fallback != nil && reason != Abandoned {
		e.setResponse(*e.fallback)
		return e.result
	}
	e.result.Reason = reason
	if reason == Full {
		e.result.RetryAfter = e.retryAfter()
	}
	return e.result
}

// startAttempt sends the request to another backend, and reports whether there was one.
func (e *exchange) startAttempt(ctx context.Context) bool {
	if e.result.Attempts-min(e.unreached, maxUnreachedAttempts) >= max(e.route.Attempts, 1) || e.request.remaining() <= 0 || !e.mayStart() {
		return false
	}
	backend, ok := e.forwarder.chooseForAttempt(&e.quarantineCheck, e.catalog, e.services, e.tried)
	if !ok {
		return false
	}
	e.tried[backend.ID] = true
	e.result.Attempts++
	e.result.recordStart(backend.ID)
	e.pending++
	verdict := e.verdict
	go func() {
		started := time.Now()
		attempt := e.forwarder.client.Send(ctx, backend, e.request)
		e.forwarder.updateGuard(ctx, verdict, backend, e.request, attempt)
		latency := time.Since(started)
		e.forwarder.recordAttempt(backend, attempt, latency, ctx.Err() != nil)
		e.forwarder.admissionControl.observe(ctx, backend, attempt, latency)
		if verdict.IsSuspect() {
			e.forwarder.releaseSuspect(backend.ID)
		}
		e.attemptResults <- attemptResult{attempt: attempt, backend: backend}
	}()
	return true
}
