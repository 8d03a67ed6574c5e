package control

import (
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"maps"
	"slices"
)

// leaseMargin is the share of a lease, in percent, by which the holder's is
// shorter than the granter's. It covers the drift of their monotonic clocks.
const leaseMargin = 15

// lease is what the leader knows about a registered node.
type lease struct {
	epoch     uint64
	renewedAt int64
	// revision is the newest that the node has acknowledged.
	revision uint64
	summary  protocol.Summary
}

// pendingBeat is a heartbeat that waits for the leader to be confirmed.
type pendingBeat struct {
	address string
	beat    *protocol.Heartbeat
}

// receiveHeartbeat renews the node's lease once a quorum has confirmed that
// this replica still leads. The confirmation is asked for after the heartbeat
// was received, so a later leader, which waits a full lease from its election
// before it takes a node out, waits beyond the end of what is granted here.
func (c *Core) receiveHeartbeat(from string, beat *protocol.Heartbeat) {
	if !c.leading() {
		c.send(from, protocol.Message{HeartbeatReply: &protocol.HeartbeatReply{
			Sequence: beat.Sequence, Leader: c.LeaderAddress(),
		}})
		return
	}
	c.noticeLeadership()
	node := c.machine.Catalog.Nodes[beat.Node]
	switch {
	case node == nil || node.Incarnation != beat.Incarnation:
		if !beat.Leaving {
			c.proposeOwn(state.Command{RegisterNode: &state.RegisterNode{
				ID: beat.Node, Zone: beat.Zone, Region: beat.Region, Address: from, Incarnation: beat.Incarnation,
			}})
		}
	case beat.Leaving:
		c.proposeOwn(state.Command{ExpireNode: &state.ExpireNode{ID: beat.Node, Epoch: node.Epoch}})
	case beat.Draining && !node.Draining:
		c.proposeOwn(state.Command{DrainNode: &state.DrainNode{ID: beat.Node, Draining: true}})
	}
	c.beats = append(c.beats, pendingBeat{address: from, beat: beat})
	c.confirmBeats()
}

// confirmBeats asks for one confirmation on behalf of all waiting heartbeats.
func (c *Core) confirmBeats() {
	if c.beatContext != 0 || len(c.beats) == 0 {
		return
	}
	c.beatContext = c.reads.Begin(c.raft, pendingRead{beats: c.beats})
	c.beats = nil
}

// mayRenew tells whether a new leader knows enough to renew leases. What the
// platform listed while no leader led must reach a node before the node goes
// on; but if the platform cannot be reached, serving goes on after a while.
func (c *Core) mayRenew() bool {
	if c.listCompared && c.applied >= c.listIndex {
		return true
	}
	return c.clock.Monotonic-c.leadingSince >= c.config.ListGraceMillis
}

func (c *Core) renew(pending pendingBeat) {
	if !c.mayRenew() {
		return
	}
	beat := pending.beat
	node, held := c.machine.Catalog.Nodes[beat.Node], c.leases[beat.Node]
	if node == nil || held == nil || node.Incarnation != beat.Incarnation || held.epoch != node.Epoch {
		return
	}
	held.renewedAt = c.clock.Monotonic
	held.summary = beat.Summary
	if beat.Epoch == node.Epoch {
		held.revision = max(held.revision, beat.Revision)
	}
	c.send(pending.address, protocol.Message{HeartbeatReply: &protocol.HeartbeatReply{
		Sequence: beat.Sequence, Leader: c.config.Address, Epoch: node.Epoch,
		LeaseMillis: c.config.LeaseMillis * (100 - leaseMargin) / 100,
		Delta:       c.machine.DeltaSince(beat.Revision, beat.Region),
		Peers:       c.peerSummaries(beat.Node, node.Region),
		Pending:     c.pendingSamples(),
	}})
}

// notifyMillis is the least time between two rounds of notifications.
const notifyMillis = 200

// notifyNodes tells all nodes that there is news. They could wait for their
// next heartbeats; this only saves that time.
func (c *Core) notifyNodes() {
	if !c.leading() || !c.news || c.clock.Monotonic-c.lastNotified < notifyMillis {
		return
	}
	c.news, c.lastNotified = false, c.clock.Monotonic
	for _, id := range slices.Sorted(maps.Keys(c.leases)) {
		if node := c.machine.Catalog.Nodes[id]; node != nil {
			c.send(node.Address, protocol.Message{Notify: &protocol.Notify{}})
		}
	}
}

func (c *Core) peerSummaries(self, region string) map[string]protocol.Summary {
	summaries := map[string]protocol.Summary{}
	for id, held := range c.leases {
		node := c.machine.Catalog.Nodes[id]
		if id != self && node != nil && node.Region == region && !node.Draining {
			summaries[id] = held.summary
		}
	}
	return summaries
}

func (c *Core) pendingSamples() map[string]int {
	pending := map[string]int{}
	for name, ledger := range c.machine.Ledgers {
		if count := ledger.Pending(); count > 0 && c.machine.Catalog.Pools[name] != nil {
			pending[name] = count
		}
	}
	return pending
}
