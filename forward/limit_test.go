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

// fixedLimiter decides as a test wants, and keeps what it is asked and told.
type fixedLimiter struct {
	decision admission.Decision
	limiting bool

	mutex sync.Mutex
	asked []admission.Request
	seen  []admission.Observation
}

func (l *fixedLimiter) Admit(_ time.Time, ask admission.Request) admission.Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.asked = append(l.asked, ask)
	return l.decision
}

func (l *fixedLimiter) Observe(_ time.Time, seen admission.Observation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.seen = append(l.seen, seen)
}

func (l *fixedLimiter) IsLimiting(time.Time, string) bool { return l.limiting }

func doLimited(client *scripted, limiter admission.Limiter, through routing.Route, remaining time.Duration) Result {
	forwarder := New(client, "z", noSuspects())
	forwarder.LimitBy(limiter)
	request := &Request{Tenant: "t", Priority: 2, Deadline: clock.Now().Add(remaining)}
	return forwarder.Do(context.Background(), catalogOf(backend("a"), backend("b")), through, request)
}

// TestRequestThatIsNotAdmitted is sent nowhere, and its caller is told when to come back.
func TestRequestThatIsNotAdmitted(t *testing.T) {
	client := &scripted{}
	limiter := &fixedLimiter{decision: admission.Decision{Reason: admission.ShareExceeded, RetryAfter: 70 * time.Millisecond}}
	result := doLimited(client, limiter, route(routing.Repeatable, 2), time.Minute)
	require.Empty(t, client.asked)
	require.Equal(t, Overloaded, result.Reason)
	require.False(t, result.MayHaveRun)
	require.Equal(t, 70*time.Millisecond, result.RetryAfter)
	require.Equal(t, admission.ShareExceeded, result.Limit.Reason)
	require.Equal(t, "s", limiter.asked[0].Service)
	require.Equal(t, "t", limiter.asked[0].Tenant)
	require.Equal(t, 2, limiter.asked[0].Priority)
	require.Equal(t, time.Millisecond, limiter.asked[0].Target)
}

// TestNothingIsSentTwiceUnderALimit: a backend's refusal ends the request, which its caller
// may bring again later, and a slow backend is waited for.
func TestNothingIsSentTwiceUnderALimit(t *testing.T) {
	limiter := &fixedLimiter{decision: admission.Decision{Admitted: true}, limiting: true}
	client := &scripted{answers: map[string]func(context.Context) Attempt{"a": outcome(Refused), "b": outcome(Refused)}}
	result := doLimited(client, limiter, route(routing.Repeatable, 2), time.Minute)
	require.Len(t, client.asked, 1)
	require.Equal(t, Full, result.Reason)
	require.False(t, result.MayHaveRun)
	require.Positive(t, result.RetryAfter)

	// Hedges would begin after 30 ms; this one ends at its deadline.
	client = &scripted{answers: map[string]func(context.Context) Attempt{"a": hang, "b": hang}}
	result = doLimited(client, limiter, route(routing.Repeatable, 2), 300*time.Millisecond)
	require.Len(t, client.asked, 1)
	require.Equal(t, Expired, result.Reason)
}

// TestUnreachableBackendIsReplacedUnderALimit: what was not sent is no load.
func TestUnreachableBackendIsReplacedUnderALimit(t *testing.T) {
	limiter := &fixedLimiter{decision: admission.Decision{Admitted: true}, limiting: true}
	client := &scripted{answers: map[string]func(context.Context) Attempt{"a": outcome(NotSent), "b": outcome(NotSent)}}
	doLimited(client, limiter, route(routing.Repeatable, 2), time.Minute)
	require.Len(t, client.asked, 2)
}

// TestWhatTheLimiterIsTold: answers and refusals with what the backend tells of its load; a failure
// tells nothing of a queue.
func TestWhatTheLimiterIsTold(t *testing.T) {
	told := func(attempt Attempt) func(context.Context) Attempt {
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
		limiter := &fixedLimiter{decision: admission.Decision{Admitted: true}, limiting: true}
		client := &scripted{answers: map[string]func(context.Context) Attempt{"a": told(test.attempt), "b": told(test.attempt)}}
		doLimited(client, limiter, route(routing.Unrepeatable, 1), time.Minute)
		require.Len(t, limiter.seen, 1)
		seen := limiter.seen[0]
		require.Equal(t, test.answered, seen.Answered)
		require.Equal(t, test.refused, seen.Refused)
		require.Equal(t, "s", seen.Service)
		if load := test.attempt.Load; load != nil {
			require.Equal(t, load.Waiting, seen.Waiting)
			require.Equal(t, load.Slots, seen.Slots)
		}
	}
}
