package node

import (
	"maps"
	"slices"

	"github.com/dillchute/dillchute/dispatch"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// inboundKey names a forwarding by its sender and the sender's number.
type inboundKey struct {
	address string
	id      uint64
}

// forward hands the request to a peer with free slots: one of the zone if
// there is any, else one of the region. A request is forwarded once at a time
// and by its first node only.
func (c *Core) forward(request *request) bool {
	if request.live.origin.address != "" {
		return false
	}
	peer := c.choosePeer(request)
	if peer == nil {
		return false
	}
	request.live.forwardID, request.live.forwardAddress = c.nextID(), peer.Address
	request.phase, request.heardAt, request.nextIndex = phaseForwarded, c.now, 0
	c.outbound[request.live.forwardID] = request
	request.live.held = map[uint32]*protocol.ForwardChunk{}
	remaining := request.live.request
	remaining.TimeoutMillis = request.live.deadline - c.now
	// This node has decided about earlier sends; to the owner it is the first.
	remaining.Unresolved = false
	c.send(peer.Address, protocol.Message{Forward: &protocol.Forward{
		ID: request.live.forwardID, OwnerEpoch: peer.Epoch, Request: remaining,
		Resume: request.tokens, Segments: slices.Clone(request.segments),
	}})
	return true
}

// choosePeer picks between two random peers with free slots the one with more,
// so that nodes with the same summaries do not all choose the same peer.
func (c *Core) choosePeer(request *request) *state.Node {
	var zone, region []string
	for _, id := range slices.Sorted(maps.Keys(c.peers)) {
		node := c.catalog.Nodes[id]
		if node == nil || node.Draining || request.live.refusedBy[node.Address] || c.peerFree(id, request.group) <= 0 {
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
	if c.peerFree(second, request.group) > c.peerFree(first, request.group) {
		first = second
	}
	c.takePeerSlot(first, request.group)
	return c.catalog.Nodes[first]
}

func (c *Core) peerFree(id, group string) int {
	for _, summary := range c.peers[id].Groups {
		if summary.Group == group {
			return summary.Free
		}
	}
	return 0
}

// takePeerSlot counts what is forwarded against the peer's last summary.
func (c *Core) takePeerSlot(id, group string) {
	for position, summary := range c.peers[id].Groups {
		if summary.Group == group {
			c.peers[id].Groups[position].Free--
		}
	}
}

// receiveForward takes in a request that another node forwards. A repeated
// message, or one meant for an earlier registration of this node, must not run.
func (c *Core) receiveForward(from string, forwarded *protocol.Forward) {
	if c.forwards[from] == nil {
		c.forwards[from] = &dispatch.DuplicateFilter{}
	}
	if forwarded.OwnerEpoch != c.epoch || !c.forwards[from].Add(forwarded.ID) {
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

// keepalive tells the forwarding node that the request is still in hand.
func (c *Core) keepalive(request *request) {
	if request.live.keepaliveAt != 0 && c.now-request.live.keepaliveAt < forwardKeepaliveMillis {
		return
	}
	request.live.keepaliveAt = c.now
	c.sendForwardChunk(request, protocol.ForwardChunk{})
}

func (c *Core) sendForwardChunk(request *request, chunk protocol.ForwardChunk) {
	chunk.ID, chunk.Index = request.live.origin.id, request.live.outIndex
	request.live.outIndex++
	c.send(request.live.origin.address, protocol.Message{ForwardChunk: &chunk})
}

// deliver passes tokens on to the caller or the forwarding node.
func (c *Core) deliver(request *request, version uint64, tokens []uint32) {
	if request.live.origin.address != "" {
		c.sendForwardChunk(request, protocol.ForwardChunk{Version: version, Tokens: tokens})
		return
	}
	c.callerEvents = append(c.callerEvents, CallerEvent{Request: request.id, Version: version, Tokens: tokens})
}

func (c *Core) deliverEnd(request *request, outcome protocol.Outcome, reason protocol.Reason, retryMillis int64) {
	if request.live.origin.address != "" {
		c.sendForwardChunk(request, protocol.ForwardChunk{Outcome: outcome, Reason: reason, RetryMillis: retryMillis})
		return
	}
	c.callerEvents = append(c.callerEvents, CallerEvent{
		Request: request.id, Outcome: outcome, Reason: reason, RetryMillis: retryMillis,
	})
}

func (c *Core) findForwarded(from string, id uint64) *request {
	request := c.outbound[id]
	if request == nil || request.phase != phaseForwarded || request.live.forwardID != id || request.live.forwardAddress != from {
		return nil
	}
	return request
}

// maxHeldChunks bounds the parts of an answer that wait for an earlier one.
const maxHeldChunks = 256

// receiveForwardChunk takes in a part of the answer. Parts that overtook
// earlier ones wait for them; a part that is lost for good shows as silence.
func (c *Core) receiveForwardChunk(from string, chunk *protocol.ForwardChunk) {
	request := c.findForwarded(from, chunk.ID)
	if request == nil || chunk.Index < request.nextIndex || len(request.live.held) >= maxHeldChunks {
		c.counters.DroppedChunks++
		return
	}
	request.live.held[chunk.Index] = chunk
	for request.phase == phaseForwarded && request.live.forwardID == chunk.ID {
		next := request.live.held[request.nextIndex]
		if next == nil {
			return
		}
		delete(request.live.held, request.nextIndex)
		c.takeForwardChunk(from, request, next)
	}
}

func (c *Core) takeForwardChunk(from string, request *request, chunk *protocol.ForwardChunk) {
	request.nextIndex++
	request.heardAt = c.now
	c.extend(request, chunk.Version, chunk.Tokens)
	switch chunk.Outcome {
	case protocol.OutcomeAnswered:
		c.finish(request)
	case protocol.OutcomeNotRun:
		request.live.refusedBy[from] = true
		c.enqueueLive(request)
	case protocol.OutcomeUnknown:
		request.attemptCount++
		c.attemptFailed(request, chunk.Reason)
	}
}

// forwardLost gives up on a peer that has fallen silent. It may have run the request.
func (c *Core) forwardLost(request *request) {
	c.cancelForward(request)
	request.live.refusedBy[request.live.forwardAddress] = true
	request.attemptCount++
	c.attemptFailed(request, protocol.ReasonPeerLost)
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
