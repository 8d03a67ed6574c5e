package server

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
)

// newTestWatcher returns a watcher with the seeds.
func newTestWatcher(t *testing.T, seeds ...string) *Watcher {
	logger := zerolog.Nop()
	process := config.DefaultGateway().Process
	process.Peers = seeds
	load := func() (config.Process, error) { return process, nil }
	return NewWatcher(NewSeeds(process, load, &logger), "z", 0, &logger)
}

func membersAt(addresses ...string) []consensus.Member {
	var members []consensus.Member
	for position, address := range addresses {
		members = append(members, consensus.Member{ID: consensus.ReplicaID(position + 1), Address: address, Voter: true})
	}
	return members
}

// TestWatcherLearnsReplacedMembers checks that a watcher learns of replaced members although their number
// and the revision are the same.
func TestWatcherLearnsReplacedMembers(t *testing.T) {
	w := newTestWatcher(t, "10.0.0.9:70")
	w.apply(w.Catalog(), directory.Delta{Revision: 5, Full: true, Version: 2, Replicas: membersAt("10.0.0.1:70", "10.0.0.2:70")})
	w.apply(w.Catalog(), directory.Delta{Revision: 5, Replicas: membersAt("10.0.0.1:70", "10.0.0.3:70")})
	require.Equal(t, []string{"10.0.0.1:70", "10.0.0.3:70", "10.0.0.9:70"}, w.addresses())
	require.Equal(t, uint64(2), w.Catalog().Version, "the configuration is kept")

	before := w.Changed()
	w.apply(w.Catalog(), directory.Delta{Revision: 5, Replicas: membersAt("10.0.0.1:70", "10.0.0.3:70")})
	select {
	case <-before:
		t.Fatal("notified although nothing has changed")
	default:
	}
}

// manualClock is a clock whose timers expire only when a test calls fire.
type manualClock struct {
	mutex  sync.Mutex
	armed  *sync.Cond
	now    time.Duration
	timers []*manualTimer
}

type manualTimer struct {
	clock    *manualClock
	due      time.Duration
	function func()
}

func newManualClock() *manualClock {
	c := &manualClock{}
	c.armed = sync.NewCond(&c.mutex)
	return c
}

func (c *manualClock) after(wait time.Duration, function func()) resettableTimer {
	timer := &manualTimer{clock: c, function: function}
	timer.Reset(wait)
	return timer
}

// Stop stops the timer.
func (t *manualTimer) Stop() bool {
	t.clock.mutex.Lock()
	defer t.clock.mutex.Unlock()
	return t.disarm()
}

func (t *manualTimer) disarm() bool {
	before := len(t.clock.timers)
	t.clock.timers = slices.DeleteFunc(t.clock.timers, func(timer *manualTimer) bool { return timer == t })
	return len(t.clock.timers) < before
}

// Reset starts the timer again.
func (t *manualTimer) Reset(wait time.Duration) bool {
	t.clock.mutex.Lock()
	defer t.clock.mutex.Unlock()
	armed := t.disarm()
	t.due = t.clock.now + wait
	t.clock.timers = append(t.clock.timers, t)
	t.clock.armed.Broadcast()
	return armed
}

// fire waits until a timer is set for exactly the time from now, and advances the clock to expire it.
func (c *manualClock) fire(wait time.Duration) {
	c.mutex.Lock()
	var next *manualTimer
	for next == nil {
		for _, timer := range c.timers {
			if timer.due == c.now+wait {
				next = timer
			}
		}
		if next == nil {
			c.armed.Wait()
		}
	}
	next.disarm()
	c.now = next.due
	c.mutex.Unlock()
	next.function()
}

// awaitTimer waits until a timer is set for exactly the time from now.
func (c *manualClock) awaitTimer(wait time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for !slices.ContainsFunc(c.timers, func(timer *manualTimer) bool { return timer.due == c.now+wait }) {
		c.armed.Wait()
	}
}

// advance advances the clock without expiring a timer.
func (c *manualClock) advance(wait time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.now += wait
}

