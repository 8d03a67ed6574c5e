package replica

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/protocol"
)

// TestStaleJoinIsIgnored: a stalled replica forwards a join request that a machine sent before it lost its
// disk. The machine is a voter under a new identity by then and must stay a member.
func TestStaleJoinIsIgnored(t *testing.T) {
	g := newSeededGroup(t)
	var lost, forwarder *process
	for _, p := range g.processes {
		member, _ := g.leader().core.raft.Membership().Member(p.identity)
		switch {
		case p == g.leader() || !member.Voter:
		case lost == nil:
			lost = p
		default:
			forwarder = p
		}
	}
	staleJoin := protocol.Message{From: lost.address, Join: &protocol.Join{ID: lost.identity, Address: lost.address}}
	g.wipe(lost)
	g.steps(20)
	g.start(lost)
	g.steps(80)
	members := g.leader().core.raft.Membership().Members
	forwarder.core.Receive(staleJoin)
	g.flush(forwarder)
	g.steps(80)
	g.requireAcknowledged()
	require.Equal(t, members, g.leader().core.raft.Membership().Members)
}
