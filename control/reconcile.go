package control

import (
	"maps"
	"reflect"
	"slices"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/state"
)

// ListEngines sets the platform's list of engines, which may be outdated. The fields
// Owner, Epoch and Ordered are ignored.
func (c *Core) ListEngines(clock Clock, engines []state.Engine) {
	c.clock = clock
	isFirst := !c.listReceived
	c.listedEngines, c.listReceived = engines, true
	if isFirst && c.isLeader() {
		c.reconcile()
	}
}

// reconcile compares the actual with the desired state and proposes the differences.
// It waits until its earlier proposals are applied, so that none is made twice.
func (c *Core) reconcile() {
	if c.applied < c.reconcileIndex || c.raft.Commit() < c.reconcileIndex {
		return
	}
	c.expireNodes()
	c.syncEngines()
	c.grantEngines()
	c.replaceVoter()
}

// expireNodes removes the nodes whose lease has ended. The lease granted to the node
// ended earlier; see leaseMarginPercent.
func (c *Core) expireNodes() {
	for _, id := range slices.Sorted(maps.Keys(c.leases)) {
		lease := c.leases[id]
		if c.clock.Monotonic-lease.renewedAt > c.config.LeaseMillis {
			c.proposeInternal(state.Command{ExpireNode: &state.ExpireNode{ID: id, Epoch: lease.epoch}})
		}
	}
}

func (c *Core) syncEngines() {
	if !c.listReceived {
		return
	}
	command := &state.SyncEngines{}
	present := make(map[string]bool, len(c.listedEngines))
	for _, listed := range c.listedEngines {
		present[listed.ID] = true
		if known := c.machine.Catalog.Engines[listed.ID]; known == nil || !sameListing(known, listed) {
			command.Listed = append(command.Listed, listed)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.machine.Catalog.Engines)) {
		if !present[id] {
			command.Removed = append(command.Removed, id)
		}
	}
	if len(command.Listed)+len(command.Removed) > 0 {
		c.proposeInternal(state.Command{SyncEngines: command})
	}
	if !c.listCompared {
		c.listCompared, c.listIndex = true, c.reconcileIndex
	}
}

// sameListing reports whether the fields set by the platform are equal.
func sameListing(known *state.Engine, listed state.Engine) bool {
	listed.Owner, listed.Epoch, listed.Revision, listed.Ordered = known.Owner, known.Epoch, known.Revision, known.Ordered
	return reflect.DeepEqual(*known, listed)
}

// ownershipPlan holds the planned grants and the resulting number of engines per node.
type ownershipPlan struct {
	nodesByLocation map[string][]*state.Node
	engines         map[string]int
	enginesByGroup  map[string]map[string]int
	grants          []state.OwnerGrant
}

// grantEngines assigns each engine to a node of its zone, or of its region if the zone
// has no node, and balances the number of engines per node.
func (c *Core) grantEngines() {
	plan := c.newOwnershipPlan()
	ids := slices.Sorted(maps.Keys(c.machine.Catalog.Engines))
	var unowned []*state.Engine
	for _, id := range ids {
		engine := c.machine.Catalog.Engines[id]
		if plan.canKeepOwner(engine) {
			plan.countEngine(engine.Owner, engine.Group)
			continue
		}
		unowned = append(unowned, engine)
	}
	for _, engine := range unowned {
		plan.grant(engine)
	}
	if len(unowned) == 0 {
		c.rebalance(plan, ids)
	}
	if len(plan.grants) > 0 {
		c.proposeInternal(state.Command{SetOwners: &state.SetOwners{Grants: plan.grants}})
	}
}

func (c *Core) newOwnershipPlan() *ownershipPlan {
	plan := &ownershipPlan{
		nodesByLocation: map[string][]*state.Node{}, engines: map[string]int{}, enginesByGroup: map[string]map[string]int{},
	}
	for _, id := range slices.Sorted(maps.Keys(c.machine.Catalog.Nodes)) {
		node := c.machine.Catalog.Nodes[id]
		if node.Draining || c.leases[id] == nil {
			continue
		}
		plan.nodesByLocation[node.Zone] = append(plan.nodesByLocation[node.Zone], node)
		plan.nodesByLocation[regionKey(node.Region)] = append(plan.nodesByLocation[regionKey(node.Region)], node)
		plan.enginesByGroup[id] = map[string]int{}
	}
	return plan
}

