package node

import (
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// receiveChunk handles a chunk of an attempt's output. Chunks of ended attempts and
// duplicates are dropped; an invalid or out-of-order chunk fails the attempt.
func (c *Core) receiveChunk(chunk *protocol.EngineChunk) {
	request := c.attempts[chunk.Attempt]
	if request == nil || chunk.Index < request.nextChunkIndex {
		c.counters.DroppedChunks++
		return
	}
	exceedsLimit := len(request.tokens)+len(chunk.Tokens) > int(request.maxTokens)
	if chunk.Index != request.nextChunkIndex || chunk.Version == 0 || chunk.Epoch != request.attemptEpoch || exceedsLimit {
		c.cancelAttempt(request)
		c.handleFailedAttempt(request, protocol.ReasonProtocolFailure)
		return
	}
	request.nextChunkIndex++
	if target := c.engines[request.engine]; target != nil && !target.swapping {
		target.recordPace(c.now-request.lastActivityAt, len(chunk.Tokens))
	}
	request.lastActivityAt = c.now
	c.counters.TokensGenerated += uint64(len(chunk.Tokens))
	c.appendTokens(request, chunk.Version, chunk.Tokens)
	if chunk.Done {
		c.endAttempt(request)
		c.finish(request)
	}
}

// appendTokens appends tokens to the request's output and, for a live request,
// delivers them.
func (c *Core) appendTokens(request *request, version uint64, tokens []uint32) {
	if len(tokens) == 0 {
		return
	}
	first := uint32(len(request.tokens))
	request.tokens = append(request.tokens, tokens...)
	last := len(request.segments) - 1
	if last >= 0 && request.segments[last].Version == version {
		request.segments[last].Count += uint32(len(tokens))
	} else {
		request.segments = append(request.segments, state.Segment{Version: version, First: first, Count: uint32(len(tokens))})
	}
	if request.live != nil {
		c.deliverTokens(request, version, tokens)
	}
}

func (c *Core) finish(request *request) {
	if request.sample != nil {
		c.finishSample(request)
		return
	}
	c.endRequest(request, protocol.OutcomeAnswered, protocol.ReasonNone)
}

// endAttempt removes the attempt and frees its slot.
func (c *Core) endAttempt(request *request) {
	delete(c.attempts, request.attempt)
	if target := c.engines[request.engine]; target != nil {
		delete(target.running, request.attempt)
	}
	request.attempt = ""
}

// cancelAttempt cancels the attempt at its engine and frees its slot.
func (c *Core) cancelAttempt(request *request) {
	if request.attempt == "" {
		return
	}
	if info := c.catalog.Engines[request.engine]; info != nil {
		c.engineOutbox = append(c.engineOutbox, EngineOutgoing{
			Engine: info.ID, Address: info.Address,
			Message: protocol.EngineMessage{Cancel: &protocol.EngineCancel{Attempt: request.attempt}},
		})
	}
	c.endAttempt(request)
}

// receiveRefused handles an attempt that the engine refused to run: the request is
// queued again and the attempt is not counted.
func (c *Core) receiveRefused(id string, refused *protocol.EngineRefused) {
	request := c.attempts[refused.Attempt]
	if request == nil {
		return
	}
	c.endAttempt(request)
	request.attemptCount--
	if target := c.engines[id]; target != nil {
		c.recordRefusal(target, refused.Reason)
	}
	c.enqueue(request)
}

func (c *Core) recordRefusal(target *engine, reason string) {
	target.blockedUntil = c.now + refusalBackoffMillis
	switch reason {
	case protocol.RefusedFenced:
		target.epochAccepted = false
	case protocol.RefusedUnloaded:
		target.version = 0
	case protocol.RefusedLeaving:
		target.draining = true
	case protocol.RefusedConnect:
		target.lastReportAt = c.now - maxReportAgeMillis - 1
	}
}

func (c *Core) receiveLost(attempt string) {
	request := c.attempts[attempt]
	if request == nil {
		return
	}
	if target := c.engines[request.engine]; target != nil {
		target.lastReportAt = c.now - maxReportAgeMillis - 1
	}
	c.endAttempt(request)
	c.handleFailedAttempt(request, protocol.ReasonEngineLost)
}

// handleFailedAttempt retries the request or ends it. A non-repeatable request may have
// run and ends as unknown. Others continue after the delivered tokens; live ones only
// within the retry budget.
func (c *Core) handleFailedAttempt(request *request, reason protocol.Reason) {
	switch {
	case request.sample != nil:
		c.counters.Retries++
		c.requeueSample(request)
	case request.live.request.NotRepeatable:
		c.endRequest(request, protocol.OutcomeUnknown, reason)
	case c.draining || !c.retryBudget(request.pool).TakeRetry():
		c.endRequest(request, protocol.OutcomeUnknown, protocol.ReasonRetryBudget)
	default:
		c.counters.Retries++
		c.enqueue(request)
	}
}
