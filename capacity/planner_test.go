package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSurplusIsRemovedGradually checks that a large surplus is removed slowly, that orders then stop, and
// that no step is late.
func TestSurplusIsRemovedGradually(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(60000, constantLoad(60))
	require.Zero(t, sim.lateWork)
	require.LessOrEqual(t, len(sim.serving()), 32)
	require.GreaterOrEqual(t, len(sim.serving())*engineSlots*3/4, 60, "enough must remain after the loss of a zone")
	before := len(sim.sentOrders)
	sim.run(60000, constantLoad(60))
	require.Len(t, sim.sentOrders, before, "the load has not changed")
	require.Zero(t, sim.lateWork)
	for _, order := range sim.sentOrders {
		require.GreaterOrEqual(t, order.Wish.Count, order.Before-4, "few at a time")
		require.GreaterOrEqual(t, order.Wish.Count, sim.scale.Least)
	}
}

// TestScaleDownInterval checks the pause between scale-downs, and that none happens while an engine is silent
// or draining.
func TestScaleDownInterval(t *testing.T) {
	sim := newSettledSimulation(t, 24)
	sim.run(60000, constantLoad(40))
	removedAt := map[int64]int{}
	for i, at := range sim.sentAt {
		removedAt[at] += sim.sentOrders[i].Before - sim.sentOrders[i].Wish.Count
	}
	require.Greater(t, len(removedAt), 3)
	require.Zero(t, sim.directionChanges(), "the load is constant")
	for at, removed := range removedAt {
		require.LessOrEqual(t, removed, 29)
		for otherAt := range removedAt {
			require.False(t, at < otherAt && otherAt-at < scaleDownInterval.Milliseconds())
		}
	}
	for name, change := range map[string]func(m *machine){
		"silent":   func(m *machine) { m.silent = true },
		"draining": func(m *machine) { m.leavesAt = 1 << 40 },
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSettledSimulation(t, 12)
			change(sim.machines[0])
			sim.run(40000, constantLoad(40))
			require.Empty(t, sim.sentOrders)
		})
	}
}

// TestNoScaleDownBeforeFirstWork checks that engines waiting for the first step are kept.
func TestNoScaleDownBeforeFirstWork(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(60000, nil)
	require.Empty(t, sim.sentOrders)
	sim.hideDemand = true
	sim.run(300000, nil)
	require.Empty(t, sim.sentOrders, "demand is unknown")
}

func TestIdleServiceScalesToMinimum(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(600000, nil)
	for _, zone := range sim.zones {
		require.Equal(t, sim.scale.Least, sim.countInZone(zone))
	}
	for _, order := range sim.sentOrders {
		require.GreaterOrEqual(t, order.Wish.Count, sim.scale.Least)
		require.Less(t, order.Wish.Count, order.Before)
	}
}

// TestMinimumWithoutWork checks that each zone's minimum is ordered even if there is no work.
func TestMinimumWithoutWork(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.scale.Least = 5
	sim.run(16000, nil)
	for _, zone := range sim.zones {
		require.Equal(t, 5, sim.countInZone(zone))
	}
	require.Equal(t, 8, len(sim.sentOrders), "one order for each pool")
}

// TestScaleUpForLargerSteps checks that engines are ordered immediately, and that steps are then in time.
func TestScaleUpForLargerSteps(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(tick, constantLoad(600))
	require.NotEmpty(t, sim.sentOrders)
	require.Equal(t, Late, sim.plan.Reason)
	sim.run(28000-tick, constantLoad(380))
	sim.lateWork = 0
	sim.run(40000, constantLoad(380))
	require.Zero(t, sim.lateWork)
	require.Zero(t, sim.directionChanges())
	for _, zone := range sim.zones {
		require.LessOrEqual(t, 2*len(sim.machinesIn(Pool{Zone: zone, Reclaimable: true})), sim.countInZone(zone), "on-demand engines must be able to take over the samples")
	}
}

