package server

import (
	"context"
	"sort"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
)

// sameRegistration reports whether a heartbeat's backend does not change its registration.
func sameRegistration(registered, backend directory.Backend) bool {
	if len(registered.Models) != len(backend.Models) {
		return false
	}
	for position, model := range backend.Models {
		if registered.Models[position] != model {
			return false
		}
	}
	return sameExceptModels(registered, backend)
}

// sameExceptModels reports whether a heartbeat's backend changes nothing but the versions of its models.
func sameExceptModels(registered, backend directory.Backend) bool {
	// A backend never stops draining, whatever a late heartbeat says.
	return registered.ID == backend.ID && registered.Service == backend.Service && registered.Address == backend.Address && registered.Zone == backend.Zone &&
		registered.Slots == backend.Slots && (registered.Draining || !backend.Draining) && !registered.Silent
}

// review periodically runs the leader's checks if this replica leads, and otherwise reports to the leader.
func (d *Directory) review(ctx context.Context) {
	every(ctx, reviewInterval, func() {
		serving := d.replica.Status().Serving
		d.updateServing(serving)
		d.duties.observeActions()
		d.versions.updateInUse()
		d.heartbeats.prune(clock.Now(), heartbeatRetentionHeartbeats*d.settings.HeartbeatInterval)
		if !serving {
			d.reportToLeader(ctx)
			return
		}
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		d.reviewAsLeader(limited)
	})
}

// reviewAsLeader runs the leader's periodic checks.
func (d *Directory) reviewAsLeader(ctx context.Context) {
	d.versions.review(ctx)
	d.reviewBackends(ctx)
	d.reviewSuspects(ctx)
	d.formGroup(ctx)
	if err := d.recordZone(ctx, d.localZone()); err != nil {
		event.LeaderUpdateFailed.On(d.logger).Err(err).Send()
	}
	d.usage.recordClock(d.settings.Name, time.Now().UnixMilli())
	d.usage.review(ctx, d.view.Load().HasTenants())
	d.scale.review(d.view.Load())
}

// updateServing resets the state of an earlier leadership when a new one begins.
func (d *Directory) updateServing(serving bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if serving && !d.serving {
		d.heartbeats.reset()
		d.stalls.reset()
		d.suspects = suspectTracker{}
		d.scale.reset()
		d.firstStoreAt, d.newestStoreAt = time.Time{}, time.Time{}
	}
	d.serving = serving
}

// removalTimeout returns how long a backend may be silent before it is removed.
func (d *Directory) removalTimeout() time.Duration {
	if d.versions.inUse.Load() < directory.ReturnVersion {
		return permanentRemovalHeartbeats * d.settings.HeartbeatInterval
	}
	return removalHeartbeats * d.settings.HeartbeatInterval
}

// reviewBackends marks or removes silent backends, all in one log entry. It reads the view: backends that
// register meanwhile are checked next time.
func (d *Directory) reviewBackends(ctx context.Context) {
	d.checkStall()
	now := clock.Now()
	removalTimeout := d.removalTimeout()
	var changes []directory.Command
	for backend := range d.view.Load().AllBackends() {
		switch silence := d.heartbeats.silence(now, backend.ID); {
		case silence > removalTimeout:
			event.BackendRemoved.On(d.logger).Str("backend", backend.ID).Uint("silent_ms", uint64(silence.Milliseconds())).Send()
			changes = append(changes, directory.Command{RemoveBackend: &directory.RemoveBackend{ID: backend.ID}})
		case silence > silentHeartbeats*d.settings.HeartbeatInterval && !backend.Silent:
			event.BackendSilent.On(d.logger).Str("backend", backend.ID).Uint("silent_ms", uint64(silence.Milliseconds())).Send()
			silent := *backend
			silent.Silent = true
			changes = append(changes, directory.Command{PutBackend: &silent})
		}
	}
	if len(changes) > 0 {
		d.executeOrLog(ctx, directory.Command{Batch: changes})
	}
}

// formGroup forms the first group of the ledger from the registered stores, spread over the zones.
func (d *Directory) formGroup(ctx context.Context) {
	var stores []directory.Store
	formed := true
	d.replica.Do(func() {
		stores = d.machine.Stores()
		formed = len(d.machine.Group().Members) > 0
	})
	if formed || !d.isFormationDue(len(stores)) {
		return
	}
	members := chooseInitialMembers(stores, config.Voters(d.settings.ToleratedLosses))
	if len(members) == 0 {
		return
	}
	event.GroupFormed.On(d.logger).Uint("members", uint64(len(members))).Send()
	d.execute(ctx, directory.Command{FormGroup: &directory.Group{Members: members}})
}

func (d *Directory) isFormationDue(stores int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.firstStoreAt.IsZero() {
		if stores > 0 {
			d.firstStoreAt, d.newestStoreAt = time.Now(), time.Now()
		}
		return false
	}
	if time.Since(d.newestStoreAt) < formationQuietTime {
		return false
	}
	return stores >= config.Voters(d.settings.ToleratedLosses) || time.Since(d.firstStoreAt) > maxFormationWait
}

// chooseInitialMembers picks fresh stores from the zones in turn.
func chooseInitialMembers(stores []directory.Store, limit int) []consensus.Member {
	byZone := map[string][]directory.Store{}
	var zones []string
	for _, store := range stores {
		if !store.Fresh {
			continue
		}
		if len(byZone[store.Zone]) == 0 {
			zones = append(zones, store.Zone)
		}
		byZone[store.Zone] = append(byZone[store.Zone], store)
	}
	sort.Strings(zones)
	var members []consensus.Member
	for round := 0; len(members) < limit; round++ {
		before := len(members)
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(members) < limit {
				store := byZone[zone][round]
				members = append(members, consensus.Member{ID: store.Replica, Address: store.Address, Voter: true})
			}
		}
		if len(members) == before {
			break
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}
