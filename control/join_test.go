package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

// TestFollowerPassesTheQuestionOn: a replica that does not lead passes on to the leader, once,
// that another one asks to be let in.
func TestFollowerPassesTheQuestionOn(t *testing.T) {
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
	ask := func(passedOn bool) []Outgoing {
		follower.Receive(Clock{}, protocol.Message{From: "new", Join: &protocol.Join{ID: 9, Address: "new", PassedOn: passedOn}})
		return follower.TakeMessages()
	}
	require.Empty(t, ask(false), "no leader is known yet")
	follower.Receive(Clock{}, protocol.Message{From: "leader", Consensus: &consensus.Message{
		Kind: consensus.MessageHeartbeat, From: 2, To: 1, Term: 2,
	}})
	follower.TakeMessages()
	passed := ask(false)
	require.Len(t, passed, 1)
	require.Equal(t, "leader", passed[0].Address)
	require.Equal(t, &protocol.Join{ID: 9, Address: "new", PassedOn: true}, passed[0].Message.Join)
	require.Empty(t, ask(true))
}
