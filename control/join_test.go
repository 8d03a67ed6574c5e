package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

// TestFollowerForwardsJoinRequest checks that a follower forwards a join request to the
// leader, and does not forward one that was already forwarded.
func TestFollowerForwardsJoinRequest(t *testing.T) {
	members := consensus.Membership{Members: []consensus.Member{
		{ID: 1, Address: "follower", Voter: true}, {ID: 2, Address: "leader", Voter: true},
	}}
	follower, err := New(Config{
		Consensus: consensus.Config{
			ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Snapshot: consensus.Snapshot{Index: 1, Term: 1, Membership: members},
			HardState: consensus.HardState{Term: 1, Commit: 1},
		},
		Address: "follower",
	})
	require.NoError(t, err)
	receiveJoin := func(forwarded bool) []Outgoing {
		follower.Receive(Clock{}, protocol.Message{From: "new", Join: &protocol.Join{ID: 9, Address: "new", PassedOn: forwarded}})
		return follower.TakeMessages()
	}
	require.Empty(t, receiveJoin(false), "no leader is known yet")
	follower.Receive(Clock{}, protocol.Message{From: "leader", Consensus: &consensus.Message{
		Kind: consensus.MessageHeartbeat, From: 2, To: 1, Term: 2,
	}})
	follower.TakeMessages()
	forwarded := receiveJoin(false)
	require.Len(t, forwarded, 1)
	require.Equal(t, "leader", forwarded[0].Address)
	require.Equal(t, &protocol.Join{ID: 9, Address: "new", PassedOn: true}, forwarded[0].Message.Join)
	require.Empty(t, receiveJoin(true))
}
