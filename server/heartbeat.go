package server

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/replica"
)

// heartbeats records when each backend's last heartbeat arrived, by backend ID. A follower reports to the
// leader the backends that it has received heartbeats from.
type heartbeats struct {
	mutex          sync.Mutex
	lastHeartbeats map[string]time.Time
	sequences      map[string]uint64
	unreported     map[string]bool
	prunedAt       time.Time
}

const (
	// heartbeatRetentionHeartbeats is how long the last heartbeat of an incarnation is kept, in heartbeat
	// intervals. It exceeds permanentRemovalHeartbeats: a registered backend's silence is measured from it.
	heartbeatRetentionHeartbeats = 2 * permanentRemovalHeartbeats
	// heartbeatPruneInterval is the time between two searches for heartbeats to drop.
	heartbeatPruneInterval = time.Minute
)

func newHeartbeats() *heartbeats {
	h := &heartbeats{}
	h.reset()
	return h
}

// reset discards the recorded heartbeats. It is called when a leadership begins.
func (h *heartbeats) reset() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lastHeartbeats, h.sequences, h.unreported = map[string]time.Time{}, map[string]uint64{}, map[string]bool{}
}

// record records a heartbeat. It returns false without recording it if a newer one is known.
func (h *heartbeats) record(now time.Time, id string, sequence uint64) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if sequence < h.sequences[id] {
		return false
	}
	h.sequences[id] = sequence
	h.lastHeartbeats[id] = now
	h.unreported[id] = true
	return true
}

// beginSeries records a heartbeat from which on the backend's sequence numbers are lower than before.
func (h *heartbeats) beginSeries(now time.Time, id string, sequence uint64) {
	h.mutex.Lock()
	delete(h.sequences, id)
	h.mutex.Unlock()
	h.record(now, id, sequence)
}

// newestSequence returns the highest sequence number of the backend's recorded heartbeats.
func (h *heartbeats) newestSequence(id string) uint64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.sequences[id]
}

// recordReported records the backends whose heartbeats another replica has reported.
func (h *heartbeats) recordReported(now time.Time, ids []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, id := range ids {
		h.lastHeartbeats[id] = now
	}
}

// takeUnreported returns the backends that are not reported to the leader yet, and marks them as reported.
func (h *heartbeats) takeUnreported() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	ids := slices.Sorted(maps.Keys(h.unreported))
	clear(h.unreported)
	return ids
}

// prune drops the heartbeats of incarnations that have sent none for the retention time: each restart of a backend adds
// an incarnation.
func (h *heartbeats) prune(now time.Time, retention time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Sub(h.prunedAt) < heartbeatPruneInterval {
		return
	}
	h.prunedAt = now
	for id, at := range h.lastHeartbeats {
		if now.Sub(at) > retention {
			delete(h.lastHeartbeats, id)
			delete(h.sequences, id)
			delete(h.unreported, id)
		}
	}
}

// excludeStall subtracts a stall of this process from all silences, because it received no heartbeats
// meanwhile.
func (h *heartbeats) excludeStall(stall time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for id, at := range h.lastHeartbeats {
		h.lastHeartbeats[id] = at.Add(stall)
	}
}

// silence returns the time since the backend's last heartbeat, or since the first call for a backend without
// one.
func (h *heartbeats) silence(now time.Time, id string) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	at, ok := h.lastHeartbeats[id]
	if !ok {
		h.lastHeartbeats[id] = now
		return 0
	}
	return now.Sub(at)
}

// Heartbeat records a backend's heartbeat, and returns the internal address of the replica to send the
// next one to. Any replica that reports to the leader answers a heartbeat that changes nothing; the
// leader commits the others.
func (d *Directory) Heartbeat(ctx context.Context, heartbeat Heartbeat) (string, error) {
	if !d.replica.Status().LeaderKnown {
		return "", replica.ErrUnavailable.New("no leader is known")
	}
	registered, isRegistered := d.view.Load().Backend(heartbeat.Backend.ID)
	heartbeat.mergeRegisteredModels(registered)
	if isRegistered && sameRegistration(registered, heartbeat.Backend) && d.isReportingToLeader() {
		d.recordHeartbeat(heartbeat)
		return d.settings.InternalAddress, nil
	}
	admitted, err := d.admission.admit(d.view.Load(), registered, heartbeat.Backend)
	if err != nil {
		d.intake.CountRefused()
		return "", err
	}
	defer admitted()
	err = d.registrations.do(ctx, heartbeat)
	if err == nil && heartbeat.Backend.Draining && !registered.Draining {
		d.logDeparture(heartbeat.Backend.ID, departureDraining)
	}
	return d.settings.InternalAddress, err
}

