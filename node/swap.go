package node

import (
	"maps"
	"slices"

	"github.com/dillchute/dillchute/state"
)

// planSwaps swaps the owned engines to the newest weights, at most MaxSwappingPercent
// of a group at a time.
func (c *Core) planSwaps() {
	if !c.HasLease() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.catalog.Pools)) {
		c.planGroupSwaps(c.catalog.Pools[name].Spec)
	}
}

func (c *Core) planGroupSwaps(pool state.PoolSpec) {
	newest := c.catalog.Models[pool.Model].Newest()
	var outdated []*engine
	owned, swapping := 0, 0
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		target := c.engines[id]
		if target.info.Group != pool.EngineGroup {
			continue
		}
		owned++
		switch {
		case target.swapping:
			swapping++
			c.continueSwap(target, pool.Model, newest)
		case c.needsSwap(target, newest):
			outdated = append(outdated, target)
		}
	}
	allowed := max(1, owned*pool.MaxSwappingPercent/100) - swapping
	for _, target := range sortByRunning(outdated) {
		// An engine without weights serves no requests, so the limit does not apply.
		if target.version != 0 && allowed <= 0 {
			continue
		}
		allowed--
		target.swapping = true
		c.continueSwap(target, pool.Model, newest)
	}
}

func (c *Core) needsSwap(target *engine, newest uint64) bool {
	return newest > 0 && target.version < newest && target.epochAccepted && target.order == nil && !target.draining &&
		c.now-target.lastReportAt <= maxReportAgeMillis && c.now >= target.nextOrderAt
}

// continueSwap sends the swap order once the running requests allow it: the finish
// policy waits for them, the restart policy cancels and requeues samples, and the
// continue policy lets them run.
func (c *Core) continueSwap(target *engine, model string, newest uint64) {
	if target.order != nil {
		return
	}
	waiting := false
	for _, attempt := range slices.Sorted(maps.Keys(target.running)) {
		running := target.running[attempt]
		switch c.weightPolicyOf(running) {
		case state.FinishRunning:
			waiting = true
		case state.RestartRunning:
			if running.sample != nil {
				c.restartSample(running)
			}
		}
	}
	if !waiting {
		c.sendOrder(target, model, newest)
	}
}

func (c *Core) weightPolicyOf(request *request) state.WeightPolicy {
	if pool := c.catalog.Pools[request.pool]; pool != nil {
		return pool.Spec.Policy
	}
	return state.ContinueRunning
}

func (c *Core) restartSample(request *request) {
	c.cancelAttempt(request)
	c.counters.TokensWasted += uint64(len(request.tokens))
	request.tokens, request.segments = nil, nil
	c.requeueSample(request)
}

func sortByRunning(engines []*engine) []*engine {
	slices.SortStableFunc(engines, func(a, b *engine) int { return len(a.running) - len(b.running) })
	return engines
}
