package control

import (
	"sort"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// pendingRead waits for a quorum's confirmation: a local read, or heartbeats.
type pendingRead struct {
	local uint64
	beats []pendingBeat
}

// View is a consistent copy of what operators ask for.
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

// LedgerView is a pool's ledger in numbers.
type LedgerView struct {
	Pool      string
	Newest    uint64
	Pending   int
	Assigned  int
	Completed int
	Counters  state.Counters
	Engines   int
}

// Read asks for a View that reflects every change accepted before the call.
func (c *Core) Read(clock Clock, id uint64) {
	c.clock = clock
	if !c.leading() {
		c.answer(requester{id: id}, protocol.ProposeNotLeader, state.Result{})
		return
	}
	c.reads.Begin(c.raft, pendingRead{local: id})
}

// confirmReads takes in which reads a quorum has confirmed, and serves those
// whose index is applied.
func (c *Core) confirmReads(ready consensus.Ready) {
	for _, read := range c.reads.TakeRejected(ready) {
		if read.local != 0 {
			c.answer(requester{id: read.local}, protocol.ProposeNotLeader, state.Result{})
		}
	}
	for _, read := range c.reads.TakeServable(ready, c.applied) {
		c.serveRead(read)
	}
	if !c.reads.IsPending(c.beatContext) {
		c.beatContext = 0
	}
	c.confirmBeats()
}

func (c *Core) serveRead(read pendingRead) {
	if !c.leading() {
		if read.local != 0 {
			c.answer(requester{id: read.local}, protocol.ProposeNotLeader, state.Result{})
		}
		return
	}
	for _, beat := range read.beats {
		c.renew(beat)
	}
	if read.local != 0 {
		c.replies = append(c.replies, Reply{ID: read.local, Outcome: protocol.ProposeDone, View: c.view()})
	}
}

func (c *Core) view() *View {
	view := &View{
		Declared: c.machine.Declared, Term: c.raft.Term(), Commit: c.raft.Commit(),
		History: append([]state.Change(nil), c.machine.History...),
	}
	for _, member := range c.raft.Membership().Members {
		match, _ := c.raft.Match(member.ID)
		view.Replicas = append(view.Replicas, ReplicaView{Member: member, Leader: member.ID == c.raft.ID(), Match: match})
	}
	owned, bound := map[string]int{}, map[string]int{}
	for _, engine := range c.machine.Catalog.Engines {
		owned[engine.Owner]++
		bound[engine.Group]++
		view.Engines = append(view.Engines, *engine)
	}
	sort.Slice(view.Engines, func(i, j int) bool { return view.Engines[i].ID < view.Engines[j].ID })
	c.viewNodes(view, owned)
	c.viewPools(view, bound)
	return view
}

func (c *Core) viewNodes(view *View, owned map[string]int) {
	for id, node := range c.machine.Catalog.Nodes {
		nodeView := NodeView{Node: *node, Engines: owned[id]}
		if held := c.leases[id]; held != nil {
			nodeView.Revision, nodeView.Summary = held.revision, held.summary
		}
		view.Nodes = append(view.Nodes, nodeView)
	}
	sort.Slice(view.Nodes, func(i, j int) bool { return view.Nodes[i].Node.ID < view.Nodes[j].Node.ID })
}

func (c *Core) viewPools(view *View, bound map[string]int) {
	for name, pool := range c.machine.Catalog.Pools {
		view.Pools = append(view.Pools, pool.Spec)
		ledger := c.machine.Ledgers[name]
		view.Ledgers = append(view.Ledgers, LedgerView{
			Pool: name, Newest: c.machine.Catalog.Models[pool.Spec.Model].Newest(),
			Pending: ledger.Pending(), Assigned: len(ledger.Samples) - ledger.Pending() - ledger.CompletedCount(),
			Completed: ledger.CompletedCount(), Counters: ledger.Counters, Engines: bound[pool.Spec.EngineGroup],
		})
	}
	sort.Slice(view.Pools, func(i, j int) bool { return view.Pools[i].Name < view.Pools[j].Name })
	sort.Slice(view.Ledgers, func(i, j int) bool { return view.Ledgers[i].Pool < view.Ledgers[j].Pool })
}
