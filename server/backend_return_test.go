package server

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/upgrade"
)

// heartbeatSender sends a backend's heartbeats to replicas of a directory.
type heartbeatSender struct {
	t        *testing.T
	backend  directory.Backend
	sequence uint64
}

func newHeartbeatSender(t *testing.T, id, address string) *heartbeatSender {
	return &heartbeatSender{t: t, backend: directory.Backend{ID: id, Service: "s", Address: address, Zone: "z", Slots: 6}}
}

// send sends the next heartbeat and reports whether the backend is registered at the replica.
func (b *heartbeatSender) send(d *Directory) bool {
	b.sequence++
	if _, err := d.Heartbeat(b.t.Context(), Heartbeat{Backend: b.backend, Sequence: b.sequence}); err != nil {
		return false
	}
	return isRegistered(d, b.backend.ID)
}

func isRegistered(d *Directory, id string) bool {
	_, registered := d.view.Load().Backend(id)
	return registered
}

// eventually requires that the condition holds within waitTimeout.
func eventually(t *testing.T, condition func() bool, message string) {
	t.Helper()
	require.Eventually(t, condition, waitTimeout, pollInterval, message)
}

// never requires that the condition does not hold at any time during the duration.
func never(t *testing.T, duration time.Duration, condition func() bool, message string) {
	t.Helper()
	require.Never(t, condition, duration, pollInterval, message)
}

// leaderOf returns the replica that leads and serves.
func leaderOf(t *testing.T, members []*runningReplica) *runningReplica {
	t.Helper()
	var leader *runningReplica
	eventually(t, func() bool {
		for _, member := range members {
			if member.directory.Status().Serving {
				leader = member
				return true
			}
		}
		return false
	}, "no replica leads")
	return leader
}

// removeSilent has the leader remove the backend as silent.
func removeSilent(t *testing.T, members []*runningReplica, id string) {
	t.Helper()
	remove := directory.Command{RemoveBackend: &directory.RemoveBackend{ID: id}}
	_, err := leaderOf(t, members).directory.execute(t.Context(), remove)
	require.NoError(t, err)
	for _, member := range members {
		eventually(t, func() bool { return !isRegistered(member.directory, id) }, "the backend is not removed")
	}
}

func versionInUse(d *Directory) uint64 {
	version := uint64(0)
	d.replica.Do(func() { version = d.machine.VersionInUse() })
	return version
}

// awaitVersion waits until all replicas use the newest version.
func awaitVersion(t *testing.T, members []*runningReplica) {
	t.Helper()
	for _, member := range members {
		eventually(t, func() bool { return versionInUse(member.directory) == directory.KnownVersion }, "the version is not raised")
	}
}

func noPreparation(int, *Directory) {}

func asCurrentBuild(*Directory) {}

// asEarlierBuild makes the replica report no version, like a build without versions.
func asEarlierBuild(d *Directory) { d.versions.localReport = upgrade.VersionReport{} }

// TestReturnNeedsTwoHeartbeats checks that a backend returns only after two different heartbeats that are
// neither too close nor too far apart.
func TestReturnNeedsTwoHeartbeats(t *testing.T) {
	const interval = time.Second
	start := time.UnixMilli(0)
	minGap := time.Duration(minReturnIntervals * float64(interval))
	tracker := newLivenessTracker()
	require.False(t, tracker.record(start, "a", 7, interval))
	require.False(t, tracker.record(start.Add(minGap-1), "a", 8, interval), "too close together")
	require.False(t, tracker.record(start.Add(minGap), "a", 7, interval), "the same heartbeat again")
	require.True(t, tracker.record(start.Add(minGap), "a", 8, interval))

	require.False(t, tracker.record(start, "b", 7, interval))
	require.False(t, tracker.record(start.Add(silentHeartbeats*interval+1), "b", 8, interval), "too far apart")
	require.True(t, tracker.record(start.Add(silentHeartbeats*interval+1+minGap), "b", 9, interval))

	require.False(t, tracker.record(start, "c", 7, interval))
	tracker.forget("c")
	require.False(t, tracker.record(start.Add(minGap), "c", 8, interval), "the first heartbeat was dropped")
}

