package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
)

// scripted answers each backend's requests as a test wants.
type scripted struct {
	mutex   sync.Mutex
	answers map[string]func(ctx context.Context) Attempt
	asked   []string
}

func (s *scripted) Send(ctx context.Context, backend directory.Backend, _ *Request) Attempt {
	s.mutex.Lock()
	s.asked = append(s.asked, backend.ID)
	answer := s.answers[backend.ID]
	s.mutex.Unlock()
	return answer(ctx)
}

// noSuspects is a guard that knows of no crashes but those that it is told.
func noSuspects() *quarantine.Guard {
	return quarantine.NewGuard(quarantine.SharedRecord{}, time.Now)
}

func outcome(kind Outcome) func(context.Context) Attempt {
	return func(context.Context) Attempt { return Attempt{Outcome: kind} }
}

func status(code int) func(context.Context) Attempt {
	return func(context.Context) Attempt {
		return Attempt{Outcome: Answered, Response: Response{Status: code}}
	}
}

// hang answers nothing until it is given up.
func hang(ctx context.Context) Attempt {
	<-ctx.Done()
	return Attempt{Outcome: Lost}
}

func catalogOf(backends ...directory.Backend) *directory.Catalog {
	return directory.NewCatalog().With(directory.Delta{Revision: 1, Full: true, Backends: backends})
}

func backend(id string) directory.Backend {
	return directory.Backend{ID: id, Service: "s", Zone: "z", Slots: 1}
}

func route(kind routing.Kind, attempts int) routing.Route {
	return routing.Route{
		Host: "h", Prefix: "/", Kind: kind, Attempts: attempts, TimeoutMillis: 60000, TargetMillis: 1,
		Shares: []routing.Share{{Service: "s", Weight: 1}},
	}
}

func do(client *scripted, catalog *directory.Catalog, through routing.Route) Result {
	forwarder := New(client, "z", noSuspects())
	return forwarder.Do(context.Background(), catalog, through, &Request{Deadline: time.Now().Add(time.Minute)})
}

// TestRefusedRequestGoesElsewhere: what has certainly not run may be sent to
// another backend whatever its kind, and is refused as not run if all refuse.
func TestRefusedRequestGoesElsewhere(t *testing.T) {
	for _, kind := range []Outcome{NotSent, Refused, Misdirected} {
		client := &scripted{answers: map[string]func(context.Context) Attempt{"a": outcome(kind), "b": outcome(kind)}}
		result := do(client, catalogOf(backend("a"), backend("b")), route(routing.Unrepeatable, 3))
		require.Nil(t, result.Response)
		require.False(t, result.MayHaveRun)
		require.Equal(t, Full, result.Reason)
		require.Len(t, client.asked, 2)
	}
}

// TestUnrepeatableRequestIsNotSentAgain: after an outcome that may mean a run,
// no second backend is asked, and the request is not called not run.
func TestUnrepeatableRequestIsNotSentAgain(t *testing.T) {
	client := &scripted{answers: map[string]func(context.Context) Attempt{"a": outcome(Lost), "b": status(200)}}
	for range 20 {
		client.asked = nil
		client.answers["a"], client.answers["b"] = outcome(Lost), outcome(Lost)
		result := do(client, catalogOf(backend("a"), backend("b")), route(routing.Unrepeatable, 3))
		require.Len(t, client.asked, 1)
		require.True(t, result.MayHaveRun)
		require.Equal(t, NoAnswer, result.Reason)
	}
}

// TestSilentBackendIsHedged: a repeatable request whose backend says nothing is
// answered by another one, long before its deadline.
func TestSilentBackendIsHedged(t *testing.T) {
	client := &scripted{answers: map[string]func(context.Context) Attempt{"a": hang, "b": status(200)}}
	for range 5 {
		result := do(client, catalogOf(backend("a"), backend("b")), route(routing.Repeatable, 2))
		require.NotNil(t, result.Response)
		require.Equal(t, "b", result.Backend)
	}
}

