package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
)

// fakeClient returns the configured attempt for each backend.
type fakeClient struct {
	mutex   sync.Mutex
	answers map[string]func(ctx context.Context) Attempt
	calls   []string
}

func (c *fakeClient) Send(ctx context.Context, backend directory.Backend, _ *Request) Attempt {
	c.mutex.Lock()
	c.calls = append(c.calls, backend.ID)
	answer := c.answers[backend.ID]
	c.mutex.Unlock()
	return answer(ctx)
}

// newGuard returns a guard without a shared record.
func newGuard() *quarantine.Guard {
	return quarantine.NewGuard(quarantine.SharedRecord{}, time.Now)
}

func respondOutcome(outcome Outcome) func(context.Context) Attempt {
	return func(context.Context) Attempt { return Attempt{Outcome: outcome} }
}

func respondStatus(code int) func(context.Context) Attempt {
	return func(context.Context) Attempt {
		return Attempt{Outcome: Answered, Response: Response{Status: code}}
	}
}

// blockUntilCancelled does not answer until the context ends.
func blockUntilCancelled(ctx context.Context) Attempt {
	<-ctx.Done()
	return Attempt{Outcome: Lost}
}

func newCatalog(backends ...directory.Backend) *directory.Catalog {
	return directory.NewCatalog().With(directory.Delta{Revision: 1, Full: true, Backends: backends})
}

func newBackend(id string) directory.Backend {
	return directory.Backend{ID: id, Service: "s", Zone: "z", Slots: 1}
}

func newRoute(kind routing.Kind, attempts int) routing.Route {
	return routing.Route{
		Host: "h", Prefix: "/", Kind: kind, Attempts: attempts, TimeoutMillis: 60000, TargetMillis: 1,
		Shares: []routing.Share{{Service: "s", Weight: 1}},
	}
}

func doRequest(client *fakeClient, catalog *directory.Catalog, route routing.Route) Result {
	forwarder := New(client, "z", newGuard())
	return forwarder.Do(context.Background(), catalog, route, &Request{Deadline: time.Now().Add(time.Minute)})
}

// A request that certainly did not run may be sent to another backend whatever its kind, and must not
// be reported as run if all refuse.
func TestRefusedRequestIsSentToAnotherBackend(t *testing.T) {
	for _, outcome := range []Outcome{NotSent, Refused, Misdirected} {
		client := &fakeClient{answers: map[string]func(context.Context) Attempt{"a": respondOutcome(outcome), "b": respondOutcome(outcome)}}
		result := doRequest(client, newCatalog(newBackend("a"), newBackend("b")), newRoute(routing.Unrepeatable, 3))
		require.Nil(t, result.Response)
		require.False(t, result.MayHaveRun)
		require.Equal(t, Full, result.Reason)
		require.Len(t, client.calls, 2)
	}
}

// An unrepeatable request that may have run must not be sent again, and must be reported as possibly
// run.
func TestUnrepeatableRequestIsNotSentAgain(t *testing.T) {
	client := &fakeClient{answers: map[string]func(context.Context) Attempt{"a": respondOutcome(Lost), "b": respondStatus(200)}}
	for range 20 {
		client.calls = nil
		client.answers["a"], client.answers["b"] = respondOutcome(Lost), respondOutcome(Lost)
		result := doRequest(client, newCatalog(newBackend("a"), newBackend("b")), newRoute(routing.Unrepeatable, 3))
		require.Len(t, client.calls, 1)
		require.True(t, result.MayHaveRun)
		require.Equal(t, NoAnswer, result.Reason)
	}
}

// A repeatable request must be answered by another backend if the first one does not respond.
func TestSilentBackendIsHedged(t *testing.T) {
	client := &fakeClient{answers: map[string]func(context.Context) Attempt{"a": blockUntilCancelled, "b": respondStatus(200)}}
	for range 5 {
		result := doRequest(client, newCatalog(newBackend("a"), newBackend("b")), newRoute(routing.Repeatable, 2))
		require.NotNil(t, result.Response)
		require.Equal(t, "b", result.Backend)
	}
}

// The route's limit of attempts must hold.
func TestAttemptsAreBounded(t *testing.T) {
	client := &fakeClient{answers: map[string]func(context.Context) Attempt{}}
	var backends []directory.Backend
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		client.answers[id] = respondOutcome(Lost)
		backends = append(backends, newBackend(id))
	}
	result := doRequest(client, newCatalog(backends...), newRoute(routing.Repeatable, 3))
	require.Equal(t, 3, result.Attempts)
	require.Len(t, client.calls, 3)
}

