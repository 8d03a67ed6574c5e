package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/protocol"
)

// TestQuestionOfAnEarlierLifeDoesNoHarm: a replica that stood still passes on, when it wakes, what a
// machine had asked before it lost its disk. The machine is a voter again by then, under another
// identity. A leader that took the old question for the newer one would put out the living voter,
// and again each time that it asks to be let in.
func TestQuestionOfAnEarlierLifeDoesNoHarm(t *testing.T) {
	g := newSeededGroup(t)
	var lost, passing *process
	for _, p := range g.processes {
		member, _ := g.leader().core.raft.Membership().Member(p.identity)
		switch {
		case p == g.leader() || !member.Voter:
		case lost == nil:
			lost = p
		default:
			passing = p
		}
	}
	kept := protocol.Message{From: lost.address, Join: &protocol.Join{ID: lost.identity, Address: lost.address}}
	g.wipe(lost)
	g.steps(20)
	g.start(lost)
	g.steps(80)
	members := g.leader().core.raft.Membership().Members
	passing.core.Receive(kept)
	g.flush(passing)
	g.steps(80)
	g.check()
	require.Equal(t, members, g.leader().core.raft.Membership().Members)
}
