package server

import (
	"context"
	"net"
	"net/http"
	"strconv"
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
	// asked is set once the leader has been asked for the newest revision.
	asked atomic.Bool
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
func startFollower(t *testing.T, internal net.Listener, leader string, logger *zerolog.Logger) {
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
