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

func sameRegistration(known, backend directory.Backend) bool {
	if len(known.Models) != len(backend.Models) {
		return false
	}
	for position, held := range backend.Models {
		if known.Models[position] != held {
			return false
		}
	}
	// A mark of draining is never taken back, whatever a late heartbeat says.
	return known.Service == backend.Service && known.Address == backend.Address && known.Zone == backend.Zone &&
		known.Slots == backend.Slots && (known.Draining || !backend.Draining) && !known.Silent
}

// review looks for silent backends and forms the first group of stores, while
// this replica leads.
func (d *Directory) review(ctx context.Context) {
	every(ctx, reviewInterval, func() {
		serving := d.replica.Status().Serving
		d.beginServing(serving)
		d.duties.noteActs()
		d.versions.follow()
		if !serving {
			d.tellHeard(ctx)
			return
		}
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		d.reviewAsLeader(limited)
	})
}

// reviewAsLeader does what is the leader's alone.
func (d *Directory) reviewAsLeader(ctx context.Context) {
	d.versions.review(ctx)
	d.reviewBackends(ctx)
	d.reviewSuspects(ctx)
	d.formGroup(ctx)
	if err := d.noteZone(ctx, d.ownZone()); err != nil {
		event.LeaderUpdateFailed.On(d.logger).Err(err).Send()
	}
	d.usage.noteClock(d.settings.Name, time.Now().UnixMilli())
	d.usage.review(ctx, d.view.Load().HasTenants())
	d.scale.review(d.view.Load())
}

// beginServing forgets, when a leadership begins, what was heard in an earlier one.
func (d *Directory) beginServing(serving bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if serving && !d.serving {
		d.heartbeats.reset()
		d.standstill.reset()
		d.suspects = suspectTracker{}
		d.scale.begin()
		d.firstStore, d.newestStore = time.Time{}, time.Time{}
	}
	d.serving = serving
}

// patience returns after how long a silence a backend is taken out.
func (d *Directory) patience() time.Duration {
	if d.versions.inUse.Load() < directory.ReturnVersion {
		return finalBeats * d.settings.HeartbeatInterval
	}
	return goneBeats * d.settings.HeartbeatInterval
}

// reviewBackends marks or takes out the backends that have fallen silent, all of them in one entry
// of the log. It goes by the view: whoever registers meanwhile is looked at next time.
func (d *Directory) reviewBackends(ctx context.Context) {
	d.checkStall()
	now := clock.Now()
	patience := d.patience()
	var changes []directory.Command
	for backend := range d.view.Load().AllBackends() {
		switch silence := d.heartbeats.silence(now, backend.ID); {
		case silence > patience:
			event.BackendRemoved.On(d.logger).Str("backend", backend.ID).Uint("silent_ms", uint64(silence.Milliseconds())).Send()
			changes = append(changes, directory.Command{RemoveBackend: &directory.RemoveBackend{ID: backend.ID}})
		case silence > silentBeats*d.settings.HeartbeatInterval && !backend.Silent:
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

// formGroup makes the first group of the ledger out of the stores that have
// registered, with as many zones as there are.
func (d *Directory) formGroup(ctx context.Context) {
	var stores []directory.Store
	formed := true
	d.replica.Do(func() {
		stores = d.machine.Stores()
		formed = len(d.machine.Group().Members) > 0
	})
	if formed || !d.formationDue(len(stores)) {
		return
	}
	members := chooseFounders(stores, config.Voters(d.settings.ToleratedLosses))
	if len(members) == 0 {
		return
	}
	event.GroupFormed.On(d.logger).Uint("members", uint64(len(members))).Send()
	d.execute(ctx, directory.Command{FormGroup: &directory.Group{Members: members}})
}

func (d *Directory) formationDue(stores int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.firstStore.IsZero() {
		if stores > 0 {
			d.firstStore, d.newestStore = time.Now(), time.Now()
		}
		return false
	}
	if time.Since(d.newestStore) < formationPause {
		return false
	}
	return stores >= config.Voters(d.settings.ToleratedLosses) || time.Since(d.firstStore) > formationWait
}

// chooseFounders takes fresh stores by turns from each zone.
func chooseFounders(stores []directory.Store, most int) []consensus.Member {
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
	for round := 0; len(members) < most; round++ {
		before := len(members)
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(members) < most {
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
