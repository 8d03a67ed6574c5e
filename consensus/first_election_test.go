package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// manyElectionTicks is a timeout that no test here may need.
const manyElectionTicks = 50

// startTogether returns a group whose replicas begin with short first elections.
func startTogether(t *testing.T, size int, seed uint64) *testGroup {
	g := newTestGroup(t, size, seed)
	g.electionTicks, g.firstElectionTicks = manyElectionTicks, 1
	for _, id := range g.order {
		g.restart(g.replicas[id])
	}
	return g
}

// tickTogether ticks the replicas and delivers everything that follows.
func (g *testGroup) tickTogether(ids []ReplicaID) {
	for _, id := range ids {
		g.replicas[id].raft.Tick()
		g.pump(g.replicas[id], 0)
	}
	for len(g.network) > 0 {
		message := g.network[0]
		g.network = g.network[1:]
		if target := g.replicas[message.To]; contains(ids, message.To) {
			target.raft.Step(message)
			g.pump(target, 0)
		}
	}
}

func contains(ids []ReplicaID, id ReplicaID) bool {
	for _, one := range ids {
		if one == id {
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

// TestGroupThatStartsTogetherElectsAtOnce: replicas that all start at the same
// moment have a leader after as many ticks as the first of them waits.
func TestGroupThatStartsTogetherElectsAtOnce(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		for seed := range uint64(50) {
			t.Run(fmt.Sprintf("%d replicas, seed %d", size, seed), func(t *testing.T) {
				g := startTogether(t, size, seed)
				g.tickTogether(g.order)
				require.True(t, g.hasLeader())
			})
		}
	}
}

// TestGroupThatStartsBitByBitElectsSoon: a replica that has asked in vain, since
// the others had not started, asks again soon.
func TestGroupThatStartsBitByBitElectsSoon(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := startTogether(t, 3, seed)
			for range 5 {
				g.tickTogether(g.order[:1])
			}
			for range 2*len(g.order) + 1 {
				g.tickTogether(g.order[:2])
			}
			require.True(t, g.hasLeader())
		})
	}
}

// TestLeaderThatComesBackLeadsAgain: after all replicas were away the one that
// led last leads again, also if it starts some ticks after the others; where it
// stays away another one leads soon.
func TestLeaderThatComesBackLeadsAgain(t *testing.T) {
	const late = 3
	for seed := range uint64(50) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := startTogether(t, 3, seed)
			g.lastLeaderTicks = late + 1
			last := g.order[seed%3]
			others := slices.DeleteFunc(slices.Clone(g.order), func(id ReplicaID) bool { return id == last })
			g.replicas[last].raft.campaign(Candidate, false)
			g.pump(g.replicas[last], 0)
			g.tickTogether(g.order)
			require.Equal(t, Leader, g.replicas[last].raft.Role())
			for _, id := range g.order {
				g.restart(g.replicas[id])
			}
			for range late {
				g.tickTogether(others)
			}
			require.False(t, g.hasLeader())
			if seed%2 == 0 {
				g.tickTogether(g.order)
				require.Equal(t, Leader, g.replicas[last].raft.Role())
				return
			}
			for range 2*len(g.order) + 1 {
				g.tickTogether(others)
			}
			require.True(t, g.hasLeader())
		})
	}
}
