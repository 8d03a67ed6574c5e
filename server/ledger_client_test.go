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
	"github.com/dillchute/dillchute/ledger"
)

// fakeStore answers calls of the ledger as a member would that holds some results.
type fakeStore struct {
	leads   bool
	results int
	broken  atomic.Bool
	calls   atomic.Int64
	address string
}

func (s *fakeStore) serve(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		var call ledgerCall
		if !readCBOR(response, request, &call) {
			return
		}
		s.calls.Add(1)
		if s.broken.Load() {
			http.Error(response, "broken", http.StatusInternalServerError)
			return
		}
		if !s.leads && !call.Results.Near {
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

// nearAndFar returns a client in a zone whose store trails that of another zone,
// which leads.
func nearAndFar(t *testing.T) (client *ledgerClient, near, far *fakeStore) {
	near, far = &fakeStore{results: 3}, &fakeStore{results: 5, leads: true}
	machine := directory.NewMachine()
	var members []consensus.Member
	for number, store := range []*fakeStore{near, far} {
		store.serve(t)
		id := consensus.ReplicaID(number + 1)
		machine.Apply(directory.Command{PutStore: &directory.Store{
			Name: store.address, Address: store.address, Zone: []string{"near", "far"}[number], Replica: id,
		}}.Encode())
		members = append(members, consensus.Member{ID: id, Address: store.address, Voter: true})
	}
	machine.Apply(directory.Command{FormGroup: &directory.Group{Members: members, Number: 1}}.Encode())
	logger := zerolog.Nop()
	seeds := NewSeeds(config.Process{}, func() (config.Process, error) { return config.Process{}, nil }, &logger)
	watcher := NewWatcher(seeds, "z", 0, &logger)
	watcher.apply(watcher.Catalog(), machine.DeltaSince(0))
	return newLedgerClient(watcher, "near", &logger), near, far
}

func readResults(t *testing.T, client *ledgerClient, after int, wait time.Duration) int {
	answer, _, err := client.results(context.Background(), resultsCall{Step: "s", After: after, Wait: wait})
	require.NoError(t, err)
	return len(answer.Results)
}

// TestResultsComeFromTheOwnZone: what the near replica has is read there; what it
// has not, and what is waited for, comes from the leader.
func TestResultsComeFromTheOwnZone(t *testing.T) {
	client, near, far := nearAndFar(t)
	require.Equal(t, 3, readResults(t, client, 0, 0))
	require.Zero(t, far.calls.Load())
	require.Equal(t, 2, readResults(t, client, 3, 0))
	require.Equal(t, 5, readResults(t, client, 0, time.Millisecond))
	require.EqualValues(t, 2, far.calls.Load())
	require.Positive(t, near.calls.Load())
}

// TestBrokenNearStoreIsLeftAlone: the leader answers instead, and the near one is
// not asked again for a while.
func TestBrokenNearStoreIsLeftAlone(t *testing.T) {
	client, near, _ := nearAndFar(t)
	near.broken.Store(true)
	require.Equal(t, 5, readResults(t, client, 0, 0))
	require.True(t, client.nearAfter.After(time.Now()))
	require.Empty(t, client.nearMember())
}
