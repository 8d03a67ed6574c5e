package capacity

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/dillchute/dillchute/routing"
)

const (
	// usableFraction is the fraction of an engine's slots that plans rely on. The rest is lost to loading
	// weights, and to samples of uneven length at the end of a step.
	usableFraction = 0.6
	// registrationBootTimes is the number of boot times after which an ordered backend that has not
	// registered is no longer expected.
	registrationBootTimes = 2
	// exhaustedBackoff and refusedBackoff are how long a pool is not scaled up after an order was
	// answered Exhausted or Refused. They double with each consecutive failure, up to maxBackoff.
	exhaustedBackoff = 8 * time.Second
	refusedBackoff   = 30 * time.Second
	maxBackoff       = 5 * time.Minute
	// openRetryInterval is the time before an order without an answer is sent again.
	openRetryInterval = time.Second
	// scaleUpInterval and scaleDownInterval are the minimum times between two plans that change
	// targets in that direction.
	scaleUpInterval   = time.Second
	scaleDownInterval = 4 * time.Second
	// oscillationWindows is the number of demand windows after a scale-down during which a scale-up counts
	// as an oscillation.
	oscillationWindows = 3
	// maxScaleDownFraction is the largest fraction of the backends that one plan removes.
	// minIdleFraction is the surplus needed to remove any, as ordering them again costs boot and load time.
	maxScaleDownFraction = 0.3
	minIdleFraction      = 0.15
	// settleTime is how long pools without an order must not have grown before their first order.
	// Backends of a new deployment register one by one, and an order sets their total number.
	settleTime = 5 * time.Second
	// maxReclaimableFraction limits the reclaimable backends of a zone, as the others must take over
	// their samples within the notice period.
	maxReclaimableFraction = 0.5
)

// Member is a registered backend.
type Member struct {
	Pool     Pool
	Slots    int
	Draining bool
	// Silent backends have sent no heartbeat for some time: they may be lost or unreachable.
	Silent bool
}

// Fleet is the planner's input for one service.
type Fleet struct {
	Service string
	Scale   routing.Scale
	Members []Member
	// Zones lists the zones in which the service runs or may run.
	Zones []string
	// Demand is used only if HasNewDemand is set.
	Demand       Demand
	HasNewDemand bool
	// Orders holds the newest order of each pool.
	Orders map[Pool]Order
	// ToleratesZoneLoss requires enough backends to survive the loss of a whole zone.
	ToleratesZoneLoss bool
}

// AddZone adds a zone in which the service runs or may run.
func (f *Fleet) AddZone(zone string) {
	if !slices.Contains(f.Zones, zone) {
		f.Zones = append(f.Zones, zone)
	}
}

// Planner decides what to order for one service. Its history is not persisted: a new leader starts with
// a new planner and the recorded orders.
type Planner struct {
	history demandHistory
	// scaledUpAt and scaledDownAt are the times of the last plans in either direction.
	scaledUpAt, scaledDownAt int64
	trackers                 map[Pool]*orderTracker
	// lastGrowthAt is when a pool without an order last reached a new maximum of backends.
	lastGrowthAt int64
}

// NewPlanner returns a planner without history.
func NewPlanner() *Planner { return &Planner{trackers: map[Pool]*orderTracker{}} }

// Reason is the main reason for a plan's targets.
type Reason uint8

const (
	// Enough means that the existing and ordered backends suffice.
	Enough Reason = iota
	// Late means that there are too few backends to complete samples in time.
	Late
	// Losses means that too few backends would remain after the largest loss.
	Losses
	// Idle means that there are more backends than needed.
	Idle
	// Bounds means that the service's limits required a change.
	Bounds
	// Unknown means that the demand history is too short.
	Unknown
)

// String returns the reason's name for logs and metrics.
func (r Reason) String() string {
	return [...]string{"enough", "late", "losses", "idle", "bounds", "unknown"}[r]
}

// Plan is the planner's result for one service.
type Plan struct {
	Service string
	// Slots is the number of slots needed, and Engines the number of backends that provide them.
	Slots   float64
	Engines int
	Reason  Reason
	Pools   map[Pool]PoolState
	// Orders lists the orders to send now.
	Orders []Order
}

// PoolState holds the target (Wanted), the ordered count and the numbers of backends by state of a pool.
type PoolState struct {
	Wanted, Ordered, Booting, Ready, Draining, Silent int
	// Paused is set while the pool must not be scaled up.
	Paused bool
	// baseline is the target if nothing changes. maxOrdered is the highest count that orders may
	// produce.
	baseline, maxOrdered int
	// cancellable is set if ordered backends that are missing may be cancelled, and cancelled if
	// they are.
	cancellable, cancelled bool
}

// String returns a summary of the plan for logs.
func (p Plan) String() string {
	return fmt.Sprintf("%s: %d engines for %.1f slots, %s, %d orders", p.Service, p.Engines, p.Slots, p.Reason, len(p.Orders))
}

// RecordDemand adds demand to the history without making a plan.
func (p *Planner) RecordDemand(now int64, scale routing.Scale, demand Demand) {
	p.history.record(now, requiredSlots(demand, leadTimeMillis(scale)), float64(demand.Running))
}

