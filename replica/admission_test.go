package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

// These tests guard against a group that cannot replace lost voters because followers ignore the join
// requests of empty replicas, which ask only the addresses in their settings.

// newSeededGroup returns six running replicas, of which five are voters. Each asks the first three for
// admission.
func newSeededGroup(t require.TestingT) *group {
	g := newGroup(t, 3, 5)
	g.steps(40)
	for range 3 {
		g.addProcess().seeds = []string{"m0", "m1", "m2"}
	}
	g.steps(100)
	require.Equal(t, 5, g.voterCount())
	return g
}

// makeLeader transfers leadership to the process.
func (g *group) makeLeader(p *process) {
	for range 20 {
		if leader := g.leader(); leader == p {
			return
		} else if leader != nil {
			leader.core.raft.TransferLeadership(p.identity)
		}
		g.steps(5)
	}
	require.Fail(g.t, "leadership was not transferred")
}

// TestJoinThroughFollower: an empty replica becomes a member even if none of the replicas that it can
// ask is the leader.
func TestJoinThroughFollower(t *testing.T) {
	g := newSeededGroup(t)
	for _, p := range g.processes[3:] {
		if member, _ := p.core.raft.Membership().Member(p.identity); member.Voter {
			g.makeLeader(p)
			break
		}
	}
	lost := g.processes[0]
	g.wipe(lost)
	lost.seeds = []string{"m0", "m1", "m2"}
	g.steps(40)
	g.start(lost)
	g.steps(100)
	g.requireAcknowledged()
	_, isMember := g.leader().core.raft.Membership().Member(lost.identity)
	require.True(t, isMember)
	require.Zero(t, g.leader().core.MissingVoters())
}

// TestGroupSurvivesRepeatedDiskLosses: two machines at a time lose their disks, as soon as the previous
// ones have had time to recover. The group regains all voters each time and loses no acknowledged command.
func TestGroupSurvivesRepeatedDiskLosses(t *testing.T) {
	const recoverySteps = 80
	rapid.Check(t, func(t *rapid.T) {
		g := newSeededGroup(t)
		for range rapid.IntRange(2, 5).Draw(t, "rounds") {
			lost := g.drawProcesses(t, "lost", 2)
			for _, p := range lost {
				g.wipe(p)
				p.seeds = nil
				for _, seed := range g.drawProcesses(t, "seeds", 3) {
					p.seeds = append(p.seeds, seed.address)
				}
			}
			for range rapid.IntRange(10, 60).Draw(t, "down") {
				g.propose()
				g.step()
			}
			for _, p := range lost {
				g.start(p)
			}
			for range recoverySteps {
				g.propose()
				g.step()
			}
			g.requireAcknowledged()
			require.Zero(t, g.leader().core.MissingVoters())
		}
	})
}

// drawProcesses returns count different processes.
func (g *group) drawProcesses(t *rapid.T, label string, count int) []*process {
	numbers := make([]int, len(g.processes))
	for number := range numbers {
		numbers[number] = number
	}
	var drawn []*process
	for _, number := range rapid.Permutation(numbers).Draw(t, label)[:count] {
		drawn = append(drawn, g.processes[number])
	}
	return drawn
}

// TestJoinIsForwardedOnce: followers don't forward a join request that was forwarded already.
func TestJoinIsForwardedOnce(t *testing.T) {
	g := newSeededGroup(t)
	var follower *process
	for _, p := range g.processes {
		if p != g.leader() {
			follower = p
		}
	}
	sendJoin := func(forwarded bool) []Outgoing {
		follower.core.Receive(protocol.Message{From: "new", Join: &protocol.Join{ID: 900, Address: "new", PassedOn: forwarded}})
		return follower.core.TakeMessages()
	}
	first := sendJoin(false)
	require.Len(t, first, 1)
	require.Equal(t, g.leader().address, first[0].Address)
	require.Equal(t, &protocol.Join{ID: 900, Address: "new", PassedOn: true}, first[0].Message.Join)
	require.Empty(t, sendJoin(true))
}

// TestAdmissionContacts: a replica that is not a member asks the addresses in its settings, the members
// that it remembers and all replicas that still send to it.
func TestAdmissionContacts(t *testing.T) {
	settings := Settings{Address: "own", Contacts: func() []string { return []string{"seed", "both", "own"} }}
	members := []consensus.Member{{ID: 1, Address: "both"}, {ID: 2, Address: "member"}, {ID: 3, Address: "own"}}
	require.Equal(t, []string{"both", "leader", "member", "seed"}, admissionContacts(settings, members, []string{"leader", "both"}))

	r := &Replica{settings: settings}
	allForwarded := []joinRequest{{"a", true}, {"b", true}}
	require.Equal(t, allForwarded, r.joinRequests([]string{"a", "b"}, 1, false))
	require.Equal(t, allForwarded, r.joinRequests([]string{"a", "b"}, 1, true), "all contacts are asked if learners are unlimited")
	require.Empty(t, r.joinRequests(nil, 1, true))
}

// TestStandbyReplicasLimitJoins: if learners are limited, one contact per round may forward a request.
// After the standby delay only one contact is asked, and occasionally one of the other contacts.
func TestStandbyReplicasLimitJoins(t *testing.T) {
	r := &Replica{settings: Settings{StandbyLearners: 1, OtherContacts: func() []string { return []string{"x", "y"} }}}
	contacts := []string{"a", "b"}
	require.Equal(t, []joinRequest{{"a", true}, {"b", false}}, r.joinRequests(contacts, 0, false))
	require.Equal(t, []joinRequest{{"a", false}, {"b", true}}, r.joinRequests(contacts, 1, false))
	require.Equal(t, []joinRequest{{"b", true}}, r.joinRequests(contacts, 1, true))
	require.Equal(t, []joinRequest{{"a", true}, {"y", true}}, r.joinRequests(contacts, otherContactRounds, true))
	require.Equal(t, []joinRequest{{"a", true}, {"x", true}}, r.joinRequests(contacts, 2*otherContactRounds, true))
}
