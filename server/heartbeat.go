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

// heartbeats remembers when backends were heard of. A replica that does not lead
// gathers whom it has heard, and tells the leader now and then.
type heartbeats struct {
	mutex     sync.Mutex
	heard     map[string]time.Time
	sequences map[string]uint64
	untold    map[string]bool
}

func newHeartbeats() *heartbeats {
	h := &heartbeats{}
	h.reset()
	return h
}

// reset forgets everything, as at the start of a leadership.
func (h *heartbeats) reset() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.heard, h.sequences, h.untold = map[string]time.Time{}, map[string]uint64{}, map[string]bool{}
}

// note takes in a heartbeat, and tells whether it is not older than one before.
func (h *heartbeats) note(now time.Time, id string, sequence uint64) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if sequence < h.sequences[id] {
		return false
	}
	h.sequences[id] = sequence
	h.heard[id] = now
	h.untold[id] = true
	return true
}

// noteHeard takes in whom another replica has heard.
func (h *heartbeats) noteHeard(now time.Time, ids []string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, id := range ids {
		h.heard[id] = now
	}
}

// takeUntold returns whom the leader has not been told of, and forgets them.
func (h *heartbeats) takeUntold() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	ids := slices.Sorted(maps.Keys(h.untold))
	clear(h.untold)
	return ids
}

// forgive gives all backends a fresh patience after this process has stood still for the
// duration: it could not hear them meanwhile.
func (h *heartbeats) forgive(pause time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for id, heard := range h.heard {
		h.heard[id] = heard.Add(pause)
	}
}

// silence returns how long the backend has not been heard of, counted from the
// first question at the earliest.
func (h *heartbeats) silence(now time.Time, id string) time.Duration {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	heard, ok := h.heard[id]
	if !ok {
		h.heard[id] = now
		return 0
	}
	return now.Sub(heard)
}

// Heartbeat takes in what a backend says about itself, and returns the internal
// address of the replica that is to be told next time. What changes nothing is
// answered by any replica that tells the leader; the rest is the leader's to commit.
func (d *Directory) Heartbeat(ctx context.Context, heartbeat Heartbeat) (string, error) {
	if !d.replica.Status().LeaderKnown {
		return "", replica.ErrUnavailable.New("no leader is known")
	}
	known, registered := d.view.Load().Backend(heartbeat.Backend.ID)
	heartbeat.keepUnread(known)
	if registered && sameRegistration(known, heartbeat.Backend) && d.tellsLeader() {
		d.heartbeats.note(clock.Now(), heartbeat.Backend.ID, heartbeat.Sequence)
		return d.settings.InternalAddress, nil
	}
	return d.settings.InternalAddress, d.registrations.do(ctx, heartbeat)
}

// tellBeats is the number of heartbeats for which the leader may not have answered a replica that
// takes them for it. Beyond that a backend has to go to another replica: with silentBeats the leader
// would take it for silent, though it is heard here.
const tellBeats = 2

// tellsLeader tells whether this replica leads, or has lately told the leader whom it has heard.
func (d *Directory) tellsLeader() bool {
	age := time.Duration(nowMillis()-d.toldAt.Load()) * time.Millisecond
	return d.replica.Status().Leading || age <= tellBeats*d.settings.HeartbeatInterval
}

// noteTold notes that the leader has answered a call that began at the time.
func (d *Directory) noteTold(began int64) { d.toldAt.Store(max(d.toldAt.Load(), began)) }

// registerAll has the leader take in what heartbeats change.
func (d *Directory) registerAll(ctx context.Context, heartbeats []Heartbeat) error {
	_, err := d.call(ctx, directoryCall{Heartbeats: heartbeats})
	return err
}

// handleHeartbeats commits, on the leader, what heartbeats change, in one entry of the log.
func (d *Directory) handleHeartbeats(ctx context.Context, heartbeats []Heartbeat) error {
	d.checkStall()
	sound := d.noteHeartbeats(heartbeats)
	known := make([]registered, len(sound))
	if !d.replica.Do(func() {
		for position, heartbeat := range sound {
			known[position] = d.registeredFor(heartbeat.Backend)
		}
	}) {
		return replica.ErrUnavailable.New("the replica has stopped")
	}
	var changes []directory.Command
	for position, heartbeat := range sound {
		heartbeat.keepUnread(known[position].named)
		if change, isNews := d.registrationCommand(known[position], heartbeat); isNews {
			changes = append(changes, change)
		}
	}
	if len(changes) == 0 {
		return nil
	}
	_, err := d.execute(ctx, directory.Command{Batch: changes})
	return err
}

