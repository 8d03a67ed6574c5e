package server

import (
	"context"
	"hash/fnv"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/routing"
)

const (
	// RetryAfter is the retry delay for callers whose request has not run.
	// StartupRetryAfter replaces it until the gateway has a configuration.
	RetryAfter        = 100 * time.Millisecond
	StartupRetryAfter = 500 * time.Millisecond
	// startupWait is how long after the gateway's start requests wait for the first
	// configuration. Later requests are refused at once.
	startupWait = 400 * time.Millisecond
)

// nameHash returns a non-negative hash of a process name.
func nameHash(name string) int {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return int(hash.Sum32() >> 1)
}

// Gateway forwards callers' requests to backends, and steps to the ledger.
type Gateway struct {
	settings         config.Gateway
	logger           *zerolog.Logger
	watcher          *Watcher
	forwarder        *forward.Forwarder
	ledger           *ledgerClient
	metrics          gatewayMetrics
	usage            *usageReporter
	guard            *quarantine.Guard
	admissionMonitor *admissionMonitor

	// startedAt is when the gateway was created; see startupWait.
	startedAt time.Time
	// plan is set when a graceful shutdown begins. closed is set when requests are no longer accepted.
	// cancelRequests cancels baseContext, and with it the requests that still run.
	plan           atomic.Pointer[shutdownPlan]
	closed         atomic.Bool
	baseContext    context.Context
	cancelRequests context.CancelFunc
	inFlight       atomic.Int64
	// intake bounds what callers can make the process hold.
	intake *intake.Intake
}

// NewGateway returns a gateway that calls backends through the client, and serves callers within the limits.
func NewGateway(settings config.Gateway, seeds *Seeds, backends forward.Client, limits *intake.Intake, logger *zerolog.Logger) *Gateway {
	watcher := NewWatcher(seeds, settings.Zone, nameHash(settings.Name), logger)
	watcher.scope = func() directory.Scope { return directory.ScopeForwarded }
	watcher.age.limit = settings.CopyLimit
	guard := newGuard(watcher)
	baseContext, cancelRequests := context.WithCancel(context.Background())
	gateway := &Gateway{
		baseContext: baseContext, cancelRequests: cancelRequests, intake: limits,
		settings: settings, logger: logger, watcher: watcher, guard: guard,
		forwarder: forward.New(newFreshClient(backends, watcher), settings.Zone, guard), ledger: newLedgerClient(watcher, settings.Zone, limits.Memory, logger),
		metrics: newGatewayMetrics(), usage: newUsageReporter(settings.Name, watcher), startedAt: time.Now(),
		admissionMonitor: newAdmissionMonitor(logger),
	}
	gateway.forwarder.SetLimiter(gateway.admissionMonitor.limiter)
	return gateway
}

