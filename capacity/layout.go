package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/dillchute/dillchute/routing"
)

// layout holds the current and the target state of a service's pools.
type layout struct {
	scale             routing.Scale
	toleratesZoneLoss bool
	zones             []string
	poolStates        map[Pool]*PoolState
	// slotsPerBackend is how many samples a backend runs concurrently.
	slotsPerBackend float64
}

// currentLayout returns the pools as they are, with targets that leave them unchanged.
func (p *Planner) currentLayout(now int64, fleet Fleet) *layout {
	l := &layout{scale: fleet.Scale, toleratesZoneLoss: fleet.ToleratesZoneLoss, zones: slices.Sorted(slices.Values(fleet.Zones)), poolStates: map[Pool]*PoolState{}, slotsPerBackend: 1}
	for _, zone := range l.zones {
		l.poolStates[Pool{Zone: zone}] = &PoolState{}
		if fleet.Scale.ReclaimablePrice > 0 {
			l.poolStates[Pool{Zone: zone, Reclaimable: true}] = &PoolState{}
		}
	}
	for _, member := range fleet.Members {
		l.addMember(member)
	}
	for pool, state := range l.poolStates {
		p.updatePool(now, pool, state, fleet)
	}
	for pool, state := range l.poolStates {
		tracker := p.trackers[pool]
		state.Paused = !tracker.hasOrder() && !p.isSettled(now, pool) || tracker.isPaused(now)
		state.cancellable = pool.Reclaimable && tracker.isPaused(now) && state.Booting == 0
	}
	return l
}

func (l *layout) addMember(member Member) {
	state := l.poolStates[member.Pool]
	if state == nil {
		return
	}
	l.slotsPerBackend = max(l.slotsPerBackend, float64(member.Slots))
	switch {
	case member.Draining && member.Silent:
		// It stopped without unregistering.
	case member.Draining:
		state.Draining++
	case member.Silent:
		state.Silent++
	default:
		state.Ready++
	}
}

// updatePool updates the pool's tracker and sets the counts that depend on orders.
func (p *Planner) updatePool(now int64, pool Pool, state *PoolState, fleet Fleet) {
	tracker := p.trackers[pool]
	if tracker == nil {
		tracker = &orderTracker{}
		p.trackers[pool] = tracker
	}
	registrationTimeout := registrationTimeoutMillis(fleet.Scale)
	if tracker.hasGrown(*state) || p.lastGrowthAt == 0 {
		p.lastGrowthAt = now
	}
	tracker.observe(now, fleet.Orders[pool], *state, registrationTimeout)
	state.Ordered = tracker.ordered()
	state.Booting = tracker.pending()
	state.maxOrdered = tracker.maxOrdered()
	state.Wanted = state.registered() + state.Booting
	if tracker.hasOrder() && state.Ordered < state.Wanted && now-tracker.orderSeenAt < registrationTimeout {
		// The surplus is about to drain.
		state.Wanted = state.Ordered
	}
	state.baseline = state.Wanted
}

// registered returns how many of the pool's backends are not draining.
func (s PoolState) registered() int { return s.Ready + s.Silent }

func (s PoolState) isDraining() bool { return s.Draining > 0 }

// orderCount returns the count to order. It is below the ordered count only on a scale-down: backends
// that are missing may just be unreachable, and a lower count would remove them.
func (s PoolState) orderCount() int {
	switch {
	case s.cancelled:
		return s.registered()
	case s.Wanted == s.baseline:
		return s.Ordered
	case s.Wanted > s.baseline:
		return max(s.Wanted, s.Ordered)
	}
	return s.Wanted
}

// maxCount returns the highest number of backends that the pool may reach, as an order without an
// answer, or whose backends have not registered, may still be carried out.
func (s PoolState) maxCount() int { return max(s.Wanted, s.orderCount(), s.Ordered, s.maxOrdered) }

// supply returns how many backends are available once the target is met, not counting silent ones.
func (s PoolState) supply() int { return max(s.Wanted-s.Silent, 0) }

// pools returns all pools in a deterministic order.
func (l *layout) pools() []Pool {
	pools := make([]Pool, 0, len(l.poolStates))
	for pool := range l.poolStates {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(kindRank(a), kindRank(b)))
	})
	return pools
}

