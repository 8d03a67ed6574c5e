package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

// TestPlannerInvariants draws loads, losses and answers. It checks that limits hold for both kinds together,
// that the number of orders is bounded, and that the service recovers once failures end.
func TestPlannerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSettledSimulation(t, rapid.IntRange(1, 24).Draw(t, "engines"))
		sim.toleratesZoneLoss = rapid.Bool().Draw(t, "bears a zone")
		if rapid.Bool().Draw(t, "no reclaimables") {
			sim.scale.ReclaimablePrice = 0
		}
		answers := rapid.SliceOfN(rapid.SampledFrom([]Answer{Accepted, Accepted, Accepted, Open, Exhausted, Refused}), 1, 40).Draw(t, "answers")
		sim.answerOrder = func(Order) (Answer, bool) {
			answer := answers[len(sim.sentOrders)%len(answers)]
			return answer, answer == Accepted || answer == Open && len(sim.sentOrders)%2 == 0
		}
		for range rapid.IntRange(1, 8).Draw(t, "phases") {
			load := rapid.Float64Range(0, 800).Draw(t, "slots")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				zone := rapid.SampledFrom(sim.zones).Draw(t, "zone")
				for _, m := range sim.machinesIn(Pool{Zone: zone, Reclaimable: true}) {
					m.leavesAt = sim.now + 2500
				}
			case 1:
				count := 0
				sim.removeMachines(func(*machine) bool { count++; return count%3 == 0 })
			case 2:
				zone := rapid.SampledFrom(sim.zones).Draw(t, "zone")
				for _, m := range sim.machines {
					m.silent = m.pool.Zone == zone && !m.silent
				}
			case 3:
				sim.planner = NewPlanner()
			case 4:
				zone := rapid.SampledFrom(sim.zones).Draw(t, "zone")
				sim.removeMachines(func(m *machine) bool { return m.pool.Zone == zone })
			}
			before := len(sim.sentOrders)
			startedAt := sim.now
			sim.run(rapid.Int64Range(4, 120).Draw(t, "ticks")*tick, constantLoad(load))
			seconds := float64(sim.now-startedAt) / 1000
			require.LessOrEqual(t, float64(len(sim.sentOrders)-before), 32+seconds, "number of orders")
			for _, zone := range sim.zones {
				count := sim.desired[Pool{Zone: zone}] + sim.desired[Pool{Zone: zone, Reclaimable: true}]
				require.LessOrEqual(t, count, sim.scale.Most)
			}
			for _, order := range sim.sentOrders[before:] {
				require.GreaterOrEqual(t, order.Wish.Count, 0)
			}
		}
		sim.requireRecovery(t, rapid.Float64Range(0, 300).Draw(t, "slots in the end"))
	})
}

// requireRecovery ends all failures for longer than any backoff, then checks that each zone in use has its
// minimum and that steps are in time, as far as the limits allow.
func (sim *simulation) requireRecovery(t *rapid.T, load float64) {
	sim.answerOrder = nil
	for _, m := range sim.machines {
		m.silent = false
	}
	var zones []string
	for _, zone := range sim.zones {
		if sim.orders[Pool{Zone: zone}].Number > 0 || len(sim.machinesIn(Pool{Zone: zone})) > 0 {
			zones = append(zones, zone)
		}
	}
	load = min(load, usableFraction*float64(len(zones)*sim.scale.Most*engineSlots))
	sim.run(maxBackoff.Milliseconds()+60000, constantLoad(load))
	sim.lateWork = 0
	sim.run(40000, constantLoad(load))
	require.Zero(t, sim.lateWork, "no step is late")
	for _, zone := range zones {
		require.GreaterOrEqual(t, sim.countInZone(zone), sim.scale.Least)
	}
}

// TestSteadyLoadSettles checks that under a constant load orders stop after a few changes of direction.
func TestSteadyLoadSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSettledSimulation(t, rapid.IntRange(1, 24).Draw(t, "engines"))
		sim.toleratesZoneLoss = rapid.Bool().Draw(t, "bears a zone")
		load := rapid.Float64Range(0, 600).Draw(t, "slots")
		sim.run(240000, constantLoad(load))
		before := len(sim.sentOrders)
		sim.lateWork = 0
		sim.run(120000, constantLoad(load))
		if load <= usableFraction*float64(len(sim.zones)*sim.scale.Most*engineSlots) {
			require.Zero(t, sim.lateWork)
		}
		require.Len(t, sim.sentOrders, before)
		require.LessOrEqual(t, sim.directionChanges(), 4)
	})
}
