// Package forward passes requests to the backends of services: it chooses a
// backend, retries where that is allowed, and tells what became of the request.
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
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
)

// Request is a caller's request.
type Request struct {
	ID string
	// StableID is set on a request that has the same ID each time it comes. Callers give each
	// of their tries another one.
	StableID bool

	Method string
	Host   string
	// Target is the path and query as they were received.
	Target string
	Header http.Header
	Body   []byte
	// Tenant is the name of the caller's tenant, "" for none, and Priority the request's rank, 0 for
	// the most urgent.
	Tenant   string
	Priority int
	// Deadline is when the caller gives up, by package clock.
	Deadline time.Time
}

// remaining returns how long the caller still waits. A timer may say otherwise: it stands still
// while the machine is suspended.
func (r *Request) remaining() time.Duration {
	if r.Deadline.IsZero() {
		return longestWait
	}
	return clock.Until(r.Deadline)
}

// longestWait bounds a request without a deadline of its own.
const longestWait = time.Hour

// Content returns what tells whether another request is the same.
func (r *Request) Content() quarantine.Content {
	content := quarantine.Content{Tenant: r.Tenant, Method: r.Method, Host: r.Host, Target: r.Target, Body: r.Body}
	if r.StableID {
		content.ID = r.ID
	}
	return content
}

// Response is a backend's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature is the backend's mark on its answer.
	Signature string
}

// Outcome tells what became of one attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered: the backend's whole answer is there.
	Answered Outcome = iota + 1
	// NotSent: no byte of the request can have reached the backend.
	NotSent
	// Refused: the backend says that it did not run the request.
	Refused
	// Misdirected: another backend has the address, and did not run the request.
	Misdirected
	// Lost: the request may have run, and there is no whole answer.
	Lost
)

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"pending", "answered", "not_sent", "refused", "misdirected", "lost"}[o]
}

// Attempt is the result of sending a request to one backend.
type Attempt struct {
	Outcome  Outcome
	Response Response
	// Broken is set on a lost attempt whose connection the other side ended.
	Broken bool
	// Load is what the backend told of its load with its answer or refusal, or nil.
	Load *Load
}

// Client sends a request to one backend and returns its whole answer. The
// backend is given until the context's deadline.
type Client interface {
	Send(ctx context.Context, backend directory.Backend, request *Request) Attempt
}

// Reason says why a request ended without a backend's answer.
type Reason string

// The reasons.
const (
	// NoBackend: no backend of the services can take requests.
	NoBackend Reason = "no_backend"
	// Full: every backend that was asked refused.
	Full Reason = "full"
	// Overloaded: the service has more requests than it can serve in time, and this one was not
	// admitted.
	Overloaded Reason = "overloaded"
	// Expired: the request's time is over.
	Expired Reason = "expired"
	// NoAnswer: backends that may have run the request gave no whole answer.
	NoAnswer Reason = "no_answer"
	// Abandoned: the caller has left.
	Abandoned Reason = "abandoned"
	// Stopping: the process ends before the request could.
	Stopping Reason = "stopping"
	// Quarantined: the request has crashed the backends that ran it, and is held back.
	Quarantined Reason = "quarantined"
	// Postponed: a backend has ended under the request, and too many are away for it to be sent
	// to another one now.
	Postponed Reason = "postponed"
)

// Result is what became of a request.
type Result struct {
	// Response is nil if no backend's answer is there; Reason says why.
	Response *Response
	Reason   Reason
	// RetryAfter is when there will probably be room for a request that was not admitted, 0 if that
	// is not known.
	RetryAfter time.Duration
	// Limit is what was decided about a request that was not admitted.
	Limit admission.Decision
	// MayHaveRun is set unless it is certain that no backend ran the request.
	MayHaveRun bool
	Attempts   int
	// Failures counts the backends that ran the request and failed.
	Failures int
	// History holds the attempts in the order in which they began.
	History []AttemptRecord
	// Backend is the one whose answer this is.
	Backend string
	Service string
}

// AttemptRecord tells what became of one attempt of a request.
type AttemptRecord struct {
	Backend string
	// Outcome is 0 if the request ended before the attempt did.
	Outcome Outcome
	// Status is the backend's, 0 if it gave no answer.
	Status int
	// Broken is set on a lost attempt whose connection the other side ended.
	Broken bool
	Began  time.Time
	// Took is the time until the attempt's end, or the request's.
	Took time.Duration
}

