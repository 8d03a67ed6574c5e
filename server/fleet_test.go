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

// The test of a fleet runs the replicas of a directory and many watchers in one process, without backends. It
// counts log entries, because their number does not depend on the machine's speed.

const (
	fleetReplicas = 3
	fleetWatchers = 60
	fleetBackends = 3000
	// fleetCallers is the number of concurrent heartbeats.
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

// runningReplica is a replica of a directory that can be restarted with the same data folder.
type runningReplica struct {
	directory *Directory
	settings  config.Directory
	stop      func()
}

// startMembers runs the replicas of a directory, and calls prepare for each before it runs.
func startMembers(t *testing.T, prepare func(number int, d *Directory)) []*runningReplica {
	var listeners []net.Listener
	var peers []string
	for range fleetReplicas {
		listeners = append(listeners, listenLoopback(t))
		peers = append(peers, listeners[len(listeners)-1].Addr().String())
	}
	var members []*runningReplica
	for number, listener := range listeners {
		settings := config.DefaultDirectory()
		settings.Name, settings.Zone = fmt.Sprint("directory-", number), fmt.Sprint("zone-", number)
		settings.InternalAddress, settings.Peers = peers[number], peers
		settings.DataFolder, settings.FirstStart = t.TempDir(), true
		member := &runningReplica{settings: settings}
		members = append(members, member)
		member.start(t, listener, func(d *Directory) { prepare(number, d) })
	}
	return members
}

// start runs the replica on the listener until it is stopped, at the latest when the test ends.
func (m *runningReplica) start(t *testing.T, listener net.Listener, prepare func(d *Directory)) {
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

// restart stops the replica if it runs, and starts it again with the same data folder.
func (m *runningReplica) restart(t *testing.T, prepare func(d *Directory)) {
	m.stop()
	listener, err := net.Listen("tcp", m.settings.InternalAddress)
	require.NoError(t, err)
	m.settings.FirstStart = false
	m.start(t, listener, prepare)
}

// runWatchers runs watchers in all zones, half of them without backends in their scope.
func runWatchers(t *testing.T, replicas []*Directory) []*Watcher {
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

// TestFleetRegisters checks that thousands of backends can register at once with few log entries, and that
// each watcher prefers a replica of its zone and receives the backends in its scope.
func TestFleetRegisters(t *testing.T) {
	replicas := startFleetDirectory(t)
	isServing := func() bool {
		for _, d := range replicas {
			if d.Status().Serving {
				return true
			}
		}
		return false
	}
	require.Eventually(t, isServing, waitTimeout, pollInterval)
	watchers := runWatchers(t, replicas)
	haveAllZones := func() bool {
		for _, w := range watchers {
			if len(w.Catalog().Zones) < fleetReplicas {
				return false
			}
		}
		return true
	}
	require.Eventually(t, haveAllZones, waitTimeout, pollInterval)
	before := replicas[0].Status().Commit
	registerFleet(t, replicas)
	entries := replicas[0].Status().Commit - before
	require.Less(t, entries, uint64(fleetBackends/4), "many registrations share an entry")
	for number, w := range watchers {
		expected := fleetBackends
		if number%2 == 1 {
			expected = 0
		}
		require.Eventually(t, func() bool { return w.Catalog().BackendCount() == expected }, waitTimeout, pollInterval)
		first := w.addresses()[0]
		require.Equal(t, w.zone, w.Catalog().Zones[first].Zone)
	}
}

// registerFleet sends a heartbeat for each backend until it is accepted.
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