// TestScaleUpFollowsTrend checks that no step is late while each is larger than the one before.
func TestScaleUpFollowsTrend(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(44000, func(number int) float64 { return 100 + 30*float64(number) })
	require.Zero(t, sim.lateWork)
}

// TestOscillatingDemand checks that engines are kept while the load is temporarily low.
func TestOscillatingDemand(t *testing.T) {
	for name, steps := range map[string]int{"every step": 1, "every two steps": 2, "every four steps": 4, "every six steps": 6} {
		t.Run(name, func(t *testing.T) {
			sim := newSettledSimulation(t, 12)
			load := func(number int) float64 { return 90 * float64(1+number/steps%2) }
			sim.run(60000, load)
			sim.run(240000, load)
			require.LessOrEqual(t, sim.directionChanges(), 4, "over five minutes")
			require.Zero(t, sim.lateWork)
		})
	}
}

// TestReclaimablesOfZoneRevokedTwice checks that revoked engines are replaced elsewhere, and that their
// pool is retried only after a backoff.
func TestReclaimablesOfZoneRevokedTwice(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(32000, constantLoad(300))
	for range 2 {
		zone := ""
		for _, candidate := range sim.zones {
			if len(sim.machinesIn(Pool{Zone: candidate, Reclaimable: true})) > 0 {
				zone = candidate
			}
		}
		require.NotEmpty(t, zone)
		exhaustedUntil := sim.now + 11000
		for _, m := range sim.machinesIn(Pool{Zone: zone, Reclaimable: true}) {
			m.leavesAt = sim.now + 2500
		}
		attempts := 0
		sim.answerOrder = func(order Order) (Answer, bool) {
			if order.Wish.Pool() == (Pool{Zone: zone, Reclaimable: true}) && order.Wish.Count > 0 && sim.now < exhaustedUntil {
				attempts++
				return Exhausted, false
			}
			return Accepted, true
		}
		sim.lateWork = 0
		sim.run(12000, constantLoad(300))
		require.Zero(t, sim.lateWork)
		require.LessOrEqual(t, attempts, 2)
		sim.run(20000, constantLoad(300))
		require.GreaterOrEqual(t, len(sim.serving())*engineSlots, 300)
		sim.answerOrder = nil
	}
	require.LessOrEqual(t, len(sim.sentOrders), 40)
}

// TestThirdOfEnginesLost checks that lost engines are replaced if the platform does not restart them.
func TestThirdOfEnginesLost(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(32000, constantLoad(170))
	count := 0
	sim.removeMachines(func(*machine) bool { count++; return count%3 == 0 })
	sim.run(16000, constantLoad(170))
	sim.lateWork = 0
	sim.run(20000, constantLoad(170))
	require.Zero(t, sim.lateWork)
	require.GreaterOrEqual(t, len(sim.serving())*engineSlots*3/4, 170)
}

// TestZonePartitionedDuringScaleUp checks that silent engines are replaced in other zones, and that none are
// removed.
func TestZonePartitionedDuringScaleUp(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(2000, constantLoad(300))
	for _, m := range sim.machines {
		m.silent = m.pool.Zone == "b"
	}
	before := len(sim.sentOrders)
	sim.run(10000, constantLoad(300))
	require.Greater(t, len(sim.sentOrders), before, "silent engines are replaced")
	for _, order := range sim.sentOrders[before:] {
		require.GreaterOrEqual(t, order.Wish.Count, order.Before, "no scale-down")
		require.NotEqual(t, "b", order.Wish.Zone, "new engines would be unreachable as well")
	}
	sim.removeMachines(func(m *machine) bool { return m.pool.Zone == "b" })
	sim.run(10000, constantLoad(300))
	for _, order := range sim.sentOrders[before:] {
		require.GreaterOrEqual(t, order.Wish.Count, order.Before, "engines of the zone may return")
	}
	sim.lateWork = 0
	sim.run(20000, constantLoad(300))
	require.Zero(t, sim.lateWork)
}

