package node

import (
	"maps"
	"slices"

	"github.com/dillchute/dillchute/dispatch"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// engine is an engine that the node owns, as the node sees it.
type engine struct {
	info state.Engine
	// fenced is set once the engine has taken up this ownership's epoch.
	fenced   bool
	sequence uint64
	order    *protocol.EngineOrder
	orderAt  int64
	// version is the one that the engine last said it holds wholly; 0 is unknown.
	version  uint64
	leaving  bool
	reportAt int64
	probeAt  int64
	// blockedUntil keeps work away after a refusal.
	blockedUntil int64
	// swapping keeps new work away until the weights are loaded.
	swapping bool
	running  map[string]*request
	// retryOrderAt delays an order after one that failed.
	retryOrderAt int64
	// tokenMillis is a moving mean of the time for a token of one stream.
	tokenMillis float64
}

// group is what the node holds for one engine group.
type group struct {
	queue dispatch.Queue
	// servedAt is when the node last owned an engine of the group that was
	// heard of and not leaving.
	servedAt int64
}

func (c *Core) group(name string) *group {
	if c.groups[name] == nil {
		c.groups[name] = &group{servedAt: c.now}
	}
	return c.groups[name]
}

// syncEngines takes up engines that control has granted and lets go of others.
// Attempts that run on an engine let go of end by themselves.
func (c *Core) syncEngines() {
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		info := c.catalog.Engines[id]
		if info == nil || info.Owner != c.config.ID || info.Epoch != c.engines[id].info.Epoch {
			delete(c.engines, id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.catalog.Engines)) {
		info := c.catalog.Engines[id]
		if info.Owner != c.config.ID {
			continue
		}
		if known := c.engines[id]; known != nil {
			known.info = *info
			continue
		}
		c.engines[id] = &engine{info: *info, probeAt: -probeMillis, reportAt: -reportMaxAgeMillis, running: map[string]*request{}}
	}
}

// probeEngines asks each engine for a report and raises its fence.
func (c *Core) probeEngines() {
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		target := c.engines[id]
		if target.order != nil && c.now-target.orderAt > orderTimeoutMillis {
			c.endOrder(target, false)
		}
		if c.now-target.probeAt < probeMillis {
			continue
		}
		target.probeAt = c.now
		c.sendEngine(target, protocol.EngineMessage{Probe: &protocol.EngineProbe{}})
		if !target.fenced && target.order == nil && c.Leased() {
			c.sendOrder(target, "", 0)
		}
	}
}

func (c *Core) sendOrder(target *engine, model string, version uint64) {
	target.sequence++
	target.order = &protocol.EngineOrder{
		Epoch: target.info.Epoch, Sequence: target.sequence, Model: model, Version: version,
	}
	target.orderAt = c.now
	c.sendEngine(target, protocol.EngineMessage{Order: target.order})
}

// ReceiveEngine takes in a message of an engine.
func (c *Core) ReceiveEngine(now int64, id string, message protocol.EngineMessage) {
	c.now = now
	switch {
	case message.Chunk != nil && !message.Chunk.Done:
		// No slot becomes free, so nothing else can start.
		c.receiveChunk(message.Chunk)
		return
	case message.Chunk != nil:
		c.receiveChunk(message.Chunk)
	case message.Refused != nil:
		c.receiveRefused(id, message.Refused)
	case message.Lost != nil:
		c.receiveLost(message.Lost.Attempt)
	case message.OrderResult != nil:
		c.receiveOrderResult(id, message.OrderResult)
	case message.Report != nil:
		c.receiveReport(id, message.Report)
	}
	c.pump()
}

// receiveReport takes in an engine's word about itself. A version is believed
// only while no order is under way, since reports lag behind orders.
func (c *Core) receiveReport(id string, report *protocol.EngineReport) {
	target := c.engines[id]
	if target == nil {
		return
	}
	target.reportAt = c.now
	target.leaving = report.Leaving
	if report.Epoch > target.info.Epoch {
		// Another owner has been granted the engine; the catalog will tell.
		target.fenced = false
		return
	}
	if report.Epoch < target.info.Epoch {
		// The engine has restarted, or has not met this epoch yet.
		target.fenced = false
		target.version = 0
		return
	}
	if target.order == nil && report.Sequence >= target.sequence {
		target.version = report.Version
	}
}

func (c *Core) receiveOrderResult(id string, result *protocol.EngineOrderResult) {
	target := c.engines[id]
	if target == nil || target.order == nil || result.Epoch != target.order.Epoch || result.Sequence != target.order.Sequence {
		return
	}
	c.endOrder(target, result.Done)
}

// endOrder records how the order ended. After a failure the engine's version
// is unknown until its next report.
func (c *Core) endOrder(target *engine, done bool) {
	order := target.order
	target.order = nil
	switch {
	case done && order.Version == 0:
		target.fenced = true
	case done:
		target.fenced, target.swapping = true, false
		target.version = order.Version
		c.counters.Swaps++
	default:
		target.swapping = false
		target.retryOrderAt = c.now + probeMillis
		if order.Version != 0 {
			target.version = 0
			c.counters.SwapFailures++
		}
	}
}

// usable tells whether the engine may get new work now: an engine without
// recent evidence, leaving, swapping or with an unknown version may not.
func (c *Core) usable(target *engine) bool {
	return target.fenced && !target.leaving && !target.info.Draining() && !target.swapping &&
		target.version != 0 && c.now-target.reportAt <= reportMaxAgeMillis && c.now >= target.blockedUntil
}

// noteServed records which groups the node has engines for. An engine that is
// swapping or busy counts: it will take work again.
func (c *Core) noteServed() {
	for _, target := range c.engines {
		heard := c.now-target.reportAt <= reportMaxAgeMillis
		if heard && !target.leaving && !target.info.Draining() {
			c.group(target.info.Group).servedAt = c.now
		}
	}
}

// reservedSlots is the number of an engine's slots that samples leave free.
func reservedSlots(slots int) int { return max(1, slots/reservedSlotShare) }

// reservedSlotShare is the inverse of the share of slots kept for live requests.
const reservedSlotShare = 8

func (c *Core) slotsLeft(target *engine, live bool) int {
	left := target.info.Slots - len(target.running)
	if !live {
		left -= reservedSlots(target.info.Slots)
	}
	return max(0, left)
}

func (c *Core) freeSlots(group string, live bool) int {
	free := 0
	for _, target := range c.engines {
		if target.info.Group == group && c.usable(target) {
			free += c.slotsLeft(target, live)
		}
	}
	return free
}

// chooseEngine returns the usable engine with the most free slots among those
// whose version the request accepts, or nil.
func (c *Core) chooseEngine(request *request) *engine {
	var best *engine
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		target := c.engines[id]
		if target.info.Group != request.group || !c.usable(target) || !c.accepts(request, target) {
			continue
		}
		if c.slotsLeft(target, request.sample == nil) == 0 {
			continue
		}
		if best == nil || c.slotsLeft(target, true) > c.slotsLeft(best, true) {
			best = target
		}
	}
	return best
}

// accepts tells whether a result from the engine's version can still be
// delivered, as far as is known now.
func (c *Core) accepts(request *request, target *engine) bool {
	if request.sample == nil {
		return true
	}
	pool := c.catalog.Pools[request.pool]
	if pool == nil || target.version+pool.Spec.MaxStalenessVersions < c.catalog.Models[pool.Spec.Model].Newest() {
		return false
	}
	return c.mayEndInTime(request, target, pool.Spec)
}

func (c *Core) sortedRequests() []uint64 { return slices.Sorted(maps.Keys(c.requests)) }
