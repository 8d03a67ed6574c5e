package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

// baselineLatency is the latency without queuing, and queuedLatency that behind a long queue.
const (
	baselineLatency = 25 * time.Millisecond
	queuedLatency   = 120 * time.Millisecond
)

func newTestLimiter() *LocalLimiter { return NewLocalLimiter(rand.New(rand.NewPCG(3, 4))) }

func answered(backend int, latency time.Duration) Observation {
	return Observation{Service: "s", Backend: fmt.Sprint(backend), Answered: true, Latency: latency}
}

func refused(backend int) Observation {
	return Observation{Service: "s", Backend: fmt.Sprint(backend), Refused: true}
}

// countAdmitted spreads the requests over the second after now and returns how many are admitted.
// Before each of them one of four backends answers with the latency.
func countAdmitted(l *LocalLimiter, now time.Time, requests int, latency time.Duration, request Request) int {
	count := 0
	for position := range requests {
		at := now.Add(time.Duration(position) * time.Second / time.Duration(requests))
		l.Observe(at, answered(position%4, latency))
		if l.Admit(at, request).Admitted {
			count++
		}
	}
	return count
}

// learnBaseline sets the baseline latency from the answers of the second before now.
func learnBaseline(l *LocalLimiter, now time.Time) {
	countAdmitted(l, now.Add(-time.Second), 40, baselineLatency, newRequest())
}

func newRequest() Request {
	return Request{Service: "s", Target: simTarget, Remaining: simDeadline}
}

func observeSlowAnswers(l *LocalLimiter, now time.Time) {
	for backend := range maxSamples {
		l.Observe(now, answered(backend%4, queuedLatency))
	}
}

// startLimit starts a limit with slow answers and refusals by all backends.
func startLimit(l *LocalLimiter, now time.Time) {
	learnBaseline(l, now)
	observeSlowAnswers(l, now)
	for backend := range 4 {
		l.Observe(now, refused(backend))
	}
}

// TestSlowAnswersStartLimit checks that slow answers of all backends start a limit, and that the
// admitted fraction falls while they continue.
func TestSlowAnswersStartLimit(t *testing.T) {
	l, now := newTestLimiter(), simEpoch
	learnBaseline(l, now)
	require.False(t, l.IsLimiting(now, "s"))
	observeSlowAnswers(l, now)
	require.True(t, l.IsLimiting(now, "s"))
	require.Less(t, countAdmitted(l, now, 200, queuedLatency, newRequest()), 180)
}

// TestOneSlowBackendDoesNotStartLimit checks one slow backend of four.
func TestOneSlowBackendDoesNotStartLimit(t *testing.T) {
	l, now := newTestLimiter(), simEpoch
	learnBaseline(l, now)
	for position := range 400 {
		now = now.Add(5 * time.Millisecond)
		latency := baselineLatency
		if position%4 == 0 {
			latency = 4 * queuedLatency
		}
		l.Observe(now, answered(position%4, latency))
		require.True(t, l.Admit(now, newRequest()).Admitted, "request %d", position)
	}
}

// TestOneRefusingBackendDoesNotStartLimit checks one backend of four that refuses every request.
func TestOneRefusingBackendDoesNotStartLimit(t *testing.T) {
	l, now := newTestLimiter(), simEpoch
	learnBaseline(l, now)
	for position := range 400 {
		now = now.Add(5 * time.Millisecond)
		if position%4 == 0 {
			l.Observe(now, refused(0))
		} else {
			l.Observe(now, answered(position%4, baselineLatency))
		}
		require.True(t, l.Admit(now, newRequest()).Admitted, "request %d", position)
	}
}

// TestRefusalsByMostBackendsStartLimit covers backends without a queue, which refuse when they are
// full.
func TestRefusalsByMostBackendsStartLimit(t *testing.T) {
	l, now := newTestLimiter(), simEpoch
	learnBaseline(l, now)
	for backend := range 4 {
		l.Observe(now, refused(backend))
	}
	require.True(t, l.IsLimiting(now, "s"))
}