// TestAttemptsAreBounded: no more backends are asked than the route allows.
func TestAttemptsAreBounded(t *testing.T) {
	client := &scripted{answers: map[string]func(context.Context) Attempt{}}
	var backends []directory.Backend
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		client.answers[id] = outcome(Lost)
		backends = append(backends, backend(id))
	}
	result := do(client, catalogOf(backends...), route(routing.Repeatable, 3))
	require.Equal(t, 3, result.Attempts)
	require.Len(t, client.asked, 3)
}

// TestFailureIsPassedOnLast: a backend's failure is the answer only if no other
// backend does better.
func TestFailureIsPassedOnLast(t *testing.T) {
	client := &scripted{answers: map[string]func(context.Context) Attempt{"a": status(500), "b": status(500)}}
	result := do(client, catalogOf(backend("a"), backend("b")), route(routing.Repeatable, 3))
	require.Equal(t, http.StatusInternalServerError, result.Response.Status)
	require.Equal(t, 2, result.Failures)
	client.answers["b"] = status(200)
	result = do(client, catalogOf(backend("a"), backend("b")), route(routing.Repeatable, 3))
	require.Equal(t, http.StatusOK, result.Response.Status)
}

// TestDrainingBackendGetsNothing: a request without any other backend is
// refused at once.
func TestDrainingBackendGetsNothing(t *testing.T) {
	leaving := backend("a")
	leaving.Draining = true
	client := &scripted{answers: map[string]func(context.Context) Attempt{"a": status(200)}}
	result := do(client, catalogOf(leaving), route(routing.Repeatable, 3))
	require.Equal(t, NoBackend, result.Reason)
	require.Empty(t, client.asked)
}

// TestAbandonedRequestEndsItsRun: when the caller leaves, the attempt's context
// ends, and nothing else is sent.
func TestAbandonedRequestEndsItsRun(t *testing.T) {
	ended := make(chan struct{})
	client := &scripted{answers: map[string]func(context.Context) Attempt{}}
	ctx, leave := context.WithCancel(context.Background())
	client.answers["a"] = func(attempt context.Context) Attempt {
		leave()
		<-attempt.Done()
		close(ended)
		return Attempt{Outcome: Lost}
	}
	result := New(client, "z", noSuspects()).Do(ctx, catalogOf(backend("a")), route(routing.Unrepeatable, 2), &Request{Deadline: time.Now().Add(time.Minute)})
	<-ended
	require.Equal(t, Abandoned, result.Reason)
	require.True(t, result.MayHaveRun)
}