// TestLateHeartbeatsDoNotReplaceBackend checks that delayed heartbeats of a crashed backend, removed as
// silent, do not replace the backend that now runs at its address.
func TestLateHeartbeatsDoNotReplaceBackend(t *testing.T) {
	members := startMembers(t, noPreparation)
	d := members[0].directory
	crashed, running := newHeartbeatSender(t, "crashed", "10.0.0.1:80"), newHeartbeatSender(t, "running", "10.0.0.1:80")
	awaitVersion(t, members)
	eventually(t, func() bool { return crashed.send(d) }, "the backend does not register")
	removeSilent(t, members, "crashed")
	eventually(t, func() bool { return running.send(d) }, "the next backend at the address does not register")
	never(t, 3*d.settings.HeartbeatInterval, func() bool {
		running.send(d)
		return crashed.send(d)
	}, "the crashed backend is registered")
	eventually(t, func() bool { return running.send(d) }, "the running backend is not registered")
}

// TestSingleLateHeartbeatDoesNotRegister checks that one delayed heartbeat does not register a removed
// backend.
func TestSingleLateHeartbeatDoesNotRegister(t *testing.T) {
	members := startMembers(t, noPreparation)
	d := members[0].directory
	crashed := newHeartbeatSender(t, "crashed", "10.0.0.1:80")
	awaitVersion(t, members)
	eventually(t, func() bool { return crashed.send(d) }, "the backend does not register")
	removeSilent(t, members, "crashed")
	require.False(t, crashed.send(d))
	never(t, 2*d.settings.HeartbeatInterval, func() bool { return isRegistered(d, "crashed") }, "one heartbeat registers the backend")
}

// TestBackendThatLeftIsNotRegisteredAgain checks that a backend which announced that it leaves is not
// registered again by later heartbeats, even if it had been removed as silent before.
func TestBackendThatLeftIsNotRegisteredAgain(t *testing.T) {
	members := startMembers(t, noPreparation)
	d := members[0].directory
	left, silent := newHeartbeatSender(t, "left", "10.0.0.1:80"), newHeartbeatSender(t, "silent", "10.0.0.2:80")
	awaitVersion(t, members)
	eventually(t, func() bool { return left.send(d) && silent.send(d) }, "the backends do not register")
	removeSilent(t, members, "silent")
	for _, id := range []string{"left", "silent"} {
		require.NoError(t, d.Leave(t.Context(), directory.Incarnation{Name: id}))
		eventually(t, func() bool { return !isRegistered(d, id) }, "the backend is still registered after it left")
	}
	never(t, 3*d.settings.HeartbeatInterval, func() bool { return left.send(d) || silent.send(d) }, "a backend that left is registered again")
}

// TestRemovedBackendReturnsToNextLeader checks that a removed backend returns after the leader that removed
// it has stopped.
func TestRemovedBackendReturnsToNextLeader(t *testing.T) {
	members := startMembers(t, noPreparation)
	backend := newHeartbeatSender(t, "b", "10.0.0.1:80")
	awaitVersion(t, members)
	eventually(t, func() bool { return backend.send(members[0].directory) }, "the backend does not register")
	removeSilent(t, members, "b")
	previous := leaderOf(t, members)
	previous.stop()
	var others []*runningReplica
	for _, member := range members {
		if member != previous {
			others = append(others, member)
		}
	}
	next := leaderOf(t, others)
	eventually(t, func() bool { return backend.send(next.directory) }, "the next leader does not register the backend")
	previous.restart(t, asCurrentBuild)
	eventually(t, func() bool { return isRegistered(previous.directory, "b") }, "the restarted replica does not receive the backend")
}

// TestAllSilentBackendsReturn checks that backends return after all of them were removed as silent.
func TestAllSilentBackendsReturn(t *testing.T) {
	members := startMembers(t, func(_ int, d *Directory) { d.settings.HeartbeatInterval = 50 * time.Millisecond })
	d := members[0].directory
	var backends []*heartbeatSender
	for _, id := range []string{"a", "b", "c"} {
		backends = append(backends, newHeartbeatSender(t, id, id+":80"))
	}
	sendAll := func() bool {
		allRegistered := true
		for _, backend := range backends {
			allRegistered = backend.send(d) && allRegistered
		}
		return allRegistered
	}
	awaitVersion(t, members)
	eventually(t, sendAll, "the backends do not register")
	eventually(t, func() bool { return d.view.Load().BackendCount() == 0 }, "the backends are not removed")
	eventually(t, sendAll, "the backends do not return")
}

