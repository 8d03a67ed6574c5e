package node

import (
	"github.com/dillchute/dillchute/dispatch"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"maps"
	"slices"
)

// phase is how far a request has come at this node.
type phase uint8

const (
	// phaseClaiming: control is asked for the right to run the request.
	phaseClaiming phase = iota + 1
	phaseQueued
	phaseRunning
	// phaseForwarded: another node runs the request.
	phaseForwarded
	// phaseScoring: the result waits for its reward.
	phaseScoring
)

// request is a live request or a sample that this node works on.
type request struct {
	id         uint64
	pool       string
	group      string
	name       string
	prompt     string
	maxTokens  uint32
	priority   uint8
	enqueuedAt int64
	phase      phase

	// live is set for a live request, sample for a sample.
	live   *liveRequest
	sample *state.SampleKey

	// tokens and segments are what all attempts so far have delivered.
	tokens   []uint32
	segments []state.Segment

	attempt string
	// attemptCount counts the attempts that may have reached an engine;
	// attemptSerial also those that were refused.
	attemptCount  int
	attemptSerial int
	attemptEpoch  uint64
	nextIndex     uint32
	heardAt       int64
	engine        string
}

// liveRequest is the part of a request that only live ones have.
type liveRequest struct {
	request  protocol.LiveRequest
	deadline int64
	// origin names the node that forwarded the request; its address is empty
	// for a local caller.
	origin      inboundKey
	outIndex    uint32
	keepaliveAt int64
	// claim is set while the request holds a claim or waits for one; granted
	// once control has said that no other arrival has run.
	claim   *state.Claim
	granted bool
	// The forwarding under way, if any, and the nodes that have refused.
	forwardID      uint64
	forwardAddress string
	refusedBy      map[string]bool
	// held are parts of the forwarded answer that wait for earlier ones.
	held map[uint32]*protocol.ForwardChunk
}

// bytesPerPromptToken is an estimate for bounds on queued tokens.
const bytesPerPromptToken = 4

func (r *request) cost() int {
	return len(r.prompt)/bytesPerPromptToken + int(r.maxTokens)
}

// Submit takes in a request of a local caller and returns its number, which
// its events carry.
func (c *Core) Submit(now int64, live protocol.LiveRequest) uint64 {
	c.now = now
	request := c.admit(live, inboundKey{})
	if c.requests[request.id] == nil {
		return request.id
	}
	if live.NotRepeatable {
		c.claim(request)
		return request.id
	}
	c.enqueueLive(request)
	c.pump()
	return request.id
}

// admit makes a request of a live one, or ends it at once if it cannot run.
func (c *Core) admit(live protocol.LiveRequest, origin inboundKey) *request {
	admitted := &request{
		id: c.nextID(), pool: live.Pool, prompt: live.Prompt, maxTokens: live.MaxTokens, name: live.Key, enqueuedAt: c.now,
		live: &liveRequest{request: live, deadline: c.now + live.TimeoutMillis, origin: origin, refusedBy: map[string]bool{}},
	}
	c.requests[admitted.id] = admitted
	if origin.address != "" {
		c.inbound[origin] = admitted
	}
	if reason := c.refusal(live.Pool); reason != protocol.ReasonNone {
		c.end(admitted, c.failureOutcome(admitted), reason)
		return admitted
	}
	pool := c.catalog.Pools[live.Pool].Spec
	admitted.group, admitted.priority = pool.EngineGroup, min(pool.LivePriority, live.PriorityCap)
	c.budget(live.Pool).RecordFirstAttempt(pool.RetryPercent)
	return admitted
}

// refusal returns why a new live request of the pool cannot be taken, if so.
func (c *Core) refusal(name string) protocol.Reason {
	pool := c.catalog.Pools[name]
	switch {
	case c.draining:
		return protocol.ReasonDraining
	case c.revision == 0:
		return protocol.ReasonNoLease
	case pool == nil && c.Leased():
		return protocol.ReasonUnknownPool
	case pool == nil:
		return protocol.ReasonNoLease
	case !c.mayStart(name):
		return protocol.ReasonNoLease
	}
	return protocol.ReasonNone
}