func TestSilentEnginesAreReplaced(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(28000, constantLoad(140))
	require.Empty(t, sim.sentOrders)
	for _, m := range sim.machines {
		m.silent = m.pool.Zone == "b"
	}
	sim.run(tick, nil)
	require.NotEmpty(t, sim.sentOrders)
	require.Equal(t, Late, sim.plan.Reason)
}

// TestAllPoolsExhausted checks that each pool is retried with an increasing backoff.
func TestAllPoolsExhausted(t *testing.T) {
	sim := newSettledSimulation(t, 4)
	sim.answerOrder = func(Order) (Answer, bool) { return Exhausted, false }
	sim.run(60000, constantLoad(600))
	require.LessOrEqual(t, len(sim.sentOrders), 8*4)
	first := len(sim.sentOrders)
	sim.run(60000, constantLoad(600))
	require.LessOrEqual(t, len(sim.sentOrders)-first, 8*2)
	require.Equal(t, Late, sim.plan.Reason)
	sim.answerOrder = nil
	sim.run(180000, constantLoad(300))
	require.Greater(t, len(sim.serving()), 16, "retried after the backoff")
}

// TestExhaustedZoneFallsBackToOthers checks that other zones get orders without delay.
func TestExhaustedZoneFallsBackToOthers(t *testing.T) {
	sim := newSettledSimulation(t, 6)
	sim.answerOrder = func(order Order) (Answer, bool) {
		if order.Wish.Zone == "b" {
			return Exhausted, false
		}
		return Accepted, true
	}
	sim.run(1000, constantLoad(500))
	ordered := 0
	for _, zone := range []string{"a", "c", "d"} {
		ordered += sim.countInZone(zone)
	}
	require.GreaterOrEqual(t, ordered*engineSlots, 300)
	require.Equal(t, 6, sim.countInZone("b"))
}

// TestUnansweredOrders checks that an unanswered order is repeated unchanged, counts as one that may be
// carried out, and has no second effect.
func TestUnansweredOrders(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.answerOrder = func(Order) (Answer, bool) { return Open, false }
	sim.run(6000, constantLoad(750))
	counts := map[Pool]int{}
	for _, order := range sim.sentOrders {
		pool := order.Wish.Pool()
		require.Contains(t, []int{0, order.Wish.Count}, counts[pool], "repeated unchanged")
		counts[pool] = order.Wish.Count
	}
	require.LessOrEqual(t, len(sim.sentOrders), 8*4)
	sim.answerOrder = nil
	sim.run(20000, constantLoad(750))
	total := 0
	for _, zone := range sim.zones {
		total += sim.countInZone(zone)
	}
	require.GreaterOrEqual(t, total*engineSlots, 500)
	before := len(sim.sentOrders)
	sim.run(20000, constantLoad(750))
	require.Len(t, sim.sentOrders, before)
}

// TestOrderedEnginesNeverRegister checks that other pools get orders after the registration timeout.
func TestOrderedEnginesNeverRegister(t *testing.T) {
	sim := newSettledSimulation(t, 6)
	sim.answerOrder = func(order Order) (Answer, bool) {
		return Accepted, order.Wish.Zone != "a" && order.Wish.Zone != "b"
	}
	sim.run(3000, constantLoad(240))
	require.Positive(t, sim.plan.Pools[Pool{Zone: "a"}].Booting+sim.plan.Pools[Pool{Zone: "a", Reclaimable: true}].Booting)
	sim.run(20000, constantLoad(240))
	require.GreaterOrEqual(t, (sim.countInZone("c")+sim.countInZone("d"))*engineSlots, 180)
	require.LessOrEqual(t, len(sim.sentOrders), 40)
	for i, order := range sim.sentOrders {
		since := sim.sentAt[i] - sim.sentAt[0] - registrationBootTimes*sim.scale.BootMillis
		if order.Wish.Pool() == (Pool{Zone: "a", Reclaimable: true}) && since >= 0 && since < exhaustedBackoff.Milliseconds() {
			require.LessOrEqual(t, order.Wish.Count, order.Before, "not scaled up during the backoff")
		}
	}
}