// MayHaveRun tells whether the backend may have run the request.
func (a AttemptRecord) MayHaveRun() bool {
	return a.Outcome == 0 || a.Outcome == Answered || a.Outcome == Lost
}

// recordBegin notes an attempt that begins.
func (r *Result) recordBegin(backend string) {
	r.History = append(r.History, AttemptRecord{Backend: backend, Began: clock.Now()})
}

// recordEnd notes the end of the newest attempt at the backend.
func (r *Result) recordEnd(backend string, attempt Attempt) {
	for position := len(r.History) - 1; position >= 0; position-- {
		if record := &r.History[position]; record.Backend == backend {
			record.Outcome, record.Status, record.Broken = attempt.Outcome, attempt.Response.Status, attempt.Broken
			record.Took = clock.Since(record.Began)
			return
		}
	}
}

// recordPending notes for how long the attempts ran that have no end.
func (r *Result) recordPending() {
	for position := range r.History {
		if record := &r.History[position]; record.Outcome == 0 {
			record.Took = clock.Since(record.Began)
		}
	}
}

const (
	// hedgeShare of the route's target is how long a repeatable request waits
	// for an answer before another backend is asked as well.
	hedgeShare = 0.5
	minHedge   = 30 * time.Millisecond
	// penalty is how long a backend that failed is avoided.
	penalty     = 1500 * time.Millisecond
	fullPenalty = 50 * time.Millisecond
	// slowPenalty is how long a backend is avoided whose answer was not waited
	// for, after slowFactor of its usual time.
	slowPenalty = 500 * time.Millisecond
	slowFactor  = 4
	// smoothing is the weight of the newest latency.
	smoothing = 0.2
	// mostUnreached is how many backends that cannot be reached do not count among a route's
	// attempts: the request was not sent to them, and where several have ended at once it is
	// served by one that has not. It bounds the time and the connections that are spent so.
	mostUnreached = 3
	// budgetShare of all requests may be hedged, and budgetBurst more at once.
	budgetShare = 0.25
	budgetBurst = 20
)

// Forwarder passes requests to backends. Its methods may be called concurrently.
type Forwarder struct {
	client Client
	zone   string
	guard  *quarantine.Guard

	mutex sync.Mutex
	// random spreads choices of equal worth.
	random   *rand.Rand
	backends map[string]*backendState
	// usual holds the usual latency of each service's backends.
	usual map[string]time.Duration
	// telling holds the services whose backends tell their load.
	telling map[string]*telling
	// credits holds the smooth weighted round robin of each split route.
	credits map[string][]float64
	budget  float64
	limits  limits
}

// New returns a forwarder of a process in the zone. The guard judges what may be sent.
func New(client Client, zone string, guard *quarantine.Guard) *Forwarder {
	return &Forwarder{
		client: client, zone: zone, guard: guard, backends: map[string]*backendState{}, usual: map[string]time.Duration{},
		random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		credits: map[string][]float64{}, budget: budgetBurst, telling: map[string]*telling{},
		limits: limits{limiter: admission.AdmitAll{}, first: firstTries{routes: map[string]*deadlines{}}},
	}
}

// run is one request on its way.
type run struct {
	forwarder *Forwarder
	catalog   *directory.Catalog
	route     routing.Route
	request   *Request
	services  []string
	tried     map[string]bool
	pending   int
	// unreached counts the attempts that reached no backend.
	unreached int
	result    Result
	attempts  chan attempted
	// fallback is a backend's failure, which is passed on if nothing better comes.
	fallback *attempted
	clearance
}

type attempted struct {
	attempt Attempt
	backend directory.Backend
}

// Do passes the request to the route's services. It returns when there is an
// answer, or as soon as it is certain that none comes.
func (f *Forwarder) Do(ctx context.Context, catalog *directory.Catalog, route routing.Route, request *Request) Result {
	ctx, cancel := context.WithTimeout(ctx, request.remaining())
	defer cancel()
	services := f.order(route)
	if decision := f.limits.admit(services, route, request); !decision.Admitted {
		return refuseOverload(decision)
	}
	r := &run{
		forwarder: f, catalog: catalog, route: route, request: request, services: services,
		tried: map[string]bool{}, attempts: make(chan attempted, max(route.Attempts, 1)+mostUnreached),
		clearance: f.clear(ctx, catalog, services, request),
	}
	result := r.do(ctx)
	result.recordPending()
	return result
}

