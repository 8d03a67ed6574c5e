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

// versionCoordinator raises the version of the directory's commands, on its leader, once all members support
// it, and logs which members do not.
type versionCoordinator struct {
	localReport upgrade.VersionReport
	address     string
	replica     *replica.Replica
	machine     *directory.Machine
	logger      *zerolog.Logger
	// inUse is the version in use. It may lag behind the machine's.
	inUse atomic.Uint64

	mutex   sync.Mutex
	reports *upgrade.VersionTracker
	// silentRemovals are the IDs of backends that this process, as the leader of silentRemovalsTerm, removed
	// as silent before ReturnVersion was in use.
	silentRemovals     map[string]bool
	silentRemovalsTerm uint64
	// unconfirmed are the unconfirmed or outdated members, unconfirmedSince is when that list last changed,
	// and unconfirmedLogged whether it was logged. builds are the members' builds. All four are used only by
	// review.
	unconfirmed       []string
	unconfirmedSince  time.Time
	unconfirmedLogged bool
	builds            []string
}

func newVersionCoordinator(address string, r *replica.Replica, machine *directory.Machine, logger *zerolog.Logger) *versionCoordinator {
	return &versionCoordinator{
		localReport: upgrade.VersionReport{Knows: directory.KnownVersion, Build: upgrade.Build()},
		address:     address, replica: r, machine: machine, logger: logger,
		reports: upgrade.NewVersionTracker(), silentRemovals: map[string]bool{},
	}
}

// recordReport records the version report of the member at the address. Members of an earlier build send
// none, so it may be nil.
func (c *versionCoordinator) recordReport(address string, report *upgrade.VersionReport) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if report == nil {
		report = &upgrade.VersionReport{}
	}
	c.reports.Record(clock.Now(), address, *report)
}

// recordCommand records which backends a command removes as silent and which have left. It is called before
// the command is executed. The machine does not distinguish them before ReturnVersion is in use.
func (c *versionCoordinator) recordCommand(command directory.Command) {
	status := c.replica.Status()
	if !status.Leading || c.inUse.Load() >= directory.ReturnVersion {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if status.Term != c.silentRemovalsTerm {
		c.silentRemovals, c.silentRemovalsTerm = map[string]bool{}, status.Term
	}
	c.recordRemoval(command.RemoveBackend)
	for _, change := range command.Batch {
		c.recordRemoval(change.RemoveBackend)
	}
}

func (c *versionCoordinator) recordRemoval(removal *directory.RemoveBackend) {
	switch {
	case removal == nil:
	case removal.Name == "":
		c.silentRemovals[removal.ID] = true
	default:
		for id := range c.silentRemovals {
			if directory.IncarnationFromID(id).Name == removal.Name {
				delete(c.silentRemovals, id)
			}
		}
	}
}

// updateInUse reads the version in use, and requires new members to support it.
func (c *versionCoordinator) updateInUse() {
	inUse := uint64(0)
	c.replica.Do(func() { inUse = c.machine.VersionInUse() })
	if c.inUse.Swap(inUse) != inUse {
		event.CommandVersionChanged.On(c.logger).Uint("version", inUse).Uint("known", c.localReport.Knows).Send()
		c.replica.RequireVersion(inUse)
	}
}

// review raises the version, on the leader, if all members support it.
func (c *versionCoordinator) review(ctx context.Context) {
	c.recordReport(c.address, &c.localReport)
	members := c.replica.Status().Members
	c.logBuilds(members)
	if c.inUse.Load() >= c.localReport.Knows {
		c.logUnconfirmed(c.outdatedMembers(members))
		return
	}
	if unconfirmed := c.unconfirmedMembers(members); len(unconfirmed) > 0 {
		c.logUnconfirmed(unconfirmed)
		return
	}
	_, err := c.replica.ExecuteVersioned(ctx, c.localReport.Knows, c.raiseCommand)
	if err != nil {
		event.LeaderUpdateFailed.On(c.logger).Err(err).Send()
		return
	}
	c.updateInUse()
}

// raiseCommand returns the command that raises the version, and whether all members support it. It is called
// in the replica's loop.
func (c *versionCoordinator) raiseCommand(members []consensus.Member) ([]byte, bool) {
	if len(c.unconfirmedMembers(members)) > 0 {
		return nil, false
	}
	raise := directory.RaiseVersion{Version: c.localReport.Knows, Silenced: c.silentRemovalsIn(c.replica.Status().Term)}
	return directory.Command{RaiseVersion: &raise}.Encode(), true
}

func (c *versionCoordinator) silentRemovalsIn(term uint64) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if term != c.silentRemovalsTerm {
		return nil
	}
	var ids []string
	for id := range c.silentRemovals {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *versionCoordinator) unconfirmedMembers(members []consensus.Member) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reports.Unconfirmed(clock.Now(), members, c.localReport.Knows)
}

func (c *versionCoordinator) outdatedMembers(members []consensus.Member) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reports.Outdated(clock.Now(), members, c.inUse.Load())
}

// logUnconfirmed logs members that have not confirmed the version for upgrade.ReportTTL.
func (c *versionCoordinator) logUnconfirmed(unconfirmed []string) {
	now := clock.Now()
	if !slices.Equal(unconfirmed, c.unconfirmed) {
		c.unconfirmed, c.unconfirmedSince, c.unconfirmedLogged = unconfirmed, now, false
	}
	if len(unconfirmed) == 0 || c.unconfirmedLogged || now.Sub(c.unconfirmedSince) < upgrade.ReportTTL {
		return
	}
	c.unconfirmedLogged = true
	kind := event.CommandVersionPending
	if c.inUse.Load() >= c.localReport.Knows {
		kind = event.MemberOutdated
	}
	kind.On(c.logger).Uint("in_use", c.inUse.Load()).Uint("known", c.localReport.Knows).Str("members", strings.Join(unconfirmed, " ")).Send()
}

// logBuilds logs the builds of the members when they change.
func (c *versionCoordinator) logBuilds(members []consensus.Member) {
	c.mutex.Lock()
	builds := c.reports.Builds(clock.Now(), members)
	c.mutex.Unlock()
	if slices.Equal(builds, c.builds) {
		return
	}
	c.builds = builds
	event.BuildsChanged.On(c.logger).Str("builds", strings.Join(builds, " ")).Uint("mixed", boolToUint(len(builds) > 1)).Send()
}