// TestDrainingEnginesStopWithoutNotice checks that draining engines which fall silent count as gone and do
// not block a scale-down.
func TestDrainingEnginesStopWithoutNotice(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	for _, m := range sim.machinesIn(Pool{Zone: "d"})[:6] {
		m.leavesAt, m.silent = sim.now+60000, true
	}
	sim.run(tick, constantLoad(60))
	require.Zero(t, sim.plan.Pools[Pool{Zone: "d"}].Silent+sim.plan.Pools[Pool{Zone: "d"}].Draining)
	sim.run(40000, constantLoad(60))
	require.LessOrEqual(t, len(sim.serving()), 32)
}

// TestEnginesRegisterWithoutAnOrder checks that engines count even without an order.
func TestEnginesRegisterWithoutAnOrder(t *testing.T) {
	sim := newSettledSimulation(t, 6)
	for _, zone := range sim.zones {
		for range 12 {
			sim.machines = append(sim.machines, &machine{pool: Pool{Zone: zone}})
		}
	}
	sim.run(tick, constantLoad(180))
	require.Empty(t, sim.sentOrders)
	require.Equal(t, 18, sim.plan.Pools[Pool{Zone: "a"}].Ready)
}

// TestStaggeredRegistration checks that no order removes engines that have yet to register.
func TestStaggeredRegistration(t *testing.T) {
	sim := newSimulation(t, 12)
	for i, m := range sim.machines {
		m.servesAt = int64(1000 + 200*i)
	}
	sim.run(10000, constantLoad(200))
	require.Empty(t, sim.sentOrders)
	sim.run(8000, constantLoad(200))
	for _, order := range sim.sentOrders {
		require.GreaterOrEqual(t, order.Wish.Count, order.Before)
	}
}

// TestNoOrderForZoneWithoutBackends checks that a zone without registered engines gets no order: engines it
// may have would be removed.
func TestNoOrderForZoneWithoutBackends(t *testing.T) {
	sim := newSimulation(t, 12)
	for _, m := range sim.machines {
		m.servesAt = 4000
		if m.pool.Zone == "d" {
			m.servesAt = 60000
		}
	}
	sim.run(4000, nil)
	require.Empty(t, sim.sentOrders, "no orders before any engine has registered")
	sim.run(52000, constantLoad(200))
	for _, order := range sim.sentOrders {
		require.NotEqual(t, "d", order.Wish.Zone)
	}
}

// TestUnavailableReclaimablesAreCancelled checks that reclaimable engines which do not register make room for
// on-demand ones within the zone's limit.
func TestUnavailableReclaimablesAreCancelled(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.answerOrder = func(order Order) (Answer, bool) { return Accepted, !order.Wish.Reclaimable }
	sim.run(28000, constantLoad(700))
	for _, zone := range sim.zones {
		require.Equal(t, 24, len(sim.machinesIn(Pool{Zone: zone})))
		require.Zero(t, sim.orders[Pool{Zone: zone, Reclaimable: true}].Count())
	}
}

// TestUnavailableOnDemandOrdersAreKept checks that orders of on-demand engines are not lowered: some may run
// but be unreachable, and would be removed.
func TestUnavailableOnDemandOrdersAreKept(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.scale.ReclaimablePrice = 0
	sim.answerOrder = func(Order) (Answer, bool) { return Accepted, false }
	sim.run(60000, constantLoad(700))
	require.NotEmpty(t, sim.sentOrders)
	for _, order := range sim.sentOrders {
		require.GreaterOrEqual(t, order.Wish.Count, order.Before)
	}
}

// TestRemovedEnginesDoNotCount checks that removed engines do not count before they report that they drain.
func TestRemovedEnginesDoNotCount(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.answerOrder = func(order Order) (Answer, bool) { return Accepted, order.Wish.Count > order.Before }
	for len(sim.sentOrders) == 0 {
		sim.run(stepPeriod, constantLoad(40))
	}
	sim.run(tick, nil)
	for pool, order := range sim.orders {
		require.Equal(t, order.Wish.Count, sim.plan.Pools[pool].Wanted)
		require.Greater(t, sim.plan.Pools[pool].Ready, order.Wish.Count)
	}
}

