package node

import (
	"maps"
	"slices"

	"github.com/dillchute/dillchute/dispatch"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// inboundKey identifies a forwarded request by its sender and the sender's forward ID.
type inboundKey struct {
	address string
	id      uint64
}

// forward forwards the request to a peer with free slots, in the node's zone if
// possible, else in its region. Forwarded requests are not forwarded again.
func (c *Core) forward(request *request) bool {
	if request.live.origin.address != "" {
		return false
	}
	peer := c.choosePeer(request)
	if peer == nil {
		return false
	}
	request.live.forwardID, request.live.forwardAddress = c.nextID(), peer.Address
	request.phase, request.lastActivityAt, request.nextChunkIndex = phaseForwarded, c.now, 0
	c.outbound[request.live.forwardID] = request
	request.live.bufferedChunks = map[uint32]*protocol.ForwardChunk{}
	remaining := request.live.request
	remaining.TimeoutMillis = request.live.deadline - c.now
	// This node has already handled earlier attempts; for the peer this is the first.
	remaining.Unresolved = false
	c.send(peer.Address, protocol.Message{Forward: &protocol.Forward{
		ID: request.live.forwardID, OwnerEpoch: peer.Epoch, Request: remaining,
		Resume: request.tokens, Segments: slices.Clone(request.segments),
	}})
	return true
}

// choosePeer picks two random peers with free slots and returns the one with more, so
// that nodes with the same summaries do not all choose the same peer.
func (c *Core) choosePeer(request *request) *state.Node {
	var zone, region []string
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		node := c.catalog.Nodes[id]
		if node == nil || node.Draining || request.live.refusedBy[node.Address] || c.peerFreeSlots(id, request.group) <= 0 {
			continue
		}
		region = append(region, id)
		if node.Zone == c.config.Zone {
			zone = append(zone, id)
		}
	}
	candidates := zone
	if len(candidates) == 0 {
		candidates = region
	}
	if len(candidates) == 0 {
		return nil
	}
	first := candidates[c.random.IntN(len(candidates))]
	second := candidates[c.random.IntN(len(candidates))]
	if c.peerFreeSlots(second, request.group) > c.peerFreeSlots(first, request.group) {
		first = second
	}
	c.reservePeerSlot(first, request.group)
	return c.catalog.Nodes[first]
}

func (c *Core) peerFreeSlots(id, group string) int {
	for _, summary := range c.peers[id].Groups {
		if summary.Group == group {
			return summary.Free
		}
	}
	return 0
}

// reservePeerSlot reduces the free slots in the peer's last summary by one.
func (c *Core) reservePeerSlot(id, group string) {
	for position, summary := range c.peers[id].Groups {
		if summary.Group == group {
			c.peers[id].Groups[position].Free--
		}
	}
}

// receiveForward handles a request forwarded by another node. Duplicates and messages
// for an earlier registration of this node are ignored.
func (c *Core) receiveForward(from string, forwarded *protocol.Forward) {
	if c.forwardFilters[from] == nil {
		c.forwardFilters[from] = &dispatch.DuplicateFilter{}
	}
	if forwarded.OwnerEpoch != c.epoch || !c.forwardFilters[from].Add(forwarded.ID) {
		return
	}
	request := c.admit(forwarded.Request, inboundKey{address: from, id: forwarded.ID})
	if c.requests[request.id] == nil {
		return
	}
	request.tokens = append([]uint32(nil), forwarded.Resume...)
	request.segments = append([]state.Segment(nil), forwarded.Segments...)
	c.keepalive(request)
	c.enqueueLive(request)
}

// keepalive notifies the forwarding node that the request is still in progress.
func (c *Core) keepalive(request *request) {
	if request.live.lastKeepaliveAt != 0 && c.now-request.live.lastKeepaliveAt < forwardKeepaliveIntervalMillis {
		return
	}
	request.live.lastKeepaliveAt = c.now
	c.sendForwardChunk(request, protocol.ForwardChunk{})
}