// A server error may be returned only if no other backend returns a better response.
func TestServerErrorIsReturnedLast(t *testing.T) {
	client := &fakeClient{answers: map[string]func(context.Context) Attempt{"a": respondStatus(500), "b": respondStatus(500)}}
	result := doRequest(client, newCatalog(newBackend("a"), newBackend("b")), newRoute(routing.Repeatable, 3))
	require.Equal(t, http.StatusInternalServerError, result.Response.Status)
	require.Equal(t, 2, result.Failures)
	client.answers["b"] = respondStatus(200)
	result = doRequest(client, newCatalog(newBackend("a"), newBackend("b")), newRoute(routing.Repeatable, 3))
	require.Equal(t, http.StatusOK, result.Response.Status)
}

// A request must be refused immediately if all backends are draining.
func TestDrainingBackendGetsNoRequests(t *testing.T) {
	draining := newBackend("a")
	draining.Draining = true
	client := &fakeClient{answers: map[string]func(context.Context) Attempt{"a": respondStatus(200)}}
	result := doRequest(client, newCatalog(draining), newRoute(routing.Repeatable, 3))
	require.Equal(t, NoBackend, result.Reason)
	require.Empty(t, client.calls)
}

// Cancelling a request must cancel its attempt and send nothing else.
func TestAbandonedRequestCancelsAttempt(t *testing.T) {
	ended := make(chan struct{})
	client := &fakeClient{answers: map[string]func(context.Context) Attempt{}}
	ctx, cancel := context.WithCancel(context.Background())
	client.answers["a"] = func(ctx context.Context) Attempt {
		cancel()
		<-ctx.Done()
		close(ended)
		return Attempt{Outcome: Lost}
	}
	result := New(client, "z", newGuard()).Do(ctx, newCatalog(newBackend("a")), newRoute(routing.Unrepeatable, 2), &Request{Deadline: time.Now().Add(time.Minute)})
	<-ended
	require.Equal(t, Abandoned, result.Reason)
	require.True(t, result.MayHaveRun)
}

