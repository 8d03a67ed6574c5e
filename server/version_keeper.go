package server

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/upgrade"
)

// versionKeeper raises, on the directory's leader, the version of its commands once all members know it,
// and logs which members do not.
type versionKeeper struct {
	own     upgrade.VersionReport
	address string
	replica *replica.Replica
	machine *directory.Machine
	logger  *zerolog.Logger
	// inUse is the version in use, which may lag behind the machine.
	inUse atomic.Uint64

	mutex   sync.Mutex
	reports *upgrade.VersionTracker
	// silentRemovals are the IDs of backends that this process, as the leader of silentRemovalsTerm,
	// removed for silence before ReturnVersion was in use.
	silentRemovals     map[string]bool
	silentRemovalsTerm uint64
	// unconfirmed are the members that do not know the version, unconfirmedSince is when that list last
	// changed, and unconfirmedLogged whether it was logged; builds are those of the members. They are
	// used only by review.
	unconfirmed       []string
	unconfirmedSince  time.Time
	unconfirmedLogged bool
	builds            []string
}

func newVersionKeeper(address string, opened *replica.Replica, machine *directory.Machine, logger *zerolog.Logger) *versionKeeper {
	return &versionKeeper{
		own:     upgrade.VersionReport{Knows: directory.KnownVersion, Build: upgrade.Build()},
		address: address, replica: opened, machine: machine, logger: logger,
		reports: upgrade.NewVersionTracker(), silentRemovals: map[string]bool{},
	}
}

// recordReport records the version report of the member at the address; nil comes from an earlier build.
func (k *versionKeeper) recordReport(address string, report *upgrade.VersionReport) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if report == nil {
		report = &upgrade.VersionReport{}
	}
	k.reports.Record(clock.Now(), address, *report)
}

// recordCommand records, before a command is executed, which backends it removes for silence and which
// leave. The machine does not distinguish them before ReturnVersion is in use.
func (k *versionKeeper) recordCommand(command directory.Command) {
	status := k.replica.Status()
	if !status.Leading || k.inUse.Load() >= directory.ReturnVersion {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if status.Term != k.silentRemovalsTerm {
		k.silentRemovals, k.silentRemovalsTerm = map[string]bool{}, status.Term
	}
	k.recordRemoval(command.RemoveBackend)
	for _, change := range command.Batch {
		k.recordRemoval(change.RemoveBackend)
	}
}

func (k *versionKeeper) recordRemoval(removal *directory.RemoveBackend) {
	switch {
	case removal == nil:
	case removal.Name == "":
		k.silentRemovals[removal.ID] = true
	default:
		for id := range k.silentRemovals {
			if directory.IncarnationFromID(id).Name == removal.Name {
				delete(k.silentRemovals, id)
			}
		}
	}
}

// updateInUse reads the version in use, and requires new members to know it.
func (k *versionKeeper) updateInUse() {
	inUse := uint64(0)
	k.replica.Do(func() { inUse = k.machine.VersionInUse() })
	if k.inUse.Swap(inUse) != inUse {
		event.CommandVersionChanged.On(k.logger).Uint("version", inUse).Uint("known", k.own.Knows).Send()
		k.replica.RequireVersion(inUse)
	}
}

// review raises the version, on the leader, if all members know it.
func (k *versionKeeper) review(ctx context.Context) {
	k.recordReport(k.address, &k.own)
	members := k.replica.Status().Members
	k.logBuilds(members)
	if k.inUse.Load() >= k.own.Knows {
		k.logUnconfirmed(k.outdatedMembers(members))
		return
	}
	if unconfirmed := k.unconfirmedMembers(members); len(unconfirmed) > 0 {
		k.logUnconfirmed(unconfirmed)
		return
	}
	_, err := k.replica.ExecuteVersioned(ctx, k.own.Knows, k.raiseCommand)
	if err != nil {
		event.LeaderUpdateFailed.On(k.logger).Err(err).Send()
		return
	}
	k.updateInUse()
}

// raiseCommand returns the command that raises the version, and whether the members know it. It is called
// in the replica's loop.
func (k *versionKeeper) raiseCommand(members []consensus.Member) ([]byte, bool) {
	if len(k.unconfirmedMembers(members)) > 0 {
		return nil, false
	}
	raise := directory.RaiseVersion{Version: k.own.Knows, Silenced: k.silentRemovalsIn(k.replica.Status().Term)}
	return directory.Command{RaiseVersion: &raise}.Encode(), true
}

func (k *versionKeeper) silentRemovalsIn(term uint64) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if term != k.silentRemovalsTerm {
		return nil
	}
	var ids []string
	for id := range k.silentRemovals {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (k *versionKeeper) unconfirmedMembers(members []consensus.Member) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.reports.Unconfirmed(clock.Now(), members, k.own.Knows)
}

func (k *versionKeeper) outdatedMembers(members []consensus.Member) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.reports.Outdated(clock.Now(), members, k.inUse.Load())
}

// logUnconfirmed logs members that have not confirmed the version for upgrade.ReportTTL.
func (k *versionKeeper) logUnconfirmed(unconfirmed []string) {
	now := clock.Now()
	if !slices.Equal(unconfirmed, k.unconfirmed) {
		k.unconfirmed, k.unconfirmedSince, k.unconfirmedLogged = unconfirmed, now, false
	}
	if len(unconfirmed) == 0 || k.unconfirmedLogged || now.Sub(k.unconfirmedSince) < upgrade.ReportTTL {
		return
	}
	k.unconfirmedLogged = true
	kind := event.CommandVersionPending
	if k.inUse.Load() >= k.own.Knows {
		kind = event.MemberOutdated
	}
	kind.On(k.logger).Uint("in_use", k.inUse.Load()).Uint("known", k.own.Knows).Str("members", strings.Join(unconfirmed, " ")).Send()
}

// logBuilds logs the builds of the members when they change.
func (k *versionKeeper) logBuilds(members []consensus.Member) {
	k.mutex.Lock()
	builds := k.reports.Builds(clock.Now(), members)
	k.mutex.Unlock()
	if slices.Equal(builds, k.builds) {
		return
	}
	k.builds = builds
	event.BuildsChanged.On(k.logger).Str("builds", strings.Join(builds, " ")).Uint("mixed", boolToUint(len(builds) > 1)).Send()
}