// Plan computes the targets of the service's pools and the orders that are due.
func (p *Planner) Plan(now int64, fleet Fleet) Plan {
	if fleet.HasNewDemand {
		p.RecordDemand(now, fleet.Scale, fleet.Demand)
	}
	layout := p.currentLayout(now, fleet)
	plan := Plan{Service: fleet.Service, Reason: Unknown}
	if p.history.isFresh(now) {
		plan.Slots = p.history.slotsNeeded(now, leadTimeMillis(fleet.Scale))
	}
	plan.Engines = layout.enginesFor(plan.Slots)
	plan.Reason = p.decide(now, layout, plan.Engines, layout.enginesFor(p.history.slotsToKeep(now, leadTimeMillis(fleet.Scale))))
	plan.Pools = layout.states()
	plan.Orders = p.dueOrders(now, fleet, layout)
	return plan
}

// decide updates the layout's targets and returns the reason. A scale-down leaves at least enginesToKeep
// engines.
func (p *Planner) decide(now int64, layout *layout, engines, enginesToKeep int) Reason {
	limitsApplied := layout.applyLimits()
	shortage := layout.shortage(engines)
	if shortage != Enough && p.mayScaleUp(now) && layout.scaleUp(withMargin(engines)) {
		p.recordScaleUp(now)
		return shortage
	}
	switch {
	case shortage == Late:
		return Late
	case limitsApplied:
		return Bounds
	case shortage == Enough && !p.history.isConclusive(now):
		return Unknown
	case p.history.isConclusive(now) && p.mayScaleDown(now, layout) && layout.scaleDown(withMargin(enginesToKeep)):
		p.scaledDownAt = now
		return Idle
	}
	// A shortage after losses that no order can fix does not prevent a scale-down.
	return shortage
}

// mayScaleUp reports whether more backends may be ordered: scaleUpInterval limits the rate of orders
// while demand grows, but after a failed order other pools are tried immediately.
func (p *Planner) mayScaleUp(now int64) bool {
	if p.scaledUpAt == 0 || now-p.scaledUpAt >= scaleUpInterval.Milliseconds() {
		return true
	}
	for _, tracker := range p.trackers {
		if tracker.pausedAt >= p.scaledUpAt {
			return true
		}
	}
	return false
}

// withMargin adds a margin to the number of engines, so that small changes of demand cause no further
// orders.
func withMargin(engines int) int { return int(math.Ceil((1 + minIdleFraction) * float64(engines))) }

// recordScaleUp records a scale-up, and widens the demand window if it follows a recent scale-down.
func (p *Planner) recordScaleUp(now int64) {
	if p.scaledDownAt > 0 && now-p.scaledDownAt < oscillationWindows*p.history.window.Milliseconds() {
		p.history.widenWindow()
		p.scaledDownAt = 0
	}
	p.scaledUpAt = now
}

// mayScaleDown reports whether backends may be removed: not soon after another change of the targets, nor
// while any backend is in transition.
func (p *Planner) mayScaleDown(now int64, layout *layout) bool {
	if p.scaledUpAt > 0 && now-p.scaledUpAt < p.history.window.Milliseconds() {
		return false
	}
	if p.scaledDownAt > 0 && now-p.scaledDownAt < scaleDownInterval.Milliseconds() {
		return false
	}
	return !layout.isInTransition()
}

// isSettled reports whether a pool without an order may get its first one: the service has run in the
// zone, and its backends have had time to register.
func (p *Planner) isSettled(now int64, pool Pool) bool {
	onDemand := p.trackers[Pool{Zone: pool.Zone}]
	runsInZone := onDemand != nil && (onDemand.hasOrder() || onDemand.hadBackends)
	return runsInZone && now-p.lastGrowthAt >= settleTime.Milliseconds()
}

// leadTimeMillis returns the time until a backend ordered now runs samples.
func leadTimeMillis(scale routing.Scale) int64 { return scale.BootMillis + loadTime.Milliseconds() }

// registrationTimeoutMillis returns how long an ordered backend may take to register.
func registrationTimeoutMillis(scale routing.Scale) int64 {
	return max(registrationBootTimes*scale.BootMillis, openRetryInterval.Milliseconds())
}

// dueOrders returns the orders that bring the pools to the layout's targets.
func (p *Planner) dueOrders(now int64, fleet Fleet, layout *layout) []Order {
	var orders []Order
	for _, pool := range layout.pools() {
		state, tracker := layout.poolStates[pool], p.trackers[pool]
		count := state.orderCount()
		if !tracker.isDue(now, count, *state, fleet) {
			continue
		}
		orders = append(orders, Order{
			Wish:   Target{Service: fleet.Service, Zone: pool.Zone, Reclaimable: pool.Reclaimable, Count: count},
			Before: state.Ordered, Held: max(state.Ordered, state.maxOrdered), Number: tracker.order.Number + 1,
		})
	}
	return orders
}

// Ready returns the number of ready backends in all pools.
func (p Plan) Ready() int {
	ready := 0
	for _, state := range p.Pools {
		ready += state.Ready
	}
	return ready
}
