package node

import (
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"maps"
	"slices"
)

// maxTrackedHeartbeats limits the heartbeats whose send time is kept.
const maxTrackedHeartbeats = 16

func (c *Core) heartbeat() {
	if c.now-c.lastHeartbeatAt < heartbeatIntervalMillis {
		return
	}
	if len(c.heartbeatSentAt) > 0 {
		// The last heartbeat was not answered; the leader may have changed.
		c.tryNextControl()
	}
	c.sendHeartbeat(false)
}

func (c *Core) tryNextControl() {
	c.controlIndex = (c.controlIndex + 1) % len(c.config.Controls)
	c.leaderAddress = c.config.Controls[c.controlIndex]
}

func (c *Core) controlAddress() string {
	if c.leaderAddress == "" {
		c.leaderAddress = c.config.Controls[c.controlIndex]
	}
	return c.leaderAddress
}

func (c *Core) sendHeartbeat(leaving bool) {
	c.lastHeartbeatAt = c.now
	c.heartbeatSequence++
	c.heartbeatSentAt[c.heartbeatSequence] = c.now
	delete(c.heartbeatSentAt, c.heartbeatSequence-maxTrackedHeartbeats)
	c.send(c.controlAddress(), protocol.Message{Heartbeat: &protocol.Heartbeat{
		Node: c.config.ID, Zone: c.config.Zone, Region: c.config.Region,
		Incarnation: c.config.Incarnation, Epoch: c.epoch, Sequence: c.heartbeatSequence,
		Revision: c.revision, Summary: c.summary(), Draining: c.draining, Leaving: leaving,
	}})
}

// receiveHeartbeatReply renews the lease, starting at the heartbeat's send time, and
// updates the catalog.
func (c *Core) receiveHeartbeatReply(from string, reply *protocol.HeartbeatReply) {
	if reply.Epoch == 0 {
		c.followLeaderHint(reply.Leader)
		return
	}
	sentAt, known := c.heartbeatSentAt[reply.Sequence]
	if !known || reply.Epoch < c.epoch {
		return
	}
	for sequence := range c.heartbeatSentAt {
		if sequence <= reply.Sequence {
			delete(c.heartbeatSentAt, sequence)
		}
	}
	c.leaderAddress = from
	if reply.Epoch != c.epoch {
		c.beginRegistration(reply.Epoch)
	}
	c.leaseEnd = max(c.leaseEnd, sentAt+reply.LeaseMillis)
	c.peers, c.pendingSamples = copySummaries(reply.Peers), reply.Pending
	c.mergeDelta(reply.Delta)
	c.requestSamples()
}

// receiveNotify sends a heartbeat to get the leader's changes.
func (c *Core) receiveNotify(from string) {
	if from == c.leaderAddress && c.now > c.lastHeartbeatAt {
		c.sendHeartbeat(false)
	}
}

// copySummaries returns a deep copy, because reservePeerSlot modifies the summaries.
func copySummaries(peers map[string]protocol.Summary) map[string]protocol.Summary {
	copied := make(map[string]protocol.Summary, len(peers))
	for id, summary := range peers {
		summary.Groups = append([]protocol.PoolSummary(nil), summary.Groups...)
		copied[id] = summary
	}
	return copied
}

// followLeaderHint switches to the leader named by a replica and sends it a heartbeat
// at the next tick.
func (c *Core) followLeaderHint(leader string) {
	if leader == "" || leader == c.leaderAddress {
		return
	}
	c.leaderAddress = leader
	clear(c.heartbeatSentAt)
	c.lastHeartbeatAt = c.now - heartbeatIntervalMillis
}

// mergeDelta applies a delta that covers changes after the current revision without a gap.
// It may start earlier; ignoring it would renew the lease without these changes.
func (c *Core) mergeDelta(delta state.Delta) {
	if delta.To <= c.revision || delta.From > c.revision {
		return
	}
	c.catalog.Merge(delta)
	c.revision = delta.To
	c.recordPublications()
	c.syncEngines()
	c.cancelStaleAttempts()
	c.planSwaps()
}

// beginRegistration starts a new registration. Control has requeued the samples of the
// previous one, so those that have not started are dropped.
func (c *Core) beginRegistration(epoch uint64) {
	c.epoch = epoch
	c.assignRequests = map[string]*assignRequest{}
	for _, id := range c.sortedRequestIDs() {
		request := c.requests[id]
		if request.sample != nil && request.phase == phaseQueued {
			c.removeRequest(request)
		}
	}
}

func (c *Core) summary() protocol.Summary {
	summary := protocol.Summary{Running: len(c.attempts)}
	for _, name := range slices.Sorted(maps.Keys(c.groups)) {
		group := c.groups[name]
		summary.Queued += group.queue.Len()
		free := 0
		if !c.draining {
			free = max(0, c.groupFreeSlots(name, true)-group.queue.Len())
		}
		summary.Groups = append(summary.Groups, protocol.PoolSummary{Group: name, Free: free, Queued: group.queue.Len()})
	}
	return summary
}

// proposal is a command sent to the leader. It is resent until its result is known;
// all commands are idempotent.
type proposal struct {
	command state.Command
	sentAt  int64
	// onResult is called with the result of the command.
	onResult func(state.Result)
}

func (c *Core) propose(command state.Command, onResult func(state.Result)) uint64 {
	id := c.nextID()
	c.proposals[id] = &proposal{command: command, onResult: onResult}
	c.sendProposal(id)
	return id
}

func (c *Core) sendProposal(id uint64) {
	proposal := c.proposals[id]
	proposal.sentAt = c.now
	c.send(c.controlAddress(), protocol.Message{Propose: &protocol.Propose{ID: id, Command: proposal.command}})
}

func (c *Core) resendProposals() {
	for _, id := range slices.Sorted(maps.Keys(c.proposals)) {
		if c.now-c.proposals[id].sentAt >= proposalRetryMillis {
			c.sendProposal(id)
		}
	}
}

func (c *Core) receiveProposeReply(reply *protocol.ProposeReply) {
	proposal := c.proposals[reply.ID]
	if proposal == nil {
		return
	}
	if reply.Outcome != protocol.ProposeDone {
		c.followLeaderHint(reply.Leader)
		return
	}
	delete(c.proposals, reply.ID)
	proposal.onResult(reply.Result)
}
