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

// newTestWatcher returns a watcher whose settings name the seeds.
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

// TestMembersAreReplacedOneByOne: a watcher learns of members that have taken the places of
// others, also where their number and the revision stay the same.
func TestMembersAreReplacedOneByOne(t *testing.T) {
	w := newTestWatcher(t, "10.0.0.9:70")
	w.take(w.Catalog(), directory.Delta{Revision: 5, Full: true, Version: 2, Replicas: membersAt("10.0.0.1:70", "10.0.0.2:70")})
	w.take(w.Catalog(), directory.Delta{Revision: 5, Replicas: membersAt("10.0.0.1:70", "10.0.0.3:70")})
	require.Equal(t, []string{"10.0.0.1:70", "10.0.0.3:70", "10.0.0.9:70"}, w.addresses())
	require.Equal(t, uint64(2), w.Catalog().Version, "the configuration stays")

	before := w.Changed()
	w.take(w.Catalog(), directory.Delta{Revision: 5, Replicas: membersAt("10.0.0.1:70", "10.0.0.3:70")})
	select {
	case <-before:
		t.Fatal("nothing has changed")
	default:
	}
}

// manualTimers are alarms that go off when the test says so.
type manualTimers struct {
	mutex  sync.Mutex
	armed  *sync.Cond
	now    time.Duration
	alarms []*manualAlarm
}

type manualAlarm struct {
	timers   *manualTimers
	due      time.Duration
	function func()
}

func newManualTimers() *manualTimers {
	m := &manualTimers{}
	m.armed = sync.NewCond(&m.mutex)
	return m
}

func (m *manualTimers) after(wait time.Duration, function func()) alarm {
	one := &manualAlarm{timers: m, function: function}
	one.Reset(wait)
	return one
}

// Stop disarms the alarm.
func (a *manualAlarm) Stop() bool {
	a.timers.mutex.Lock()
	defer a.timers.mutex.Unlock()
	return a.disarm()
}

func (a *manualAlarm) disarm() bool {
	before := len(a.timers.alarms)
	a.timers.alarms = slices.DeleteFunc(a.timers.alarms, func(one *manualAlarm) bool { return one == a })
	return len(a.timers.alarms) < before
}

// Reset arms the alarm anew.
func (a *manualAlarm) Reset(wait time.Duration) bool {
	a.timers.mutex.Lock()
	defer a.timers.mutex.Unlock()
	armed := a.disarm()
	a.due = a.timers.now + wait
	a.timers.alarms = append(a.timers.alarms, a)
	a.timers.armed.Broadcast()
	return armed
}

// pass waits until an alarm is armed for exactly the time from now, and lets that time pass.
func (m *manualTimers) pass(wait time.Duration) {
	m.mutex.Lock()
	var next *manualAlarm
	for next == nil {
		for _, one := range m.alarms {
			if one.due == m.now+wait {
				next = one
			}
		}
		if next == nil {
			m.armed.Wait()
		}
	}
	next.disarm()
	m.now = next.due
	m.mutex.Unlock()
	next.function()
}

// awaitAlarm waits until an alarm is armed for exactly the time from now.
func (m *manualTimers) awaitAlarm(wait time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for !slices.ContainsFunc(m.alarms, func(one *manualAlarm) bool { return one.due == m.now+wait }) {
		m.armed.Wait()
	}
}

// advance lets time pass in which no alarm goes off.
func (m *manualTimers) advance(wait time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.now += wait
}

