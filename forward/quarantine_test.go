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

// crashingClient is a client of backends that break connections. HasCrashed returns the entry in
// crashed.
type crashingClient struct {
	fakeClient
	crashed map[string]bool
}

func (c *crashingClient) HasCrashed(_ context.Context, backend directory.Backend) bool {
	return c.crashed[backend.ID]
}

func brokenConnection(context.Context) Attempt { return Attempt{Outcome: Lost, Broken: true} }

func newCrashingClient(crashes bool) *crashingClient {
	return &crashingClient{
		fakeClient: fakeClient{answers: map[string]func(context.Context) Attempt{"a": brokenConnection, "b": brokenConnection, "c": brokenConnection, "d": brokenConnection, "e": brokenConnection}},
		crashed:    map[string]bool{"a": crashes, "b": crashes, "c": crashes, "d": crashes, "e": crashes},
	}
}

func crashingRequest() *Request {
	return &Request{ID: "1", Target: "/crashing", Deadline: time.Now().Add(time.Minute)}
}

// A request must be quarantined once it has reached the crash threshold, also by attempts of the same
// call, without effect on others. There are enough backends that three may be unavailable.
func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	client := newCrashingClient(true)
	forwarder := New(client, "z", newGuard())
	backends := []directory.Backend{newBackend("a"), newBackend("b"), newBackend("c"), newBackend("d"), newBackend("e")}
	for number := range 3*quarantine.CrashThreshold - len(backends) {
		id := fmt.Sprint("more-", number)
		client.answers[id], client.crashed[id] = brokenConnection, true
		backends = append(backends, newBackend(id))
	}
	catalog := newCatalog(backends...)
	result := forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 5), crashingRequest())
	require.Equal(t, NoAnswer, result.Reason)
	require.True(t, result.MayHaveRun)
	require.Len(t, client.calls, quarantine.CrashThreshold)
	result = forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 5), crashingRequest())
	require.Equal(t, Quarantined, result.Reason)
	require.False(t, result.MayHaveRun, "it was not sent")
	require.Empty(t, result.History)
	for id := range client.answers {
		client.answers[id] = respondStatus(200)
	}
	other := crashingRequest()
	other.Target = "/other"
	require.NotNil(t, forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 5), other).Response)
}

// A backend that breaks connections but still listens must not count as crashed.
func TestResetsAreNotCrashes(t *testing.T) {
	client := newCrashingClient(false)
	forwarder := New(client, "z", newGuard())
	catalog := newCatalog(newBackend("a"), newBackend("b"), newBackend("c"), newBackend("d"), newBackend("e"))
	for range 3 {
		forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 5), crashingRequest())
	}
	require.Len(t, client.calls, 15)
}

// A request that has crashed a backend must run at one backend at a time.
func TestSuspectsAreNotHedged(t *testing.T) {
	guard := newGuard()
	guard.RecordFingerprintCrash(crashingRequest().Content().Fingerprint(), "gone", 0)
	started := make(chan string, 5)
	client := &fakeClient{answers: map[string]func(context.Context) Attempt{}}
	for _, id := range []string{"a", "b"} {
		client.answers[id] = func(ctx context.Context) Attempt {
			started <- id
			return blockUntilCancelled(ctx)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	forwarder := New(client, "z", guard)
	done := make(chan Result)
	go func() {
		done <- forwarder.Do(ctx, newCatalog(newBackend("a"), newBackend("b")), newRoute(routing.Repeatable, 2), crashingRequest())
	}()
	<-started
	// The first hedge would be sent after minHedgeDelay; the hedge of another request shows that this
	// time has passed.
	other := crashingRequest()
	other.Target = "/other"
	hedged, stop := context.WithCancel(context.Background())
	go func() {
		for range 2 {
			<-started
		}
		stop()
	}()
	forwarder.Do(hedged, newCatalog(newBackend("a"), newBackend("b")), newRoute(routing.Repeatable, 2), other)
	cancel()
	require.Len(t, (<-done).History, 1)
}

// A trial must be sent to one backend only. Refused attempts do not use it up.
func TestTrialIsSentOnce(t *testing.T) {
	fingerprint := crashingRequest().Content().Fingerprint()
	suspects := map[quarantine.Fingerprint]quarantine.Suspect{fingerprint: {Fingerprint: fingerprint, Crashes: quarantine.CrashThreshold, Offered: true}}
	trials := 1
	guard := quarantine.NewGuard(quarantine.SharedRecord{
		Suspects: func() map[quarantine.Fingerprint]quarantine.Suspect { return suspects },
		TakeTrial: func(context.Context, quarantine.Fingerprint) bool {
			trials--
			return trials == 0
		},
	}, time.Now)
	client := newCrashingClient(true)
	client.answers["a"] = respondOutcome(Refused)
	forwarder := New(client, "z", guard)
	catalog := newCatalog(newBackend("a"), newBackend("b"), newBackend("c"))
	for range 3 {
		forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest())
	}
	ran := slices.DeleteFunc(slices.Clone(client.calls), func(id string) bool { return id == "a" })
	require.Len(t, ran, 1, "a refused attempt did not run and does not use up the trial")
}
