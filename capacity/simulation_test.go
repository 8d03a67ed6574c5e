package capacity

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/routing"
)

const (
	// tick and stepPeriod are the times between two plans and between two steps, in milliseconds.
	tick       = 250
	stepPeriod = 4000
	// dueAfter is the time from the submission of a step until it is due.
	dueAfter = 7500
	// engineSlots is the number of slots of an engine, and slotWork the work of one slot per step period.
	engineSlots = 6
	slotWork    = stepPeriod
)

// machine is a backend of the simulated platform.
type machine struct {
	pool Pool
	// servesAt is when it registers, and leavesAt when it stops, or 0.
	servesAt, leavesAt int64
	silent             bool
}

// job is the remaining work of a step.
type job struct{ due, remaining float64 }

// simulation runs a service on a simulated platform, with backends ordered by a planner.
type simulation struct {
	t                 require.TestingT
	now               int64
	scale             routing.Scale
	zones             []string
	toleratesZoneLoss bool
	machines          []*machine
	desired           map[Pool]int
	orders            map[Pool]Order
	planner           *Planner
	jobs              []job
	// answerOrder returns the answer to an order and whether it is carried out. If it is nil, all are
	// carried out.
	answerOrder func(order Order) (answer Answer, done bool)
	// sentOrders and sentAt are the orders so far and their times. lateWork is the work done after it
	// was due.
	sentOrders []Order
	sentAt     []int64
	lateWork   float64
	plan       Plan
	// hideDemand withholds demand from the planner.
	hideDemand bool
}

// newSimulation returns a simulation of a service in four zones.
func newSimulation(t require.TestingT, enginesPerZone int) *simulation {
	sim := &simulation{
		t: t, now: 1000, zones: []string{"a", "b", "c", "d"}, desired: map[Pool]int{}, orders: map[Pool]Order{}, planner: NewPlanner(), toleratesZoneLoss: true,
		scale: routing.Scale{Least: 1, Most: 24, BootMillis: 4000, ReclaimablePrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9}},
	}
	for _, zone := range sim.zones {
		sim.desired[Pool{Zone: zone}] = enginesPerZone
		for range enginesPerZone {
			sim.machines = append(sim.machines, &machine{pool: Pool{Zone: zone}})
		}
	}
	return sim
}

// newSettledSimulation returns a simulation that has run long enough for the planner to send orders.
func newSettledSimulation(t require.TestingT, enginesPerZone int) *simulation {
	sim := newSimulation(t, enginesPerZone)
	sim.run(6000, nil)
	require.Empty(t, sim.sentOrders)
	return sim
}

// submitStep adds a step that occupies this many slots for a step period.
func (sim *simulation) submitStep(slots float64) {
	sim.jobs = append(sim.jobs, job{due: float64(sim.now + dueAfter), remaining: slots * slotWork})
}

// run advances the clock and submits a step at the start of each step period.
func (sim *simulation) run(millis int64, slots func(number int) float64) {
	for end, number := sim.now+millis, 0; sim.now < end; sim.now += tick {
		if slots != nil && (end-sim.now)%stepPeriod == millis%stepPeriod {
			sim.submitStep(slots(number))
			number++
		}
		sim.planAndSend()
		sim.runJobs()
	}
}

// runJobs lets the engines work for one tick, on the earliest jobs first.
func (sim *simulation) runJobs() {
	budget := float64(len(sim.serving()) * engineSlots * tick)
	for i := range sim.jobs {
		done := min(sim.jobs[i].remaining, budget)
		sim.jobs[i].remaining -= done
		budget -= done
		if float64(sim.now) > sim.jobs[i].due {
			sim.lateWork += done
		}
	}
	sim.jobs = slices.DeleteFunc(sim.jobs, func(j job) bool { return j.remaining <= 0 })
}

// serving returns the machines that run samples.
func (sim *simulation) serving() []*machine {
	var list []*machine
	for _, m := range sim.machines {
		if m.servesAt <= sim.now && !m.silent && m.leavesAt == 0 {
			list = append(list, m)
		}
	}
	return list
}

// planAndSend makes a plan and sends its orders.
func (sim *simulation) planAndSend() {
	sim.machines = slices.DeleteFunc(sim.machines, func(m *machine) bool { return m.leavesAt > 0 && m.leavesAt <= sim.now })
	sim.plan = sim.planner.Plan(sim.now, sim.fleet())
	for _, order := range sim.plan.Orders {
		require.Greater(sim.t, order.Number, sim.orders[order.Wish.Pool()].Number, "order numbers must increase")
		sim.send(order)
	}
	for _, zone := range sim.zones {
		total := sim.desired[Pool{Zone: zone}] + sim.desired[Pool{Zone: zone, Reclaimable: true}]
		require.LessOrEqual(sim.t, total, sim.scale.Most, "the limit applies to both kinds together")
	}
}

