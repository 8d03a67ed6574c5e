package control

import (
	"sort"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// pendingRead is a local read, or a batch of heartbeats, that waits for a quorum's
// confirmation of the leadership.
type pendingRead struct {
	requestID  uint64
	heartbeats []pendingHeartbeat
}

// View is a consistent copy of the state shown to operators.
type View struct {
	Declared uint64
	Pools    []state.PoolSpec
	History  []state.Change
	Term     uint64
	Commit   uint64
	Replicas []ReplicaView
	Nodes    []NodeView
	Engines  []state.Engine
	Ledgers  []LedgerView
}

// ReplicaView is a control replica as the leader sees it.
type ReplicaView struct {
	Member consensus.Member
	Leader bool
	Match  uint64
}

// NodeView is a node as the leader sees it.
type NodeView struct {
	Node     state.Node
	Revision uint64
	Summary  protocol.Summary
	Engines  int
}

// LedgerView summarizes a pool's ledger.
type LedgerView struct {
	Pool      string
	Newest    uint64
	Pending   int
	Assigned  int
	Completed int
	Counters  state.Counters
	Engines   int
}

// Read requests a View that reflects every change accepted before the call.
func (c *Core) Read(clock Clock, id uint64) {
	c.clock = clock
	if !c.isLeader() {
		c.reply(requester{id: id}, protocol.ProposeNotLeader, state.Result{})
		return
	}
	c.reads.Begin(c.raft, pendingRead{requestID: id})
}

// confirmReads serves the reads that are confirmed by a quorum and whose index is
// applied, and rejects those that were refused.
func (c *Core) confirmReads(ready consensus.Ready) {
	for _, read := range c.reads.TakeRejected(ready) {
		if read.requestID != 0 {
			c.reply(requester{id: read.requestID}, protocol.ProposeNotLeader, state.Result{})
		}
	}
	for _, read := range c.reads.TakeServable(ready, c.applied) {
		c.serveRead(read)
	}
	if !c.reads.IsPending(c.heartbeatContext) {
		c.heartbeatContext = 0
	}
	c.confirmHeartbeats()
}

func (c *Core) serveRead(read pendingRead) {
	if !c.isLeader() {
		if read.requestID != 0 {
			c.reply(requester{id: read.requestID}, protocol.ProposeNotLeader, state.Result{})
		}
		return
	}
	for _, heartbeat := range read.heartbeats {
		c.renewLease(heartbeat)
	}
	if read.requestID != 0 {
		c.replies = append(c.replies, Reply{ID: read.requestID, Outcome: protocol.ProposeDone, View: c.buildView()})
	}
}

func (c *Core) buildView() *View {
	view := &View{
		Declared: c.machine.Declared, Term: c.raft.Term(), Commit: c.raft.Commit(),
		History: append([]state.Change(nil), c.machine.History...),
	}
	for _, member := range c.raft.Membership().Members {
		match, _ := c.raft.Match(member.ID)
		view.Replicas = append(view.Replicas, ReplicaView{Member: member, Leader: member.ID == c.raft.ID(), Match: match})
	}
	enginesByOwner, enginesByGroup := map[string]int{}, map[string]int{}
	for _, engine := range c.machine.Catalog.Engines {
		enginesByOwner[engine.Owner]++
		enginesByGroup[engine.Group]++
		view.Engines = append(view.Engines, *engine)
	}
	sort.Slice(view.Engines, func(i, j int) bool { return view.Engines[i].ID < view.Engines[j].ID })
	c.addNodeViews(view, enginesByOwner)
	c.addPoolViews(view, enginesByGroup)
	return view
}

func (c *Core) addNodeViews(view *View, enginesByOwner map[string]int) {
	for id, node := range c.machine.Catalog.Nodes {
		nodeView := NodeView{Node: *node, Engines: enginesByOwner[id]}
		if lease := c.leases[id]; lease != nil {
			nodeView.Revision, nodeView.Summary = lease.revision, lease.summary
		}
		view.Nodes = append(view.Nodes, nodeView)
	}
	sort.Slice(view.Nodes, func(i, j int) bool { return view.Nodes[i].Node.ID < view.Nodes[j].Node.ID })
}

func (c *Core) addPoolViews(view *View, enginesByGroup map[string]int) {
	for name, pool := range c.machine.Catalog.Pools {
		view.Pools = append(view.Pools, pool.Spec)
		ledger := c.machine.Ledgers[name]
		view.Ledgers = append(view.Ledgers, LedgerView{
			Pool: name, Newest: c.machine.Catalog.Models[pool.Spec.Model].Newest(),
			Pending: ledger.Pending(), Assigned: len(ledger.Samples) - ledger.Pending() - ledger.CompletedCount(),
			Completed: ledger.CompletedCount(), Counters: ledger.Counters, Engines: enginesByGroup[pool.Spec.EngineGroup],
		})
	}
	sort.Slice(view.Pools, func(i, j int) bool { return view.Pools[i].Name < view.Pools[j].Name })
	sort.Slice(view.Ledgers, func(i, j int) bool { return view.Ledgers[i].Pool < view.Ledgers[j].Pool })
}