// mixedMembers starts the replicas of a directory, of which one that does not lead is of an earlier build.
func mixedMembers(t *testing.T, prepare func(d *Directory)) (members []*runningReplica, outdated *runningReplica) {
	prepareOutdated := func(d *Directory) {
		prepare(d)
		asEarlierBuild(d)
	}
	members = startMembers(t, func(_ int, d *Directory) { prepareOutdated(d) })
	outdated = leaderOf(t, members)
	for _, member := range members {
		if member != outdated {
			member.restart(t, prepare)
		}
	}
	for leaderOf(t, members) == outdated {
		outdated.restart(t, prepareOutdated)
	}
	return members, outdated
}

// TestSilentBackendStaysRegisteredWithEarlierBuild checks that a silent backend is only marked, not removed,
// while a member is of an earlier build, which would not let it return.
func TestSilentBackendStaysRegisteredWithEarlierBuild(t *testing.T) {
	members, _ := mixedMembers(t, func(d *Directory) { d.settings.HeartbeatInterval = 50 * time.Millisecond })
	backend := newHeartbeatSender(t, "b", "10.0.0.1:80")
	d := leaderOf(t, members).directory
	eventually(t, func() bool { return backend.send(d) }, "the backend does not register")
	isSilent := func() bool {
		known, registered := d.view.Load().Backend("b")
		return registered && known.Silent
	}
	eventually(t, isSilent, "the backend is not marked silent")
	never(t, removalHeartbeats*d.settings.HeartbeatInterval, func() bool { return !isSilent() }, "the backend is removed or no longer silent")
	eventually(t, func() bool { return backend.send(d) }, "the heartbeat is not recorded")
	eventually(t, func() bool {
		known, _ := d.view.Load().Backend("b")
		return !known.Silent
	}, "the backend is still marked silent")
}

// TestVersionWaitsForAllMembers checks that the version is not raised while a member is of an earlier build,
// and removed backends do not return until then.
func TestVersionWaitsForAllMembers(t *testing.T) {
	members, outdated := mixedMembers(t, asCurrentBuild)
	backend := newHeartbeatSender(t, "b", "10.0.0.1:80")
	d := leaderOf(t, members).directory
	eventually(t, func() bool { return backend.send(d) }, "the backend does not register")
	isRaised := func() bool {
		return slices.ContainsFunc(members, func(member *runningReplica) bool { return versionInUse(member.directory) > 0 })
	}
	never(t, upgrade.ReportTTL, isRaised, "the version is raised although one member does not know it")
	removeSilent(t, members, "b")
	never(t, 2*d.settings.HeartbeatInterval, func() bool { return backend.send(d) }, "the removed backend returns before the version is raised")
	require.False(t, isRaised())
	outdated.restart(t, asCurrentBuild)
	awaitVersion(t, members)
	other := newHeartbeatSender(t, "c", "10.0.0.2:80")
	eventually(t, func() bool { return other.send(d) }, "another backend does not register")
	removeSilent(t, members, "c")
	eventually(t, func() bool { return other.send(d) }, "the removed backend does not return")
}

// TestBackendReclaimsItsAddress checks that a running backend gets its address back after a delayed heartbeat
// of a crashed one has claimed it.
func TestBackendReclaimsItsAddress(t *testing.T) {
	members := startMembers(t, noPreparation)
	d := members[0].directory
	running, crashed := newHeartbeatSender(t, "running", "10.0.0.1:80"), newHeartbeatSender(t, "crashed", "10.0.0.1:80")
	awaitVersion(t, members)
	eventually(t, func() bool { return running.send(d) }, "the backend does not register")
	// The running backend is silent until the crashed one is registered.
	eventually(t, func() bool { return crashed.send(d) }, "the delayed heartbeat does not take the address")
	eventually(t, func() bool { return !isRegistered(d, "running") }, "the backend is not removed")
	eventually(t, func() bool { return running.send(d) }, "the running backend does not get its address back")
	require.False(t, isRegistered(d, "crashed"))
}