func (c *Core) sendForwardChunk(request *request, chunk protocol.ForwardChunk) {
	chunk.ID, chunk.Index = request.live.origin.id, request.live.nextOutIndex
	request.live.nextOutIndex++
	c.send(request.live.origin.address, protocol.Message{ForwardChunk: &chunk})
}

// deliverTokens sends tokens to the local caller or the forwarding node.
func (c *Core) deliverTokens(request *request, version uint64, tokens []uint32) {
	if request.live.origin.address != "" {
		c.sendForwardChunk(request, protocol.ForwardChunk{Version: version, Tokens: tokens})
		return
	}
	c.callerEvents = append(c.callerEvents, CallerEvent{Request: request.id, Version: version, Tokens: tokens})
}

func (c *Core) deliverOutcome(request *request, outcome protocol.Outcome, reason protocol.Reason, retryMillis int64) {
	if request.live.origin.address != "" {
		c.sendForwardChunk(request, protocol.ForwardChunk{Outcome: outcome, Reason: reason, RetryMillis: retryMillis})
		return
	}
	c.callerEvents = append(c.callerEvents, CallerEvent{
		Request: request.id, Outcome: outcome, Reason: reason, RetryAfterMillis: retryMillis,
	})
}

func (c *Core) findForwarded(from string, id uint64) *request {
	request := c.outbound[id]
	if request == nil || request.phase != phaseForwarded || request.live.forwardID != id || request.live.forwardAddress != from {
		return nil
	}
	return request
}

// maxBufferedChunks limits the chunks of an answer that are buffered out of order.
const maxBufferedChunks = 256

// receiveForwardChunk handles a chunk of a forwarded request's answer. Chunks that
// arrive early are buffered; a lost chunk leads to a timeout.
func (c *Core) receiveForwardChunk(from string, chunk *protocol.ForwardChunk) {
	request := c.findForwarded(from, chunk.ID)
	if request == nil || chunk.Index < request.nextChunkIndex || len(request.live.bufferedChunks) >= maxBufferedChunks {
		c.counters.DroppedChunks++
		return
	}
	request.live.bufferedChunks[chunk.Index] = chunk
	for request.phase == phaseForwarded && request.live.forwardID == chunk.ID {
		next := request.live.bufferedChunks[request.nextChunkIndex]
		if next == nil {
			return
		}
		delete(request.live.bufferedChunks, request.nextChunkIndex)
		c.applyForwardChunk(from, request, next)
	}
}

func (c *Core) applyForwardChunk(from string, request *request, chunk *protocol.ForwardChunk) {
	request.nextChunkIndex++
	request.lastActivityAt = c.now
	c.appendTokens(request, chunk.Version, chunk.Tokens)
	switch chunk.Outcome {
	case protocol.OutcomeAnswered:
		c.finish(request)
	case protocol.OutcomeNotRun:
		request.live.refusedBy[from] = true
		c.enqueueLive(request)
	case protocol.OutcomeUnknown:
		request.attemptCount++
		c.handleFailedAttempt(request, chunk.Reason)
	}
}

// failForward gives up on a silent peer, which may have run the request.
func (c *Core) failForward(request *request) {
	c.cancelForward(request)
	request.live.refusedBy[request.live.forwardAddress] = true
	request.attemptCount++
	c.handleFailedAttempt(request, protocol.ReasonPeerLost)
}

func (c *Core) cancelForward(request *request) {
	if request.phase != phaseForwarded {
		return
	}
	request.attemptCount++
	c.send(request.live.forwardAddress, protocol.Message{ForwardCancel: &protocol.ForwardCancel{ID: request.live.forwardID}})
}

func (c *Core) receiveForwardCancel(from string, cancel *protocol.ForwardCancel) {
	if request := c.inbound[inboundKey{address: from, id: cancel.ID}]; request != nil {
		c.Cancel(c.now, request.id)
	}
}
