package node

import (
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// receiveChunk takes in a part of an attempt. Only the live attempt's next
// chunk, stamped with a version and the attempt's epoch, counts.
func (c *Core) receiveChunk(chunk *protocol.EngineChunk) {
	request := c.attempts[chunk.Attempt]
	if request == nil || chunk.Index < request.nextIndex {
		c.counters.DroppedChunks++
		return
	}
	overlong := len(request.tokens)+len(chunk.Tokens) > int(request.maxTokens)
	if chunk.Index != request.nextIndex || chunk.Version == 0 || chunk.Epoch != request.attemptEpoch || overlong {
		c.cancelAttempt(request)
		c.attemptFailed(request, protocol.ReasonProtocolFailure)
		return
	}
	request.nextIndex++
	if target := c.engines[request.engine]; target != nil && !target.swapping {
		target.notePace(c.now-request.heardAt, len(chunk.Tokens))
	}
	request.heardAt = c.now
	c.counters.TokensGenerated += uint64(len(chunk.Tokens))
	c.extend(request, chunk.Version, chunk.Tokens)
	if chunk.Done {
		c.endAttempt(request)
		c.finish(request)
	}
}

// extend adds tokens to what has been delivered and passes them on.
func (c *Core) extend(request *request, version uint64, tokens []uint32) {
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
		c.deliver(request, version, tokens)
	}
}

func (c *Core) finish(request *request) {
	if request.sample != nil {
		c.finishSample(request)
		return
	}
	c.end(request, protocol.OutcomeAnswered, protocol.ReasonNone)
}

// endAttempt frees the attempt's slot.
func (c *Core) endAttempt(request *request) {
	delete(c.attempts, request.attempt)
	if target := c.engines[request.engine]; target != nil {
		delete(target.running, request.attempt)
	}
	request.attempt = ""
}

// cancelAttempt tells the engine to end the attempt and frees its slot.
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

// receiveRefused takes in that an attempt did not run: the request waits again
// as if it had not been started.
func (c *Core) receiveRefused(id string, refused *protocol.EngineRefused) {
	request := c.attempts[refused.Attempt]
	if request == nil {
		return
	}
	c.endAttempt(request)
	request.attemptCount--
	if target := c.engines[id]; target != nil {
		c.noteRefusal(target, refused.Reason)
	}
	c.enqueue(request)
}

func (c *Core) noteRefusal(target *engine, reason string) {
	target.blockedUntil = c.now + blockedMillis
	switch reason {
	case protocol.RefusedFenced:
		target.fenced = false
	case protocol.RefusedUnloaded:
		target.version = 0
	case protocol.RefusedLeaving:
		target.leaving = true
	case protocol.RefusedConnect:
		target.reportAt = c.now - reportMaxAgeMillis - 1
	}
}

func (c *Core) receiveLost(attempt string) {
	request := c.attempts[attempt]
	if request == nil {
		return
	}
	if target := c.engines[request.engine]; target != nil {
		target.reportAt = c.now - reportMaxAgeMillis - 1
	}
	c.endAttempt(request)
	c.attemptFailed(request, protocol.ReasonEngineLost)
}

// attemptFailed decides what follows a lost attempt. A request that must not
// repeat may have run and ends as unknown; others go on from what was
// delivered, live ones within the retry budget.
func (c *Core) attemptFailed(request *request, reason protocol.Reason) {
	switch {
	case request.sample != nil:
		c.counters.Retries++
		c.requeueSample(request)
	case request.live.request.NotRepeatable:
		c.end(request, protocol.OutcomeUnknown, reason)
	case c.draining || !c.budget(request.pool).TakeRetry():
		c.end(request, protocol.OutcomeUnknown, protocol.ReasonRetryBudget)
	default:
		c.counters.Retries++
		c.enqueue(request)
	}
}
