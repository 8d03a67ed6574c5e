package control

import (
	"maps"
	"reflect"
	"slices"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/state"
)

// ListEngines takes in the platform's list of engines, which may lag. Owner,
// epoch and operators' orders in it are ignored.
func (c *Core) ListEngines(clock Clock, engines []state.Engine) {
	c.clock = clock
	first := !c.listedKnown
	c.listed, c.listedKnown = engines, true
	if first && c.leading() {
		c.reconcile()
	}
}

// reconcile compares what is with what should be and proposes the difference.
// It waits until its earlier proposals are applied, so none is made twice.
func (c *Core) reconcile() {
	if c.applied < c.reconcileIndex || c.raft.Commit() < c.reconcileIndex {
		return
	}
	c.expireNodes()
	c.syncEngines()
	c.grantEngines()
	c.replaceVoter()
}

// expireNodes takes out the nodes whose lease has ended. The holder's lease
// ended earlier by the margin.
func (c *Core) expireNodes() {
	for _, id := range slices.Sorted(maps.Keys(c.leases)) {
		held := c.leases[id]
		if c.clock.Monotonic-held.renewedAt > c.config.LeaseMillis {
			c.proposeOwn(state.Command{ExpireNode: &state.ExpireNode{ID: id, Epoch: held.epoch}})
		}
	}
}

func (c *Core) syncEngines() {
	if !c.listedKnown {
		return
	}
	command := &state.SyncEngines{}
	present := make(map[string]bool, len(c.listed))
	for _, listed := range c.listed {
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
		c.proposeOwn(state.Command{SyncEngines: command})
	}
	if !c.listCompared {
		c.listCompared, c.listIndex = true, c.reconcileIndex
	}
}

// sameListing compares what the platform lists about an engine.
func sameListing(known *state.Engine, listed state.Engine) bool {
	listed.Owner, listed.Epoch, listed.Revision, listed.Ordered = known.Owner, known.Epoch, known.Revision, known.Ordered
	return reflect.DeepEqual(*known, listed)
}

// ownershipPlan counts engines by node while grants are planned.
type ownershipPlan struct {
	nodes   map[string][]*state.Node
	total   map[string]int
	byGroup map[string]map[string]int
	grants  []state.OwnerGrant
}

// grantEngines gives each engine an owner among the nodes of its zone, or of
// its region while the zone has none, and evens out their shares.
func (c *Core) grantEngines() {
	plan := c.newOwnershipPlan()
	ids := slices.Sorted(maps.Keys(c.machine.Catalog.Engines))
	var moved []*state.Engine
	for _, id := range ids {
		engine := c.machine.Catalog.Engines[id]
		if plan.mayKeep(engine) {
			plan.count(engine.Owner, engine.Group)
			continue
		}
		moved = append(moved, engine)
	}
	for _, engine := range moved {
		plan.grant(engine)
	}
	if len(moved) == 0 {
		c.evenOut(plan, ids)
	}
	if len(plan.grants) > 0 {
		c.proposeOwn(state.Command{SetOwners: &state.SetOwners{Grants: plan.grants}})
	}
}

func (c *Core) newOwnershipPlan() *ownershipPlan {
	plan := &ownershipPlan{
		nodes: map[string][]*state.Node{}, total: map[string]int{}, byGroup: map[string]map[string]int{},
	}
	for _, id := range slices.Sorted(maps.Keys(c.machine.Catalog.Nodes)) {
		node := c.machine.Catalog.Nodes[id]
		if node.Draining || c.leases[id] == nil {
			continue
		}
		plan.nodes[node.Zone] = append(plan.nodes[node.Zone], node)
		plan.nodes[regionKey(node.Region)] = append(plan.nodes[regionKey(node.Region)], node)
		plan.byGroup[id] = map[string]int{}
	}
	return plan
}

// regionKey keeps regions apart from zones of the same name.
func regionKey(region string) string { return "\x00" + region }

// candidates returns the nodes that may own the engine.
func (p *ownershipPlan) candidates(engine *state.Engine) []*state.Node {
	if nodes := p.nodes[engine.Zone]; len(nodes) > 0 {
		return nodes
	}
	return p.nodes[regionKey(engine.Region)]
}

func (p *ownershipPlan) mayKeep(engine *state.Engine) bool {
	for _, node := range p.candidates(engine) {
		if node.ID == engine.Owner {
			return true
		}
	}
	return false
}

func (p *ownershipPlan) count(node, group string) {
	p.total[node]++
	p.byGroup[node][group]++
}

func (p *ownershipPlan) grant(engine *state.Engine) {
	var best *state.Node
	for _, node := range p.candidates(engine) {
		if best == nil || p.lighter(node.ID, best.ID, engine.Group) {
			best = node
		}
	}
	if best == nil {
		return
	}
	p.count(best.ID, engine.Group)
	p.grants = append(p.grants, state.OwnerGrant{
		Engine: engine.ID, EngineEpoch: engine.Epoch, Node: best.ID, NodeEpoch: best.Epoch,
	})
}

func (p *ownershipPlan) lighter(a, b, group string) bool {
	if p.byGroup[a][group] != p.byGroup[b][group] {
		return p.byGroup[a][group] < p.byGroup[b][group]
	}
	return p.total[a] < p.total[b]
}

// evenOut moves engines from nodes that own at least two more of a group than
// another candidate does.
func (c *Core) evenOut(plan *ownershipPlan, ids []string) {
	for _, id := range ids {
		engine := c.machine.Catalog.Engines[id]
		if engine.Owner == "" {
			continue
		}
		for _, node := range plan.candidates(engine) {
			if plan.byGroup[node.ID][engine.Group]+2 <= plan.byGroup[engine.Owner][engine.Group] {
				plan.byGroup[engine.Owner][engine.Group]--
				plan.total[engine.Owner]--
				plan.grant(engine)
				break
			}
		}
	}
}

// replaceVoter puts a caught-up learner in the place of a voter that has been
// silent for long: first the learner gets its vote, then, in a later run, the
// silent one is removed. One change is under way at a time.
func (c *Core) replaceVoter() {
	if c.config.ReplaceMillis == 0 {
		return
	}
	silent, learner := c.replacementCandidates()
	switch {
	case silent == consensus.None:
	case learner != consensus.None:
		c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.PromoteLearner, ID: learner})
	case c.raft.Membership().Voters()%2 == 0:
		c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.RemoveReplica, ID: silent})
	}
}

func (c *Core) replacementCandidates() (silent, learner consensus.ReplicaID) {
	evenVoters := c.raft.Membership().Voters()%2 == 0
	for _, member := range c.raft.Membership().Members {
		match, silentTicks := c.raft.Match(member.ID)
		caughtUp := match+maxLearnerLag >= c.raft.Commit() && silentTicks <= c.config.Consensus.ElectionTicks
		switch {
		case member.Voter && int64(silentTicks)*c.config.TickMillis > c.config.ReplaceMillis:
			silent = member.ID
		case !member.Voter && caughtUp && !evenVoters:
			learner = member.ID
		}
	}
	return silent, learner
}

// maxLearnerLag is how many entries a learner may trail to count as caught up.
const maxLearnerLag = 64
