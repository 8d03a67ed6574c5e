package server

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/mux"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/transport"
)

const (
	// waitTimeout bounds waits for conditions that should take far less time.
	waitTimeout  = time.Minute
	pollInterval = 10 * time.Millisecond
	// firstIndex is the index of the first entry after those that the initial members begin with.
	firstIndex = 2
)

// scriptedLeader is a fake leader of a directory with two replicas. It sends the entries that a test chooses,
// and answers calls with a revision.
type scriptedLeader struct {
	address  string
	follower string
	// id is the leader's ID, 1 or 2; the follower has the other.
	id        consensus.ReplicaID
	transport *transport.Transport
	revision  atomic.Uint64
	// wasQueried is set once the leader was queried for the newest revision, and queries counts how often.
	wasQueried atomic.Bool
	queries    atomic.Int64
	// unconfirmed makes the leader fail calls, as if no quorum confirmed it.
	unconfirmed atomic.Bool
}

func listenLoopback(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

func newScriptedLeader(t *testing.T, listener net.Listener, follower string, logger *zerolog.Logger) *scriptedLeader {
	leader := &scriptedLeader{address: listener.Addr().String(), follower: follower, id: 1}
	if leader.address > follower {
		leader.id = 2
	}
	leader.transport = transport.New(logger, intake.Unlimited(), func(protocol.Message) {})
	t.Cleanup(leader.transport.Close)
	router := mux.NewRouter()
	router.Handle(transport.Path, leader.transport)
	router.HandleFunc(directoryCallPath, func(response http.ResponseWriter, request *http.Request) {
		var call directoryCall
		if readTestCall(response, request, &call) && call.Newest {
			leader.wasQueried.Store(true)
			leader.queries.Add(1)
		}
		if leader.unconfirmed.Load() {
			http.Error(response, "no quorum", http.StatusServiceUnavailable)
			return
		}
		writeCBOR(response, directoryAnswer{Leader: leader.address, Revision: leader.revision.Load()})
	})
	httpServer := NewIntake(config.Process{}).NewServer(router, intake.ServerOptions{Weight: mainWeight})
	go httpServer.Serve(listener)
	t.Cleanup(func() { httpServer.Close() })
	return leader
}

// send sends entries from the first index on, which are committed up to the commit index.
func (l *scriptedLeader) send(first, commit uint64, commands ...directory.Command) {
	var entries []consensus.Entry
	for position, command := range commands {
		entries = append(entries, consensus.Entry{Term: 1, Index: first + uint64(position), Kind: consensus.EntryNormal, Data: command.Encode()})
	}
	l.transport.Send(l.follower, protocol.Message{From: l.address, Consensus: &consensus.Message{
		Kind: consensus.MessageAppend, From: l.id, To: 3 - l.id, Term: 1, Index: first - 1, LogTerm: 1, Commit: commit, Entries: entries,
	}})
}

func putVersion(version uint64) directory.Command {
	return directory.Command{PutConfiguration: &directory.PutConfiguration{Configuration: routing.Configuration{Version: version}}}
}

// startFollower runs a replica that forms a group with the leader at the address.
func startFollower(t *testing.T, internal net.Listener, leader string, logger *zerolog.Logger) *Directory {
	settings := config.DefaultDirectory()
	settings.InternalAddress = internal.Addr().String()
	settings.DataFolder = t.TempDir()
	settings.FirstStart = true
	settings.Peers = []string{leader, settings.InternalAddress}
	process := settings.Process
	d, err := NewDirectory(settings, NewSeeds(process, func() (config.Process, error) { return process, nil }, logger), nil, logger)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(ctx, internal)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	return d
}

// watch asks the replica for the changes after the revision. It returns nil if the replica rejects the
// watch.
func watch(t *testing.T, address string, since uint64) *directory.Delta {
	response, err := http.Get("http://" + address + directoryWatchPath + "?since=" + strconv.FormatUint(since, 10))
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil
	}
	var delta directory.Delta
	require.NoError(t, cbor.NewDecoder(response.Body).Decode(&delta))
	return &delta
}