// mayStart tells whether new live work of the pool may start: under a lease,
// or without one if the pool's declaration says so.
func (c *Core) mayStart(pool string) bool {
	declared := c.catalog.Pools[pool]
	return declared != nil && (c.Leased() || declared.Spec.Disconnected == state.ServeLiveDisconnected)
}

func (c *Core) budget(pool string) *dispatch.RetryBudget {
	if c.budgets[pool] == nil {
		c.budgets[pool] = &dispatch.RetryBudget{}
	}
	return c.budgets[pool]
}

// enqueueLive queues a live request, or ends it at once if the queue is full
// or its deadline cannot be met.
func (c *Core) enqueueLive(request *request) {
	queue, pool := &c.group(request.group).queue, c.catalog.Pools[request.pool]
	if pool == nil {
		c.end(request, c.failureOutcome(request), protocol.ReasonUnknownPool)
		return
	}
	full := queue.Len() >= pool.Spec.MaxQueuedRequests || queue.Tokens()+request.cost() > pool.Spec.MaxQueuedTokens
	if full && c.chooseEngine(request) == nil {
		c.end(request, c.failureOutcome(request), protocol.ReasonQueueFull)
		return
	}
	if !c.groupExists(request.group) {
		c.end(request, c.failureOutcome(request), protocol.ReasonNoEngine)
		return
	}
	c.enqueue(request)
}

// failureOutcome is not run for a request that has reached no engine, and
// unknown for one that has. A resend of a request that must not repeat may
// have run on its earlier way, unless control has granted the claim to this one.
func (c *Core) failureOutcome(request *request) protocol.Outcome {
	live := request.live
	if request.attemptCount > 0 || (live.request.NotRepeatable && live.request.Unresolved && !live.granted) {
		return protocol.OutcomeUnknown
	}
	return protocol.OutcomeNotRun
}

// groupExists tells whether the region has any engine of the group.
func (c *Core) groupExists(group string) bool {
	for _, info := range c.catalog.Engines {
		if info.Group == group && !info.Leaving() {
			return true
		}
	}
	return false
}

func (c *Core) enqueue(request *request) {
	request.phase = phaseQueued
	c.group(request.group).queue.Push(dispatch.Item{
		ID: request.id, Priority: request.priority, EnqueuedAt: request.enqueuedAt, Tokens: request.cost(),
	})
}

// pump starts or forwards as many queued requests as can be.
func (c *Core) pump() {
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		group := c.groups[name]
		var skipped []dispatch.Item
		for group.queue.Len() > 0 && len(skipped) < maxSkipped {
			item := group.queue.Pop()
			if !c.place(c.requests[item.ID]) {
				skipped = append(skipped, item)
			}
		}
		for _, item := range skipped {
			group.queue.Push(item)
		}
	}
}

// maxSkipped bounds how far the queue is searched past requests that cannot
// be placed, such as samples before live requests that may use reserved slots.
const maxSkipped = 32

// place starts the request on an engine or forwards it, and tells whether it did.
func (c *Core) place(request *request) bool {
	if request.sample == nil && !c.mayStart(request.pool) || request.sample != nil && !c.Leased() {
		return false
	}
	if target := c.chooseEngine(request); target != nil {
		c.start(request, target)
		return true
	}
	if request.live == nil {
		return false
	}
	if c.forward(request) {
		return true
	}
	if !c.preempt(request) {
		return false
	}
	target := c.chooseEngine(request)
	if target != nil {
		c.start(request, target)
	}
	return target != nil
}

func (c *Core) start(request *request, target *engine) {
	request.attemptCount++
	request.attemptSerial++
	request.phase, request.engine = phaseRunning, target.info.ID
	request.attempt, request.attemptEpoch = c.attemptName(request), target.info.Epoch
	request.nextIndex, request.heardAt = 0, c.now
	c.dropStalePrefix(request)
	c.attempts[request.attempt] = request
	target.running[request.attempt] = request
	c.sendEngine(target, protocol.EngineMessage{Start: &protocol.EngineStart{
		Attempt: request.attempt, Request: request.name, Epoch: target.info.Epoch,
		Model: c.modelOf(request), Prompt: request.prompt, Resume: request.tokens,
		MaxTokens: request.maxTokens, Priority: request.priority,
	}})
}

