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

// versionKeeper has the directory's leader raise the version of its commands once all members know
// it, and tells when they do not.
type versionKeeper struct {
	own     upgrade.VersionReport
	address string
	replica *replica.Replica
	machine *directory.Machine
	logger  *zerolog.Logger
	// inUse is the version in use, a little late.
	inUse atomic.Uint64

	mutex  sync.Mutex
	census *upgrade.VersionTracker
	// silenced are the IDs of backends that this process has had taken out, in a term that it led
	// in and before ReturnVersion was in use, only because nobody heard them.
	silenced     map[string]bool
	silencedTerm uint64
	// missing are the members that do not know the version, since when, and whether that was told;
	// builds are those of the members. They belong to the review.
	missing      []string
	missingSince time.Time
	missingTold  bool
	builds       []string
}

func newVersionKeeper(address string, opened *replica.Replica, machine *directory.Machine, logger *zerolog.Logger) *versionKeeper {
	return &versionKeeper{
		own:     upgrade.VersionReport{Knows: directory.KnownVersion, Build: upgrade.Build()},
		address: address, replica: opened, machine: machine, logger: logger,
		census: upgrade.NewVersionTracker(), silenced: map[string]bool{},
	}
}

// note takes in what the member at the address says of itself; nil is an earlier build.
func (k *versionKeeper) note(address string, said *upgrade.VersionReport) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if said == nil {
		said = &upgrade.VersionReport{}
	}
	k.census.Record(clock.Now(), address, *said)
}

// noteCommand remembers, before the command is carried out, whom the leader takes out for silence
// and who leaves. The record does not tell them apart before ReturnVersion is in use.
func (k *versionKeeper) noteCommand(command directory.Command) {
	status := k.replica.Status()
	if !status.Leading || k.inUse.Load() >= directory.ReturnVersion {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if status.Term != k.silencedTerm {
		k.silenced, k.silencedTerm = map[string]bool{}, status.Term
	}
	k.noteRemoval(command.RemoveBackend)
	for _, change := range command.Batch {
		k.noteRemoval(change.RemoveBackend)
	}
}

func (k *versionKeeper) noteRemoval(removal *directory.RemoveBackend) {
	switch {
	case removal == nil:
	case removal.Name == "":
		k.silenced[removal.ID] = true
	default:
		for id := range k.silenced {
			if directory.IncarnationFromID(id).Name == removal.Name {
				delete(k.silenced, id)
			}
		}
	}
}

// follow takes in which version is in use, and has only those let in that know it.
func (k *versionKeeper) follow() {
	inUse := uint64(0)
	k.replica.Do(func() { inUse = k.machine.VersionInUse() })
	if k.inUse.Swap(inUse) != inUse {
		event.CommandVersionChanged.On(k.logger).Uint("version", inUse).Uint("known", k.own.Knows).Send()
		k.replica.RequireVersion(inUse)
	}
}

// review raises the version, on the leader, if all members know it.
func (k *versionKeeper) review(ctx context.Context) {
	k.note(k.address, &k.own)
	members := k.replica.Status().Members
	k.logBuilds(members)
	if k.inUse.Load() >= k.own.Knows {
		k.logMissing(k.tooEarly(members))
		return
	}
	if missing := k.missingOf(members); len(missing) > 0 {
		k.logMissing(missing)
		return
	}
	_, err := k.replica.ExecuteVersioned(ctx, k.own.Knows, k.raise)
	if err != nil {
		event.LeaderUpdateFailed.On(k.logger).Err(err).Send()
		return
	}
	k.follow()
}

// raise returns the command that raises the version, and whether the members know it. It is called
// in the replica's loop.
func (k *versionKeeper) raise(members []consensus.Member) ([]byte, bool) {
	if len(k.missingOf(members)) > 0 {
		return nil, false
	}
	raise := directory.RaiseVersion{Version: k.own.Knows, Silenced: k.silencedIn(k.replica.Status().Term)}
	return directory.Command{RaiseVersion: &raise}.Encode(), true
}

func (k *versionKeeper) silencedIn(term uint64) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if term != k.silencedTerm {
		return nil
	}
	var ids []string
	for id := range k.silenced {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (k *versionKeeper) missingOf(members []consensus.Member) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.census.Unconfirmed(clock.Now(), members, k.own.Knows)
}

func (k *versionKeeper) tooEarly(members []consensus.Member) []string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.census.Outdated(clock.Now(), members, k.inUse.Load())
}

// logMissing tells of the members that do not know the version, or have not said so for the life of a
// statement.
func (k *versionKeeper) logMissing(missing []string) {
	now := clock.Now()
	if !slices.Equal(missing, k.missing) {
		k.missing, k.missingSince, k.missingTold = missing, now, false
	}
	if len(missing) == 0 || k.missingTold || now.Sub(k.missingSince) < upgrade.ReportTTL {
		return
	}
	k.missingTold = true
	kind := event.CommandVersionPending
	if k.inUse.Load() >= k.own.Knows {
		kind = event.MemberOutdated
	}
	kind.On(k.logger).Uint("in_use", k.inUse.Load()).Uint("known", k.own.Knows).Str("members", strings.Join(missing, " ")).Send()
}

// logBuilds tells which builds the members are of, when that changes.
func (k *versionKeeper) logBuilds(members []consensus.Member) {
	k.mutex.Lock()
	builds := k.census.Builds(clock.Now(), members)
	k.mutex.Unlock()
	if slices.Equal(builds, k.builds) {
		return
	}
	k.builds = builds
	event.BuildsChanged.On(k.logger).Str("builds", strings.Join(builds, " ")).Uint("mixed", boolToUint(len(builds) > 1)).Send()
}