// noteHeartbeats notes whom the leader has heard, and returns the heartbeats that are not late.
func (d *Directory) noteHeartbeats(heartbeats []Heartbeat) []Heartbeat {
	now, latest := clock.Now(), d.latestBirth()
	var sound []Heartbeat
	for _, heartbeat := range heartbeats {
		if heartbeat.Backend.Born > latest {
			d.RecordInvalidHeartbeat(InvalidHeartbeat{Backend: heartbeat.Backend.ID, Field: "born", Reason: "in the future"})
			continue
		}
		if d.heartbeats.note(now, heartbeat.Backend.ID, heartbeat.Sequence) {
			sound = append(sound, heartbeat)
		}
	}
	return sound
}

// registered is what the machine holds that concerns a backend.
type registered struct {
	// named is the incarnation that is registered under its name, and holder whoever is at its
	// address.
	named, holder    directory.Backend
	isNamed, hasHeld bool
	// gone is set if the incarnation has left or was taken out, and mayReturn if it was only not heard.
	gone, mayReturn bool
}

// registeredFor returns what the machine holds that concerns the backend. It is called in the
// replica's loop.
func (d *Directory) registeredFor(backend directory.Backend) registered {
	var r registered
	r.named, r.isNamed = d.machine.BackendByName(backend.NameOrID())
	r.holder, r.hasHeld = d.machine.BackendByAddress(backend.Address)
	r.gone = d.machine.IsRemoved(backend.Incarnation())
	r.mayReturn = d.machine.MayReturn(backend.Incarnation())
	return r
}

// changes tells whether what a backend says changes what is registered.
func (d *Directory) changes(known registered, backend directory.Backend) bool {
	switch {
	case known.gone:
		return false
	case known.isNamed && known.named.ID == backend.ID && sameRegistration(known.named, backend):
		return false
	case known.isNamed && known.named.ID != backend.ID && known.named.Born >= backend.Born:
		event.StaleHeartbeatIgnored.On(d.logger).Str("backend", backend.ID).Str("registered", known.named.ID).Send()
		return false
	}
	return !d.isContested(known, backend)
}

// isContested tells whether another one keeps the address that the backend names.
func (d *Directory) isContested(known registered, backend directory.Backend) bool {
	if !known.hasHeld || known.holder.NameOrID() == backend.NameOrID() || !d.keepsAddress(known.holder, backend) {
		return false
	}
	event.AddressConflict.On(d.logger).Str("backend", backend.ID).Str("holder", known.holder.ID).Str("address", backend.Address).Send()
	return true
}

// keepsAddress tells whether the holder keeps its address from another backend: because it is
// heard of, or because it started later, so that the other has ended.
func (d *Directory) keepsAddress(holder, backend directory.Backend) bool {
	return backend.Born > 0 && backend.Born < holder.Born || d.heartbeats.silence(clock.Now(), holder.ID) < d.addressHold()
}

// birthSlack is by how much a backend's clock may be ahead of this machine's: clocks may be off by
// seconds, and a birth that nothing real can follow would keep all later starts out.
const birthSlack = time.Minute

// latestBirth is the latest time, in milliseconds since 1970, at which a backend may say that it
// was born.
func (d *Directory) latestBirth() int64 {
	now := time.Now().UnixMilli()
	if ahead, ok := d.usage.clock.Offset(nowMillis()); ok {
		now = nowMillis() + ahead
	}
	return now + birthSlack.Milliseconds()
}

// tellHeard tells the leader whom this replica has heard, and now and then what its clock
// shows.
func (d *Directory) tellHeard(ctx context.Context) {
	heard := d.heartbeats.takeUntold()
	if len(heard) == 0 && time.Since(d.clockTold) < clockInterval {
		return
	}
	d.clockTold = time.Now()
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	began := nowMillis()
	// What is lost is told again with the next heartbeats.
	_, err := d.call(limited, directoryCall{Heard: heard, Clock: &clockReading{
		Machine: d.settings.Name, Millis: time.Now().UnixMilli(), At: d.ownZone(),
	}, Says: &d.versions.own})
	if err == nil {
		d.noteTold(began)
	}
}

// ownZone tells where this replica is.
func (d *Directory) ownZone() directory.ReplicaZone {
	return directory.ReplicaZone{Address: d.settings.InternalAddress, Zone: d.settings.Zone}
}

// addressBeats is the number of missed heartbeats after which a backend's address may be
// another's. A heartbeat that a cut has held up may come after its sender has crashed and a
// later incarnation, which goes on sending them, has registered at the same address.
const addressBeats = 1.5

// addressHold is how long an address stays its holder's without a heartbeat of it.
func (d *Directory) addressHold() time.Duration {
	return time.Duration(addressBeats * float64(d.settings.HeartbeatInterval))
}

// clockInterval is the longest time between two readings of a replica's clock.
const clockInterval = time.Second
