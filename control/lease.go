package control

import (
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"maps"
	"slices"
)

// leaseMarginPercent is by how much the lease granted to a node is shorter than the
// lease that the leader waits for. It covers the drift of their monotonic clocks.
const leaseMarginPercent = 15

// lease is the leader's record of a registered node.
type lease struct {
	epoch     uint64
	renewedAt int64
	// revision is the highest catalog revision that the node has acknowledged.
	revision uint64
	summary  protocol.Summary
}

// pendingHeartbeat is a heartbeat that waits for confirmation of the leadership.
type pendingHeartbeat struct {
	address   string
	heartbeat *protocol.Heartbeat
}

// receiveHeartbeat renews the node's lease once a quorum has confirmed that this
// replica is still the leader. Because the confirmation starts after the heartbeat was
// received, a later leader, which waits a full lease from its election before it
// expires a node, waits past the end of the lease granted here.
func (c *Core) receiveHeartbeat(from string, heartbeat *protocol.Heartbeat) {
	if !c.isLeader() {
		c.send(from, protocol.Message{HeartbeatReply: &protocol.HeartbeatReply{
			Sequence: heartbeat.Sequence, Leader: c.LeaderAddress(),
		}})
		return
	}
	c.updateLeadership()
	node := c.machine.Catalog.Nodes[heartbeat.Node]
	switch {
	case node == nil || node.Incarnation != heartbeat.Incarnation:
		if !heartbeat.Leaving {
			c.proposeInternal(state.Command{RegisterNode: &state.RegisterNode{
				ID: heartbeat.Node, Zone: heartbeat.Zone, Region: heartbeat.Region, Address: from, Incarnation: heartbeat.Incarnation,
			}})
		}
	case heartbeat.Leaving:
		c.proposeInternal(state.Command{ExpireNode: &state.ExpireNode{ID: heartbeat.Node, Epoch: node.Epoch}})
	case heartbeat.Draining && !node.Draining:
		c.proposeInternal(state.Command{DrainNode: &state.DrainNode{ID: heartbeat.Node, Draining: true}})
	}
	c.heartbeats = append(c.heartbeats, pendingHeartbeat{address: from, heartbeat: heartbeat})
	c.confirmHeartbeats()
}

// confirmHeartbeats starts one leadership confirmation for all pending heartbeats.
func (c *Core) confirmHeartbeats() {
	if c.heartbeatContext != 0 || len(c.heartbeats) == 0 {
		return
	}
	c.heartbeatContext = c.reads.Begin(c.raft, pendingRead{heartbeats: c.heartbeats})
	c.heartbeats = nil
}

// canRenewLeases reports whether this leader has applied the platform's engine list,
// so that nodes learn of changes made while there was no leader. If the platform is
// unreachable, leases are renewed after ListGraceMillis.
func (c *Core) canRenewLeases() bool {
	if c.listCompared && c.applied >= c.listIndex {
		return true
	}
	return c.clock.Monotonic-c.leaderSince >= c.config.ListGraceMillis
}

func (c *Core) renewLease(pending pendingHeartbeat) {
	if !c.canRenewLeases() {
		return
	}
	heartbeat := pending.heartbeat
	node, current := c.machine.Catalog.Nodes[heartbeat.Node], c.leases[heartbeat.Node]
	if node == nil || current == nil || node.Incarnation != heartbeat.Incarnation || current.epoch != node.Epoch {
		return
	}
	current.renewedAt = c.clock.Monotonic
	current.summary = heartbeat.Summary
	if heartbeat.Epoch == node.Epoch {
		current.revision = max(current.revision, heartbeat.Revision)
	}
	c.send(pending.address, protocol.Message{HeartbeatReply: &protocol.HeartbeatReply{
		Sequence: heartbeat.Sequence, Leader: c.config.Address, Epoch: node.Epoch,
		LeaseMillis: c.config.LeaseMillis * (100 - leaseMarginPercent) / 100,
		Delta:       c.machine.DeltaSince(heartbeat.Revision, heartbeat.Region),
		Peers:       c.peerSummaries(heartbeat.Node, node.Region),
		Pending:     c.pendingSamples(),
	}})
}

// minNotifyIntervalMillis is the minimum time between notifications of all nodes.
const minNotifyIntervalMillis = 200

// notifyNodes notifies all nodes of changes, so that they send a heartbeat at once.
func (c *Core) notifyNodes() {
	if !c.isLeader() || !c.notifyPending || c.clock.Monotonic-c.lastNotifiedAt < minNotifyIntervalMillis {
		return
	}
	c.notifyPending, c.lastNotifiedAt = false, c.clock.Monotonic
	for _, id := range slices.Sorted(maps.Keys(c.leases)) {
		if node := c.machine.Catalog.Nodes[id]; node != nil {
			c.send(node.Address, protocol.Message{Notify: &protocol.Notify{}})
		}
	}
}

func (c *Core) peerSummaries(self, region string) map[string]protocol.Summary {
	summaries := map[string]protocol.Summary{}
	for id, peer := range c.leases {
		node := c.machine.Catalog.Nodes[id]
		if id != self && node != nil && node.Region == region && !node.Draining {
			summaries[id] = peer.summary
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
