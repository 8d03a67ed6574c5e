package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestZonesLostBeforeFirstOrder checks that backends are replaced if they fail before their pools have an
// order.
func TestZonesLostBeforeFirstOrder(t *testing.T) {
	sim := newSettledSimulation(t, 6)
	sim.toleratesZoneLoss = false
	sim.removeMachines(func(m *machine) bool { return m.pool.Zone == "a" || m.pool.Zone == "b" })
	sim.run(20000, constantLoad(80))
	sim.lateWork = 0
	sim.run(20000, constantLoad(80))
	require.Zero(t, sim.lateWork)
	require.Equal(t, Enough, sim.plan.Reason)
	require.GreaterOrEqual(t, len(sim.serving()), sim.plan.Engines)
	require.LessOrEqual(t, len(sim.sentOrders), 8)
}

// TestZoneThatCannotReachMinimum checks that a zone below its minimum does not block orders for others.
func TestZoneThatCannotReachMinimum(t *testing.T) {
	sim := newSettledSimulation(t, 6)
	sim.answerOrder = func(order Order) (Answer, bool) { return Accepted, order.Wish.Zone != "a" }
	for _, m := range sim.machinesIn(Pool{Zone: "a"}) {
		m.silent = true
	}
	sim.run(40000, constantLoad(40))
	sim.removeMachines(func(m *machine) bool { return m.pool.Zone == "a" })
	sim.run(20000, constantLoad(300))
	sim.lateWork = 0
	sim.run(20000, constantLoad(300))
	require.Zero(t, sim.lateWork)
	require.Zero(t, sim.countInZone("a"))
	require.GreaterOrEqual(t, len(sim.serving())*engineSlots, 300)
}

// TestLossToleranceNotAchievable checks that engines which would not survive a zone's loss are not
// ordered, and that a surplus is still removed.
func TestLossToleranceNotAchievable(t *testing.T) {
	t.Run("one zone", func(t *testing.T) {
		sim := newSettledSimulation(t, 0)
		sim.zones = []string{"a"}
		for range 6 {
			sim.machines = append(sim.machines, &machine{pool: Pool{Zone: "a"}})
		}
		sim.desired[Pool{Zone: "a"}] = 6
		sim.run(6000, nil)
		sim.run(60000, constantLoad(5))
		for _, order := range sim.sentOrders {
			require.Less(t, order.Wish.Count, order.Before)
		}
		require.Less(t, len(sim.serving()), 6, "only two are needed")
		require.Zero(t, sim.lateWork)
	})
	t.Run("other zones exhausted", func(t *testing.T) {
		sim := newSettledSimulation(t, 4)
		sim.zones = []string{"a", "b", "c"}
		sim.removeMachines(func(m *machine) bool { return m.pool.Zone == "d" })
		sim.answerOrder = func(order Order) (Answer, bool) {
			if order.Wish.Zone != "a" && order.Wish.Count > order.Before {
				return Exhausted, false
			}
			return Accepted, true
		}
		sim.run(60000, constantLoad(50))
		require.GreaterOrEqual(t, len(sim.serving()), 15)
		require.LessOrEqual(t, sim.countInZone("a"), 14)
		before := sim.countInZone("a")
		sim.removeMachines(func(m *machine) bool { return m.pool.Zone != "a" })
		sim.run(120000, constantLoad(10))
		require.Less(t, sim.countInZone("a"), before, "the surplus is removed although the rest cannot be spread")
		require.LessOrEqual(t, sim.directionChanges(), 2)
	})
}