func kindRank(pool Pool) int {
	if pool.Reclaimable {
		return 1
	}
	return 0
}

// states returns a copy of the pools' states.
func (l *layout) states() map[Pool]PoolState {
	states := make(map[Pool]PoolState, len(l.poolStates))
	for pool, state := range l.poolStates {
		states[pool] = *state
	}
	return states
}

// sumInZone returns the sum of a count over both pools of a zone.
func (l *layout) sumInZone(zone string, count func(PoolState) int) int {
	sum := 0
	for _, reclaimable := range []bool{false, true} {
		if state := l.poolStates[Pool{Zone: zone, Reclaimable: reclaimable}]; state != nil {
			sum += count(*state)
		}
	}
	return sum
}

func wantedCount(state PoolState) int { return state.Wanted }

func (l *layout) totalSupply() int {
	sum := 0
	for _, state := range l.poolStates {
		sum += state.supply()
	}
	return sum
}

// enginesFor returns how many engines provide that many usable slots.
func (l *layout) enginesFor(slots float64) int {
	return int(math.Ceil(slots / usableFraction / l.slotsPerBackend))
}

// maxLoss returns how many backends one failure may remove: the reclaimable ones of a zone, or the whole
// zone if its loss must be tolerated.
func (l *layout) maxLoss() int {
	maxLost := 0
	for _, zone := range l.zones {
		if l.toleratesZoneLoss && len(l.zones) > 1 {
			maxLost = max(maxLost, l.sumInZone(zone, PoolState.supply))
		}
		if state := l.poolStates[Pool{Zone: zone, Reclaimable: true}]; state != nil {
			maxLost = max(maxLost, state.supply())
		}
	}
	return maxLost
}

// minEnginesAfterLoss returns how many of the needed engines must survive a loss: until replacements are
// up, the load may use all slots of the rest.
func minEnginesAfterLoss(engines int) int {
	return int(math.Ceil(float64(engines) * minFractionAfterLoss))
}

// minFractionAfterLoss is the fraction of the needed engines that suffices until lost ones are replaced.
const minFractionAfterLoss = 0.75

// shortage returns why there are too few backends, or Enough.
func (l *layout) shortage(engines int) Reason {
	switch total := l.totalSupply(); {
	case total < engines:
		return Late
	case engines > 0 && l.supplyAfterLoss() < minEnginesAfterLoss(engines):
		return Losses
	}
	return Enough
}

// supplyAfterLoss returns how many backends remain after the largest loss.
func (l *layout) supplyAfterLoss() int { return l.totalSupply() - l.maxLoss() }

// applyLimits brings each zone within its limits and reports whether any target changed.
func (l *layout) applyLimits() bool {
	changed := false
	for _, zone := range l.zones {
		for l.sumInZone(zone, wantedCount) > l.scale.Most && l.removeInZone(zone) {
			changed = true
		}
		for l.sumInZone(zone, wantedCount) < l.scale.Least && l.addInZone(zone) {
			changed = true
		}
	}
	return changed
}

// scaleUp adds backends until there are enough, as far as limits and pauses allow, and reports whether
// it added any.
func (l *layout) scaleUp(engines int) bool {
	added := false
	for l.shortage(engines) == Late && l.addBackend() {
		added = true
	}
	for l.shortage(engines) == Losses && l.addRedundancy() {
		added = true
	}
	if l.shortage(engines) != Enough {
		l.cancelUnavailable()
	}
	return added
}

// addRedundancy adds backends until more of them survive the largest loss. If that is not possible, it
// adds none and returns false.
func (l *layout) addRedundancy() bool {
	trial := l.clone()
	for trial.addBackend() {
		if trial.supplyAfterLoss() > l.supplyAfterLoss() {
			l.poolStates = trial.poolStates
			return true
		}
	}
	return false
}

// cancelUnavailable cancels orders of reclaimable backends that the platform cannot provide, as they count
// towards the zone's limit.
func (l *layout) cancelUnavailable() {
	for _, state := range l.poolStates {
		if state.cancellable && state.Ordered > state.registered() {
			state.cancelled = true
		}
	}
}