// maxReportAgeHeartbeats is the number of heartbeat intervals since its last report to the leader for
// which a replica answers heartbeats itself. It is less than silentHeartbeats, after which the leader
// would count the backend as silent.
const maxReportAgeHeartbeats = 2

// isReportingToLeader reports whether this replica leads or has recently reported to the leader.
func (d *Directory) isReportingToLeader() bool {
	age := time.Duration(nowMillis()-d.reportedAt.Load()) * time.Millisecond
	return d.replica.Status().Leading || age <= maxReportAgeHeartbeats*d.settings.HeartbeatInterval
}

// recordReport records that the leader has answered a call that began at startedAt.
func (d *Directory) recordReport(startedAt int64) {
	d.reportedAt.Store(max(d.reportedAt.Load(), startedAt))
}

// registerAll sends the leader heartbeats that change registrations.
func (d *Directory) registerAll(ctx context.Context, heartbeats []Heartbeat) error {
	_, err := d.call(ctx, directoryCall{Heartbeats: heartbeats})
	return err
}

// handleHeartbeats commits, on the leader, the registration changes of heartbeats in one log entry.
func (d *Directory) handleHeartbeats(ctx context.Context, heartbeats []Heartbeat) error {
	d.checkStall()
	current := d.recordHeartbeats(heartbeats)
	registrations := make([]registrationState, len(current))
	if !d.replica.Do(func() {
		for position, heartbeat := range current {
			registrations[position] = d.registrationState(heartbeat.Backend)
		}
	}) {
		return replica.ErrUnavailable.New("the replica has stopped")
	}
	var changes []directory.Command
	for position, heartbeat := range current {
		heartbeat.mergeRegisteredModels(registrations[position].registered)
		change, isChange := d.registrationCommand(registrations[position], heartbeat)
		if isChange {
			changes = append(changes, change)
		} else if registrations[position].isRemoved {
			d.logIgnored(heartbeat, ignoredRemoved)
		}
	}
	if len(changes) == 0 {
		return nil
	}
	_, err := d.execute(ctx, directory.Command{Batch: changes})
	return err
}

// recordHeartbeats records heartbeats on the leader, and returns those that are valid and not outdated. The
// departure of a backend is never outdated.
func (d *Directory) recordHeartbeats(heartbeats []Heartbeat) []Heartbeat {
	latestStartTime := d.latestStartTime()
	var current []Heartbeat
	for _, heartbeat := range heartbeats {
		if heartbeat.Backend.Born > latestStartTime {
			d.RecordInvalidHeartbeat(InvalidHeartbeat{Backend: heartbeat.Backend.ID, Field: "born", Reason: "in the future"})
			continue
		}
		if d.recordHeartbeat(heartbeat) || heartbeat.Backend.Draining {
			current = append(current, heartbeat)
		}
	}
	return current
}

// recordHeartbeat records a heartbeat, and returns false for one that is outdated. If further ones follow with
// lower sequence numbers, the backend is running, and these count from then on: otherwise one wrong number would
// make it silent for as long as it runs.
func (d *Directory) recordHeartbeat(heartbeat Heartbeat) bool {
	now, id := clock.Now(), heartbeat.Backend.ID
	if d.heartbeats.record(now, id, heartbeat.Sequence) {
		return true
	}
	if d.outdated.record(now, id, heartbeat.Sequence, d.settings.HeartbeatInterval) {
		d.heartbeats.beginSeries(now, id, heartbeat.Sequence)
		d.outdated.forget(id)
		return true
	}
	if !heartbeat.Backend.Draining {
		d.logIgnored(heartbeat, ignoredOutdated)
	}
	return false
}

// registrationState is the machine's state that concerns a backend.
type registrationState struct {
	// registered is the incarnation registered under the backend's name, and addressHolder the backend
	// registered at its address.
	registered, addressHolder      directory.Backend
	isRegistered, hasAddressHolder bool
	// isRemoved is set if the incarnation has left or was removed, and mayReturn if it was removed only
	// because it was silent.
	isRemoved, mayReturn bool
}

