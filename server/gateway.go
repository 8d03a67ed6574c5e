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
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/routing"
)

const (
	// RetryAfter is when a caller whose request has not run should come back,
	// and StartRetryAfter that while the gateway knows no configuration yet.
	RetryAfter      = 100 * time.Millisecond
	StartRetryAfter = 500 * time.Millisecond
	// startWait is how long after a gateway's start requests wait for its first
	// configuration, which is expected at any moment; later they are refused at once.
	startWait = 400 * time.Millisecond
)

// spread returns a number that differs between processes.
func spread(name string) int {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return int(hash.Sum32() >> 1)
}

// Gateway takes callers' requests: it passes them to backends, and steps to
// the ledger.
type Gateway struct {
	settings  config.Gateway
	logger    *zerolog.Logger
	watcher   *Watcher
	forwarder *forward.Forwarder
	ledger    *ledgerClient
	metrics   gatewayMetrics
	usage     *usageTeller
	guard     *quarantine.Guard
	limits    *gatewayLimits

	// startedAt is when the gateway began to follow the directory.
	startedAt time.Time
	// plan is set once a planned stop has begun, and closed once nothing more is taken. work
	// ends when what still runs has to; endWork ends it.
	plan     atomic.Pointer[stopPlan]
	closed   atomic.Bool
	work     context.Context
	endWork  context.CancelFunc
	inFlight atomic.Int64
	// bodyBytes are the bytes of bodies in memory.
	bodyBytes atomic.Int64
}

// NewGateway returns a gateway that reaches backends through the client.
func NewGateway(settings config.Gateway, seeds *Seeds, backends forward.Client, logger *zerolog.Logger) *Gateway {
	watcher := NewWatcher(seeds, settings.Zone, spread(settings.Name), logger)
	watcher.scope = func() directory.Scope { return directory.ScopeForwarded }
	watcher.age.limit = settings.CopyLimit
	guard := newGuard(watcher)
	work, endWork := context.WithCancel(context.Background())
	gateway := &Gateway{
		work: work, endWork: endWork,
		settings: settings, logger: logger, watcher: watcher, guard: guard,
		forwarder: forward.New(newFreshClient(backends, watcher), settings.Zone, guard), ledger: newLedgerClient(watcher, settings.Zone, logger),
		metrics: newGatewayMetrics(), usage: newUsageTeller(settings.Name, watcher), startedAt: time.Now(),
		limits: newGatewayLimits(logger),
	}
	gateway.forwarder.SetLimiter(gateway.limits.limiter)
	return gateway
}

