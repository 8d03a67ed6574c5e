package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
)

// newCrashingBackends returns backends b-0, b-1 and so on that crash with each request.
func newCrashingBackends(count int) (*crashingClient, []directory.Backend) {
	client := newCrashingClient(true)
	var backends []directory.Backend
	for number := range count {
		id := fmt.Sprint("b-", number)
		client.answers[id], client.crashed[id] = brokenConnection, true
		backends = append(backends, newBackend(id))
	}
	return client, backends
}

// newSuspectCatalog returns a catalog in which the requests are suspects that have crashed the given
// backends, and a guard that uses it.
func newSuspectCatalog(backends []directory.Backend, crashed []string, requests ...*Request) (*directory.Catalog, *quarantine.Guard) {
	delta := directory.Delta{Revision: 1, Full: true, Backends: backends}
	for _, request := range requests {
		delta.Suspects = append(delta.Suspects, quarantine.Suspect{Fingerprint: request.Content().Fingerprint(), Crashes: 1, Ended: crashed})
	}
	catalog := directory.NewCatalog().With(delta)
	guard := quarantine.NewGuard(quarantine.SharedRecord{
		Suspects: func() map[quarantine.Fingerprint]quarantine.Suspect { return catalog.Suspects },
	}, time.Now)
	return catalog, guard
}

func requestTo(target string) *Request {
	return &Request{ID: "1", Target: target, Deadline: time.Now().Add(time.Minute)}
}

// A suspect must not be sent again, by a retry or a later request, if its second crash would make two
// of four backends unavailable.
func TestNoRetryWhileTooManyAreUnavailable(t *testing.T) {
	client, backends := newCrashingBackends(4)
	forwarder := New(client, "z", newGuard())
	for range 3 {
		forwarder.Do(context.Background(), newCatalog(backends...), newRoute(routing.Repeatable, 3), crashingRequest())
	}
	require.Len(t, client.calls, 1)
	result := forwarder.Do(context.Background(), newCatalog(backends...), newRoute(routing.Repeatable, 3), crashingRequest())
	require.Equal(t, Postponed, result.Reason)
	require.False(t, result.MayHaveRun)
}

// Suspects must be postponed while the directory lists too many crashed backends. Other requests must
// be served without those backends; the suspect is sent again once they are removed.
func TestSuspectsArePostponedWhileTooManyAreUnavailable(t *testing.T) {
	client, backends := newCrashingBackends(6)
	for id := range client.answers {
		client.answers[id] = respondStatus(200)
	}
	crashed := []string{"b-0", "b-1"}
	catalog, guard := newSuspectCatalog(backends, crashed, crashingRequest())
	forwarder := New(client, "z", guard)
	result := forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest())
	require.Equal(t, Postponed, result.Reason)
	require.Empty(t, client.calls)
	for number := range 50 {
		result = forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), requestTo(fmt.Sprint("/other/", number)))
		require.NotNil(t, result.Response)
		require.NotContains(t, crashed, result.Backend)
	}
	catalog, _ = newSuspectCatalog(backends[1:], crashed, crashingRequest())
	result = forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest())
	require.Equal(t, Postponed, result.Reason, "b-1 is one of five backends, and one may be unavailable")
	catalog, _ = newSuspectCatalog(backends[2:], crashed, crashingRequest())
	result = forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest())
	require.NotNil(t, result.Response)
}

// TestSuspectsWaitBrieflyForACrashedBackend guards against requests that wait for a backend which does not come back
// after its crash: with few backends, one that stays registered would hold back all suspects.
func TestSuspectsWaitBrieflyForACrashedBackend(t *testing.T) {
	client, backends := newCrashingBackends(3)
	for id := range client.answers {
		client.answers[id] = respondStatus(200)
	}
	catalog, guard := newSuspectCatalog(backends, []string{"b-0"}, crashingRequest())
	forwarder := New(client, "z", guard)
	result := forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest())
	require.Equal(t, Postponed, result.Reason)
	forwarder.mutex.Lock()
	forwarder.crashedSince["b-0"] = time.Now().Add(-restartTime)
	forwarder.mutex.Unlock()
	result = forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest())
	require.NotNil(t, result.Response)
	require.NotEqual(t, "b-0", result.Backend)
	withoutCrashed, _ := newSuspectCatalog(backends[1:], nil, crashingRequest())
	forwarder.Forget(withoutCrashed)
	require.Empty(t, forwarder.crashedSince)
}

