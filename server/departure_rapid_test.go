package server

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	_ "github.com/dillchute/dillchute/internal/fixedseed"
	"github.com/dillchute/dillchute/usage"
)

// departureModel sends the heartbeats of backends to a leader's decisions and state, in any order, again and late.
type departureModel struct {
	t         *rapid.T
	directory *Directory
	// sent are all heartbeats that were ever sent, sequences their last numbers by incarnation.
	sent      []Heartbeat
	sequences map[string]uint64
	// startTimes are those of the newest incarnations by name, and departed the newest ones whose departure was
	// acknowledged.
	startTimes, departed map[string]int64
}

func newDepartureModel(t *rapid.T) *departureModel {
	logger := zerolog.Nop()
	settings := config.DefaultDirectory()
	// With the shorter interval every silence has lasted long enough, with the longer one none has.
	settings.HeartbeatInterval = rapid.SampledFrom([]time.Duration{1, time.Hour}).Draw(t, "interval")
	d := &Directory{
		settings: settings, logger: &logger, machine: directory.NewMachine(), metrics: newDirectoryMetrics(), heartbeats: newHeartbeats(),
		returns: newLivenessTracker(), outdated: newLivenessTracker(), usage: &usageAggregator{clock: usage.NewClock(1)},
	}
	d.machine.Apply(directory.Command{RaiseVersion: &directory.RaiseVersion{Version: directory.KnownVersion}}.Encode())
	return &departureModel{t: t, directory: d, sequences: map[string]uint64{}, startTimes: map[string]int64{}, departed: map[string]int64{}}
}

// deliver passes a heartbeat to the leader, which acknowledges it.
func (m *departureModel) deliver(heartbeat Heartbeat) {
	d := m.directory
	for _, current := range d.recordHeartbeats([]Heartbeat{heartbeat}) {
		registration := d.registrationState(current.Backend)
		if change, isChange := d.registrationCommand(registration, current); isChange {
			d.machine.Apply(change.Encode())
		}
	}
	if heartbeat.Backend.Draining {
		m.recordDeparture(heartbeat.Backend.Name, heartbeat.Backend.Born)
	}
}

func (m *departureModel) recordDeparture(name string, startTime int64) {
	m.departed[name] = max(m.departed[name], startTime)
}

// send sends the next heartbeat of a backend. It may be delivered now, later, again or never.
func (m *departureModel) send(name string, draining bool) {
	backend := directory.Backend{
		Service: "s", Zone: "z", Slots: 1, Draining: draining,
		Address: rapid.SampledFrom([]string{"x", "y"}).Draw(m.t, "address"),
	}.WithIncarnation(directory.Incarnation{Name: name, StartTime: m.startTimes[name]})
	m.sequences[backend.ID] += uint64(rapid.IntRange(1, 3).Draw(m.t, "calls"))
	heartbeat := Heartbeat{Backend: backend, Sequence: m.sequences[backend.ID]}
	m.sent = append(m.sent, heartbeat)
	if rapid.Bool().Draw(m.t, "arrives") {
		m.deliver(heartbeat)
	}
}

// leave deregisters a backend without a start time.
func (m *departureModel) leave(name string) {
	m.directory.machine.Apply(directory.Command{RemoveBackend: &directory.RemoveBackend{Name: name, LatestBirth: m.directory.currentTime()}}.Encode())
	m.recordDeparture(name, m.startTimes[name])
}

// check requires that no departed incarnation is registered as ready.
func (m *departureModel) check() {
	for _, backend := range m.directory.machine.Backends() {
		require.False(m.t, !backend.Draining && backend.Born <= m.departed[backend.Name], "%s is ready after its departure", backend.ID)
	}
}

// TestDepartedBackendIsNeverReady guards against requests to a departed backend: whatever arrives late, again or in
// another order, no incarnation is ready once its departure, or that of a later one, was acknowledged.
func TestDepartedBackendIsNeverReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newDepartureModel(t)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			if model.startTimes[name] == 0 {
				model.startTimes[name] = int64(1 + step)
			}
			switch rapid.SampledFrom([]string{"ready", "ready", "draining", "late", "late", "restart", "leave", "silent", "leader"}).Draw(t, "step") {
			case "ready":
				model.send(name, false)
			case "draining":
				model.send(name, true)
			case "late":
				if len(model.sent) > 0 {
					model.deliver(rapid.SampledFrom(model.sent).Draw(t, "heartbeat"))
				}
			case "restart":
				model.startTimes[name] += int64(1 + step)
			case "leave":
				model.leave(name)
			case "silent":
				id := fmt.Sprintf("%s/%d", name, model.startTimes[name])
				model.directory.machine.Apply(directory.Command{RemoveBackend: &directory.RemoveBackend{ID: id}}.Encode())
			case "leader":
				model.directory.heartbeats.reset()
			}
			model.check()
		}
	})
}
