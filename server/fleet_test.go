package server

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
)

// The tests here put the load of a fleet on a directory, in one process and without its backends:
// what is counted grows with the work, whatever the machine's speed.

const (
	fleetReplicas = 3
	fleetWatchers = 60
	fleetBackends = 3000
	// fleetCallers are the backends that wait for an answer at one moment.
	fleetCallers = 300
)

// startFleetDirectory runs the replicas of a directory.
func startFleetDirectory(t *testing.T) []*Directory {
	var replicas []*Directory
	for _, member := range startMembers(t, func(int, *Directory) {}) {
		replicas = append(replicas, member.directory)
	}
	return replicas
}

// fleetMember is a replica of a directory that runs, and may be started anew in the same folder.
type fleetMember struct {
	directory *Directory
	settings  config.Directory
	stop      func()
}

// startMembers runs the replicas of a directory, each of which is prepared before it runs.
func startMembers(t *testing.T, prepare func(number int, d *Directory)) []*fleetMember {
	var listeners []net.Listener
	var peers []string
	for range fleetReplicas {
		listeners = append(listeners, listenLoopback(t))
		peers = append(peers, listeners[len(listeners)-1].Addr().String())
	}
	var members []*fleetMember
	for number, listener := range listeners {
		settings := config.DefaultDirectory()
		settings.Name, settings.Zone = fmt.Sprint("directory-", number), fmt.Sprint("zone-", number)
		settings.InternalAddress, settings.Peers = peers[number], peers
		settings.DataFolder, settings.FirstStart = t.TempDir(), true
		member := &fleetMember{settings: settings}
		members = append(members, member)
		member.start(t, listener, func(d *Directory) { prepare(number, d) })
	}
	return members
}

// start runs the replica on the listener until it is stopped, by the test's end at the latest.
func (m *fleetMember) start(t *testing.T, listener net.Listener, prepare func(d *Directory)) {
	logger := zerolog.Nop()
	process := m.settings.Process
	d, err := NewDirectory(m.settings, NewSeeds(process, func() (config.Process, error) { return process, nil }, &logger), nil, &logger)
	require.NoError(t, err)
	prepare(d)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = d.Run(ctx, listener) })
	m.directory, m.stop = d, func() {
		stop()
		running.Wait()
	}
	t.Cleanup(m.stop)
}

// startAgain stops the replica, if it runs, and runs it anew after it is prepared.
func (m *fleetMember) startAgain(t *testing.T, prepare func(d *Directory)) {
	m.stop()
	listener, err := net.Listen("tcp", m.settings.InternalAddress)
	require.NoError(t, err)
	m.settings.FirstStart = false
	m.start(t, listener, prepare)
}

// followAll runs watchers of all zones, and returns them.
func followAll(t *testing.T, replicas []*Directory) []*Watcher {
	logger := zerolog.Nop()
	var watchers []*Watcher
	for number := range fleetWatchers {
		process := config.DefaultGateway().Process
		process.Peers = []string{replicas[0].settings.InternalAddress}
		seeds := NewSeeds(process, func() (config.Process, error) { return process, nil }, &logger)
		w := NewWatcher(seeds, fmt.Sprint("zone-", number%fleetReplicas), number, &logger)
		if number%2 == 1 {
			w.scope = func() directory.Scope { return directory.ScopeNone }
		}
		watchers = append(watchers, w)
		runWatcher(t, w)
	}
	return watchers
}

// TestFleetRegisters: thousands of backends register at all replicas at once. Each is answered,
// the log grows by few entries, each watcher learns of all of them or of none, as it wants, and
// asks the replica of its zone.
func TestFleetRegisters(t *testing.T) {
	replicas := startFleetDirectory(t)
	serving := func() bool {
		for _, d := range replicas {
			if d.Status().Serving {
				return true
			}
		}
		return false
	}
	require.Eventually(t, serving, watchSoon, watchInterval)
	watchers := followAll(t, replicas)
	knowZones := func() bool {
		for _, w := range watchers {
			if len(w.Catalog().Zones) < fleetReplicas {
				return false
			}
		}
		return true
	}
	require.Eventually(t, knowZones, watchSoon, watchInterval)
	before := replicas[0].Status().Commit
	registerFleet(t, replicas)
	entries := replicas[0].Status().Commit - before
	require.Less(t, entries, uint64(fleetBackends/4), "many registrations share an entry")
	for number, w := range watchers {
		wanted := fleetBackends
		if number%2 == 1 {
			wanted = 0
		}
		require.Eventually(t, func() bool { return w.Catalog().BackendCount() == wanted }, watchSoon, watchInterval)
		first := w.addresses()[0]
		require.Equal(t, w.zone, w.Catalog().Zones[first].Zone)
	}
}

// registerFleet has all backends send a heartbeat until it is answered.
func registerFleet(t *testing.T, replicas []*Directory) {
	numbers := make(chan int)
	var callers sync.WaitGroup
	for range fleetCallers {
		callers.Go(func() {
			for number := range numbers {
				backend := directory.Backend{
					ID: fmt.Sprintf("b-%05d", number), Service: [...]string{"engines", "portal"}[number%5/4], Address: fmt.Sprint("10.0.0.1:", number), Zone: "z", Slots: 6,
				}
				for {
					if _, err := replicas[number%len(replicas)].Heartbeat(t.Context(), Heartbeat{Backend: backend, Sequence: 1}); err == nil {
						break
					}
					if t.Context().Err() != nil {
						return
					}
				}
			}
		})
	}
	for number := range fleetBackends {
		numbers <- number
	}
	close(numbers)
	callers.Wait()
}
