package forward

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
)

// mortal is a client of backends that end under each request, as far as ended says.
type mortal struct {
	scripted
	ended map[string]bool
}

func (m *mortal) HasEnded(_ context.Context, backend directory.Backend) bool {
	return m.ended[backend.ID]
}

func broken(context.Context) Attempt { return Attempt{Outcome: Lost, Broken: true} }

func mortalOf(ends bool) *mortal {
	return &mortal{
		scripted: scripted{answers: map[string]func(context.Context) Attempt{"a": broken, "b": broken, "c": broken, "d": broken, "e": broken}},
		ended:    map[string]bool{"a": ends, "b": ends, "c": ends, "d": ends, "e": ends},
	}
}

func deadlyRequest() *Request {
	return &Request{ID: "1", Target: "/deadly", Deadline: time.Now().Add(time.Minute)}
}

// TestRequestIsHeldBackAfterThreeCrashes: also within its own attempts; others go on. There are
// so many backends that three may be away.
func TestRequestIsHeldBackAfterThreeCrashes(t *testing.T) {
	client := mortalOf(true)
	forwarder := New(client, "z", noSuspects())
	backends := []directory.Backend{backend("a"), backend("b"), backend("c"), backend("d"), backend("e")}
	for number := range 3*quarantine.CrashThreshold - len(backends) {
		id := fmt.Sprint("more-", number)
		client.answers[id], client.ended[id] = broken, true
		backends = append(backends, backend(id))
	}
	catalog := catalogOf(backends...)
	result := forwarder.Do(context.Background(), catalog, route(routing.Repeatable, 5), deadlyRequest())
	require.Equal(t, NoAnswer, result.Reason)
	require.True(t, result.MayHaveRun)
	require.Len(t, client.asked, quarantine.CrashThreshold)
	result = forwarder.Do(context.Background(), catalog, route(routing.Repeatable, 5), deadlyRequest())
	require.Equal(t, Quarantined, result.Reason)
	require.False(t, result.MayHaveRun, "it was sent nowhere")
	require.Empty(t, result.History)
	for id := range client.answers {
		client.answers[id] = status(200)
	}
	other := deadlyRequest()
	other.Target = "/other"
	require.NotNil(t, forwarder.Do(context.Background(), catalog, route(routing.Repeatable, 5), other).Response)
}

// TestResetsAreNoCrashes: backends that break connections and go on serving are not held
// against a request.
func TestResetsAreNoCrashes(t *testing.T) {
	client := mortalOf(false)
	forwarder := New(client, "z", noSuspects())
	catalog := catalogOf(backend("a"), backend("b"), backend("c"), backend("d"), backend("e"))
	for range 3 {
		forwarder.Do(context.Background(), catalog, route(routing.Repeatable, 5), deadlyRequest())
	}
	require.Len(t, client.asked, 15)
}

// TestSuspectsAreNotHedged: a request under which a backend has ended runs at one backend at a
// time.
func TestSuspectsAreNotHedged(t *testing.T) {
	guard := noSuspects()
	guard.RecordFingerprintCrash(deadlyRequest().Content().Fingerprint(), "gone", 0)
	asked := make(chan string, 5)
	client := &scripted{answers: map[string]func(context.Context) Attempt{}}
	for _, id := range []string{"a", "b"} {
		client.answers[id] = func(ctx context.Context) Attempt {
			asked <- id
			return hang(ctx)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	forwarder := New(client, "z", guard)
	done := make(chan Result)
	go func() {
		done <- forwarder.Do(ctx, catalogOf(backend("a"), backend("b")), route(routing.Repeatable, 2), deadlyRequest())
	}()
	<-asked
	// The first hedge would come after minHedge; another request's shows that it has passed.
	other := deadlyRequest()
	other.Target = "/other"
	hedged, stop := context.WithCancel(context.Background())
	go func() {
		for range 2 {
			<-asked
		}
		stop()
	}()
	forwarder.Do(hedged, catalogOf(backend("a"), backend("b")), route(routing.Repeatable, 2), other)
	cancel()
	require.Len(t, (<-done).History, 1)
}

// TestTrialIsSentOnce: a request that is held back and whose trial this process has got is sent
// to one backend, and the next one to none.
func TestTrialIsSentOnce(t *testing.T) {
	fingerprint := deadlyRequest().Content().Fingerprint()
	held := map[quarantine.Fingerprint]quarantine.Suspect{fingerprint: {Fingerprint: fingerprint, Crashes: quarantine.CrashThreshold, Offered: true}}
	trials := 1
	guard := quarantine.NewGuard(quarantine.SharedRecord{
		Suspects: func() map[quarantine.Fingerprint]quarantine.Suspect { return held },
		TakeTrial: func(context.Context, quarantine.Fingerprint) bool {
			trials--
			return trials == 0
		},
	}, time.Now)
	client := mortalOf(true)
	client.answers["a"] = outcome(Refused)
	forwarder := New(client, "z", guard)
	catalog := catalogOf(backend("a"), backend("b"), backend("c"))
	for range 3 {
		forwarder.Do(context.Background(), catalog, route(routing.Repeatable, 3), deadlyRequest())
	}
	ran := slices.DeleteFunc(slices.Clone(client.asked), func(id string) bool { return id == "a" })
	require.Len(t, ran, 1, "what a backend refuses has not run and uses up no trial")
}
