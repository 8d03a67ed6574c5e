package replica

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

// What was seen: a directory of six replicas took no change any more after two of its machines had
// lost their disks, which it is meant to bear; processes went on by what they knew. How it came
// about: two other machines had lost their disks earlier, and ran again outside of the group, so that
// the five voters had none to spare. Cause: an empty replica asks the three addresses of its settings
// to be let in, and a replica that does not lead ignored that. Proof: these tests, which fail where
// no replica passes the question on; plays with disks lost in series, which ended the directory.

// newSeededGroup returns six running replicas of which five have a vote; each asks the first
// three to be let in.
func newSeededGroup(t require.TestingT) *group {
	g := newGroup(t, 3, 5)
	g.steps(40)
	for range 3 {
		g.add().seeds = []string{"m0", "m1", "m2"}
	}
	g.steps(100)
	require.Equal(t, 5, g.voterCount())
	return g
}

// lead has the process lead.
func (g *group) lead(p *process) {
	for range 20 {
		if leader := g.leader(); leader == p {
			return
		} else if leader != nil {
			leader.core.raft.TransferLeadership(p.identity)
		}
		g.steps(5)
	}
	require.Fail(g.t, "leadership was not handed over")
}

// TestReplicaIsLetInThroughAFollower: an empty replica becomes a member though none of those
// that it can ask leads.
func TestReplicaIsLetInThroughAFollower(t *testing.T) {
	g := newSeededGroup(t)
	for _, p := range g.processes[3:] {
		if member, _ := p.core.raft.Membership().Member(p.identity); member.Voter {
			g.lead(p)
			break
		}
	}
	lost := g.processes[0]
	g.wipe(lost)
	lost.seeds = []string{"m0", "m1", "m2"}
	g.steps(40)
	g.start(lost)
	g.steps(100)
	g.check()
	_, member := g.leader().core.raft.Membership().Member(lost.identity)
	require.True(t, member)
	require.Zero(t, g.leader().core.MissingVoters())
}

// TestGroupOutlivesLossesInSeries: again and again two machines lose their disks at the same
// moment, as soon as the last ones had the time to be made good. Each time the group has
// all its voters again, and nothing that was acknowledged is gone.
func TestGroupOutlivesLossesInSeries(t *testing.T) {
	const madeGood = 80
	rapid.Check(t, func(t *rapid.T) {
		g := newSeededGroup(t)
		for range rapid.IntRange(2, 5).Draw(t, "rounds") {
			lost := g.draw(t, "lost", 2)
			for _, p := range lost {
				g.wipe(p)
				p.seeds = nil
				for _, seed := range g.draw(t, "seeds", 3) {
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
			for range madeGood {
				g.propose()
				g.step()
			}
			g.check()
			require.Zero(t, g.leader().core.MissingVoters())
		}
	})
}

// draw returns that many different processes.
func (g *group) draw(t *rapid.T, label string, count int) []*process {
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

// TestAdmissionIsPassedOnOnce: replicas that take each other for the leader do not send a question
// around.
func TestAdmissionIsPassedOnOnce(t *testing.T) {
	g := newSeededGroup(t)
	var follower *process
	for _, p := range g.processes {
		if p != g.leader() {
			follower = p
		}
	}
	ask := func(passedOn bool) []Outgoing {
		follower.core.Receive(protocol.Message{From: "new", Join: &protocol.Join{ID: 900, Address: "new", PassedOn: passedOn}})
		return follower.core.TakeMessages()
	}
	first := ask(false)
	require.Len(t, first, 1)
	require.Equal(t, g.leader().address, first[0].Address)
	require.Equal(t, &protocol.Join{ID: 900, Address: "new", PassedOn: true}, first[0].Message.Join)
	require.Empty(t, ask(true))
}

// TestWhomToAsk: a replica outside asks the addresses of its settings, the members that it
// remembers and whoever still sends to it.
func TestWhomToAsk(t *testing.T) {
	settings := Settings{Address: "own", Contacts: func() []string { return []string{"seed", "both", "own"} }}
	members := []consensus.Member{{ID: 1, Address: "both"}, {ID: 2, Address: "member"}, {ID: 3, Address: "own"}}
	require.Equal(t, []string{"both", "leader", "member", "seed"}, joinContacts(settings, members, []string{"leader", "both"}))

	r := &Replica{settings: settings}
	all := []question{{"a", true}, {"b", true}}
	require.Equal(t, all, r.questions([]string{"a", "b"}, 1, false))
	require.Equal(t, all, r.questions([]string{"a", "b"}, 1, true), "a group that takes all in is asked everywhere")
	require.Empty(t, r.questions(nil, 1, true))
}

// TestManyThatStandByAskLittle: where the learners are bounded one contact passes a question on in
// a round, late only one is asked, and now and then one that is no likely member.
func TestManyThatStandByAskLittle(t *testing.T) {
	r := &Replica{settings: Settings{Standby: 1, Others: func() []string { return []string{"x", "y"} }}}
	contacts := []string{"a", "b"}
	require.Equal(t, []question{{"a", true}, {"b", false}}, r.questions(contacts, 0, false))
	require.Equal(t, []question{{"a", false}, {"b", true}}, r.questions(contacts, 1, false))
	require.Equal(t, []question{{"b", true}}, r.questions(contacts, 1, true))
	require.Equal(t, []question{{"a", true}, {"y", true}}, r.questions(contacts, othersEach, true))
	require.Equal(t, []question{{"a", true}, {"x", true}}, r.questions(contacts, 2*othersEach, true))
}
