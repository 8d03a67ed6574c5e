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
	// entryDelay is how long after a planned stop has begun new connections may
	// still arrive.
	entryDelay = 3500 * time.Millisecond
	// noticeTime is how long after that a request is taken whatever its deadline: the entry and
	// its callers cannot know of the stop yet, and most requests end long before their deadlines.
	noticeTime = 3 * time.Second
	// exitMargin is kept of the grace, after the last request has ended, for closeTime, for
	// telling what was counted and for exitSlack.
	exitMargin = 700 * time.Millisecond
	// closeTime is what the last answers, which are ready, have at least to be written.
	closeTime = 200 * time.Millisecond
	// exitSlack is what the process has left when it has told everything.
	exitSlack = 100 * time.Millisecond
)

// stopPlan holds the times of a gateway's planned stop. They are of package clock: whoever ends
// the process in the end does not wait for a machine that was suspended.
type stopPlan struct {
	// takesAllUntil is until when every request is taken. Later ones must fit.
	takesAllUntil time.Time
	// entryEnds is when the entry sends no more.
	entryEnds time.Time
	// workEnds is when the last request has to have ended.
	workEnds time.Time
	// tellBy is until when the process may tell what it has counted.
	tellBy time.Time
}

// newStopPlan returns the plan of a stop that has begun and may take as long as the grace.
func newStopPlan(began time.Time, grace time.Duration) *stopPlan {
	work := max(grace-exitMargin, 0)
	return &stopPlan{
		takesAllUntil: began.Add(min(noticeTime, work/2)),
		entryEnds:     began.Add(entryDelay),
		workEnds:      began.Add(work),
		tellBy:        began.Add(grace - exitSlack),
	}
}

// Stop begins the planned stop: the gateway calls itself not ready from now on, and looks at the
// time that is left before it takes a request.
func (g *Gateway) Stop(grace time.Duration) {
	g.plan.Store(newStopPlan(clock.Now(), grace))
}

// Stopping tells whether a planned stop has begun.
func (g *Gateway) Stopping() bool { return g.plan.Load() != nil }

// end carries a planned stop out: the work ends, then the callers' connections, and last the
// gateway tells what it has counted.
func (g *Gateway) end(callers *http.Server, grace time.Duration) error {
	g.Stop(grace)
	g.drain()
	err := shutDown(callers, g.closingTime())
	g.tellLast()
	return err
}

// mayTake tells whether a request may begin that ends by the deadline. One that could outlive
// the process is refused before it reaches a backend.
func (g *Gateway) mayTake(deadline time.Time) bool {
	plan := g.plan.Load()
	return plan == nil || clock.Now().Before(plan.takesAllUntil) || !deadline.After(plan.workEnds)
}

// take tells whether a request may begin, and bounds its time by that of the process, which its
// backends are told.
func (g *Gateway) take(request *forward.Request) bool {
	if !g.mayTake(request.Deadline) {
		return false
	}
	if plan := g.plan.Load(); plan != nil && request.Deadline.After(plan.workEnds) {
		request.Deadline = plan.workEnds
	}
	return true
}

// refuseStopping returns the result of a request that is not taken any more.
func refuseStopping() forward.Result { return forward.Result{Reason: forward.Stopping} }

// untilWorkEnds returns a context that ends with the request's, and, as its deadline would, when
// a planned stop has no more time.
func (g *Gateway) untilWorkEnds(ctx context.Context) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(g.work, func() { cancel(context.DeadlineExceeded) })
	return limited, func() {
		detach()
		cancel(context.Canceled)
	}
}

// ledgerTime returns the context and the wait of a call to the ledger: the wait is as long as a
// planned stop leaves time for the answer. It fails if there is no time for the call.
func (g *Gateway) ledgerTime(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc, time.Duration, error) {
	if plan := g.plan.Load(); plan != nil {
		wait = max(min(wait, clock.Until(plan.workEnds)-ledgerCallTimeout), 0)
	}
	if !g.mayTake(clock.Now().Add(ledgerCallTimeout)) {
		return nil, nil, 0, replica.ErrUnavailable.New("the gateway is about to end")
	}
	limited, cancel := g.untilWorkEnds(ctx)
	return limited, cancel, wait, nil
}

// drain takes what still comes until the entry sends no more, and waits for what runs. Then
// nothing more is taken. When the time is over, what still runs is answered as expired.
func (g *Gateway) drain() {
	plan := g.plan.Load()
	for clock.Now().Before(plan.workEnds) && (clock.Now().Before(plan.entryEnds) || g.InFlight() > 0) {
		time.Sleep(drainPoll)
	}
	g.closed.Store(true)
	for clock.Now().Before(plan.workEnds) && g.InFlight() > 0 {
		time.Sleep(drainPoll)
	}
	g.endWork()
}

// closingTime is how long answers that are ready may take to be written to callers who read slowly.
func (g *Gateway) closingTime() time.Duration {
	return max(clock.Until(g.plan.Load().workEnds), closeTime)
}

// tellLast tells what was counted, as long as the plan allows. It comes after the last request,
// which it must not miss, and after the last answer, which it must not hold up.
func (g *Gateway) tellLast() {
	limited, cancel := context.WithTimeout(context.Background(), clock.Until(g.plan.Load().tellBy))
	defer cancel()
	g.usage.finish(limited)
	sendCrashReport(limited, g.guard, g.watcher)
}

// shutDown ends the server's connections, each after the answer that is being written. What is
// left when the time is over is cut.
func shutDown(server *http.Server, within time.Duration) error {
	limited, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if server.Shutdown(limited) == nil {
		return nil
	}
	return server.Close()
}

// closeConnections ends a connection after its answer while a planned stop is
// under way, and after a chunked request: the library lets chunks win over a
// length that stands beside them, so nothing that follows is believed.
//
// A request that comes after the last one was waited for is refused: it must not be passed on
// and then be cut by the process's end. It is counted before that is looked at, so that none
// slips between.
func (g *Gateway) closeConnections(callers http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		defer g.Begin()()
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