// TestFirstWatchIsConfirmed checks that a stale follower sends a process without a copy no configuration
// before it holds everything that the leader has confirmed.
func TestFirstWatchIsConfirmed(t *testing.T) {
	logger := zerolog.Nop()
	internal, leaderListener := listenLoopback(t), listenLoopback(t)
	leader := newScriptedLeader(t, leaderListener, internal.Addr().String(), &logger)
	startFollower(t, internal, leader.address, &logger)
	machine := directory.NewMachine()
	machine.Apply(putVersion(1).Encode())
	oldest := machine.Revision()
	machine.Apply(putVersion(2).Encode())
	machine.Apply(putVersion(3).Encode())
	leader.revision.Store(machine.Revision())
	require.Positive(t, oldest)

	hasVersion2 := func() bool {
		leader.send(firstIndex, firstIndex+1, putVersion(1), putVersion(2))
		delta := watch(t, internal.Addr().String(), oldest)
		return delta != nil && delta.Version == 2
	}
	require.Eventually(t, hasVersion2, waitTimeout, pollInterval, "the follower has applied version 2")
	answered := make(chan *directory.Delta, 1)
	go func() {
		for {
			if delta := watch(t, internal.Addr().String(), 0); delta != nil {
				answered <- delta
				return
			}
		}
	}()
	require.Eventually(t, func() bool {
		leader.send(firstIndex, firstIndex+1, putVersion(1), putVersion(2))
		return leader.wasQueried.Load() || len(answered) > 0
	}, waitTimeout, pollInterval)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		leader.send(firstIndex, firstIndex+2, putVersion(1), putVersion(2), putVersion(3))
		select {
		case delta := <-answered:
			require.Equal(t, uint64(3), delta.Version, "the first answer has the newest version")
			return
		case <-ticker.C:
		}
	}
}

// lead keeps sending the entries until the test ends, which prevents an election by the follower.
func (l *scriptedLeader) lead(t *testing.T, commands ...directory.Command) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			l.send(firstIndex, firstIndex+uint64(len(commands))-1, commands...)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
}

// startReplicaWithLeader runs a replica with one configuration, and returns its address, its leader and
// its revision.
func startReplicaWithLeader(t *testing.T) (string, *scriptedLeader, uint64) {
	d, leader, revision := startDirectoryWithLeader(t, putVersion(1))
	return d.settings.InternalAddress, leader, revision
}

// startDirectoryWithLeader runs a replica that has applied the commands.
func startDirectoryWithLeader(t *testing.T, commands ...directory.Command) (*Directory, *scriptedLeader, uint64) {
	logger := zerolog.Nop()
	internal, leaderListener := listenLoopback(t), listenLoopback(t)
	leader := newScriptedLeader(t, leaderListener, internal.Addr().String(), &logger)
	d := startFollower(t, internal, leader.address, &logger)
	machine := directory.NewMachine()
	for _, command := range commands {
		machine.Apply(command.Encode())
	}
	leader.revision.Store(machine.Revision())
	leader.lead(t, commands...)
	address := internal.Addr().String()
	holds := func() bool {
		delta := watch(t, address, 0)
		return delta != nil && delta.Revision == machine.Revision()
	}
	require.Eventually(t, holds, waitTimeout, pollInterval)
	return d, leader, machine.Revision()
}

// TestStaleReplicaRejectsWatches checks that a replica without everything that its leader has
// acknowledged does not answer that nothing has changed.
func TestStaleReplicaRejectsWatches(t *testing.T) {
	address, leader, revision := startReplicaWithLeader(t)
	unchanged := func() bool { return watch(t, address, revision) != nil }
	require.Eventually(t, unchanged, waitTimeout, pollInterval, "an up-to-date replica answers")
	leader.revision.Store(revision + 1)
	// The query before the change may just have been answered.
	watch(t, address, revision)
	for range 3 {
		require.Nil(t, watch(t, address, revision), "a stale replica")
	}
	leader.revision.Store(revision)
	require.Eventually(t, unchanged, waitTimeout, pollInterval, "the replica is up to date again")
}

// TestUnconfirmedLeaderRejectsWatches checks that a replica does not answer that nothing has changed if
// no quorum confirms its leader.
func TestUnconfirmedLeaderRejectsWatches(t *testing.T) {
	address, leader, revision := startReplicaWithLeader(t)
	leader.unconfirmed.Store(true)
	watch(t, address, revision)
	for range 3 {
		require.Nil(t, watch(t, address, revision))
	}
}

// TestOneConfirmationServesAllWatches checks that the number of queries to the leader does not grow with
// the watches.
func TestOneConfirmationServesAllWatches(t *testing.T) {
	address, leader, revision := startReplicaWithLeader(t)
	const watches = 50
	queriesBefore := leader.queries.Load()
	var running sync.WaitGroup
	for range watches {
		running.Go(func() { watch(t, address, revision) })
	}
	running.Wait()
	maxQueries := int64(plainWatchTimeout/readConfirmInterval) + 2
	require.LessOrEqual(t, leader.queries.Load()-queriesBefore, maxQueries)
}