// addBackend adds a backend in the zone with the lowest supply, preferring cheaper zones.
func (l *layout) addBackend() bool {
	zones := slices.Clone(l.zones)
	slices.SortStableFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.sumInZone(a, PoolState.supply), l.sumInZone(b, PoolState.supply)), cmp.Compare(l.scale.PriceIn(a, false), l.scale.PriceIn(b, false)))
	})
	for _, zone := range zones {
		if !l.isMostlySilent(zone) && l.addInZone(zone) {
			return true
		}
	}
	return false
}

// addInZone adds a backend in the zone, a reclaimable one if their maximum fraction allows it.
func (l *layout) addInZone(zone string) bool {
	total := l.sumInZone(zone, wantedCount)
	kinds := []bool{false}
	if reclaimable := l.poolStates[Pool{Zone: zone, Reclaimable: true}]; reclaimable != nil && float64(reclaimable.Wanted+1) <= maxReclaimableFraction*float64(total+1) && l.scale.ReclaimablePrice < 1 {
		kinds = []bool{true, false}
	}
	for _, reclaimable := range kinds {
		state := l.poolStates[Pool{Zone: zone, Reclaimable: reclaimable}]
		if state.Paused {
			continue
		}
		state.Wanted++
		if l.sumInZone(zone, PoolState.maxCount) <= l.scale.Most {
			return true
		}
		state.Wanted--
	}
	return false
}

// removeInZone removes a backend of the zone: an on-demand one, unless the fraction of reclaimable ones
// would then exceed its maximum.
func (l *layout) removeInZone(zone string) bool {
	onDemand, reclaimable := l.poolStates[Pool{Zone: zone}], l.poolStates[Pool{Zone: zone, Reclaimable: true}]
	switch {
	case reclaimable != nil && reclaimable.Wanted > 0 && float64(reclaimable.Wanted) > maxReclaimableFraction*float64(onDemand.Wanted+reclaimable.Wanted-1):
		reclaimable.Wanted--
	case onDemand.Wanted > 0:
		onDemand.Wanted--
	default:
		return false
	}
	return true
}

// isMostlySilent reports whether most of the zone's backends are silent, in which case new ones would
// probably be unreachable as well.
func (l *layout) isMostlySilent(zone string) bool {
	silent := l.sumInZone(zone, func(state PoolState) int { return state.Silent })
	return 2*silent > l.sumInZone(zone, PoolState.registered)
}

// isInTransition reports whether any backend is booting, draining or silent, or any target is not met.
func (l *layout) isInTransition() bool {
	for _, state := range l.poolStates {
		if state.Booting > 0 || state.Draining > 0 || state.Silent > 0 || state.Wanted != state.registered() {
			return true
		}
	}
	return false
}

// scaleDown removes backends if the surplus is large enough, and reports whether it is.
func (l *layout) scaleDown(engines int) bool {
	total := l.totalSupply()
	maxRemoved := int(maxScaleDownFraction * float64(total))
	trial := l.clone()
	minAfterLoss := min(minEnginesAfterLoss(engines), l.supplyAfterLoss())
	removable := 0
	for trial.removeBackend() && trial.totalSupply() >= engines && trial.supplyAfterLoss() >= minAfterLoss {
		removable++
	}
	if float64(removable) < minIdleFraction*float64(total) || removable == 0 {
		return false
	}
	for range min(removable, max(maxRemoved, 1)) {
		l.removeBackend()
	}
	return true
}

// removeBackend removes a backend from the zone with the highest target, preferring expensive zones.
func (l *layout) removeBackend() bool {
	zones := slices.Clone(l.zones)
	slices.SortStableFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.sumInZone(b, wantedCount), l.sumInZone(a, wantedCount)), cmp.Compare(l.scale.PriceIn(b, false), l.scale.PriceIn(a, false)))
	})
	for _, zone := range zones {
		if l.sumInZone(zone, wantedCount) > l.scale.Least && l.removeInZone(zone) {
			return true
		}
	}
	return false
}

func (l *layout) clone() *layout {
	cloned := *l
	cloned.poolStates = make(map[Pool]*PoolState, len(l.poolStates))
	for pool, state := range l.poolStates {
		stateCopy := *state
		cloned.poolStates[pool] = &stateCopy
	}
	return &cloned
}