func (r *run) do(ctx context.Context) Result {
	if !r.start(ctx) {
		if r.request.remaining() <= 0 {
			return r.end(Expired)
		}
		return r.end(r.unsent())
	}
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case <-ctx.Done():
			return r.endOfTime(ctx)
		case <-hedge.C:
			if r.route.Kind == routing.Repeatable && r.mayHedge() && !r.isLimiting() && r.forwarder.spend() {
				r.start(ctx)
			}
			hedge.Reset(r.hedgeDelay())
		case done := <-r.attempts:
			if r.take(done) {
				return r.result
			}
			if ctx.Err() != nil {
				return r.endOfTime(ctx)
			}
			if r.mayRepeat(done.attempt.Outcome) && !hasLeft(&r.clearance, done.attempt.Outcome) {
				r.start(ctx)
			}
			if r.pending == 0 {
				return r.end(r.reason(done.attempt.Outcome))
			}
		}
	}
}

// reasonOf goes by the cause: a process that has no more time ends a request as its deadline does.
func reasonOf(ctx context.Context) Reason {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return Expired
	}
	return Abandoned
}

func (r *run) reason(last Outcome) Reason {
	if r.request.remaining() <= 0 {
		return Expired
	}
	if r.result.MayHaveRun || last == Lost {
		return NoAnswer
	}
	if reason := r.unsent(); reason != NoBackend {
		return reason
	}
	return Full
}

func (r *run) hedgeDelay() time.Duration {
	return max(time.Duration(float64(r.route.TargetMillis)*hedgeShare)*time.Millisecond, minHedge)
}

// endOfTime ends a request whose context has ended, with an answer that is there already if
// there is one.
func (r *run) endOfTime(ctx context.Context) Result {
	if r.takeReady() {
		return r.result
	}
	return r.end(reasonOf(ctx))
}

// takeReady takes the attempts that have ended by now, and tells whether one of them ends
// the request.
func (r *run) takeReady() bool {
	for {
		select {
		case done := <-r.attempts:
			if r.take(done) {
				return true
			}
		default:
			return false
		}
	}
}

// take notes an attempt's end and tells whether it ends the request.
func (r *run) take(done attempted) bool {
	r.pending--
	r.result.recordEnd(done.backend.ID, done.attempt)
	r.noteEnd(done.attempt.Outcome)
	switch done.attempt.Outcome {
	case NotSent:
		r.unreached++
	case Answered:
		r.result.MayHaveRun = true
		if r.route.Kind == routing.Repeatable && done.attempt.Response.Status >= http.StatusInternalServerError {
			r.fallback = &done
			r.result.Failures++
			return false
		}
		r.answer(done)
		return true
	case Lost:
		r.result.MayHaveRun = true
	}
	return false
}

func (r *run) answer(done attempted) {
	response := done.attempt.Response
	r.result.Response, r.result.Backend, r.result.Service = &response, done.backend.ID, done.backend.Service
}

func (r *run) end(reason Reason) Result {
	if r.pending > 0 {
		r.result.MayHaveRun = true
	}
	if r.fallback != nil && reason != Abandoned {
		r.answer(*r.fallback)
		return r.result
	}
	r.result.Reason = reason
	if reason == Full {
		r.result.RetryAfter = r.retryAfter()
	}
	return r.result
}

// start sends the request to one more backend, and tells whether there is one.
func (r *run) start(ctx context.Context) bool {
	if r.result.Attempts-min(r.unreached, mostUnreached) >= max(r.route.Attempts, 1) || r.request.remaining() <= 0 || !r.mayStart() {
		return false
	}
	backend, ok := r.forwarder.pick(&r.clearance, r.catalog, r.services, r.tried)
	if !ok {
		return false
	}
	r.tried[backend.ID] = true
	r.result.Attempts++
	r.result.recordBegin(backend.ID)
	r.pending++
	verdict := r.verdict
	go func() {
		started := time.Now()
		attempt := r.forwarder.client.Send(ctx, backend, r.request)
		r.forwarder.learn(ctx, verdict, backend, r.request, attempt)
		took := time.Since(started)
		r.forwarder.note(backend, attempt, took, ctx.Err() != nil)
		r.forwarder.limits.note(ctx, backend, attempt, took)
		if verdict.IsSuspect() {
			r.forwarder.endSuspect(backend.ID)
		}
		r.attempts <- attempted{attempt: attempt, backend: backend}
	}()
	return true
}
