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

// fleet returns so many backends, b-0 and on, that end under each request.
func fleet(backends int) (*mortal, []directory.Backend) {
	client := mortalOf(true)
	var listed []directory.Backend
	for number := range backends {
		id := fmt.Sprint("b-", number)
		client.answers[id], client.ended[id] = broken, true
		listed = append(listed, backend(id))
	}
	return client, listed
}

// suspected returns a catalog of the backends in which the requests are suspects, under which
// those with the IDs have ended, and a guard that goes by it.
func suspected(backends []directory.Backend, ended []string, requests ...*Request) (*directory.Catalog, *quarantine.Guard) {
	delta := directory.Delta{Revision: 1, Full: true, Backends: backends}
	for _, request := range requests {
		delta.Suspects = append(delta.Suspects, quarantine.Suspect{Fingerprint: request.Content().Fingerprint(), Crashes: 1, Ended: ended})
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

// TestLostAttemptIsNotRepeatedWhileTooManyAreAway: the request's second attempt would take a
// second backend of four away. It is told at once, and one that comes later is not sent.
func TestLostAttemptIsNotRepeatedWhileTooManyAreAway(t *testing.T) {
	client, backends := fleet(4)
	forwarder := New(client, "z", noSuspects())
	for range 3 {
		forwarder.Do(context.Background(), catalogOf(backends...), route(routing.Repeatable, 3), deadlyRequest())
	}
	require.Len(t, client.asked, 1)
	result := forwarder.Do(context.Background(), catalogOf(backends...), route(routing.Repeatable, 3), deadlyRequest())
	require.Equal(t, Postponed, result.Reason)
	require.False(t, result.MayHaveRun)
}

// TestSuspectsWaitWhileTooManyAreAway: as the directory has told. Others are served meanwhile,
// and never at those that have ended; the suspect goes on once a backend is listed no more.
func TestSuspectsWaitWhileTooManyAreAway(t *testing.T) {
	client, backends := fleet(6)
	for id := range client.answers {
		client.answers[id] = status(200)
	}
	ended := []string{"b-0", "b-1"}
	catalog, guard := suspected(backends, ended, deadlyRequest())
	forwarder := New(client, "z", guard)
	result := forwarder.Do(context.Background(), catalog, route(routing.Repeatable, 3), deadlyRequest())
	require.Equal(t, Postponed, result.Reason)
	require.Empty(t, client.asked)
	for number := range 50 {
		result = forwarder.Do(context.Background(), catalog, route(routing.Repeatable, 3), requestTo(fmt.Sprint("/other/", number)))
		require.NotNil(t, result.Response)
		require.NotContains(t, ended, result.Backend)
	}
	catalog, _ = suspected(backends[1:], ended, deadlyRequest())
	result = forwarder.Do(context.Background(), catalog, route(routing.Repeatable, 3), deadlyRequest())
	require.Equal(t, Postponed, result.Reason, "one of five is a third at the most")
	catalog, _ = suspected(backends[2:], ended, deadlyRequest())
	result = forwarder.Do(context.Background(), catalog, route(routing.Repeatable, 3), deadlyRequest())
	require.NotNil(t, result.Response)
}

// TestSuspectsOfAStreamWait: a suspect that is a stream is postponed like others.
func TestSuspectsOfAStreamWait(t *testing.T) {
	client, backends := fleet(3)
	catalog, guard := suspected(backends, []string{"b-0"}, deadlyRequest())
	forwarder := New(client, "z", guard)
	result := forwarder.Stream(context.Background(), catalog, route(routing.Repeatable, 3), deadlyRequest(), nil)
	require.Equal(t, Postponed, result.Reason)
	require.Empty(t, client.asked)
}

// TestSuspectsRunAtFewBackends: however many suspects are under way at however many processes,
// they run at no more backends than may be away.
func TestSuspectsRunAtFewBackends(t *testing.T) {
	const suspects, processes = 20, 3
	client, backends := fleet(9)
	asked := make(chan string, suspects*processes)
	for _, one := range backends {
		client.answers[one.ID] = func(ctx context.Context) Attempt {
			asked <- one.ID
			return hang(ctx)
		}
	}
	var requests []*Request
	for number := range suspects {
		requests = append(requests, requestTo(fmt.Sprint("/suspect/", number)))
	}
	catalog, guard := suspected(backends, []string{"gone"}, requests...)
	ctx, cancel := context.WithCancel(context.Background())
	ends := make(chan Result, suspects*processes)
	for range processes {
		forwarder := New(client, "z", guard)
		for _, request := range requests {
			go func() { ends <- forwarder.Do(ctx, catalog, route(routing.Repeatable, 3), request) }()
		}
	}
	wards := map[string]bool{}
	for range suspects * processes {
		wards[<-asked] = true
	}
	cancel()
	for range suspects * processes {
		<-ends
	}
	require.LessOrEqual(t, len(wards), quarantine.MaxUnavailable(len(backends)))
}

// TestBackendsOfSuspectsAreLeft: a suspect that has ended leaves its ward to others.
func TestBackendsOfSuspectsAreLeft(t *testing.T) {
	client, backends := fleet(3)
	for id := range client.answers {
		client.answers[id] = outcome(Refused)
	}
	catalog, guard := suspected(backends, []string{"gone"}, deadlyRequest())
	forwarder := New(client, "z", guard)
	for range 3 {
		forwarder.Do(context.Background(), catalog, route(routing.Repeatable, 3), deadlyRequest())
	}
	for _, one := range backends {
		require.Zero(t, forwarder.state(one.ID).suspects)
		require.Zero(t, forwarder.state(one.ID).inFlight)
	}
}

// TestSuspectThatReachesNobodyAsksNoOther: the ward may have ended under another suspect that
// nobody has told of.
func TestSuspectThatReachesNobodyAsksNoOther(t *testing.T) {
	_, backends := fleet(9)
	client := &streamer{open: func(string, string) Opened { return Opened{Outcome: NotSent} }}
	client.answers = map[string]func(context.Context) Attempt{}
	for _, one := range backends {
		client.answers[one.ID] = outcome(NotSent)
	}
	catalog, guard := suspected(backends, []string{"gone"}, deadlyRequest())
	result := New(client, "z", guard).Do(context.Background(), catalog, route(routing.Repeatable, 3), deadlyRequest())
	require.Len(t, client.asked, 1)
	require.False(t, result.MayHaveRun)
	result = New(client, "z", guard).Stream(context.Background(), catalog, route(routing.Repeatable, 3), deadlyRequest(), &recorder{})
	require.Len(t, client.opened, 1)
	require.False(t, result.MayHaveRun)
}

// TestTrialIsNotTakenWhileTooManyAreAway: it is left to whoever can make it.
func TestTrialIsNotTakenWhileTooManyAreAway(t *testing.T) {
	client, backends := fleet(3)
	fingerprint := deadlyRequest().Content().Fingerprint()
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
	result := New(client, "z", guard).Do(context.Background(), catalog, route(routing.Repeatable, 3), deadlyRequest())
	require.Equal(t, Quarantined, result.Reason)
	require.Zero(t, trials)
}
