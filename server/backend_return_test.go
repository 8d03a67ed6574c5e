package server

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/upgrade"
)

// beating sends a backend's heartbeats to replicas of a directory.
type heartbeatSender struct {
	t        *testing.T
	backend  directory.Backend
	sequence uint64
}

func newHeartbeatSender(t *testing.T, id, address string) *heartbeatSender {
	return &heartbeatSender{t: t, backend: directory.Backend{ID: id, Service: "s", Address: address, Zone: "z", Slots: 6}}
}

// beat sends the next heartbeat and tells whether the replica knows the backend as registered.
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

// eventually waits for what takes far less than watchSoon.
func eventually(t *testing.T, condition func() bool, why string) {
	t.Helper()
	require.Eventually(t, condition, watchSoon, watchInterval, why)
}

// never requires that the condition does not come about for that long.
func never(t *testing.T, duration time.Duration, condition func() bool, why string) {
	t.Helper()
	require.Never(t, condition, duration, watchInterval, why)
}

// leaderOf returns the replica that leads and serves.
func leaderOf(t *testing.T, members []*fleetMember) *fleetMember {
	t.Helper()
	var leader *fleetMember
	eventually(t, func() bool {
		for _, member := range members {
			if member.directory.Status().Serving {
				leader = member
				return true
			}
		}
		return false
	}, "a replica leads")
	return leader
}

// takeOut has the leader take the backend out as one that nobody hears.
func removeSilent(t *testing.T, members []*fleetMember, id string) {
	t.Helper()
	remove := directory.Command{RemoveBackend: &directory.RemoveBackend{ID: id}}
	_, err := leaderOf(t, members).directory.execute(t.Context(), remove)
	require.NoError(t, err)
	for _, member := range members {
		eventually(t, func() bool { return !isRegistered(member.directory, id) }, "it is out")
	}
}

func versionInUse(d *Directory) uint64 {
	version := uint64(0)
	d.replica.Do(func() { version = d.machine.VersionInUse() })
	return version
}

// awaitVersion waits until all replicas use the newest version.
func awaitVersion(t *testing.T, members []*fleetMember) {
	t.Helper()
	for _, member := range members {
		eventually(t, func() bool { return versionInUse(member.directory) == directory.KnownVersion }, "the version is raised")
	}
}

func unprepared(int, *Directory) {}

func asCurrentBuild(*Directory) {}

// asEarlierBuild has the replica know no version, as a build before there were any.
func asEarlierBuild(d *Directory) { d.versions.own = upgrade.VersionReport{} }

// TestTwoHeartbeatsProveALife: one heartbeat, two that come together, two of the same number, and
// two with a long silence between them prove nothing; two that come at their pace do.
func TestReturnNeedsTwoHeartbeats(t *testing.T) {
	const interval = time.Second
	start := time.UnixMilli(0)
	minGap := time.Duration(minReturnIntervals * float64(interval))
	tracker := newReturnTracker()
	require.False(t, tracker.record(start, "a", 7, interval))
	require.False(t, tracker.record(start.Add(minGap-1), "a", 8, interval), "held up together")
	require.False(t, tracker.record(start.Add(minGap), "a", 7, interval), "the same again")
	require.True(t, tracker.record(start.Add(minGap), "a", 8, interval))

	require.False(t, tracker.record(start, "b", 7, interval))
	require.False(t, tracker.record(start.Add(silentBeats*interval+1), "b", 8, interval), "too long ago")
	require.True(t, tracker.record(start.Add(silentBeats*interval+1+minGap), "b", 9, interval))

	require.False(t, tracker.record(start, "c", 7, interval))
	tracker.forget("c")
	require.False(t, tracker.record(start.Add(minGap), "c", 8, interval), "another one held its address meanwhile")
}

// TestLateHeartbeatsBringNobodyBack: a backend was taken out for its silence, and has ended. Its
// heartbeats, which a cut has held up, come while another one lives at its address: that one stays.
func TestLateHeartbeatsDoNotReplaceBackend(t *testing.T) {
	members := startMembers(t, unprepared)
	d := members[0].directory
	crashed, running := newHeartbeatSender(t, "ended", "10.0.0.1:80"), newHeartbeatSender(t, "living", "10.0.0.1:80")
	awaitVersion(t, members)
	eventually(t, func() bool { return crashed.send(d) }, "it registers")
	removeSilent(t, members, "ended")
	eventually(t, func() bool { return running.send(d) }, "the next one at the address registers")
	never(t, 3*d.settings.HeartbeatInterval, func() bool {
		running.send(d)
		return crashed.send(d)
	}, "the late one is not registered")
	eventually(t, func() bool { return running.send(d) }, "the living one is there")
}

// TestOneLateHeartbeatBringsNobodyBack: nobody is at the address, and one heartbeat comes late.
func TestSingleLateHeartbeatDoesNotRegister(t *testing.T) {
	members := startMembers(t, unprepared)
	d := members[0].directory
	crashed := newHeartbeatSender(t, "ended", "10.0.0.1:80")
	awaitVersion(t, members)
	eventually(t, func() bool { return crashed.send(d) }, "it registers")
	removeSilent(t, members, "ended")
	require.False(t, crashed.send(d))
	never(t, 2*d.settings.HeartbeatInterval, func() bool { return isRegistered(d, "ended") }, "one proves nothing")
}