// startUnresponsiveReplica starts a server that accepts connections and never answers. The channel receives a
// value for each connection.
func startUnresponsiveReplica(t *testing.T) (string, <-chan struct{}) {
	listener := listenLoopback(t)
	accepted := make(chan struct{}, 100)
	var connections []net.Conn
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			connections = append(connections, connection)
			accepted <- struct{}{}
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-ended
		for _, connection := range connections {
			connection.Close()
		}
	})
	return listener.Addr().String(), accepted
}

// startWatchServer answers watches with the function.
func startWatchServer(t *testing.T, serve func(answer *watchAnswer, request *http.Request)) string {
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		serve(&watchAnswer{response: response, members: request.URL.Query().Get(watchMembersParameter)}, request)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func runWatcher(t *testing.T, w *Watcher) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
}

// TestWatcherSkipsTwoUnresponsiveReplicas checks that a watcher gets the newest configuration within 1200 ms
// if its replica stops sending during a watch and the next one never answers.
func TestWatcherSkipsTwoUnresponsiveReplicas(t *testing.T) {
	watching, done := make(chan struct{}, 1), make(chan struct{})
	defer close(done)
	silent := startWatchServer(t, func(answer *watchAnswer, _ *http.Request) {
		answer.sendKeepalive()
		watching <- struct{}{}
		<-done
	})
	unresponsive, reached := startUnresponsiveReplica(t)
	live := startWatchServer(t, func(answer *watchAnswer, request *http.Request) {
		if request.URL.Query().Get("since") == "0" {
			answer.send(directory.Delta{Revision: 7, Full: true, Version: 3})
			return
		}
		<-done
	})
	w := newTestWatcher(t, silent, unresponsive, live)
	clock := newManualClock()
	w.after = clock.after
	changed := w.Changed()
	runWatcher(t, w)
	<-watching
	clock.fire(watchIdleTimeout)
	clock.fire(watchBackoff)
	<-reached
	clock.fire(minFirstByteTimeout)
	clock.fire(watchBackoff)
	<-changed
	require.Equal(t, uint64(3), w.Catalog().Version)
	require.LessOrEqual(t, clock.now, 1200*time.Millisecond)
	require.Empty(t, reached, "the unresponsive replica is called once")
}

// TestKeepalivesExtendWatch checks that a watch stays open as long as keepalives arrive.
func TestKeepalivesExtendWatch(t *testing.T) {
	var requests atomic.Int64
	keepalives, done := make(chan struct{}), make(chan struct{})
	defer close(done)
	address := startWatchServer(t, func(answer *watchAnswer, request *http.Request) {
		requests.Add(1)
		for range keepalives {
			answer.sendKeepalive()
		}
		if request.URL.Query().Get("since") == "0" {
			answer.send(directory.Delta{Revision: 7, Full: true, Version: 3})
			return
		}
		<-done
	})
	w := newTestWatcher(t, address)
	clock := newManualClock()
	w.after = clock.after
	changed := w.Changed()
	runWatcher(t, w)
	for range 10 {
		keepalives <- struct{}{}
		clock.awaitTimer(watchIdleTimeout)
		clock.advance(watchIdleTimeout - 1)
	}
	require.Equal(t, int64(1), requests.Load())
	close(keepalives)
	<-changed
	require.Equal(t, uint64(3), w.Catalog().Version)
}

// TestWatcherBacksOff checks that a watcher pauses longer after each round without an answer, and gives
// slow replicas more time.
func TestWatcherBacksOff(t *testing.T) {
	first, reachedFirst := startUnresponsiveReplica(t)
	second, reachedSecond := startUnresponsiveReplica(t)
	w := newTestWatcher(t, first, second)
	clock := newManualClock()
	w.after = clock.after
	runWatcher(t, w)
	timeout := minFirstByteTimeout
	for range 5 {
		<-reachedFirst
		clock.fire(timeout)
		clock.fire(watchBackoff)
		<-reachedSecond
		clock.fire(timeout)
		clock.fire(watchRoundBackoff)
		timeout = min(2*timeout, maxFirstByteTimeout)
	}
}

// TestCallThroughFollower checks that a process that knows only a follower reaches the leader, and calls
// it directly from then on.
func TestCallThroughFollower(t *testing.T) {
	address, leader, revision := startReplicaWithLeader(t)
	w := newTestWatcher(t, address)
	answered := func() bool {
		answer, err := w.call(t.Context(), directoryCall{Newest: true})
		return err == nil && answer.Revision == revision
	}
	require.Eventually(t, answered, waitTimeout, pollInterval)
	require.Equal(t, leader.address, w.leader)
}