// keepalivesAndAnswer returns the number of keepalives in an answer to a watch, and the content after
// them.
func keepalivesAndAnswer(t *testing.T, address string, since uint64, members string) (int, []byte) {
	response, err := http.Get(watchURL(address, since, members))
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	content := bytes.TrimLeft(body, string(watchKeepalive))
	return len(body) - len(content), content
}

// TestWatchSendsKeepalives checks that a watch sends keepalives before the answer, and that a stale
// replica ends it without one.
func TestWatchSendsKeepalives(t *testing.T) {
	address, leader, revision := startReplicaWithLeader(t)
	var members string
	isAnswered := func() bool {
		keepalives, content := keepalivesAndAnswer(t, address, revision, "other")
		var delta directory.Delta
		if len(content) == 0 || decodeInternal(content, &delta) != nil {
			return false
		}
		require.Positive(t, keepalives)
		require.Equal(t, revision, delta.Revision)
		require.Len(t, delta.Replicas, 2)
		members = membersDigest(delta.Replicas)
		return true
	}
	require.Eventually(t, isAnswered, waitTimeout, pollInterval, "a watcher that knows other members is answered")
	leader.revision.Store(revision + 1)
	keepalivesAndAnswer(t, address, revision, members)
	_, content := keepalivesAndAnswer(t, address, revision, members)
	require.Empty(t, content)
}

func watchURL(address string, since uint64, members string) string {
	return "http://" + address + directoryWatchPath + "?since=" + strconv.FormatUint(since, 10) + "&" + watchMembersParameter + "=" + members
}

// TestScopeChangeIsAnsweredAtOnce checks that a watcher whose scope changes gets its backends although
// the revision is the same, also while a watch is open.
func TestScopeChangeIsAnsweredAtOnce(t *testing.T) {
	backend := directory.Backend{ID: "b", Service: "s", Address: "10.0.0.1:80", Slots: 1}
	d, _, revision := startDirectoryWithLeader(t, putVersion(1), directory.Command{PutBackend: &backend})
	w := newTestWatcher(t, d.settings.InternalAddress)
	var followsBackends atomic.Bool
	w.scope = func() directory.Scope {
		if followsBackends.Load() {
			return directory.ScopeAll
		}
		return directory.ScopeNone
	}
	runWatcher(t, w)
	holds := func(backends int) func() bool {
		return func() bool { return w.Catalog().Revision == revision && w.Catalog().BackendCount() == backends }
	}
	require.Eventually(t, holds(0), waitTimeout, pollInterval)
	followsBackends.Store(true)
	require.Eventually(t, holds(1), waitTimeout, pollInterval)
	followsBackends.Store(false)
	require.Eventually(t, holds(0), waitTimeout, pollInterval)
}

// TestTimedOutWatchIsAnswered checks that a watch is answered at its timeout although changes were
// outside its scope, but not by a replica that is behind the watcher.
func TestTimedOutWatchIsAnswered(t *testing.T) {
	backend := directory.Backend{ID: "b", Service: "s", Address: "10.0.0.1:80", Slots: 1}
	d, _, revision := startDirectoryWithLeader(t, putVersion(1), directory.Command{PutBackend: &backend})
	answerTimedOut := func(watch directory.Watch) *directory.Delta {
		recorder := httptest.NewRecorder()
		d.answerTimedOut(&watchAnswer{response: recorder, members: "m"}, watch)
		if recorder.Code != http.StatusOK {
			return nil
		}
		var delta directory.Delta
		require.NoError(t, decodeInternal(recorder.Body.Bytes(), &delta))
		return &delta
	}
	none := string(directory.ScopeNone)
	var answered *directory.Delta
	require.Eventually(t, func() bool {
		answered = answerTimedOut(directory.Watch{Since: revision - 1, Scope: directory.ScopeNone, Held: none})
		return answered != nil
	}, waitTimeout, pollInterval)
	require.Equal(t, revision, answered.Revision)
	require.Equal(t, uint64(1), answered.Version)
	require.Equal(t, none, answered.Held)
	require.True(t, answered.IsEmpty())
	require.Nil(t, answerTimedOut(directory.Watch{Since: revision + 1}), "the watcher is ahead")
	require.Nil(t, answerTimedOut(directory.Watch{}), "a first answer needs a confirmed revision")
}