// Run follows the directory until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.watcher.Run(ctx)
	go g.watcher.keepFresh(ctx)
	go g.usage.run(ctx)
	go reportCrashes(ctx, g.guard, g.watcher)
	go g.limits.run(ctx)
	for ctx.Err() == nil {
		changed := g.watcher.Changed()
		g.forwarder.Forget(g.watcher.Catalog())
		g.limits.forget(g.watcher.Catalog())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Ready tells whether the gateway should get new connections.
func (g *Gateway) Ready() bool { return !g.Stopping() && g.watcher.Catalog().Version > 0 }

// Catalog returns the directory as the gateway knows it.
func (g *Gateway) Catalog() *directory.Catalog { return g.watcher.Catalog() }

// RetryAfter returns when a caller whose request has not run should come back.
func (g *Gateway) RetryAfter() time.Duration {
	if g.watcher.Catalog().Version == 0 {
		return StartRetryAfter
	}
	return RetryAfter
}

// Begin counts a request, and the function that it returns ends it.
func (g *Gateway) Begin() func() {
	g.inFlight.Add(1)
	return func() { g.inFlight.Add(-1) }
}

// InFlight returns the number of requests that have not ended.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// firstConfiguration returns the directory as the gateway knows it. Right after
// the gateway's start it waits for a configuration.
func (g *Gateway) firstConfiguration(ctx context.Context) *directory.Catalog {
	if catalog := g.watcher.Catalog(); catalog.Version > 0 {
		return catalog
	}
	limited, cancel := context.WithDeadline(ctx, g.startedAt.Add(startWait))
	defer cancel()
	for {
		changed := g.watcher.Changed()
		catalog := g.watcher.Catalog()
		if catalog.Version > 0 {
			return catalog
		}
		select {
		case <-changed:
		case <-limited.Done():
			return catalog
		}
	}
}

// Match returns the route of a request. It fails with ErrUnavailable while no
// configuration is known, and with ErrNotFound if there is no route.
func (g *Gateway) Match(ctx context.Context, host, path string) (routing.Route, *directory.Catalog, error) {
	catalog := g.freshCatalog(ctx)
	if catalog.Version == 0 {
		return routing.Route{}, catalog, replica.ErrUnavailable.New("no configuration is known yet")
	}
	route, ok := catalog.Table.Match(host, path)
	if !ok {
		return routing.Route{}, catalog, ErrNotFound.New("no route for host %q and path %q", host, path)
	}
	return route, catalog, nil
}

// Forward passes a request to the route's services.
func (g *Gateway) Forward(ctx context.Context, catalog *directory.Catalog, route routing.Route, request *forward.Request) forward.Result {
	started := clock.Now()
	limitDeadline(request, route, started)
	result := refuseStopping()
	if g.take(request) {
		limited, cancel := g.untilWorkEnds(ctx)
		defer cancel()
		if result = g.refuseIfUnreachable(limited, route); result.Reason == "" {
			result = g.forwarder.Do(limited, g.newestCatalog(catalog), route, request)
		}
	}
	g.noteRequest(catalog, route, request, result, started)
	return result
}

// Stream passes a request on whose answer is a stream; see forward.Forwarder.
func (g *Gateway) Stream(ctx context.Context, catalog *directory.Catalog, route routing.Route, request *forward.Request, sink forward.Sink) forward.Result {
	started := clock.Now()
	limitDeadline(request, route, started)
	result := refuseStopping()
	if g.take(request) {
		limited, cancel := g.untilWorkEnds(ctx)
		defer cancel()
		if result = g.refuseIfUnreachable(limited, route); result.Reason == "" {
			result = g.forwarder.Stream(limited, g.newestCatalog(catalog), route, request, sink)
		}
	}
	g.noteRequest(catalog, route, request, result, started)
	return result
}

// limitDeadline bounds the request's time by its route's.
func limitDeadline(request *forward.Request, route routing.Route, started time.Time) {
	timeout := started.Add(time.Duration(route.TimeoutMillis) * time.Millisecond)
	if request.Deadline.IsZero() || request.Deadline.After(timeout) {
		request.Deadline = timeout
	}
}

// noteRequest counts and logs a request that has ended, and its attempts that
// did not bring the answer.
func (g *Gateway) noteRequest(catalog *directory.Catalog, route routing.Route, request *forward.Request, result forward.Result, started time.Time) {
	took := clock.Since(started)
	g.metrics.noteRequest(result, took)
	g.usage.note(request.Tenant, result)
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
		Uint("attempts", uint64(result.Attempts)).Int("ms", took.Milliseconds()).
		Uint("version", catalog.Version).Uint("revision", catalog.Revision)
	if result.Response != nil {
		line.Str("outcome", "answered").Str("backend", result.Backend).Uint("status", uint64(result.Response.Status))
	} else {
		line.Str("outcome", string(result.Reason)).Uint("may_have_run", boolToUint(result.MayHaveRun))
		if result.Reason == forward.Overloaded {
			addLimit(line, request, result)
			g.limits.wake()
		}
	}
	line.Send()
}

// SubmitOutcome tells what became of a step that was handed in.
type SubmitOutcome uint8

// The outcomes.
const (
	// SubmitTaken: the step is durable, and all of it will be run.
	SubmitTaken SubmitOutcome = iota + 1
	// SubmitRefused: none of it runs.
	SubmitRefused
	// SubmitUnknown: it may have been taken.
	SubmitUnknown
	// SubmitConflict: another tenant's step has the ID, and none of this one runs.
	SubmitConflict
)

// Submit hands a step to the ledger. Its due and give-up times are given
// relative to now.
func (g *Gateway) Submit(ctx context.Context, step *ledger.Step) SubmitOutcome {
	answer, reached, err := g.callLedger(ctx, ledgerCall{Submit: step})
	outcome := SubmitTaken
	switch {
	case err != nil && !reached:
		outcome = SubmitRefused
	case err == nil && answer.Refused:
		outcome = SubmitConflict
	case err != nil || !answer.Found:
		outcome = SubmitUnknown
	}
	g.metrics.steps.WithLabelValues(strconv.Itoa(int(outcome))).Inc()
	event.StepForwarded.On(g.logger).Str("step", step.ID).Uint("outcome", uint64(outcome)).Send()
	return outcome
}

// callLedger makes a call for which the ledger does not wait. It tells whether a leader may have
// carried it out.
func (g *Gateway) callLedger(ctx context.Context, call ledgerCall) (answer ledgerAnswer, reached bool, err error) {
	limited, cancel, wait, err := g.ledgerTime(ctx, 0)
	if err != nil {
		return answer, false, err
	}
	defer cancel()
	return g.ledger.call(limited, call, wait)
}

// Results returns a step's number of samples and its results from the position
// on; it waits for one that long. The key is the caller's; here and below, the step of
// another tenant does not exist for it.
func (g *Gateway) Results(ctx context.Context, key, step string, after int, wait time.Duration) (int, []ledger.Result, error) {
	tenant, err := g.Identify(ctx, key)
	if err != nil {
		return 0, nil, err
	}
	limited, cancel, wait, err := g.ledgerTime(ctx, wait)
	if err != nil {
		return 0, nil, err
	}
	defer cancel()
	answer, _, err := g.ledger.results(limited, resultsCall{Step: step, After: after, Wait: wait, Tenant: tenant})
	if err == nil && !answer.Found {
		err = ErrNotFound.New("no step %q", step)
	}
	return answer.Total, answer.Results, err
}

// SampleBody returns the body of a sample.
func (g *Gateway) SampleBody(ctx context.Context, key, step, sample string) ([]byte, error) {
	tenant, err := g.Identify(ctx, key)
	if err != nil {
		return nil, err
	}
	answer, _, err := g.callLedger(ctx, ledgerCall{Sample: &sampleCall{Step: step, ID: sample, Tenant: tenant}})
	if err == nil && !answer.Found {
		err = ErrNotFound.New("no sample %q of step %q", sample, step)
	}
	return answer.Body, err
}

// End closes a step.
func (g *Gateway) End(ctx context.Context, key, step string) error {
	tenant, err := g.Identify(ctx, key)
	if err != nil {
		return err
	}
	answer, _, err := g.callLedger(ctx, ledgerCall{End: &endCall{Step: step, Tenant: tenant}})
	if err == nil && !answer.Found {
		err = ErrNotFound.New("no step %q", step)
	}
	return err
}
