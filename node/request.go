package node

import (
	"github.com/dillchute/dillchute/dispatch"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"maps"
	"slices"
)

// phase is the state of a request at this node.
type phase uint8

const (
	// phaseClaiming: the request waits for its claim.
	phaseClaiming phase = iota + 1
	phaseQueued
	phaseRunning
	// phaseForwarded: another node runs the request.
	phaseForwarded
	// phaseScoring: the sample's result waits for its reward.
	phaseScoring
)

// request is a live request or a sample that this node processes.
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

	// Exactly one of live and sample is set.
	live   *liveRequest
	sample *state.SampleKey

	// tokens and segments hold the output of all attempts so far.
	tokens   []uint32
	segments []state.Segment

	attempt string
	// attemptCount counts the attempts that may have run; attemptSerial also
	// counts those that were refused.
	attemptCount   int
	attemptSerial  int
	attemptEpoch   uint64
	nextChunkIndex uint32
	lastActivityAt int64
	engine         string
}

// liveRequest holds the fields that only live requests have.
type liveRequest struct {
	request  protocol.LiveRequest
	deadline int64
	// origin identifies the forwarded request; its address is empty for a local
	// caller.
	origin          inboundKey
	nextOutIndex    uint32
	lastKeepaliveAt int64
	// claim is set while the request holds a claim or waits for one;
	// claimGranted is set once control has granted it.
	claim        *state.Claim
	claimGranted bool
	// The current forward, if any, and the addresses of peers that refused it.
	forwardID      uint64
	forwardAddress string
	refusedBy      map[string]bool
	// bufferedChunks are chunks of the forwarded answer that arrived early.
	bufferedChunks map[uint32]*protocol.ForwardChunk
}

// bytesPerPromptToken is an estimate used to limit queued tokens.
const bytesPerPromptToken = 4

func (r *request) cost() int {
	return len(r.prompt)/bytesPerPromptToken + int(r.maxTokens)
}

// Submit accepts a request from a local caller and returns its ID, which its events
// refer to.
func (c *Core) Submit(now int64, live protocol.LiveRequest) uint64 {
	c.now = now
	request := c.admit(live, inboundKey{})
	if c.requests[request.id] == nil {
		return request.id
	}
	if live.NotRepeatable {
		c.requestClaim(request)
		return request.id
	}
	c.enqueueLive(request)
	c.dispatchQueued()
	return request.id
}

// admit adds a live request, and ends it at once if it cannot run.
func (c *Core) admit(live protocol.LiveRequest, origin inboundKey) *request {
	admitted := &request{
		id: c.nextID(), pool: live.Pool, prompt: live.Prompt, maxTokens: live.MaxTokens, name: live.Key, enqueuedAt: c.now,
		live: &liveRequest{request: live, deadline: c.now + live.TimeoutMillis, origin: origin, refusedBy: map[string]bool{}},
	}
	c.requests[admitted.id] = admitted
	if origin.address != "" {
		c.inbound[origin] = admitted
	}
	if reason := c.refusalReason(live.Pool); reason != protocol.ReasonNone {
		c.endRequest(admitted, c.failureOutcome(admitted), reason)
		return admitted
	}
	pool := c.catalog.Pools[live.Pool].Spec
	admitted.group, admitted.priority = pool.EngineGroup, min(pool.LivePriority, live.PriorityCap)
	c.retryBudget(live.Pool).RecordFirstAttempt(pool.RetryPercent)
	return admitted
}

// refusalReason returns why a new live request of the pool must be refused, or
// ReasonNone.
func (c *Core) refusalReason(name string) protocol.Reason {
	pool := c.catalog.Pools[name]
	switch {
	case c.draining:
		return protocol.ReasonDraining
	case c.revision == 0:
		return protocol.ReasonNoLease
	case pool == nil && c.HasLease():
		return protocol.ReasonUnknownPool
	case pool == nil:
		return protocol.ReasonNoLease
	case !c.canStart(name):
		return protocol.ReasonNoLease
	}
	return protocol.ReasonNone
}

// canStart reports whether live requests of the pool may start: the node has a lease,
// or the pool is declared to be served without one.
func (c *Core) canStart(pool string) bool {
	declared := c.catalog.Pools[pool]
	return declared != nil && (c.HasLease() || declared.Spec.Disconnected == state.ServeLiveDisconnected)
}

func (c *Core) retryBudget(pool string) *dispatch.RetryBudget {
	if c.retryBudgets[pool] == nil {
		c.retryBudgets[pool] = &dispatch.RetryBudget{}
	}
	return c.retryBudgets[pool]
}

// enqueueLive queues a live request, or ends it at once if the queue is full, the
// region has no engine for it or the pool no longer exists.
func (c *Core) enqueueLive(request *request) {
	queue, pool := &c.group(request.group).queue, c.catalog.Pools[request.pool]
	if pool == nil {
		c.endRequest(request, c.failureOutcome(request), protocol.ReasonUnknownPool)
		return
	}
	full := queue.Len() >= pool.Spec.MaxQueuedRequests || queue.Tokens()+request.cost() > pool.Spec.MaxQueuedTokens
	if full && c.chooseEngine(request) == nil {
		c.endRequest(request, c.failureOutcome(request), protocol.ReasonQueueFull)
		return
	}
	if !c.groupExists(request.group) {
		c.endRequest(request, c.failureOutcome(request), protocol.ReasonNoEngine)
		return
	}
	c.enqueue(request)
}