func (c *Core) modelOf(request *request) string {
	if pool := c.catalog.Pools[request.pool]; pool != nil {
		return pool.Spec.Model
	}
	return ""
}

// expireRequests ends requests whose deadline has passed and attempts that are
// silent for too long.
func (c *Core) expireRequests() {
	for _, id := range c.sortedRequests() {
		request := c.requests[id]
		switch {
		case request.live != nil && c.now >= request.live.deadline:
			c.cancelAttempt(request)
			c.cancelForward(request)
			c.end(request, c.failureOutcome(request), protocol.ReasonDeadline)
		case request.live != nil && request.phase == phaseQueued && !c.mayStart(request.pool):
			c.end(request, c.failureOutcome(request), protocol.ReasonNoLease)
		case request.phase == phaseRunning && c.now-request.heardAt > chunkTimeoutMillis:
			c.cancelAttempt(request)
			c.attemptFailed(request, protocol.ReasonEngineLost)
		case request.phase == phaseForwarded && c.now-request.heardAt > forwardTimeoutMillis:
			c.forwardLost(request)
		case request.live != nil && request.live.origin.address != "":
			c.keepalive(request)
		}
	}
}

// Cancel ends a request whose caller has gone.
func (c *Core) Cancel(now int64, id uint64) {
	c.now = now
	request := c.requests[id]
	if request == nil || request.live == nil {
		return
	}
	c.cancelAttempt(request)
	c.cancelForward(request)
	c.end(request, c.failureOutcome(request), protocol.ReasonCancelled)
}

// end gives the request its final answer and forgets it.
func (c *Core) end(request *request, outcome protocol.Outcome, reason protocol.Reason) {
	c.countOutcome(outcome)
	c.resolveClaim(request, outcome)
	retry := int64(0)
	if outcome != protocol.OutcomeAnswered {
		retry = c.retryDelay(request, reason)
	}
	c.deliverEnd(request, outcome, reason, retry)
	c.forget(request)
}

func (c *Core) countOutcome(outcome protocol.Outcome) {
	switch outcome {
	case protocol.OutcomeAnswered:
		c.counters.Answered++
	case protocol.OutcomeNotRun:
		c.counters.NotRun++
	case protocol.OutcomeUnknown:
		c.counters.Unknown++
	}
}

// The bounds of the delay after which a caller is told to come back.
const (
	minRetryMillis = 100
	maxRetryMillis = 10000
	// millisPerQueuedToken is a rough time for a queued token of one slot.
	millisPerQueuedToken = 20
)

// retryDelay estimates when a resend is likely to be served.
func (c *Core) retryDelay(request *request, reason protocol.Reason) int64 {
	switch reason {
	case protocol.ReasonNoLease, protocol.ReasonControlUnavailable, protocol.ReasonDraining:
		return heartbeatMillis
	case protocol.ReasonQueueFull:
		slots := 0
		for _, target := range c.engines {
			if target.info.Group == request.group {
				slots += target.info.Slots
			}
		}
		wait := int64(c.group(request.group).queue.Tokens()) * millisPerQueuedToken / int64(max(1, slots))
		return min(max(wait, minRetryMillis), maxRetryMillis)
	}
	return minRetryMillis
}

func (c *Core) forget(request *request) {
	if request.phase == phaseQueued {
		c.group(request.group).queue.Remove(request.id)
	}
	delete(c.requests, request.id)
	if request.live != nil {
		delete(c.inbound, request.live.origin)
		delete(c.outbound, request.live.forwardID)
	}
}

// refuseQueuedLive ends what has not started when the node drains.
func (c *Core) refuseQueuedLive() {
	for _, id := range c.sortedRequests() {
		request := c.requests[id]
		if request.live != nil && request.phase == phaseQueued {
			c.end(request, c.failureOutcome(request), protocol.ReasonDraining)
		}
	}
}