// registrationState returns the machine's state that concerns the backend. It is called in the replica's
// loop.
func (d *Directory) registrationState(backend directory.Backend) registrationState {
	var state registrationState
	state.registered, state.isRegistered = d.machine.BackendByName(backend.NameOrID())
	state.addressHolder, state.hasAddressHolder = d.machine.BackendByAddress(backend.Address)
	state.isRemoved = d.machine.IsRemoved(backend.Incarnation())
	state.mayReturn = d.machine.MayReturn(backend.Incarnation())
	return state
}

// changesRegistration reports whether a backend's heartbeat changes its registration.
func (d *Directory) changesRegistration(state registrationState, backend directory.Backend) bool {
	switch {
	case state.isRemoved:
		return false
	case state.isRegistered && state.registered.ID == backend.ID && sameRegistration(state.registered, backend):
		return false
	case state.isRegistered && state.registered.ID != backend.ID && state.registered.Born >= backend.Born:
		event.StaleHeartbeatIgnored.On(d.logger).Str("backend", backend.ID).Str("registered", state.registered.ID).Send()
		return false
	}
	return !d.isAddressContested(state, backend)
}

// isAddressContested reports whether another backend keeps the address.
func (d *Directory) isAddressContested(state registrationState, backend directory.Backend) bool {
	if !state.hasAddressHolder || state.addressHolder.NameOrID() == backend.NameOrID() || !d.keepsAddress(state.addressHolder, backend) {
		return false
	}
	event.AddressConflict.On(d.logger).Str("backend", backend.ID).Str("holder", state.addressHolder.ID).Str("address", backend.Address).Send()
	return true
}

// keepsAddress reports whether the holder keeps its address: it sent a heartbeat recently, or it started
// after the other backend, which must have ended.
func (d *Directory) keepsAddress(holder, backend directory.Backend) bool {
	return backend.Born > 0 && backend.Born < holder.Born || d.heartbeats.silence(clock.Now(), holder.ID) < d.addressHold()
}

// maxStartTimeSkew is how far a backend's start time may be ahead of the true time. After a start time in the
// far future, later incarnations would be rejected as older.
const maxStartTimeSkew = time.Minute

// latestStartTime returns the latest valid start time of a backend, in milliseconds since 1970.
func (d *Directory) latestStartTime() int64 { return d.currentTime() + maxStartTimeSkew.Milliseconds() }

// currentTime returns the time of day by the clocks of several machines, in milliseconds since 1970.
func (d *Directory) currentTime() int64 {
	if offset, ok := d.usage.clock.Offset(nowMillis()); ok {
		return nowMillis() + offset
	}
	return time.Now().UnixMilli()
}

// reportToLeader reports the backends that this replica has received heartbeats from. It also reports this
// machine's clock, at least every clockReportInterval.
func (d *Directory) reportToLeader(ctx context.Context) {
	unreported := d.heartbeats.takeUnreported()
	if len(unreported) == 0 && time.Since(d.clockSentAt) < clockReportInterval {
		return
	}
	d.clockSentAt = time.Now()
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	startedAt := nowMillis()
	// A backend in a lost report is reported again after its next heartbeat.
	_, err := d.call(limited, directoryCall{Heard: unreported, Clock: &clockReading{
		Machine: d.settings.Name, Millis: time.Now().UnixMilli(), At: d.localZone(),
	}, Says: &d.versions.localReport})
	if err == nil {
		d.recordReport(startedAt)
	}
}

// localZone returns this replica's address and zone.
func (d *Directory) localZone() directory.ReplicaZone {
	return directory.ReplicaZone{Address: d.settings.InternalAddress, Zone: d.settings.Zone}
}

// addressHoldHeartbeats is the number of missed heartbeats after which another backend may take an
// address. A delayed heartbeat may arrive after its sender has crashed and a later incarnation, which
// keeps sending heartbeats, has registered at the same address.
const addressHoldHeartbeats = 1.5

// addressHold returns how long a silent backend keeps its address.
func (d *Directory) addressHold() time.Duration {
	return time.Duration(addressHoldHeartbeats * float64(d.settings.HeartbeatInterval))
}

// clockReportInterval is the maximum time between two reports of a replica's clock.
const clockReportInterval = time.Second