// TestSlowerWorkRaisesBaseline checks that everything is admitted two seconds after requests have
// begun to take four times as long, if no backend refuses any.
func TestSlowerWorkRaisesBaseline(t *testing.T) {
	l, now := newTestLimiter(), simEpoch
	learnBaseline(l, now)
	slowLatency := 4 * baselineLatency
	require.Less(t, countAdmitted(l, now, 200, slowLatency, newRequest()), 200)
	countAdmitted(l, now.Add(time.Second), 200, slowLatency, newRequest())
	require.Equal(t, 200, countAdmitted(l, now.Add(2*time.Second), 200, slowLatency, newRequest()))
	require.False(t, l.IsLimiting(now.Add(3*time.Second), "s"))
}

// TestLongWorkDoesNotStartLimit covers requests whose work itself takes most of the latency target.
func TestLongWorkDoesNotStartLimit(t *testing.T) {
	l, now, random := newTestLimiter(), simEpoch, rand.New(rand.NewPCG(5, 6))
	refusals := 0
	for position := range 4000 {
		now = now.Add(5 * time.Millisecond)
		latency := time.Duration(float64(simTarget) * (0.4 + 0.6*random.Float64()))
		l.Observe(now, answered(position%4, latency))
		if !l.Admit(now, newRequest()).Admitted {
			refusals++
		}
	}
	require.Zero(t, refusals)
}

// TestLimitEndsAfterOverload checks that everything is admitted soon after the last slow answer, with
// and without further answers.
func TestLimitEndsAfterOverload(t *testing.T) {
	for _, hasAnswers := range []bool{false, true} {
		l, now := newTestLimiter(), simEpoch
		startLimit(l, now)
		countAdmitted(l, now, 400, queuedLatency, newRequest())
		now = now.Add(time.Second)
		if hasAnswers {
			countAdmitted(l, now, 100, baselineLatency, newRequest())
		}
		now = now.Add(time.Second)
		require.Equal(t, 20, countAdmitted(l, now, 20, baselineLatency, newRequest()), "answers %v", hasAnswers)
	}
}

// TestUrgentRequestsAreAdmittedFirst checks that a limit prefers the higher priority without starving
// the lower one.
func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	l, now := newTestLimiter(), simEpoch
	startLimit(l, now)
	var admitted [2]int
	for position := range 4000 {
		now = now.Add(2 * time.Millisecond)
		if position%2 == 0 {
			l.Observe(now, answered(position%4, 90*time.Millisecond))
		}
		request := newRequest()
		request.Priority = position % 2
		if l.Admit(now, request).Admitted {
			admitted[request.Priority]++
		}
	}
	require.Greater(t, admitted[0], admitted[1])
	require.Greater(t, admitted[1], admitted[0]/6)
}

// TestRetryAfterIsSpread checks that waits differ and stay within a third of the remaining time.
func TestRetryAfterIsSpread(t *testing.T) {
	distinct := map[time.Duration]bool{}
	for position := range 100 {
		retryAfter := RetryAfter(900*time.Millisecond, float64(position)/100)
		require.LessOrEqual(t, retryAfter, 300*time.Millisecond)
		require.Greater(t, retryAfter, time.Duration(0))
		distinct[retryAfter] = true
	}
	require.Greater(t, len(distinct), 90)
	require.Zero(t, RetryAfter(-time.Second, 0.5))
}

// TestTooLate checks that a request that cannot be answered before its deadline is refused.
func TestTooLate(t *testing.T) {
	l, now := newTestLimiter(), simEpoch
	startLimit(l, now)
	request := newRequest()
	request.Remaining = 50 * time.Millisecond
	decision := l.Admit(now, request)
	require.False(t, decision.Admitted)
	require.Equal(t, TooLate, decision.Reason)
}