// darkReplica accepts connections and never answers. The channel tells of each connection.
func darkReplica(t *testing.T) (string, <-chan struct{}) {
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

// servedReplica answers watches by the function.
func servedReplica(t *testing.T, serve func(answer *watchAnswer, request *http.Request)) string {
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

// TestTwoReplicasGoDark: a watcher whose replica falls silent under a watch, and for which the
// next one is dark, too, has the newest configuration within 1.2 s, about half of the least time
// that users allow.
func TestTwoReplicasGoDark(t *testing.T) {
	held, over := make(chan struct{}, 1), make(chan struct{})
	defer close(over)
	silent := servedReplica(t, func(answer *watchAnswer, _ *http.Request) {
		answer.hold()
		held <- struct{}{}
		<-over
	})
	dark, reached := darkReplica(t)
	live := servedReplica(t, func(answer *watchAnswer, request *http.Request) {
		if request.URL.Query().Get("since") == "0" {
			answer.give(directory.Delta{Revision: 7, Full: true, Version: 3})
			return
		}
		<-over
	})
	w := newTestWatcher(t, silent, dark, live)
	timers := newManualTimers()
	w.after = timers.after
	changed := w.Changed()
	runWatcher(t, w)
	<-held
	timers.pass(watchSilence)
	timers.pass(watchBackoff)
	<-reached
	timers.pass(watchFirstLine)
	timers.pass(watchBackoff)
	<-changed
	require.Equal(t, uint64(3), w.Catalog().Version)
	require.LessOrEqual(t, timers.now, 1200*time.Millisecond)
	require.Empty(t, reached, "it was asked once")
}

// TestLinesKeepAWatch: a watch goes on as long as lines come.
func TestLinesKeepAWatch(t *testing.T) {
	var asked atomic.Int64
	lines, over := make(chan struct{}), make(chan struct{})
	defer close(over)
	address := servedReplica(t, func(answer *watchAnswer, request *http.Request) {
		asked.Add(1)
		for range lines {
			answer.hold()
		}
		if request.URL.Query().Get("since") == "0" {
			answer.give(directory.Delta{Revision: 7, Full: true, Version: 3})
			return
		}
		<-over
	})
	w := newTestWatcher(t, address)
	timers := newManualTimers()
	w.after = timers.after
	changed := w.Changed()
	runWatcher(t, w)
	for range 10 {
		lines <- struct{}{}
		timers.awaitAlarm(watchSilence)
		timers.advance(watchSilence - 1)
	}
	require.Equal(t, int64(1), asked.Load())
	close(lines)
	<-changed
	require.Equal(t, uint64(3), w.Catalog().Version)
}

// TestWatcherRests: a watcher that no replica serves pauses longer after each round, and gives
// slow replicas more time.
func TestWatcherRests(t *testing.T) {
	first, reachedFirst := darkReplica(t)
	second, reachedSecond := darkReplica(t)
	w := newTestWatcher(t, first, second)
	timers := newManualTimers()
	w.after = timers.after
	runWatcher(t, w)
	patience := watchFirstLine
	for range 5 {
		<-reachedFirst
		timers.pass(patience)
		timers.pass(watchBackoff)
		<-reachedSecond
		timers.pass(patience)
		timers.pass(watchRest)
		patience = min(2*patience, watchPatience)
	}
}

// TestCallByAReplicaThatDoesNotLead: a process that knows only a replica that does not lead
// reaches the leader, and goes to it directly from then on.
func TestCallByAReplicaThatDoesNotLead(t *testing.T) {
	address, leader, revision := followedReplica(t)
	w := newTestWatcher(t, address)
	answered := func() bool {
		answer, err := w.call(t.Context(), directoryCall{Newest: true})
		return err == nil && answer.Revision == revision
	}
	require.Eventually(t, answered, watchSoon, watchInterval)
	require.Equal(t, leader.address, w.leader)
}

// TestCallIsPassedOnOnce: a replica that is taken for the leader and does not lead refuses what
// was passed on to it.
func TestCallIsPassedOnOnce(t *testing.T) {
	address, _, _ := followedReplica(t)
	w := newTestWatcher(t, address)
	_, err := w.call(t.Context(), directoryCall{Newest: true, Passed: true})
	require.Error(t, err)
}

// TestCallLeavesASilentLeader: a call whose replica accepts connections and says nothing has time
// left for the next one, and the next calls do not begin with it.
func TestCallLeavesASilentLeader(t *testing.T) {
	dark, reached := darkReplica(t)
	live := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		var call directoryCall
		if readCBOR(response, request, &call) {
			writeCBOR(response, directoryAnswer{Leader: request.Host, Revision: 3})
		}
	}))
	t.Cleanup(live.Close)
	address := strings.TrimPrefix(live.URL, "http://")
	w := newTestWatcher(t, dark, address)
	w.leader = dark
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

// TestSeedsAreTurnedOver: a watcher whose known replicas are all gone asks those that its settings
// name by then.
func TestSeedsAreTurnedOver(t *testing.T) {
	gone := listenLoopback(t)
	require.NoError(t, gone.Close())
	over := make(chan struct{})
	defer close(over)
	live := servedReplica(t, func(answer *watchAnswer, request *http.Request) {
		if request.URL.Query().Get("since") == "5" {
			answer.give(directory.Delta{Revision: 7, Version: 3})
			return
		}
		<-over
	})
	w := newTestWatcher(t, gone.Addr().String())
	w.seeds.load = func() (config.Process, error) { return config.Process{Peers: []string{live}}, nil }
	w.take(w.Catalog(), directory.Delta{Revision: 5, Full: true, Version: 2, Replicas: membersAt(gone.Addr().String())})
	changed := w.Changed()
	runWatcher(t, w)
	<-changed
	require.Equal(t, uint64(3), w.Catalog().Version)
	answer, err := w.call(t.Context(), directoryCall{Newest: true})
	require.Error(t, err, "%v: it serves watches only", answer)
	require.Contains(t, w.callAddresses(), live)
}

// TestWatcherAsksItsOwnZoneFirst: replicas of the own zone come first, spread over the processes,
// then those of other zones and the seeds, each once.
func TestWatcherAsksItsOwnZoneFirst(t *testing.T) {
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
	begins := map[string]bool{}
	for start := range 6 {
		w := NewWatcher(seeds, "near", start, &logger)
		w.take(w.Catalog(), delta)
		addresses := w.addresses()
		require.ElementsMatch(t, []string{"near:1", "near:2"}, addresses[:2])
		require.ElementsMatch(t, []string{"far:1", "far:2", "unknown:1"}, addresses[2:5])
		require.Equal(t, []string{"seed:1"}, addresses[5:])
		begins[addresses[0]] = true
	}
	require.Len(t, begins, 2)
}