// regionKey returns a key for the region that differs from any zone's name.
func regionKey(region string) string { return "\x00" + region }

// candidates returns the nodes that may own the engine.
func (p *ownershipPlan) candidates(engine *state.Engine) []*state.Node {
	if nodes := p.nodesByLocation[engine.Zone]; len(nodes) > 0 {
		return nodes
	}
	return p.nodesByLocation[regionKey(engine.Region)]
}

func (p *ownershipPlan) canKeepOwner(engine *state.Engine) bool {
	for _, node := range p.candidates(engine) {
		if node.ID == engine.Owner {
			return true
		}
	}
	return false
}

func (p *ownershipPlan) countEngine(node, group string) {
	p.engines[node]++
	p.enginesByGroup[node][group]++
}

func (p *ownershipPlan) grant(engine *state.Engine) {
	var best *state.Node
	for _, node := range p.candidates(engine) {
		if best == nil || p.hasFewerEngines(node.ID, best.ID, engine.Group) {
			best = node
		}
	}
	if best == nil {
		return
	}
	p.countEngine(best.ID, engine.Group)
	p.grants = append(p.grants, state.OwnerGrant{
		Engine: engine.ID, EngineEpoch: engine.Epoch, Node: best.ID, NodeEpoch: best.Epoch,
	})
}

func (p *ownershipPlan) hasFewerEngines(a, b, group string) bool {
	if p.enginesByGroup[a][group] != p.enginesByGroup[b][group] {
		return p.enginesByGroup[a][group] < p.enginesByGroup[b][group]
	}
	return p.engines[a] < p.engines[b]
}

// rebalance moves engines from nodes that own at least two more engines of a group
// than another candidate.
func (c *Core) rebalance(plan *ownershipPlan, ids []string) {
	for _, id := range ids {
		engine := c.machine.Catalog.Engines[id]
		if engine.Owner == "" {
			continue
		}
		for _, node := range plan.candidates(engine) {
			if plan.enginesByGroup[node.ID][engine.Group]+2 <= plan.enginesByGroup[engine.Owner][engine.Group] {
				plan.enginesByGroup[engine.Owner][engine.Group]--
				plan.engines[engine.Owner]--
				plan.grant(engine)
				break
			}
		}
	}
}

// replaceVoter replaces a voter that has been silent for ReplaceMillis by a caught-up
// learner: it promotes the learner and, in a later run, removes the silent voter.
func (c *Core) replaceVoter() {
	if c.config.ReplaceMillis == 0 {
		return
	}
	silentVoter, replacement := c.replacementCandidates()
	switch {
	case silentVoter == consensus.None:
	case replacement != consensus.None:
		c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.PromoteLearner, ID: replacement})
	case c.raft.Membership().Voters()%2 == 0:
		c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.RemoveReplica, ID: silentVoter})
	}
}

func (c *Core) replacementCandidates() (silentVoter, replacement consensus.ReplicaID) {
	evenVoters := c.raft.Membership().Voters()%2 == 0
	for _, member := range c.raft.Membership().Members {
		match, silentTicks := c.raft.Match(member.ID)
		caughtUp := match+maxLearnerLag >= c.raft.Commit() && silentTicks <= c.config.Consensus.ElectionTicks
		switch {
		case member.Voter && int64(silentTicks)*c.config.TickMillis > c.config.ReplaceMillis:
			silentVoter = member.ID
		case !member.Voter && caughtUp && !evenVoters:
			replacement = member.ID
		}
	}
	return silentVoter, replacement
}

// maxLearnerLag is the maximum number of entries by which a caught-up learner may lag.
const maxLearnerLag = 64
