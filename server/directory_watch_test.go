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
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/transport"
)

const (
	// watchSoon bounds what should take far less.
	watchSoon     = time.Minute
	watchInterval = 10 * time.Millisecond
	// firstIndex is that of the first entry after those that founders begin with.
	firstIndex = 2
)

// scriptedLeader is a stand-in of the leader of a directory of two replicas. It
// sends what a test wants, and answers calls with a revision.
type scriptedLeader struct {
	address  string
	follower string
	// id is the leader's identity, 1 or 2; the follower has the other.
	id       consensus.ReplicaID
	sender   *transport.Transport
	revision atomic.Uint64
	// asked is set once the leader has been asked for the newest revision, and questions
	// counts how often.
	asked     atomic.Bool
	questions atomic.Int64
	// unconfirmed has the leader say that no quorum confirms it.
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
	leader.sender = transport.New(logger, func(protocol.Message) {})
	t.Cleanup(leader.sender.Close)
	router := mux.NewRouter()
	router.Handle(transport.Path, leader.sender)
	router.HandleFunc(directoryCallPath, func(response http.ResponseWriter, request *http.Request) {
		var call directoryCall
		if readCBOR(response, request, &call) && call.Newest {
			leader.asked.Store(true)
			leader.questions.Add(1)
		}
		if leader.unconfirmed.Load() {
			http.Error(response, "no quorum", http.StatusServiceUnavailable)
			return
		}
		writeCBOR(response, directoryAnswer{Leader: leader.address, Revision: leader.revision.Load()})
	})
	served := newHTTPServer(router)
	go served.Serve(listener)
	t.Cleanup(func() { served.Close() })
	return leader
}

// send sends entries from the index on, of which those up to the commit are committed.
func (l *scriptedLeader) send(first, commit uint64, commands ...directory.Command) {
	var entries []consensus.Entry
	for position, command := range commands {
		entries = append(entries, consensus.Entry{Term: 1, Index: first + uint64(position), Kind: consensus.EntryNormal, Data: command.Encode()})
	}
	l.sender.Send(l.follower, protocol.Message{From: l.address, Consensus: &consensus.Message{
		Kind: consensus.MessageAppend, From: l.id, To: 3 - l.id, Term: 1, Index: first - 1, LogTerm: 1, Commit: commit, Entries: entries,
	}})
}

func putVersion(version uint64) directory.Command {
	return directory.Command{PutConfiguration: &directory.PutConfiguration{Configuration: routing.Configuration{Version: version}}}
}

// startFollower runs a replica that founds a group with the leader at the address.
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

// watch asks the replica for what is newer than the revision, and returns nil
// if it does not say.
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

// TestFirstWatchIsConfirmed: a replica that hears a leader but trails tells a
// process that knows nothing no configuration before it holds all that the
// leader has confirmed.
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

	trails := func() bool {
		leader.send(firstIndex, firstIndex+1, putVersion(1), putVersion(2))
		delta := watch(t, internal.Addr().String(), oldest)
		return delta != nil && delta.Version == 2
	}
	require.Eventually(t, trails, watchSoon, watchInterval, "the follower holds version 2")
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
		return leader.asked.Load() || len(answered) > 0
	}, watchSoon, watchInterval)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		leader.send(firstIndex, firstIndex+2, putVersion(1), putVersion(2), putVersion(3))
		select {
		case delta := <-answered:
			require.Equal(t, uint64(3), delta.Version, "a process that knows nothing is told the newest")
			return
		case <-ticker.C:
		}
	}
}

// lead sends the entries again and again until the test ends, which keeps the follower from
// standing for election.
func (l *scriptedLeader) lead(t *testing.T, commands ...directory.Command) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(watchInterval)
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

// followedReplica runs a replica that holds one configuration and whose leader's later entries
// never come, and returns its address, its leader and the revision that it holds.
func followedReplica(t *testing.T) (string, *scriptedLeader, uint64) {
	d, leader, revision := followedDirectory(t, putVersion(1))
	return d.settings.InternalAddress, leader, revision
}

// followedDirectory runs a replica that holds what the commands do.
func followedDirectory(t *testing.T, commands ...directory.Command) (*Directory, *scriptedLeader, uint64) {
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
	require.Eventually(t, holds, watchSoon, watchInterval)
	return d, leader, machine.Revision()
}

// TestTrailingReplicaLetsWatchersGo: a replica that hears its leader, but does not get what that
// has acknowledged, does not say that nothing has changed.
func TestTrailingReplicaLetsWatchersGo(t *testing.T) {
	address, leader, revision := followedReplica(t)
	unchanged := func() bool { return watch(t, address, revision) != nil }
	require.Eventually(t, unchanged, watchSoon, watchInterval, "a replica that holds everything says so")
	leader.revision.Store(revision + 1)
	// The question before the change may have been answered just now.
	watch(t, address, revision)
	for range 3 {
		require.Nil(t, watch(t, address, revision), "a replica that trails")
	}
	leader.revision.Store(revision)
	require.Eventually(t, unchanged, watchSoon, watchInterval, "it holds everything again")
}