func (sim *simulation) fleet() Fleet {
	fleet := Fleet{Service: "s", Scale: sim.scale, Zones: sim.zones, Orders: maps.Clone(sim.orders), ToleratesZoneLoss: sim.toleratesZoneLoss, HasNewDemand: !sim.hideDemand}
	for _, m := range sim.machines {
		if m.servesAt <= sim.now {
			fleet.Members = append(fleet.Members, Member{Pool: m.pool, Slots: engineSlots, Draining: m.leavesAt > 0, Silent: m.silent})
		}
	}
	busySlots := 0.0
	for _, job := range sim.jobs {
		busySlots += job.remaining / tick
		fleet.Demand.Work = append(fleet.Demand.Work, Work{DueMillis: int64(job.due) - sim.now, SlotMillis: job.remaining})
	}
	fleet.Demand.Running = min(int(busySlots), len(sim.serving())*engineSlots)
	fleet.Demand.Waiting = int(busySlots) - fleet.Demand.Running
	return fleet
}

// send records an order with its answer, and carries it out if the answer says so.
func (sim *simulation) send(order Order) {
	sim.sentOrders, sim.sentAt = append(sim.sentOrders, order), append(sim.sentAt, sim.now)
	answer, done := Accepted, true
	if sim.answerOrder != nil {
		answer, done = sim.answerOrder(order)
	}
	order.Answer = answer
	sim.orders[order.Wish.Pool()] = order
	if done {
		sim.carryOut(order.Wish)
	}
}

// carryOut boots or drains machines to reach the ordered count.
func (sim *simulation) carryOut(target Target) {
	pool := target.Pool()
	sim.desired[pool] = target.Count
	present := sim.machinesIn(pool)
	for range target.Count - len(present) {
		sim.machines = append(sim.machines, &machine{pool: pool, servesAt: sim.now + sim.scale.BootMillis})
	}
	for i := range len(present) - target.Count {
		present[i].leavesAt = sim.now + 2500
	}
}

// machinesIn returns the pool's machines that are not draining.
func (sim *simulation) machinesIn(pool Pool) []*machine {
	var list []*machine
	for _, m := range sim.machines {
		if m.pool == pool && m.leavesAt == 0 {
			list = append(list, m)
		}
	}
	return list
}

// countInZone returns the number of a zone's machines of both kinds that are not draining.
func (sim *simulation) countInZone(zone string) int {
	return len(sim.machinesIn(Pool{Zone: zone})) + len(sim.machinesIn(Pool{Zone: zone, Reclaimable: true}))
}

// removeMachines removes machines that match, without draining them.
func (sim *simulation) removeMachines(matches func(m *machine) bool) {
	sim.machines = slices.DeleteFunc(sim.machines, matches)
}

// directionChanges counts how often orders changed between scaling up and scaling down.
func (sim *simulation) directionChanges() int {
	changes, last := 0, 0
	for _, order := range sim.sentOrders {
		direction := order.Wish.Count - order.Before
		if direction != 0 && last != 0 && direction > 0 != (last > 0) {
			changes++
		}
		if direction != 0 {
			last = direction
		}
	}
	return changes
}

func constantLoad(slots float64) func(int) float64 { return func(int) float64 { return slots } }

func TestRequiredSlots(t *testing.T) {
	slots := func(demand Demand) float64 { return requiredSlots(demand, 5000) }
	require.Zero(t, slots(Demand{}))
	require.InDelta(t, 2, slots(Demand{Work: []Work{{DueMillis: 10000, SlotMillis: 20000}}}), 1e-9)
	require.InDelta(t, 4, slots(Demand{Work: []Work{{DueMillis: 100, SlotMillis: 20000}}}), 1e-9, "work due within the lead time counts as due at its end")
	late := Demand{Running: 12, Work: []Work{{DueMillis: 10000, SlotMillis: 30000}, {DueMillis: -2000, SlotMillis: 20000}}}
	require.InDelta(t, 5, slots(late), 1e-9, "overdue work counts as well")
	late.Waiting = 1
	require.InDelta(t, 12, slots(late), 1e-9, "samples wait while work is overdue")
}
