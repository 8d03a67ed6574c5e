package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// longElectionTicks is an election timeout that does not expire in these tests.
const longElectionTicks = 50

// newGroupWithFastFirstElection returns a group whose replicas have just started
// with a short timeout for the first election.
func newGroupWithFastFirstElection(t *testing.T, size int, seed uint64) *testGroup {
	g := newTestGroup(t, size, seed)
	g.electionTicks, g.firstElectionTicks = longElectionTicks, 1
	for _, id := range g.ids {
		g.restart(g.replicas[id])
	}
	return g
}

// tickAndDeliver ticks the replicas and delivers all messages among them, including replies.
func (g *testGroup) tickAndDeliver(ids []ReplicaID) {
	for _, id := range ids {
		g.replicas[id].raft.Tick()
		g.processReady(g.replicas[id], 0)
	}
	for len(g.network) > 0 {
		message := g.network[0]
		g.network = g.network[1:]
		if target := g.replicas[message.To]; contains(ids, message.To) {
			target.raft.Step(message)
			g.processReady(target, 0)
		}
	}
}

func contains(ids []ReplicaID, id ReplicaID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

func (g *testGroup) hasLeader() bool {
	for _, replica := range g.replicas {
		if replica.raft.Role() == Leader {
			return true
		}
	}
	return false
}

// TestElectionOnSimultaneousStart checks that replicas that start together elect a
// leader as soon as the first of them campaigns.
func TestElectionOnSimultaneousStart(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		for seed := range uint64(50) {
			t.Run(fmt.Sprintf("%d replicas, seed %d", size, seed), func(t *testing.T) {
				g := newGroupWithFastFirstElection(t, size, seed)
				g.tickAndDeliver(g.ids)
				require.True(t, g.hasLeader())
			})
		}
	}
}

// TestElectionOnStaggeredStart checks that a replica whose first pre-votes were lost
// because no other replica was running campaigns again soon.
func TestElectionOnStaggeredStart(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := newGroupWithFastFirstElection(t, 3, seed)
			for range 5 {
				g.tickAndDeliver(g.ids[:1])
			}
			for range 2*len(g.ids) + 1 {
				g.tickAndDeliver(g.ids[:2])
			}
			require.True(t, g.hasLeader())
		})
	}
}

// TestRestartedLeaderIsReelected checks that after a restart of all replicas the last
// leader is elected again, even if it starts a few ticks late, and that another
// replica is elected soon if it does not return.
func TestRestartedLeaderIsReelected(t *testing.T) {
	const delayTicks = 3
	for seed := range uint64(50) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := newGroupWithFastFirstElection(t, 3, seed)
			g.nonLeaderDelayTicks = delayTicks + 1
			lastLeader := g.ids[seed%3]
			others := slices.DeleteFunc(slices.Clone(g.ids), func(id ReplicaID) bool { return id == lastLeader })
			g.replicas[lastLeader].raft.campaign(Candidate, false)
			g.processReady(g.replicas[lastLeader], 0)
			g.tickAndDeliver(g.ids)
			require.Equal(t, Leader, g.replicas[lastLeader].raft.Role())
			for _, id := range g.ids {
				g.restart(g.replicas[id])
			}
			for range delayTicks {
				g.tickAndDeliver(others)
			}
			require.False(t, g.hasLeader())
			if seed%2 == 0 {
				g.tickAndDeliver(g.ids)
				require.Equal(t, Leader, g.replicas[lastLeader].raft.Role())
				return
			}
			for range 2*len(g.ids) + 1 {
				g.tickAndDeliver(others)
			}
			require.True(t, g.hasLeader())
		})
	}
}