// TestUnconfirmedLeaderProvesNothing: what no quorum confirms is no proof that nothing has
// changed.
func TestUnconfirmedLeaderProvesNothing(t *testing.T) {
	address, leader, revision := followedReplica(t)
	leader.unconfirmed.Store(true)
	watch(t, address, revision)
	for range 3 {
		require.Nil(t, watch(t, address, revision))
	}
}

// TestOneQuestionServesAllWatches: the leader is asked no more often for many watches than for
// one.
func TestOneQuestionServesAllWatches(t *testing.T) {
	address, leader, revision := followedReplica(t)
	const watchers = 50
	asked := leader.questions.Load()
	var held sync.WaitGroup
	for range watchers {
		held.Go(func() { watch(t, address, revision) })
	}
	held.Wait()
	most := int64(watchWait/evidenceInterval) + 2
	require.LessOrEqual(t, leader.questions.Load()-asked, most)
}

// linesAndAnswer returns how many lines an answer to a watch has, and what comes after them.
func linesAndAnswer(t *testing.T, address string, since uint64, members string) (int, []byte) {
	response, err := http.Get(watchURL(address, since, members))
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	content := bytes.TrimLeft(body, string(watchLine))
	return len(body) - len(content), content
}

// TestHeldWatchHasLines: a watcher that asks for it is told that its watch is held, and then what
// has changed; a replica that trails ends the watch without an answer.
func TestHeldWatchHasLines(t *testing.T) {
	address, leader, revision := followedReplica(t)
	var members string
	knewOthers := func() bool {
		lines, content := linesAndAnswer(t, address, revision, "other")
		var delta directory.Delta
		if len(content) == 0 || decodeInternal(content, &delta) != nil {
			return false
		}
		require.Positive(t, lines)
		require.Equal(t, revision, delta.Revision)
		require.Len(t, delta.Replicas, 2)
		members = membersDigest(delta.Replicas)
		return true
	}
	require.Eventually(t, knewOthers, watchSoon, watchInterval, "a watcher that knows other members is told")
	leader.revision.Store(revision + 1)
	linesAndAnswer(t, address, revision, members)
	_, content := linesAndAnswer(t, address, revision, members)
	require.Empty(t, content)
}

func watchURL(address string, since uint64, members string) string {
	return "http://" + address + directoryWatchPath + "?since=" + strconv.FormatUint(since, 10) + "&" + watchMembersParameter + "=" + members
}

// TestOtherScopeIsToldAtOnce: a watcher that comes to follow other backends is told of them though
// nothing has changed since, also by a watch that is held already.
func TestOtherScopeIsToldAtOnce(t *testing.T) {
	backend := directory.Backend{ID: "b", Service: "s", Address: "10.0.0.1:80", Slots: 1}
	d, _, revision := followedDirectory(t, putVersion(1), directory.Command{PutBackend: &backend})
	w := newTestWatcher(t, d.settings.InternalAddress)
	var follows atomic.Bool
	w.scope = func() directory.Scope {
		if follows.Load() {
			return directory.ScopeAll
		}
		return directory.ScopeNone
	}
	runWatcher(t, w)
	holds := func(backends int) func() bool {
		return func() bool { return w.Catalog().Revision == revision && w.Catalog().BackendCount() == backends }
	}
	require.Eventually(t, holds(0), watchSoon, watchInterval)
	follows.Store(true)
	require.Eventually(t, holds(1), watchSoon, watchInterval)
	follows.Store(false)
	require.Eventually(t, holds(0), watchSoon, watchInterval)
}

// TestHeldWatchIsAnswered: a watch that was held for long enough is answered though there have been
// changes out of its scope meanwhile, and never by a replica that trails what the watcher knows.
func TestHeldWatchIsAnswered(t *testing.T) {
	backend := directory.Backend{ID: "b", Service: "s", Address: "10.0.0.1:80", Slots: 1}
	d, _, revision := followedDirectory(t, putVersion(1), directory.Command{PutBackend: &backend})
	ask := func(watch directory.Watch) *directory.Delta {
		recorder := httptest.NewRecorder()
		d.answerHeld(&watchAnswer{response: recorder, members: "m"}, watch)
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
		answered = ask(directory.Watch{Since: revision - 1, Scope: directory.ScopeNone, Held: none})
		return answered != nil
	}, watchSoon, watchInterval)
	require.Equal(t, revision, answered.Revision)
	require.Equal(t, uint64(1), answered.Version)
	require.Equal(t, none, answered.Held)
	require.True(t, answered.IsEmpty())
	require.Nil(t, ask(directory.Watch{Since: revision + 1}), "the watcher knows more")
	require.Nil(t, ask(directory.Watch{}), "a first answer needs a quorum's revision")
}