// failureOutcome returns "not run" for a request that cannot have reached an engine,
// else "unknown". A resend of a non-repeatable request may have run earlier, unless
// control has granted it the claim.
func (c *Core) failureOutcome(request *request) protocol.Outcome {
	live := request.live
	if request.attemptCount > 0 || (live.request.NotRepeatable && live.request.Unresolved && !live.claimGranted) {
		return protocol.OutcomeUnknown
	}
	return protocol.OutcomeNotRun
}

// groupExists reports whether the region has an engine of the group that is not draining.
func (c *Core) groupExists(group string) bool {
	for _, info := range c.catalog.Engines {
		if info.Group == group && !info.Draining() {
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

// dispatchQueued starts or forwards as many queued requests as possible.
func (c *Core) dispatchQueued() {
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		group := c.groups[name]
		var skipped []dispatch.Item
		for group.queue.Len() > 0 && len(skipped) < maxSkippedRequests {
			item := group.queue.Pop()
			if !c.tryDispatch(c.requests[item.ID]) {
				skipped = append(skipped, item)
			}
		}
		for _, item := range skipped {
			group.queue.Push(item)
		}
	}
}

// maxSkippedRequests limits how many requests that cannot be dispatched are skipped,
// such as samples queued before live requests that may use reserved slots.
const maxSkippedRequests = 32

// tryDispatch starts the request on an engine or forwards it, and reports whether it
// succeeded.
func (c *Core) tryDispatch(request *request) bool {
	if request.sample == nil && !c.canStart(request.pool) || request.sample != nil && !c.HasLease() {
		return false
	}
	if target := c.chooseEngine(request); target != nil {
		c.startAttempt(request, target)
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
		c.startAttempt(request, target)
	}
	return target != nil
}

func (c *Core) startAttempt(request *request, target *engine) {
	request.attemptCount++
	request.attemptSerial++
	request.phase, request.engine = phaseRunning, target.info.ID
	request.attempt, request.attemptEpoch = c.attemptName(request), target.info.Epoch
	request.nextChunkIndex, request.lastActivityAt = 0, c.now
	c.dropStaleTokens(request)
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

// expireRequests ends requests whose deadline has passed, fails attempts and forwards
// that timed out, and sends keepalives.
func (c *Core) expireRequests() {
	for _, id := range c.sortedRequestIDs() {
		request := c.requests[id]
		switch {
		case request.live != nil && c.now >= request.live.deadline:
			c.cancelAttempt(request)
			c.cancelForward(request)
			c.endRequest(request, c.failureOutcome(request), protocol.ReasonDeadline)
		case request.live != nil && request.phase == phaseQueued && !c.canStart(request.pool):
			c.endRequest(request, c.failureOutcome(request), protocol.ReasonNoLease)
		case request.phase == phaseRunning && c.now-request.lastActivityAt > chunkTimeoutMillis:
			c.cancelAttempt(request)
			c.handleFailedAttempt(request, protocol.ReasonEngineLost)
		case request.phase == phaseForwarded && c.now-request.lastActivityAt > forwardTimeoutMillis:
			c.failForward(request)
		case request.live != nil && request.live.origin.address != "":
			c.keepalive(request)
		}
	}
}

// Cancel ends a live request that its caller has cancelled.
func (c *Core) Cancel(now int64, id uint64) {
	c.now = now
	request := c.requests[id]
	if request == nil || request.live == nil {
		return
	}
	c.cancelAttempt(request)
	c.cancelForward(request)
	c.endRequest(request, c.failureOutcome(request), protocol.ReasonCancelled)
}

// endRequest delivers the request's outcome and removes the request.
func (c *Core) endRequest(request *request, outcome protocol.Outcome, reason protocol.Reason) {
	c.countOutcome(outcome)
	c.resolveClaim(request, outcome)
	retry := int64(0)
	if outcome != protocol.OutcomeAnswered {
		retry = c.retryDelay(request, reason)
	}
	c.deliverOutcome(request, outcome, reason, retry)
	c.removeRequest(request)
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

// Limits of the suggested retry delay.
const (
	minRetryMillis = 100
	maxRetryMillis = 10000
	// millisPerQueuedToken is an estimate of the time per token and slot.
	millisPerQueuedToken = 20
)

// retryDelay estimates after how many milliseconds a retry is likely to succeed.
func (c *Core) retryDelay(request *request, reason protocol.Reason) int64 {
	switch reason {
	case protocol.ReasonNoLease, protocol.ReasonControlUnavailable, protocol.ReasonDraining:
		return heartbeatIntervalMillis
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

func (c *Core) removeRequest(request *request) {
	if request.phase == phaseQueued {
		c.group(request.group).queue.Remove(request.id)
	}
	delete(c.requests, request.id)
	if request.live != nil {
		delete(c.inbound, request.live.origin)
		delete(c.outbound, request.live.forwardID)
	}
}

// refuseQueuedLive ends the queued live requests of a draining node.
func (c *Core) refuseQueuedLive() {
	for _, id := range c.sortedRequestIDs() {
		request := c.requests[id]
		if request.live != nil && request.phase == phaseQueued {
			c.endRequest(request, c.failureOutcome(request), protocol.ReasonDraining)
		}
	}
}