// A suspect that is a stream must be postponed as well.
func TestSuspectStreamIsPostponed(t *testing.T) {
	client, backends := newCrashingBackends(3)
	catalog, guard := newSuspectCatalog(backends, []string{"b-0"}, crashingRequest())
	forwarder := New(client, "z", guard)
	result := forwarder.Stream(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest(), nil)
	require.Equal(t, Postponed, result.Reason)
	require.Empty(t, client.calls)
}

// However many suspects and processes there are, suspects must not run at more backends than may be
// unavailable.
func TestSuspectsRunAtFewBackends(t *testing.T) {
	const suspects, processes = 20, 3
	client, backends := newCrashingBackends(9)
	started := make(chan string, suspects*processes)
	for _, backend := range backends {
		client.answers[backend.ID] = func(ctx context.Context) Attempt {
			started <- backend.ID
			return blockUntilCancelled(ctx)
		}
	}
	var requests []*Request
	for number := range suspects {
		requests = append(requests, requestTo(fmt.Sprint("/suspect/", number)))
	}
	catalog, guard := newSuspectCatalog(backends, []string{"gone"}, requests...)
	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan Result, suspects*processes)
	for range processes {
		forwarder := New(client, "z", guard)
		for _, request := range requests {
			go func() { results <- forwarder.Do(ctx, catalog, newRoute(routing.Repeatable, 3), request) }()
		}
	}
	used := map[string]bool{}
	for range suspects * processes {
		used[<-started] = true
	}
	cancel()
	for range suspects * processes {
		<-results
	}
	require.LessOrEqual(t, len(used), quarantine.MaxUnavailable(len(backends)))
}

// The counts of a backend must be released when a suspect's attempt ends.
func TestFinishedSuspectsReleaseBackends(t *testing.T) {
	client, backends := newCrashingBackends(3)
	for id := range client.answers {
		client.answers[id] = respondOutcome(Refused)
	}
	catalog, guard := newSuspectCatalog(backends, []string{"gone"}, crashingRequest())
	forwarder := New(client, "z", guard)
	for range 3 {
		forwarder.Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest())
	}
	for _, backend := range backends {
		require.Zero(t, forwarder.state(backend.ID).suspects)
		require.Zero(t, forwarder.state(backend.ID).inFlight)
	}
}

// A suspect that does not reach a backend must not be retried: the backend may have crashed under
// another suspect without a report yet.
func TestUnreachedSuspectIsNotRetried(t *testing.T) {
	_, backends := newCrashingBackends(9)
	client := &fakeStreamClient{open: func(string, string) OpenedStream { return OpenedStream{Outcome: NotSent} }}
	client.answers = map[string]func(context.Context) Attempt{}
	for _, backend := range backends {
		client.answers[backend.ID] = respondOutcome(NotSent)
	}
	catalog, guard := newSuspectCatalog(backends, []string{"gone"}, crashingRequest())
	result := New(client, "z", guard).Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest())
	require.Len(t, client.calls, 1)
	require.False(t, result.MayHaveRun)
	result = New(client, "z", guard).Stream(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest(), &recordingSink{})
	require.Len(t, client.opened, 1)
	require.False(t, result.MayHaveRun)
}

// A process must not request a trial that it cannot send.
func TestNoTrialWhileTooManyAreUnavailable(t *testing.T) {
	client, backends := newCrashingBackends(3)
	fingerprint := crashingRequest().Content().Fingerprint()
	catalog := directory.NewCatalog().With(directory.Delta{Revision: 1, Full: true, Backends: backends, Suspects: []quarantine.Suspect{
		{Fingerprint: fingerprint, Crashes: quarantine.CrashThreshold, Ended: []string{"b-0"}, Offered: true},
	}})
	trials := 0
	guard := quarantine.NewGuard(quarantine.SharedRecord{
		Suspects: func() map[quarantine.Fingerprint]quarantine.Suspect { return catalog.Suspects },
		TakeTrial: func(context.Context, quarantine.Fingerprint) bool {
			trials++
			return true
		},
	}, time.Now)
	result := New(client, "z", guard).Do(context.Background(), catalog, newRoute(routing.Repeatable, 3), crashingRequest())
	require.Equal(t, Quarantined, result.Reason)
	require.Zero(t, trials)
}
