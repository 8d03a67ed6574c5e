package node

import (
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"maps"
	"slices"
)

// beatsRemembered bounds the heartbeats whose time of sending is kept.
const beatsRemembered = 16

func (c *Core) heartbeat() {
	if c.now-c.beatAt < heartbeatMillis {
		return
	}
	if len(c.beatSentAt) > 0 {
		// The last heartbeat has no answer: the leader may be another one.
		c.rotateLeader()
	}
	c.sendHeartbeat(false)
}

func (c *Core) rotateLeader() {
	c.leader = (c.leader + 1) % len(c.config.Controls)
	c.leaderAddress = c.config.Controls[c.leader]
}

func (c *Core) control() string {
	if c.leaderAddress == "" {
		c.leaderAddress = c.config.Controls[c.leader]
	}
	return c.leaderAddress
}

func (c *Core) sendHeartbeat(leaving bool) {
	c.beatAt = c.now
	c.beatSequence++
	c.beatSentAt[c.beatSequence] = c.now
	delete(c.beatSentAt, c.beatSequence-beatsRemembered)
	c.send(c.control(), protocol.Message{Heartbeat: &protocol.Heartbeat{
		Node: c.config.ID, Zone: c.config.Zone, Region: c.config.Region,
		Incarnation: c.config.Incarnation, Epoch: c.epoch, Sequence: c.beatSequence,
		Revision: c.revision, Summary: c.summary(), Draining: c.draining, Leaving: leaving,
	}})
}

// receiveHeartbeatReply renews the lease, counted from when the heartbeat was
// sent, and brings the catalog up to date.
func (c *Core) receiveHeartbeatReply(from string, reply *protocol.HeartbeatReply) {
	if reply.Epoch == 0 {
		c.followHint(reply.Leader)
		return
	}
	sentAt, known := c.beatSentAt[reply.Sequence]
	if !known || reply.Epoch < c.epoch {
		return
	}
	for sequence := range c.beatSentAt {
		if sequence <= reply.Sequence {
			delete(c.beatSentAt, sequence)
		}
	}
	c.leaderAddress = from
	if reply.Epoch != c.epoch {
		c.beginRegistration(reply.Epoch)
	}
	c.leaseEnd = max(c.leaseEnd, sentAt+reply.LeaseMillis)
	c.peers, c.pendingHints = copyPeers(reply.Peers), reply.Pending
	c.mergeDelta(reply.Delta)
	c.requestSamples()
}

// receiveNotify asks the leader for its news.
func (c *Core) receiveNotify(from string) {
	if from == c.leaderAddress && c.now > c.beatAt {
		c.sendHeartbeat(false)
	}
}

// copyPeers copies the summaries, whose free slots this node counts down.
func copyPeers(peers map[string]protocol.Summary) map[string]protocol.Summary {
	copied := make(map[string]protocol.Summary, len(peers))
	for id, summary := range peers {
		summary.Groups = append([]protocol.PoolSummary(nil), summary.Groups...)
		copied[id] = summary
	}
	return copied
}

// followHint takes up the address that another replica believes to lead, and
// asks it at the next tick.
func (c *Core) followHint(leader string) {
	if leader == "" || leader == c.leaderAddress {
		return
	}
	c.leaderAddress = leader
	clear(c.beatSentAt)
	c.beatAt = c.now - heartbeatMillis
}

// mergeDelta never goes back: a delta that ends at or before the known revision
// is ignored. One that starts before it is taken in, since it holds the newest
// state of all that has changed; a lease that came with it counts on that.
func (c *Core) mergeDelta(delta state.Delta) {
	if delta.To <= c.revision || delta.From > c.revision {
		return
	}
	c.catalog.Merge(delta)
	c.revision = delta.To
	c.notePublications()
	c.syncEngines()
	c.dropStaleRuns()
	c.planSwaps()
}

// beginRegistration starts over under a new epoch. Control has let samples of
// the earlier one wait again, so those that have not started here are dropped.
func (c *Core) beginRegistration(epoch uint64) {
	c.epoch = epoch
	c.assigns = map[string]*assign{}
	for _, id := range c.sortedRequests() {
		request := c.requests[id]
		if request.sample != nil && request.phase == phaseQueued {
			c.forget(request)
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
			free = max(0, c.freeSlots(name, true)-group.queue.Len())
		}
		summary.Groups = append(summary.Groups, protocol.PoolSummary{Group: name, Free: free, Queued: group.queue.Len()})
	}
	return summary
}

// proposal is a command under way to the leader. It is sent again until its
// outcome is known; every command tolerates that.
type proposal struct {
	command state.Command
	sentAt  int64
	// done is called with the result.
	done func(state.Result)
}

func (c *Core) propose(command state.Command, done func(state.Result)) uint64 {
	id := c.nextID()
	c.proposals[id] = &proposal{command: command, done: done}
	c.sendProposal(id)
	return id
}

func (c *Core) sendProposal(id uint64) {
	proposal := c.proposals[id]
	proposal.sentAt = c.now
	c.send(c.control(), protocol.Message{Propose: &protocol.Propose{ID: id, Command: proposal.command}})
}

func (c *Core) resendProposals() {
	for _, id := range slices.Sorted(maps.Keys(c.proposals)) {
		if c.now-c.proposals[id].sentAt >= proposeRetryMillis {
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
		c.followHint(reply.Leader)
		return
	}
	delete(c.proposals, reply.ID)
	proposal.done(reply.Result)
}