// TestSharesFollowWeights: a split's parts get their shares of any run of
// requests, within one request.
func TestSharesFollowWeights(t *testing.T) {
	forwarder := New(&scripted{}, "z", noSuspects())
	through := routing.Route{Host: "h", Prefix: "/", Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	var chosen []string
	for range 400 {
		chosen = append(chosen, forwarder.order(through)[0])
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

// TestSharesFollowWeightsOverManyProcesses: processes that see a few requests each
// keep the shares together.
func TestSharesFollowWeightsOverManyProcesses(t *testing.T) {
	const processes, requestsEach = 400, 3
	split := routing.Route{Shares: []routing.Share{{Service: "large", Weight: 90}, {Service: "small", Weight: 10}}}
	random := rand.New(rand.NewPCG(1, 2))
	small := 0
	for range processes {
		forwarder := New(&scripted{}, "z", noSuspects())
		forwarder.random = random
		for range requestsEach {
			if forwarder.order(split)[0] == "small" {
				small++
			}
		}
	}
	require.InDelta(t, 0.1, float64(small)/(processes*requestsEach), 0.02)
}

// requestsInTurn sends requests one after the other to backends that take as long as
// the function says, and returns how many each backend got.
func requestsInTurn(forwarder *Forwarder, catalog *directory.Catalog, count int, took func(id string) time.Duration) map[string]int {
	sent := map[string]int{}
	for range count {
		chosen, _ := forwarder.choose(catalog, []string{"s"}, map[string]bool{})
		sent[chosen.ID]++
		forwarder.note(chosen, Attempt{Outcome: Answered}, took(chosen.ID), false)
	}
	return sent
}

// manyBackends returns a forwarder that draws alike in each run, with twenty backends.
func manyBackends() (*Forwarder, *directory.Catalog) {
	forwarder := New(nil, "z", noSuspects())
	forwarder.random = rand.New(rand.NewPCG(1, 2))
	var backends []directory.Backend
	for number := range 20 {
		backends = append(backends, backend(string(rune('a'+number))))
	}
	return forwarder, catalogOf(backends...)
}

// TestRequestsStayWithKnownBackends: a process with few requests does not open a
// connection to each backend only to learn that it is like the others.
func TestRequestsStayWithKnownBackends(t *testing.T) {
	forwarder, catalog := manyBackends()
	random := rand.New(rand.NewPCG(3, 4))
	sent := requestsInTurn(forwarder, catalog, 60, func(string) time.Duration {
		return time.Duration((15 + 20*random.Float64()) * float64(time.Millisecond))
	})
	require.LessOrEqual(t, len(sent), 4, sent)
}

// TestSlowBackendIsLeft: one that turns slow loses its requests within a few of them,
// also where no other one is known yet.
func TestSlowBackendIsLeft(t *testing.T) {
	forwarder, catalog := manyBackends()
	first := ""
	requestsInTurn(forwarder, catalog, 10, func(id string) time.Duration {
		first = id
		return 25 * time.Millisecond
	})
	sent := requestsInTurn(forwarder, catalog, 20, func(id string) time.Duration {
		if id == first {
			return 100 * time.Millisecond
		}
		return 25 * time.Millisecond
	})
	require.LessOrEqual(t, sent[first], 4, sent)
}

// TestBusyBackendsShareTheLoad: requests at the same time go to different backends.
func TestBusyBackendsShareTheLoad(t *testing.T) {
	forwarder, catalog := manyBackends()
	requestsInTurn(forwarder, catalog, 10, func(string) time.Duration { return 25 * time.Millisecond })
	busy := map[string]bool{}
	for range 10 {
		chosen, _ := forwarder.choose(catalog, []string{"s"}, map[string]bool{})
		busy[chosen.ID] = true
	}
	require.GreaterOrEqual(t, len(busy), 9)
}

// TestUnreachedBackendsUseNoAttempts: a request that can be sent to no more than one backend is
// served by the one that is left, where others cannot be reached; it is never sent to more.
func TestUnreachedBackendsUseNoAttempts(t *testing.T) {
	for _, kind := range []routing.Kind{routing.Repeatable, routing.Unrepeatable} {
		client := &scripted{answers: map[string]func(context.Context) Attempt{
			"a": outcome(NotSent), "b": outcome(NotSent), "c": outcome(NotSent), "d": status(200),
		}}
		result := New(client, "z", noSuspects()).Do(context.Background(), catalogOf(backend("a"), backend("b"), backend("c"), backend("d")),
			route(kind, 1), &Request{Deadline: time.Now().Add(time.Minute)})
		require.NotNil(t, result.Response)
	}
	sent := map[string]func(context.Context) Attempt{}
	var backends []directory.Backend
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		sent[id] = outcome(NotSent)
		backends = append(backends, backend(id))
	}
	client := &scripted{answers: sent}
	result := New(client, "z", noSuspects()).Do(context.Background(), catalogOf(backends...), route(routing.Repeatable, 1), &Request{Deadline: time.Now().Add(time.Minute)})
	require.Nil(t, result.Response)
	require.False(t, result.MayHaveRun)
	require.Len(t, client.asked, 1+mostUnreached)
}

// TestSlownessIsForgotten: a backend that was slow, and has got no requests since, counts as one
// that was never asked after a while: it may be well again.
func TestSlownessIsForgotten(t *testing.T) {
	forwarder := New(&scripted{}, "z", noSuspects())
	began := time.Now()
	forwarder.usual["s"] = 20 * time.Millisecond
	forwarder.state("slow").take(2*time.Second, began)
	unknown := func(now time.Time) bool {
		most := float64((20 * time.Millisecond).Milliseconds()) * (1 + firstCost) * (1 + spreadCost)
		return forwarder.cost(backend("slow"), now) <= most
	}
	require.False(t, unknown(began.Add(latencyLife)))
	require.True(t, unknown(began.Add(latencyLife+1)))
	forwarder.state("slow").take(20*time.Millisecond, began.Add(latencyLife+1))
	require.True(t, unknown(began.Add(latencyLife+2)), "what was measured before counts no more")
}