// TestCallIsForwardedOnce checks that a follower rejects a call that was forwarded to it.
func TestCallIsForwardedOnce(t *testing.T) {
	address, _, _ := startReplicaWithLeader(t)
	w := newTestWatcher(t, address)
	_, err := w.call(t.Context(), directoryCall{Newest: true, Passed: true})
	require.Error(t, err)
}

// TestCallSkipsUnresponsiveLeader checks that a call has time left for the next replica if the first one
// does not answer, and that later calls begin with another one.
func TestCallSkipsUnresponsiveLeader(t *testing.T) {
	unresponsive, reached := startUnresponsiveReplica(t)
	live := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		var call directoryCall
		if readTestCall(response, request, &call) {
			writeCBOR(response, directoryAnswer{Leader: request.Host, Revision: 3})
		}
	}))
	t.Cleanup(live.Close)
	address := strings.TrimPrefix(live.URL, "http://")
	w := newTestWatcher(t, unresponsive, address)
	w.leader = unresponsive
	for range 3 {
		limited, cancel := context.WithTimeout(t.Context(), crashReportTimeout)
		answer, err := w.call(limited, directoryCall{Newest: true})
		cancel()
		require.NoError(t, err)
		require.Equal(t, uint64(3), answer.Revision)
	}
	require.Len(t, reached, 1)
	require.Equal(t, address, w.leader)
}

// TestWatcherReloadsSeeds checks that a watcher reloads its seeds if all known replicas have failed.
func TestWatcherReloadsSeeds(t *testing.T) {
	stopped := listenLoopback(t)
	require.NoError(t, stopped.Close())
	done := make(chan struct{})
	defer close(done)
	live := startWatchServer(t, func(answer *watchAnswer, request *http.Request) {
		if request.URL.Query().Get("since") == "5" {
			answer.send(directory.Delta{Revision: 7, Version: 3})
			return
		}
		<-done
	})
	w := newTestWatcher(t, stopped.Addr().String())
	w.seeds.load = func() (config.Process, error) { return config.Process{Peers: []string{live}}, nil }
	w.apply(w.Catalog(), directory.Delta{Revision: 5, Full: true, Version: 2, Replicas: membersAt(stopped.Addr().String())})
	changed := w.Changed()
	runWatcher(t, w)
	<-changed
	require.Equal(t, uint64(3), w.Catalog().Version)
	answer, err := w.call(t.Context(), directoryCall{Newest: true})
	require.Error(t, err, "%v: the server handles only watches", answer)
	require.Contains(t, w.callAddresses(), live)
}

// TestWatcherPrefersLocalZone checks that the replicas of the local zone come first, rotated by process, and
// then those of other zones and the seeds, each once.
func TestWatcherPrefersLocalZone(t *testing.T) {
	logger := zerolog.Nop()
	process := config.DefaultGateway().Process
	process.Peers = []string{"seed:1", "near:1"}
	seeds := NewSeeds(process, func() (config.Process, error) { return process, nil }, &logger)
	delta := directory.Delta{Revision: 1, Full: true}
	for _, address := range []string{"far:1", "near:1", "far:2", "near:2", "unknown:1"} {
		delta.Replicas = append(delta.Replicas, consensus.Member{Address: address})
		if zone, _, _ := strings.Cut(address, ":"); zone != "unknown" {
			delta.Zones = append(delta.Zones, directory.ReplicaZone{Address: address, Zone: zone})
		}
	}
	firstAddresses := map[string]bool{}
	for rotation := range 6 {
		w := NewWatcher(seeds, "near", rotation, &logger)
		w.apply(w.Catalog(), delta)
		addresses := w.addresses()
		require.ElementsMatch(t, []string{"near:1", "near:2"}, addresses[:2])
		require.ElementsMatch(t, []string{"far:1", "far:2", "unknown:1"}, addresses[2:5])
		require.Equal(t, []string{"seed:1"}, addresses[5:])
		firstAddresses[addresses[0]] = true
	}
	require.Len(t, firstAddresses, 2)
}