// Run keeps the gateway's copy of the directory up to date and runs its background tasks until the context
// ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.watcher.Run(ctx)
	go g.watcher.keepFresh(ctx)
	go g.usage.run(ctx)
	go reportCrashes(ctx, g.guard, g.watcher)
	go g.admissionMonitor.run(ctx)
	for ctx.Err() == nil {
		changed := g.watcher.Changed()
		g.forwarder.Forget(g.watcher.Catalog())
		g.admissionMonitor.prune(g.watcher.Catalog())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Ready reports whether the gateway should receive new connections.
func (g *Gateway) Ready() bool { return !g.Stopping() && g.watcher.Catalog().Version > 0 }

// Catalog returns the gateway's copy of the directory.
func (g *Gateway) Catalog() *directory.Catalog { return g.watcher.Catalog() }

// RetryAfter returns the retry delay for a caller whose request has not run.
func (g *Gateway) RetryAfter() time.Duration {
	if g.watcher.Catalog().Version == 0 {
		return StartupRetryAfter
	}
	return RetryAfter
}

// TrackRequest counts a request as in flight until the returned function is called.
func (g *Gateway) TrackRequest() func() {
	g.inFlight.Add(1)
	return func() { g.inFlight.Add(-1) }
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// awaitFirstConfiguration returns the gateway's copy of the directory. Within
// startupWait of the gateway's start it waits until the copy has a configuration.
func (g *Gateway) awaitFirstConfiguration(ctx context.Context) *directory.Catalog {
	if catalog := g.watcher.Catalog(); catalog.Version > 0 {
		return catalog
	}
	waitContext, cancel := context.WithDeadline(ctx, g.startedAt.Add(startupWait))
	defer cancel()
	for {
		changed := g.watcher.Changed()
		catalog := g.watcher.Catalog()
		if catalog.Version > 0 {
			return catalog
		}
		select {
		case <-changed:
		case <-waitContext.Done():
			return catalog
		}
	}
}

// Match returns the route of a request. It fails with ErrUnavailable while the
// gateway has no configuration, and with ErrNotFound if no route matches.
func (g *Gateway) Match(ctx context.Context, host, path string) (routing.Route, *directory.Catalog, error) {
	catalog := g.freshCatalog(ctx)
	if catalog.Version == 0 {
		return routing.Route{}, catalog, replica.ErrUnavailable.New("the gateway has no configuration yet")
	}
	route, ok := catalog.Table.Match(host, path)
	if !ok {
		return routing.Route{}, catalog, ErrNotFound.New("no route for host %q and path %q", host, path)
	}
	return route, catalog, nil
}

// Forward sends a request to the route's services.
func (g *Gateway) Forward(ctx context.Context, catalog *directory.Catalog, route routing.Route, request *forward.Request) forward.Result {
	started := clock.Now()
	limitDeadline(request, route, started)
	result := stoppingResult()
	if g.accept(request) {
		requestContext, cancel := g.withWorkDeadline(ctx)
		defer cancel()
		if result = g.refuseIfUnreachable(requestContext, route); result.Reason == "" {
			result = g.forwarder.Do(requestContext, g.newestCatalog(catalog), route, request)
		}
	}
	g.recordRequest(catalog, route, request, result, started)
	return result
}

// Stream sends a request whose response is streamed to the sink; see forward.Forwarder.
func (g *Gateway) Stream(ctx context.Context, catalog *directory.Catalog, route routing.Route, request *forward.Request, sink forward.Sink) forward.Result {
	started := clock.Now()
	limitDeadline(request, route, started)
	result := stoppingResult()
	if g.accept(request) {
		requestContext, cancel := g.withWorkDeadline(ctx)
		defer cancel()
		if result = g.refuseIfUnreachable(requestContext, route); result.Reason == "" {
			result = g.forwarder.Stream(requestContext, g.newestCatalog(catalog), route, request, sink)
		}
	}
	g.recordRequest(catalog, route, request, result, started)
	return result
}

// limitDeadline bounds the request's deadline by the route's timeout.
func limitDeadline(request *forward.Request, route routing.Route, started time.Time) {
	timeout := started.Add(time.Duration(route.TimeoutMillis) * time.Millisecond)
	if request.Deadline.IsZero() || request.Deadline.After(timeout) {
		request.Deadline = timeout
	}
}

// recordRequest counts and logs a request that has ended, and logs its
// attempts that did not return the response.
func (g *Gateway) recordRequest(catalog *directory.Catalog, route routing.Route, request *forward.Request, result forward.Result, started time.Time) {
	latency := clock.Since(started)
	g.metrics.recordRequest(result, latency)
	g.usage.record(request.Tenant, result)
	for _, attempt := range result.History {
		if result.Response != nil && attempt.Backend == result.Backend {
			continue
		}
		line := event.AttemptEnded.On(g.logger).Str("request", request.ID).Str("backend", attempt.Backend).
			Str("outcome", attempt.Outcome.String()).Uint("status", uint64(attempt.Status)).Int("ms", attempt.Duration.Milliseconds())
		if attempt.Broken {
			line.Str("broken_content", string(request.Content().Fingerprint()))
		}
		line.Send()
	}
	if result.Reason == forward.Quarantined {
		logQuarantined(g.logger, request.ID, request.Content().Fingerprint())
	}
	line := event.RequestEnded.On(g.logger).Str("request", request.ID).Str("route", route.Name).
		Uint("attempts", uint64(result.Attempts)).Int("ms", latency.Milliseconds()).
		Uint("version", catalog.Version).Uint("revision", catalog.Revision)
	if result.Response != nil {
		line.Str("outcome", "answered").Str("backend", result.Backend).Uint("status", uint64(result.Response.Status))
	} else {
		line.Str("outcome", string(result.Reason)).Uint("may_have_run", boolToUint(result.MayHaveRun))
		if result.Reason == forward.Overloaded {
			addAdmissionFields(line, request, result)
			g.admissionMonitor.notifyRefusal()
		}
	}
	line.Send()
}

// SubmitOutcome is the outcome of submitting a step.
type SubmitOutcome uint8

const (
	// SubmitAccepted means that the step is stored durably and all of it will run.
	SubmitAccepted SubmitOutcome = iota + 1
	// SubmitRefused means that none of the step runs.
	SubmitRefused
	// SubmitUnknown means that the step may have been accepted.
	SubmitUnknown
	// SubmitConflict means that another tenant's step has the ID; none of this step runs.
	SubmitConflict
	// SubmitTooLarge means that the step exceeds what the ledger can keep; none of it runs.
	SubmitTooLarge
)

// Submit submits a step to the ledger. Its due and give-up times are relative to now.
func (g *Gateway) Submit(ctx context.Context, step *ledger.Step) SubmitOutcome {
	answer, mayHaveApplied, err := g.callLedger(ctx, ledgerCall{Submit: step})
	outcome := SubmitAccepted
	switch {
	case err != nil && !mayHaveApplied:
		outcome = SubmitRefused
	case err == nil && answer.Refused:
		outcome = SubmitConflict
	case answer.isRefused() && mayHaveApplied:
		outcome = SubmitUnknown
	case answer.TooLarge:
		outcome = SubmitTooLarge
	case answer.Busy:
		outcome = SubmitRefused
	case err != nil || !answer.Found:
		outcome = SubmitUnknown
	}
	g.metrics.steps.WithLabelValues(strconv.Itoa(int(outcome))).Inc()
	event.StepForwarded.On(g.logger).Str("step", step.ID).Uint("outcome", uint64(outcome)).Send()
	return outcome
}

// callLedger makes a call that the ledger answers without waiting. mayHaveApplied reports whether a
// leader may have applied it.
func (g *Gateway) callLedger(ctx context.Context, call ledgerCall) (answer ledgerAnswer, mayHaveApplied bool, err error) {
	callContext, cancel, wait, err := g.ledgerCallContext(ctx, 0)
	if err != nil {
		return answer, false, err
	}
	defer cancel()
	return g.ledger.call(callContext, call, wait)
}

// Results returns a step's number of samples and its results from index after on. If there are none yet, it
// waits up to the given time. As in SampleBody and EndStep, key is the caller's key, and steps of other
// tenants are reported as not found.
func (g *Gateway) Results(ctx context.Context, key, step string, after int, wait time.Duration) (int, []ledger.Result, error) {
	tenant, err := g.Authenticate(ctx, key)
	if err != nil {
		return 0, nil, err
	}
	callContext, cancel, wait, err := g.ledgerCallContext(ctx, wait)
	if err != nil {
		return 0, nil, err
	}
	defer cancel()
	answer, _, err := g.ledger.results(callContext, resultsCall{Step: step, After: after, Wait: wait, Tenant: tenant})
	if err == nil && !answer.Found {
		err = ErrNotFound.New("unknown step %q", step)
	}
	return answer.Total, answer.Results, err
}

// SampleBody returns the body of a sample.
func (g *Gateway) SampleBody(ctx context.Context, key, step, sample string) ([]byte, error) {
	tenant, err := g.Authenticate(ctx, key)
	if err != nil {
		return nil, err
	}
	answer, _, err := g.callLedger(ctx, ledgerCall{Sample: &sampleCall{Step: step, ID: sample, Tenant: tenant}})
	if err == nil && !answer.Found {
		err = ErrNotFound.New("unknown sample %q of step %q", sample, step)
	}
	return answer.Body, err
}

// EndStep ends a step.
func (g *Gateway) EndStep(ctx context.Context, key, step string) error {
	tenant, err := g.Authenticate(ctx, key)
	if err != nil {
		return err
	}
	answer, _, err := g.callLedger(ctx, ledgerCall{End: &endCall{Step: step, Tenant: tenant}})
	if err == nil && !answer.Found {
		err = ErrNotFound.New("unknown step %q", step)
	}
	return err
}
