package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/replica"
)

const (
	// readinessDelay is how long new connections may still arrive after a graceful shutdown has begun,
	// until the load balancer has noticed that the gateway is not ready.
	readinessDelay = 3500 * time.Millisecond
	// acceptAllTime is how long after the start of the shutdown requests are accepted regardless of their
	// deadlines: the load balancer and callers cannot know of the shutdown yet, and most requests end long
	// before their deadlines.
	acceptAllTime = 3 * time.Second
	// exitMargin is the part of the grace period reserved after the last request: for minCloseTimeout,
	// the final reports and exitSlack.
	exitMargin = 700 * time.Millisecond
	// minCloseTimeout is the minimum time for writing the last responses.
	minCloseTimeout = 200 * time.Millisecond
	// exitSlack is the time left to the process after the final reports.
	exitSlack = 100 * time.Millisecond
)

// shutdownPlan holds the deadlines of a gateway's graceful shutdown. They are times of package clock, which
// counts suspensions, because the grace period does not stop while the machine is suspended.
type shutdownPlan struct {
	// acceptAllUntil is the time until which all requests are accepted. Later requests must end by
	// workDeadline.
	acceptAllUntil time.Time
	// newConnectionsUntil is the time until which the load balancer may open new connections.
	newConnectionsUntil time.Time
	// workDeadline is when all requests must have ended.
	workDeadline time.Time
	// reportDeadline is the deadline of the final reports.
	reportDeadline time.Time
}

// newShutdownPlan returns the plan of a shutdown that began at start and may take as long as the grace
// period.
func newShutdownPlan(start time.Time, grace time.Duration) *shutdownPlan {
	workTime := max(grace-exitMargin, 0)
	return &shutdownPlan{
		acceptAllUntil:      start.Add(min(acceptAllTime, workTime/2)),
		newConnectionsUntil: start.Add(readinessDelay),
		workDeadline:        start.Add(workTime),
		reportDeadline:      start.Add(grace - exitSlack),
	}
}

// Stop begins the graceful shutdown. After that the gateway is not ready, and accepts only requests that the
// shutdown plan permits.
func (g *Gateway) Stop(grace time.Duration) {
	g.plan.Store(newShutdownPlan(clock.Now(), grace))
}

// Stopping reports whether a graceful shutdown has begun.
func (g *Gateway) Stopping() bool { return g.plan.Load() != nil }

// shutDown performs a graceful shutdown: it drains requests, closes callers' connections and sends the
// final reports.
func (g *Gateway) shutDown(callers *http.Server, grace time.Duration) error {
	g.Stop(grace)
	g.drain()
	err := shutDownServer(callers, g.closeTimeout())
	g.sendFinalReports()
	return err
}

// canAccept reports whether a request with the deadline may start. During a shutdown, a request that could
// outlive the process is refused before it reaches a backend.
func (g *Gateway) canAccept(deadline time.Time) bool {
	plan := g.plan.Load()
	return plan == nil || clock.Now().Before(plan.acceptAllUntil) || !deadline.After(plan.workDeadline)
}

// accept reports whether a request may start, and limits its deadline to the shutdown's work deadline. The
// deadline is passed on to backends.
func (g *Gateway) accept(request *forward.Request) bool {
	if !g.canAccept(request.Deadline) {
		return false
	}
	if plan := g.plan.Load(); plan != nil && request.Deadline.After(plan.workDeadline) {
		request.Deadline = plan.workDeadline
	}
	return true
}

// stoppingResult returns the result of a request that is refused because of the shutdown.
func stoppingResult() forward.Result { return forward.Result{Reason: forward.Stopping} }

// withWorkDeadline returns a context that ends with the request's context, or with DeadlineExceeded when the
// shutdown ends all work.
func (g *Gateway) withWorkDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(g.baseContext, func() { cancel(context.DeadlineExceeded) })
	return limited, func() {
		detach()
		cancel(context.Canceled)
	}
}

// ledgerCallContext returns the context and the wait time for a call to the ledger. During a shutdown the
// wait is shortened to leave time for the answer. It fails if there is no time for the call.
func (g *Gateway) ledgerCallContext(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc, time.Duration, error) {
	if plan := g.plan.Load(); plan != nil {
		wait = max(min(wait, clock.Until(plan.workDeadline)-ledgerCallTimeout), 0)
	}
	if !g.canAccept(clock.Now().Add(ledgerCallTimeout)) {
		return nil, nil, 0, replica.ErrUnavailable.New("the gateway is shutting down")
	}
	limited, cancel := g.withWorkDeadline(ctx)
	return limited, cancel, wait, nil
}

// drain accepts requests until no new connections are expected and no requests are in flight, then closes the
// gateway. Requests that are still running at the work deadline are answered as expired.
func (g *Gateway) drain() {
	plan := g.plan.Load()
	for clock.Now().Before(plan.workDeadline) && (clock.Now().Before(plan.newConnectionsUntil) || g.InFlight() > 0) {
		time.Sleep(drainPollInterval)
	}
	g.closed.Store(true)
	for clock.Now().Before(plan.workDeadline) && g.InFlight() > 0 {
		time.Sleep(drainPollInterval)
	}
	g.cancelRequests()
}

// closeTimeout returns the time for writing the last responses, which slow callers may delay.
func (g *Gateway) closeTimeout() time.Duration {
	return max(clock.Until(g.plan.Load().workDeadline), minCloseTimeout)
}

// sendFinalReports reports usage and crashes until the plan's deadline. It runs after the last request, to
// include it, and after the last response, so as not to delay it.
func (g *Gateway) sendFinalReports() {
	limited, cancel := context.WithTimeout(context.Background(), clock.Until(g.plan.Load().reportDeadline))
	defer cancel()
	g.usage.flush(limited)
	sendCrashReport(limited, g.guard, g.watcher)
}

// shutDownServer closes the server's connections, each after its current response. Connections that remain
// after the timeout are closed at once.
func shutDownServer(server *http.Server, timeout time.Duration) error {
	limited, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if server.Shutdown(limited) == nil {
		return nil
	}
	return server.Close()
}

// closeConnections closes a connection after its response during a graceful shutdown, and after a chunked
// request: net/http prefers chunked encoding over a Content-Length sent with it, so a following request
// could be smuggled.
//
// A request that arrives after the gateway was drained is refused, because the process may end before it is
// answered. The request is counted as in flight before the check, so that drain cannot miss it.
func (g *Gateway) closeConnections(callers http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		defer g.TrackRequest()()
		if g.closed.Load() {
			response.Header().Set("Connection", "close")
			response.Header().Set("Retry-After", strconv.FormatFloat(RetryAfter.Seconds(), 'f', -1, 64))
			response.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if g.Stopping() || len(request.TransferEncoding) > 0 {
			response.Header().Set("Connection", "close")
		}
		callers.ServeHTTP(response, request)
	})
}