// TestLimitIncludesUnansweredOrders checks that a zone stays within its limit even if unanswered orders of
// both kinds are carried out late.
func TestLimitIncludesUnansweredOrders(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.answerOrder = func(Order) (Answer, bool) { return Open, false }
	sim.run(30000, constantLoad(700))
	highest := map[Pool]int{}
	for _, order := range sim.sentOrders {
		pool := order.Wish.Pool()
		highest[pool] = max(highest[pool], order.Wish.Count, order.Before)
		other := Pool{Zone: pool.Zone, Reclaimable: !pool.Reclaimable}
		require.LessOrEqual(t, highest[pool]+max(highest[other], sim.desired[other]), sim.scale.Most)
	}
}

// TestZoneLossTolerance checks that engines are ordered to survive the loss of a zone only if that is
// required.
func TestZoneLossTolerance(t *testing.T) {
	for _, toleratesZoneLoss := range []bool{false, true} {
		sim := newSimulation(t, 0)
		sim.toleratesZoneLoss, sim.scale.ReclaimablePrice = toleratesZoneLoss, 0
		for zone, count := range map[string]int{"a": 22, "b": 2, "c": 2, "d": 2} {
			for range count {
				sim.machines = append(sim.machines, &machine{pool: Pool{Zone: zone}})
			}
		}
		sim.run(6000, nil)
		sim.run(tick, constantLoad(170))
		require.Equal(t, toleratesZoneLoss, len(sim.sentOrders) > 0)
		if toleratesZoneLoss {
			require.Equal(t, Losses, sim.plan.Reason)
		}
	}
}

// TestNewLeaderContinues checks that a new planner with the recorded orders repeats none but unanswered ones.
func TestNewLeaderContinues(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(2000, constantLoad(750))
	require.NotEmpty(t, sim.sentOrders)
	before := len(sim.sentOrders)
	sim.planner = NewPlanner()
	sim.run(30000, constantLoad(750))
	require.Len(t, sim.sentOrders, before)

	open := sim.orders[Pool{Zone: "a", Reclaimable: true}]
	open.Answer = Open
	sim.orders[Pool{Zone: "a", Reclaimable: true}] = open
	sim.planner = NewPlanner()
	sim.run(3000, constantLoad(750))
	require.Len(t, sim.sentOrders, before+1, "an unanswered order is repeated once")
	require.Equal(t, open.Wish, sim.sentOrders[before].Wish)
}

// TestRefusedOrder checks that the previous order stays in force.
func TestRefusedOrder(t *testing.T) {
	sim := newSettledSimulation(t, 6)
	sim.answerOrder = func(Order) (Answer, bool) { return Refused, false }
	sim.run(20000, constantLoad(200))
	require.LessOrEqual(t, len(sim.sentOrders), 8, "not retried before the backoff ends")
	for pool, order := range sim.orders {
		want := 0
		if !pool.Reclaimable {
			want = 6
		}
		require.Equal(t, want, order.Count())
	}
}

// TestLimitsChange checks that changed limits apply immediately, to both kinds together.
func TestLimitsChange(t *testing.T) {
	sim := newSettledSimulation(t, 12)
	sim.run(20000, constantLoad(300))
	sim.scale.Least, sim.scale.Most = 2, 8
	sim.orders = map[Pool]Order{}
	sim.planner = NewPlanner()
	sim.run(12000, constantLoad(300))
	for _, zone := range sim.zones {
		require.LessOrEqual(t, sim.countInZone(zone), 8)
	}
	sim.scale.Least, sim.scale.Most = 10, 24
	sim.run(12000, nil)
	for _, zone := range sim.zones {
		require.GreaterOrEqual(t, sim.countInZone(zone), 10)
	}
}