// Each service of a split route must get its share of any 100 consecutive requests, within one
// request.
func TestSharesFollowWeights(t *testing.T) {
	forwarder := New(&fakeClient{}, "z", newGuard())
	route := routing.Route{Host: "h", Prefix: "/", Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	var chosen []string
	for range 400 {
		chosen = append(chosen, forwarder.orderServices(route)[0])
	}
	for start := 0; start+100 <= len(chosen); start += 7 {
		count := 0
		for _, service := range chosen[start : start+100] {
			if service == "b" {
				count++
			}
		}
		require.InDelta(t, 10, count, 1)
	}
	require.True(t, slices.Contains(chosen, "a"))
}

// Many processes with few requests each must together follow the weights of a split route.
func TestSharesFollowWeightsAcrossProcesses(t *testing.T) {
	const processes, requestsEach = 400, 3
	route := routing.Route{Shares: []routing.Share{{Service: "large", Weight: 90}, {Service: "small", Weight: 10}}}
	random := rand.New(rand.NewPCG(1, 2))
	small := 0
	for range processes {
		forwarder := New(&fakeClient{}, "z", newGuard())
		forwarder.random = random
		for range requestsEach {
			if forwarder.orderServices(route)[0] == "small" {
				small++
			}
		}
	}
	require.InDelta(t, 0.1, float64(small)/(processes*requestsEach), 0.02)
}

// sendSequentially sends requests one after another to backends with the given latencies, and returns
// the number of requests of each backend.
func sendSequentially(forwarder *Forwarder, catalog *directory.Catalog, count int, latency func(id string) time.Duration) map[string]int {
	sent := map[string]int{}
	for range count {
		chosen, _ := forwarder.choose(catalog, []string{"s"}, map[string]bool{})
		sent[chosen.ID]++
		forwarder.recordAttempt(chosen, Attempt{Outcome: Answered}, latency(chosen.ID), false)
	}
	return sent
}

// newTwentyBackends returns a forwarder with a fixed random seed and a catalog of twenty backends.
func newTwentyBackends() (*Forwarder, *directory.Catalog) {
	forwarder := New(nil, "z", newGuard())
	forwarder.random = rand.New(rand.NewPCG(1, 2))
	var backends []directory.Backend
	for number := range 20 {
		backends = append(backends, newBackend(string(rune('a'+number))))
	}
	return forwarder, newCatalog(backends...)
}

// A process with few requests must not open connections to all backends.
func TestRequestsStayWithKnownBackends(t *testing.T) {
	forwarder, catalog := newTwentyBackends()
	random := rand.New(rand.NewPCG(3, 4))
	sent := sendSequentially(forwarder, catalog, 60, func(string) time.Duration {
		return time.Duration((15 + 20*random.Float64()) * float64(time.Millisecond))
	})
	require.LessOrEqual(t, len(sent), 4, sent)
}

// A backend that becomes slow must be avoided after a few requests, even if no other one was measured
// yet.
func TestSlowBackendIsAvoided(t *testing.T) {
	forwarder, catalog := newTwentyBackends()
	slow := ""
	sendSequentially(forwarder, catalog, 10, func(id string) time.Duration {
		slow = id
		return 25 * time.Millisecond
	})
	sent := sendSequentially(forwarder, catalog, 20, func(id string) time.Duration {
		if id == slow {
			return 100 * time.Millisecond
		}
		return 25 * time.Millisecond
	})
	require.LessOrEqual(t, sent[slow], 4, sent)
}

// Concurrent requests must be spread over different backends.
func TestConcurrentRequestsUseDifferentBackends(t *testing.T) {
	forwarder, catalog := newTwentyBackends()
	sendSequentially(forwarder, catalog, 10, func(string) time.Duration { return 25 * time.Millisecond })
	used := map[string]bool{}
	for range 10 {
		chosen, _ := forwarder.choose(catalog, []string{"s"}, map[string]bool{})
		used[chosen.ID] = true
	}
	require.GreaterOrEqual(t, len(used), 9)
}

// Attempts that did not reach a backend must not count towards the route's limit, up to
// maxUnreachedAttempts.
func TestUnreachedBackendsUseNoAttempts(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Repeatable, routing.Unrepeatable} {
		client := &fakeClient{answers: map[string]func(context.Context) Attempt{
			"a": respondOutcome(NotSent), "b": respondOutcome(NotSent), "c": respondOutcome(NotSent), "d": respondStatus(200),
		}}
		result := New(client, "z", newGuard()).Do(context.Background(), newCatalog(newBackend("a"), newBackend("b"), newBackend("c"), newBackend("d")),
			newRoute(kind, 1), &Request{Deadline: time.Now().Add(time.Minute)})
		require.NotNil(t, result.Response)
	}
	answers := map[string]func(context.Context) Attempt{}
	var backends []directory.Backend
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		answers[id] = respondOutcome(NotSent)
		backends = append(backends, newBackend(id))
	}
	client := &fakeClient{answers: answers}
	result := New(client, "z", newGuard()).Do(context.Background(), newCatalog(backends...), newRoute(routing.Repeatable, 1), &Request{Deadline: time.Now().Add(time.Minute)})
	require.Nil(t, result.Response)
	require.False(t, result.MayHaveRun)
	require.Len(t, client.calls, 1+maxUnreachedAttempts)
}

// A latency must expire when a backend has had no requests for a while, so that it is tried again.
func TestOldLatencyIsIgnored(t *testing.T) {
	forwarder := New(&fakeClient{}, "z", newGuard())
	start := time.Now()
	forwarder.averageLatency["s"] = 20 * time.Millisecond
	forwarder.state("slow").recordLatency(2*time.Second, start)
	isUnmeasured := func(now time.Time) bool {
		maxCost := float64((20 * time.Millisecond).Milliseconds()) * (1 + unmeasuredSurcharge) * (1 + randomSurcharge)
		return forwarder.cost(newBackend("slow"), now) <= maxCost
	}
	require.False(t, isUnmeasured(start.Add(latencyLifetime)))
	require.True(t, isUnmeasured(start.Add(latencyLifetime+1)))
	forwarder.state("slow").recordLatency(20*time.Millisecond, start.Add(latencyLifetime+1))
	require.True(t, isUnmeasured(start.Add(latencyLifetime+2)), "the expired latency must not be averaged in")
}

// TestAttemptsOfAnyNumberNeedNoMemory guards against a route that takes a gateway over its memory: a request reserved
// memory for all the attempts that its route allows, however many backends there were.
func TestAttemptsOfAnyNumberNeedNoMemory(t *testing.T) {
	client := &fakeClient{answers: map[string]func(context.Context) Attempt{"a": respondOutcome(Lost), "b": respondStatus(200)}}
	route := newRoute(routing.Repeatable, 10_000_000)
	catalog := newCatalog(newBackend("a"), newBackend("b"))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	require.NotNil(t, doRequest(client, catalog, route).Response)
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
}
