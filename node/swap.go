package node

import (
	"maps"
	"slices"

	"github.com/dillchute/dillchute/state"
)

// planSwaps brings the owned engines to the newest weights, a share at a time.
func (c *Core) planSwaps() {
	if !c.Leased() {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.catalog.Pools)) {
		c.planGroupSwaps(c.catalog.Pools[name].Spec)
	}
}

func (c *Core) planGroupSwaps(pool state.PoolSpec) {
	newest := c.catalog.Models[pool.Model].Newest()
	var behind []*engine
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
			behind = append(behind, target)
		}
	}
	allowed := max(1, owned*pool.MaxSwappingPercent/100) - swapping
	for _, target := range leastRunningFirst(behind) {
		// An engine without weights serves nobody, so it need not wait its turn.
		if target.version != 0 && allowed <= 0 {
			continue
		}
		allowed--
		target.swapping = true
		c.continueSwap(target, pool.Model, newest)
	}
}

func (c *Core) needsSwap(target *engine, newest uint64) bool {
	return newest > 0 && target.version < newest && target.fenced && target.order == nil && !target.leaving &&
		c.now-target.reportAt <= reportMaxAgeMillis && c.now >= target.retryOrderAt
}

// continueSwap sends the order once nothing that runs stands in its way: under
// the finish policy running requests end first, under the restart policy
// samples are cancelled and run again, under the continue policy all go on.
func (c *Core) continueSwap(target *engine, model string, newest uint64) {
	if target.order != nil {
		return
	}
	waiting := false
	for _, attempt := range slices.Sorted(maps.Keys(target.running)) {
		running := target.running[attempt]
		switch c.policyOf(running) {
		case state.FinishRunning:
			waiting = true
		case state.RestartRunning:
			if running.sample != nil {
				c.restart(running)
			}
		}
	}
	if !waiting {
		c.sendOrder(target, model, newest)
	}
}

func (c *Core) policyOf(request *request) state.WeightPolicy {
	if pool := c.catalog.Pools[request.pool]; pool != nil {
		return pool.Spec.Policy
	}
	return state.ContinueRunning
}

func (c *Core) restart(request *request) {
	c.cancelAttempt(request)
	c.counters.TokensWasted += uint64(len(request.tokens))
	request.tokens, request.segments = nil, nil
	c.requeueSample(request)
}

func leastRunningFirst(engines []*engine) []*engine {
	slices.SortStableFunc(engines, func(a, b *engine) int { return len(a.running) - len(b.running) })
	return engines
}
