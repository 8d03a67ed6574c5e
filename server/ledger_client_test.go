package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/ledger"
)

// fakeStore answers ledger calls like a member that holds some results.
type fakeStore struct {
	isLeader bool
	results  int
	isBroken atomic.Bool
	calls    atomic.Int64
	address  string
}

func (s *fakeStore) serve(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		var call ledgerCall
		if !readTestCall(response, request, &call) {
			return
		}
		s.calls.Add(1)
		if s.isBroken.Load() {
			http.Error(response, "broken", http.StatusInternalServerError)
			return
		}
		if !s.isLeader && !call.Results.Near {
			writeCBOR(response, ledgerAnswer{NotLeader: true})
			return
		}
		answer := ledgerAnswer{Found: true, Total: 10}
		for range max(s.results-call.Results.After, 0) {
			answer.Results = append(answer.Results, ledger.Result{Text: "text"})
		}
		writeCBOR(response, answer)
	}))
	t.Cleanup(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
}

// newZonedClient returns a client with a store in its zone that lags behind the leader in another zone.
func newZonedClient(t *testing.T) (client *ledgerClient, local, remote *fakeStore) {
	local, remote = &fakeStore{results: 3}, &fakeStore{results: 5, isLeader: true}
	machine := directory.NewMachine()
	var members []consensus.Member
	for number, store := range []*fakeStore{local, remote} {
		store.serve(t)
		id := consensus.ReplicaID(number + 1)
		machine.Apply(directory.Command{PutStore: &directory.Store{
			Name: store.address, Address: store.address, Zone: []string{"local", "remote"}[number], Replica: id,
		}}.Encode())
		members = append(members, consensus.Member{ID: id, Address: store.address, Voter: true})
	}
	machine.Apply(directory.Command{FormGroup: &directory.Group{Members: members, Number: 1}}.Encode())
	logger := zerolog.Nop()
	seeds := NewSeeds(config.Process{}, func() (config.Process, error) { return config.Process{}, nil }, &logger)
	watcher := NewWatcher(seeds, "z", 0, &logger)
	watcher.apply(watcher.Catalog(), machine.DeltaSince(0))
	return newLedgerClient(watcher, "local", intake.Unlimited(), &logger), local, remote
}

func readResults(t *testing.T, client *ledgerClient, after int, wait time.Duration) int {
	answer, _, err := client.results(context.Background(), resultsCall{Step: "s", After: after, Wait: wait})
	require.NoError(t, err)
	return len(answer.Results)
}

// TestResultsComeFromLocalZone checks that results are read from the local replica if it holds them, and
// that missing or awaited ones are read from the leader.
func TestResultsComeFromLocalZone(t *testing.T) {
	client, local, remote := newZonedClient(t)
	require.Equal(t, 3, readResults(t, client, 0, 0))
	require.Zero(t, remote.calls.Load())
	require.Equal(t, 2, readResults(t, client, 3, 0))
	require.Equal(t, 5, readResults(t, client, 0, time.Millisecond))
	require.EqualValues(t, 2, remote.calls.Load())
	require.Positive(t, local.calls.Load())
}

// TestUnavailableLocalStoreIsSkipped checks that the leader answers if the local store fails, which is then
// not called for a while.
func TestUnavailableLocalStoreIsSkipped(t *testing.T) {
	client, local, _ := newZonedClient(t)
	local.isBroken.Store(true)
	require.Equal(t, 5, readResults(t, client, 0, 0))
	require.True(t, client.localRetryAt.After(time.Now()))
	require.Empty(t, client.localMember())
}