// TestWhoHasLeftStaysOut: a backend that has said that it leaves may go on sending heartbeats; it is
// not registered again, also if it had fallen silent before.
func TestBackendThatLeftIsNotRegisteredAgain(t *testing.T) {
	members := startMembers(t, unprepared)
	d := members[0].directory
	left, silent := newHeartbeatSender(t, "left", "10.0.0.1:80"), newHeartbeatSender(t, "silent", "10.0.0.2:80")
	awaitVersion(t, members)
	eventually(t, func() bool { return left.send(d) && silent.send(d) }, "they register")
	removeSilent(t, members, "silent")
	for _, id := range []string{"left", "silent"} {
		require.NoError(t, d.Leave(t.Context(), directory.Incarnation{Name: id}))
		eventually(t, func() bool { return !isRegistered(d, id) }, "it has left")
	}
	never(t, 3*d.settings.HeartbeatInterval, func() bool { return left.send(d) || silent.send(d) }, "they stay out")
}

// TestBackendOutAtOneLeaderIsHeardByTheNext: a backend was taken out for its silence, and the leader
// that did so is gone as it is heard again.
func TestRemovedBackendReturnsToNextLeader(t *testing.T) {
	members := startMembers(t, unprepared)
	backend := newHeartbeatSender(t, "b", "10.0.0.1:80")
	awaitVersion(t, members)
	eventually(t, func() bool { return backend.send(members[0].directory) }, "it registers")
	removeSilent(t, members, "b")
	previous := leaderOf(t, members)
	previous.stop()
	var others []*fleetMember
	for _, member := range members {
		if member != previous {
			others = append(others, member)
		}
	}
	next := leaderOf(t, others)
	eventually(t, func() bool { return backend.send(next.directory) }, "it is heard by the next")
	previous.startAgain(t, asCurrentBuild)
	eventually(t, func() bool { return isRegistered(previous.directory, "b") }, "the earlier one learns of it")
}

// TestSilenceOfAllEnds: all backends of a directory fall silent, are taken out by its own review, and
// come back with their own heartbeats.
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
	eventually(t, sendAll, "they register")
	eventually(t, func() bool { return d.view.Load().BackendCount() == 0 }, "they are taken out")
	eventually(t, sendAll, "they are back")
}

// mixedMembers runs the replicas of a directory of which one, that does not lead, is of an earlier build.
func mixedMembers(t *testing.T, prepare func(d *Directory)) (members []*fleetMember, outdated *fleetMember) {
	prepareOutdated := func(d *Directory) {
		prepare(d)
		asEarlierBuild(d)
	}
	members = startMembers(t, func(_ int, d *Directory) { prepareOutdated(d) })
	outdated = leaderOf(t, members)
	for _, member := range members {
		if member != outdated {
			member.startAgain(t, prepare)
		}
	}
	for leaderOf(t, members) == outdated {
		outdated.startAgain(t, prepareOutdated)
	}
	return members, outdated
}

// TestNobodyIsTakenOutForGoodInAMixedFleet: while one that is taken out could not return, a backend that
// is not heard for long is only used last, and is itself again once it is heard.
func TestSilentBackendIsKeptInMixedFleet(t *testing.T) {
	members, _ := mixedMembers(t, func(d *Directory) { d.settings.HeartbeatInterval = 50 * time.Millisecond })
	backend := newHeartbeatSender(t, "b", "10.0.0.1:80")
	d := leaderOf(t, members).directory
	eventually(t, func() bool { return backend.send(d) }, "it registers")
	isSilent := func() bool {
		known, registered := d.view.Load().Backend("b")
		return registered && known.Silent
	}
	eventually(t, isSilent, "it is not heard")
	never(t, goneBeats*d.settings.HeartbeatInterval, func() bool { return !isSilent() }, "it is used last, and not taken out")
	eventually(t, func() bool { return backend.send(d) }, "it is heard")
	eventually(t, func() bool {
		known, _ := d.view.Load().Backend("b")
		return !known.Silent
	}, "it is itself again")
}

// TestVersionWaitsForAllMembers: while a member is of a build that does not know the newest version,
// commands keep their earlier meaning for all; once it runs this build, the version is raised, under
// whichever leader, and stays.
func TestVersionWaitsForAllMembers(t *testing.T) {
	members, outdated := mixedMembers(t, asCurrentBuild)
	backend := newHeartbeatSender(t, "b", "10.0.0.1:80")
	d := leaderOf(t, members).directory
	eventually(t, func() bool { return backend.send(d) }, "it registers")
	isRaised := func() bool {
		return slices.ContainsFunc(members, func(member *fleetMember) bool { return versionInUse(member.directory) > 0 })
	}
	never(t, upgrade.ReportTTL, isRaised, "one member does not know it")
	removeSilent(t, members, "b")
	never(t, 2*d.settings.HeartbeatInterval, func() bool { return backend.send(d) }, "it stays out as before")
	require.False(t, isRaised())
	outdated.startAgain(t, asCurrentBuild)
	awaitVersion(t, members)
	other := newHeartbeatSender(t, "c", "10.0.0.2:80")
	eventually(t, func() bool { return other.send(d) }, "another one registers")
	removeSilent(t, members, "c")
	eventually(t, func() bool { return other.send(d) }, "it comes back")
}

// TestBackendReturnsToItsAddress: a late heartbeat of a backend that has ended took the address of one
// that was not heard for a moment. The living one is heard again, and the other one is not.
func TestBackendReclaimsItsAddress(t *testing.T) {
	members := startMembers(t, unprepared)
	d := members[0].directory
	running, crashed := newHeartbeatSender(t, "living", "10.0.0.1:80"), newHeartbeatSender(t, "ended", "10.0.0.1:80")
	awaitVersion(t, members)
	eventually(t, func() bool { return running.send(d) }, "it registers")
	// It is not heard now until the other one is taken in.
	eventually(t, func() bool { return crashed.send(d) }, "the late heartbeat takes the address")
	eventually(t, func() bool { return !isRegistered(d, "living") }, "it is out")
	eventually(t, func() bool { return running.send(d) }, "it has its address again")
	require.False(t, isRegistered(d, "ended"))
}