// TestReportedLoadDeterminesDelay checks that a queue length reported by backends overrides the
// latency of their answers.
func TestReportedLoadDeterminesDelay(t *testing.T) {
	for _, test := range []struct {
		waiting   int
		latency   time.Duration
		wantLimit bool
	}{{waiting: 24, latency: baselineLatency, wantLimit: true}, {waiting: 0, latency: queuedLatency, wantLimit: false}} {
		l, now := newTestLimiter(), simEpoch
		learnBaseline(l, now)
		for backend := range maxSamples {
			observation := answered(backend%4, test.latency)
			observation.Waiting, observation.Slots = test.waiting, 6
			l.Observe(now, observation)
		}
		require.Equal(t, test.wantLimit, l.IsLimiting(now, "s"), "%d waiting", test.waiting)
	}
}

// TestPrune checks that services without a limit are dropped.
func TestPrune(t *testing.T) {
	l := newTestLimiter()
	learnBaseline(l, simEpoch)
	l.Prune(func(string) bool { return false })
	require.Empty(t, l.Statuses(simEpoch))
}

// TestFairShares checks each division: the total matches the admitted fraction, lower priorities and
// larger callers never get a larger fraction, and no caller gets nothing.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		admittedFraction := rapid.Float64Range(minAdmittedFraction, 1).Draw(t, "share")
		callers := rapid.IntRange(1, 40).Draw(t, "callers")
		var s fairShares
		now := simEpoch
		for position := range callers {
			request := Request{
				Tenant: fmt.Sprint(position), Priority: rapid.IntRange(0, priorityLevels-1).Draw(t, "priority"),
				IsRetry: rapid.Bool().Draw(t, "returning"),
			}
			for range rapid.IntRange(1, 60).Draw(t, "requests") {
				s.recordRequest(now, request, admittedFraction)
			}
		}
		now = now.Add(divideInterval)
		s.divide(now, admittedFraction)
		total, admitted := 0.0, 0.0
		fractions := map[*counter]float64{}
		for _, c := range s.active {
			fractions[c] = min(s.limits[c.class]/lowerEstimate(c.value), 1)
			total, admitted = total+c.value, admitted+c.value*fractions[c]
			require.Positive(t, fractions[c])
		}
		require.InDelta(t, admittedFraction*total, admitted, 0.01*total)
		for class := 2; class < classCount; class++ {
			require.LessOrEqual(t, s.fractions[class], s.fractions[class-2])
		}
		for c, fraction := range fractions {
			for other, otherFraction := range fractions {
				if c.class == other.class && c.value <= other.value {
					require.GreaterOrEqual(t, fraction, otherFraction)
				}
			}
		}
	})
}

// TestCountersAreBounded checks that the number of counters is bounded for any number of tenants.
func TestCountersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := newTestLimiter(), simEpoch
		startLimit(l, now)
		request := newRequest()
		for position := range rapid.IntRange(1, 3000).Draw(t, "requests") {
			request.Tenant = fmt.Sprint(position)
			request.Priority = position % 5
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "gap")) * time.Millisecond)
			l.Admit(now, request)
		}
		s := l.services["s"]
		require.LessOrEqual(t, len(s.fairShares.counters), maxCallers)
		require.LessOrEqual(t, len(s.fairShares.active), maxCallers+classCount*sharedCounters)
	})
}

// TestAdmittedFractionStaysInRange checks that the fraction stays within its bounds for any
// observations, and that everything is admitted after two seconds without any.
func TestAdmittedFractionStaysInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := newTestLimiter(), simEpoch
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "gap")) * time.Millisecond)
			backend := rapid.IntRange(0, 5).Draw(t, "backend")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				l.Observe(now, refused(backend))
			case 1:
				l.Observe(now, answered(backend, time.Duration(rapid.IntRange(0, 2000).Draw(t, "took"))*time.Millisecond))
			default:
				l.Admit(now, newRequest())
			}
			if s := l.services["s"]; s != nil {
				require.GreaterOrEqual(t, s.admittedFraction, minAdmittedFraction)
				require.LessOrEqual(t, s.admittedFraction, 1.0)
			}
		}
		now = now.Add(2 * time.Second)
		l.Admit(now, newRequest())
		require.True(t, l.Admit(now.Add(updateInterval), newRequest()).Admitted)
	})
}
