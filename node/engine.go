package node

import (
	"maps"
	"slices"

	"github.com/dillchute/dillchute/dispatch"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// engine is the node's state of an engine that it owns.
type engine struct {
	info state.Engine
	// epochAccepted is set once the engine has accepted this ownership's epoch and
	// rejects earlier owners.
	epochAccepted bool
	sequence      uint64
	order         *protocol.EngineOrder
	orderSentAt   int64
	// version is the weight version that the engine has loaded; 0 means unknown.
	version      uint64
	draining     bool
	lastReportAt int64
	lastProbeAt  int64
	// blockedUntil is when the engine may receive work again after a refusal.
	blockedUntil int64
	// swapping is set while new weights are loaded; the engine gets no new work.
	swapping bool
	running  map[string]*request
	// nextOrderAt is the earliest time of the next order after a failed one.
	nextOrderAt int64
	// tokenMillis is the moving average of the time per token of one stream.
	tokenMillis float64
}

// group is the node's state of an engine group.
type group struct {
	queue dispatch.Queue
	// lastServedAt is when the node last owned a reporting engine of the group that
	// was not draining.
	lastServedAt int64
}

func (c *Core) group(name string) *group {
	if c.groups[name] == nil {
		c.groups[name] = &group{lastServedAt: c.now}
	}
	return c.groups[name]
}

// syncEngines adds engines that control has granted and removes others. Attempts that
// run on a removed engine are not cancelled.
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
		c.engines[id] = &engine{info: *info, lastProbeAt: -probeIntervalMillis, lastReportAt: -maxReportAgeMillis, running: map[string]*request{}}
	}
}

// probeEngines requests a report from each engine and sends the ownership's epoch to
// engines that have not accepted it yet.
func (c *Core) probeEngines() {
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		target := c.engines[id]
		if target.order != nil && c.now-target.orderSentAt > orderTimeoutMillis {
			c.endOrder(target, false)
		}
		if c.now-target.lastProbeAt < probeIntervalMillis {
			continue
		}
		target.lastProbeAt = c.now
		c.sendEngine(target, protocol.EngineMessage{Probe: &protocol.EngineProbe{}})
		if !target.epochAccepted && target.order == nil && c.HasLease() {
			c.sendOrder(target, "", 0)
		}
	}
}

func (c *Core) sendOrder(target *engine, model string, version uint64) {
	target.sequence++
	target.order = &protocol.EngineOrder{
		Epoch: target.info.Epoch, Sequence: target.sequence, Model: model, Version: version,
	}
	target.orderSentAt = c.now
	c.sendEngine(target, protocol.EngineMessage{Order: target.order})
}

// ReceiveEngine handles a message from an engine.
func (c *Core) ReceiveEngine(now int64, id string, message protocol.EngineMessage) {
	c.now = now
	switch {
	case message.Chunk != nil && !message.Chunk.Done:
		// No slot becomes free, so no queued request can start.
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
	c.dispatchQueued()
}

// receiveReport handles an engine's status report. The reported version is used only
// if no order is pending, because reports lag behind orders.
func (c *Core) receiveReport(id string, report *protocol.EngineReport) {
	target := c.engines[id]
	if target == nil {
		return
	}
	target.lastReportAt = c.now
	target.draining = report.Leaving
	if report.Epoch > target.info.Epoch {
		// The engine has another owner; a catalog update will follow.
		target.epochAccepted = false
		return
	}
	if report.Epoch < target.info.Epoch {
		// The engine has restarted or has not received this epoch yet.
		target.epochAccepted = false
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

// endOrder records the result of the order. After a failed swap the engine's version
// is unknown until its next report.
func (c *Core) endOrder(target *engine, done bool) {
	order := target.order
	target.order = nil
	switch {
	case done && order.Version == 0:
		target.epochAccepted = true
	case done:
		target.epochAccepted, target.swapping = true, false
		target.version = order.Version
		c.counters.Swaps++
	default:
		target.swapping = false
		target.nextOrderAt = c.now + probeIntervalMillis
		if order.Version != 0 {
			target.version = 0
			c.counters.SwapFailures++
		}
	}
}

// isUsable reports whether the engine may receive new work: it has reported recently,
// is neither draining nor swapping, and its version is known.
func (c *Core) isUsable(target *engine) bool {
	return target.epochAccepted && !target.draining && !target.info.Draining() && !target.swapping &&
		target.version != 0 && c.now-target.lastReportAt <= maxReportAgeMillis && c.now >= target.blockedUntil
}

// recordServedGroups records the groups that the node has engines for. Swapping and
// busy engines count, because they will accept work again.
func (c *Core) recordServedGroups() {
	for _, target := range c.engines {
		reported := c.now-target.lastReportAt <= maxReportAgeMillis
		if reported && !target.draining && !target.info.Draining() {
			c.group(target.info.Group).lastServedAt = c.now
		}
	}
}

// reservedSlots returns the number of an engine's slots that only live requests may use.
func reservedSlots(slots int) int { return max(1, slots/reservedSlotDivisor) }

// reservedSlotDivisor determines the slots reserved for live requests: one in eight.
const reservedSlotDivisor = 8

func (c *Core) engineFreeSlots(target *engine, live bool) int {
	left := target.info.Slots - len(target.running)
	if !live {
		left -= reservedSlots(target.info.Slots)
	}
	return max(0, left)
}

func (c *Core) groupFreeSlots(group string, live bool) int {
	free := 0
	for _, target := range c.engines {
		if target.info.Group == group && c.isUsable(target) {
			free += c.engineFreeSlots(target, live)
		}
	}
	return free
}

// chooseEngine returns the usable engine with the most free slots that can run the
// request, or nil.
func (c *Core) chooseEngine(request *request) *engine {
	var best *engine
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		target := c.engines[id]
		if target.info.Group != request.group || !c.isUsable(target) || !c.canRunOn(request, target) {
			continue
		}
		if c.engineFreeSlots(target, request.sample == nil) == 0 {
			continue
		}
		if best == nil || c.engineFreeSlots(target, true) > c.engineFreeSlots(best, true) {
			best = target
		}
	}
	return best
}

// canRunOn reports whether a result generated by the engine's version is expected to
// be within the pool's staleness limit.
func (c *Core) canRunOn(request *request, target *engine) bool {
	if request.sample == nil {
		return true
	}
	pool := c.catalog.Pools[request.pool]
	if pool == nil || target.version+pool.Spec.MaxStalenessVersions < c.catalog.Models[pool.Spec.Model].Newest() {
		return false
	}
	return c.canFinishInTime(request, target, pool.Spec)
}

func (c *Core) sortedRequestIDs() []uint64 { return slices.Sorted(maps.Keys(c.requests)) }
