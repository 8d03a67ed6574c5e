package forward

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/admission"
	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/routing"
)

// fakeLimiter returns a fixed decision and records its calls.
type fakeLimiter struct {
	decision admission.Decision
	limiting bool

	mutex        sync.Mutex
	requests     []admission.Request
	observations []admission.Observation
}

func (l *fakeLimiter) Admit(_ time.Time, request admission.Request) admission.Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests = append(l.requests, request)
	return l.decision
}

func (l *fakeLimiter) Observe(_ time.Time, observation admission.Observation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.observations = append(l.observations, observation)
}

func (l *fakeLimiter) IsLimiting(time.Time, string) bool { return l.limiting }

func doWithLimiter(client *fakeClient, limiter admission.Limiter, route routing.Route, remaining time.Duration) Result {
	forwarder := New(client, "z", newGuard())
	forwarder.SetLimiter(limiter)
	request := &Request{Tenant: "t", Priority: 2, Deadline: clock.Now().Add(remaining)}
	return forwarder.Do(context.Background(), newCatalog(newBackend("a"), newBackend("b")), route, request)
}

// A request that is not admitted must not be sent, and its result must contain the limiter's decision.
func TestRejectedRequestIsNotSent(t *testing.T) {
	client := &fakeClient{}
	limiter := &fakeLimiter{decision: admission.Decision{Reason: admission.ShareExceeded, RetryAfter: 70 * time.Millisecond}}
	result := doWithLimiter(client, limiter, newRoute(routing.Repeatable, 2), time.Minute)
	require.Empty(t, client.calls)
	require.Equal(t, Overloaded, result.Reason)
	require.False(t, result.MayHaveRun)
	require.Equal(t, 70*time.Millisecond, result.RetryAfter)
	require.Equal(t, admission.ShareExceeded, result.Admission.Reason)
	require.Equal(t, "s", limiter.requests[0].Service)
	require.Equal(t, "t", limiter.requests[0].Tenant)
	require.Equal(t, 2, limiter.requests[0].Priority)
	require.Equal(t, time.Millisecond, limiter.requests[0].Target)
}

// While the limiter is limiting, refused requests must not be retried and slow ones must not be
// hedged.
func TestNoRetriesWhileLimiting(t *testing.T) {
	limiter := &fakeLimiter{decision: admission.Decision{Admitted: true}, limiting: true}
	client := &fakeClient{answers: map[string]func(context.Context) Attempt{"a": respondOutcome(Refused), "b": respondOutcome(Refused)}}
	result := doWithLimiter(client, limiter, newRoute(routing.Repeatable, 2), time.Minute)
	require.Len(t, client.calls, 1)
	require.Equal(t, Full, result.Reason)
	require.False(t, result.MayHaveRun)
	require.Positive(t, result.RetryAfter)

	// The first hedge would be sent after 30 ms; this request runs until its deadline.
	client = &fakeClient{answers: map[string]func(context.Context) Attempt{"a": blockUntilCancelled, "b": blockUntilCancelled}}
	result = doWithLimiter(client, limiter, newRoute(routing.Repeatable, 2), 300*time.Millisecond)
	require.Len(t, client.calls, 1)
	require.Equal(t, Expired, result.Reason)
}

// A request that did not reach a backend may be sent to another one while the limiter is limiting.
func TestUnreachableBackendIsReplacedWhileLimiting(t *testing.T) {
	limiter := &fakeLimiter{decision: admission.Decision{Admitted: true}, limiting: true}
	client := &fakeClient{answers: map[string]func(context.Context) Attempt{"a": respondOutcome(NotSent), "b": respondOutcome(NotSent)}}
	doWithLimiter(client, limiter, newRoute(routing.Repeatable, 2), time.Minute)
	require.Len(t, client.calls, 2)
}

// Responses and refusals must be reported to the limiter with the backend's load; server errors are
// not answers.
func TestLimiterObservations(t *testing.T) {
	respond := func(attempt Attempt) func(context.Context) Attempt {
		return func(context.Context) Attempt { return attempt }
	}
	for _, test := range []struct {
		attempt           Attempt
		answered, refused bool
	}{
		{Attempt{Outcome: Answered, Response: Response{Status: 200}, Load: &Load{Waiting: 3, Slots: 6}}, true, false},
		{Attempt{Outcome: Answered, Response: Response{Status: 500}}, false, false},
		{Attempt{Outcome: Refused, Load: &Load{Waiting: 24, Slots: 6}}, false, true},
	} {
		limiter := &fakeLimiter{decision: admission.Decision{Admitted: true}, limiting: true}
		client := &fakeClient{answers: map[string]func(context.Context) Attempt{"a": respond(test.attempt), "b": respond(test.attempt)}}
		doWithLimiter(client, limiter, newRoute(routing.Unrepeatable, 1), time.Minute)
		require.Len(t, limiter.observations, 1)
		observation := limiter.observations[0]
		require.Equal(t, test.answered, observation.Answered)
		require.Equal(t, test.refused, observation.Refused)
		require.Equal(t, "s", observation.Service)
		if load := test.attempt.Load; load != nil {
			require.Equal(t, load.Waiting, observation.Waiting)
			require.Equal(t, load.Slots, observation.Slots)
		}
	}
}
