package replica

import (
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

const (
	// reconcileTicks is the number of ticks between reconciliations of the membership.
	reconcileTicks = 2
	// maxLearnerLag is how many entries a caught-up learner may be behind.
	maxLearnerLag = 64
	// silentLearnerFactor times SilentTicks is the time after which a silent learner is removed.
	silentLearnerFactor = 8
)

// receiveJoin adds a replica to the group as a learner. A member at the same address under another
// identity has lost its disk and is superseded.
func (c *Core) receiveJoin(join protocol.Join) {
	if !c.Leading() {
		c.forwardJoin(join)
		return
	}
	if join.Knows < c.requiredVersion || c.isStaleJoin(join) {
		return
	}
	membership := c.raft.Membership()
	for _, member := range membership.Members {
		if member.Address == join.Address && member.ID != join.ID {
			c.superseded[member.ID] = true
		}
	}
	delete(c.superseded, join.ID)
	if _, ok := membership.Member(join.ID); ok || c.retiring[join.ID] || c.hasEnoughLearners() {
		return
	}
	c.raft.ProposeMembership(consensus.MembershipChange{
		Action: consensus.AddLearner, ID: join.ID, Address: join.Address,
	})
}

// isStaleJoin reports whether a member at the same address is responsive under another identity. The
// machine then lost its disk after it sent this request, which was forwarded late by a stalled replica,
// and accepting it would remove a live member. If the member has only not been detected as silent yet,
// the replica will ask again.
func (c *Core) isStaleJoin(join protocol.Join) bool {
	for _, member := range c.raft.Membership().Members {
		if member.Address == join.Address && member.ID != join.ID && c.isResponsive(member.ID) {
			return true
		}
	}
	return false
}

// isResponsive reports, on a leader, whether the member has replied within an election timeout.
func (c *Core) isResponsive(id consensus.ReplicaID) bool {
	_, silent := c.raft.Match(id)
	return id == c.raft.ID() || silent <= c.config.Consensus.ElectionTicks
}

// forwardJoin forwards a join request to the leader, since a replica that knows only the few addresses
// of its settings may not reach the leader itself. Without this it would stay outside while none of them
// leads, and the group would be a voter short without anybody noticing. A request is forwarded once, so
// that replicas that consider each other the leader don't send it in a loop.
func (c *Core) forwardJoin(join protocol.Join) {
	if join.PassedOn || c.raft.Leader() == consensus.None {
		return
	}
	join.PassedOn = true
	c.send(c.LeaderAddress(), protocol.Message{Join: &join})
}

// hasEnoughLearners reports whether there are enough responsive learners to replace missing voters and
// to stand by. Further learners would have to receive every entry, too.
func (c *Core) hasEnoughLearners() bool {
	if c.config.StandbyLearners == 0 {
		return false
	}
	voters, learners := 0, 0
	for _, member := range c.raft.Membership().Members {
		_, silent := c.raft.Match(member.ID)
		switch {
		case member.Voter:
			voters++
		case silent <= c.config.SilentTicks && !c.superseded[member.ID] && !c.retiring[member.ID]:
			learners++
		}
	}
	return learners >= c.config.StandbyLearners+max(c.config.Voters-voters, 0)
}

// RequireVersion admits from now on only replicas that support the version of the machine's commands:
// others would apply them differently.
func (c *Core) RequireVersion(version uint64) { c.requiredVersion = max(c.requiredVersion, version) }

// SetRetiring sets the replicas to be removed from the group.
func (c *Core) SetRetiring(retiring map[consensus.ReplicaID]bool) { c.retiring = retiring }

// membershipView classifies the members for the reconciliation.
type membershipView struct {
	voters int
	// unwantedVoter is a voter to be removed: superseded, retiring or silent.
	unwantedVoter consensus.ReplicaID
	// unwantedLearner is a learner to be removed.
	unwantedLearner consensus.ReplicaID
	// readyLearner is a caught-up learner.
	readyLearner consensus.ReplicaID
}

// SilentVoters returns, on a leader, the number of voters that have not replied for an election timeout.
func (c *Core) SilentVoters() int {
	if !c.Leading() {
		return 0
	}
	count := 0
	for _, member := range c.raft.Membership().Members {
		if _, silent := c.raft.Match(member.ID); member.Voter && silent > c.config.Consensus.ElectionTicks {
			count++
		}
	}
	return count
}

// MissingVoters returns, on a leader, how many voters the group lacks. Voters that have been silent for
// longer than SilentTicks don't count.
func (c *Core) MissingVoters() int {
	if !c.Leading() {
		return 0
	}
	responsive := 0
	for _, member := range c.raft.Membership().Members {
		if _, silent := c.raft.Match(member.ID); member.Voter && (member.ID == c.raft.ID() || silent <= c.config.SilentTicks) {
			responsive++
		}
	}
	return max(c.config.Voters-responsive, 0)
}

func (c *Core) classifyMembers() membershipView {
	var view membershipView
	for _, member := range c.raft.Membership().Members {
		match, silent := c.raft.Match(member.ID)
		unwanted := c.superseded[member.ID] || c.retiring[member.ID]
		switch {
		case member.Voter:
			view.voters++
			silentTooLong := member.ID != c.raft.ID() && silent > c.config.SilentTicks
			if c.superseded[member.ID] || view.unwantedVoter == consensus.None && (unwanted || silentTooLong) {
				view.unwantedVoter = member.ID
			}
		case unwanted || silent > silentLearnerFactor*c.config.SilentTicks:
			view.unwantedLearner = member.ID
		case match+maxLearnerLag >= c.raft.Commit() && match > 0 && silent <= c.config.Consensus.ElectionTicks:
			view.readyLearner = member.ID
		}
	}
	return view
}

// reconcileMembership proposes at most one change towards the target number of responsive voters. The
// consensus package rejects a second concurrent change. A voter that lost its disk is removed first:
// the smaller quorum then consists of live voters. Any other voter is removed only if a caught-up learner
// can replace it.
func (c *Core) reconcileMembership() {
	view := c.classifyMembers()
	switch {
	case view.unwantedVoter != consensus.None && c.superseded[view.unwantedVoter] && view.voters > 1:
		c.removeMember(view.unwantedVoter)
	case view.readyLearner != consensus.None && view.voters < c.config.Voters:
		c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.PromoteLearner, ID: view.readyLearner})
	case view.unwantedVoter != consensus.None && view.voters > c.config.Voters:
		c.removeMember(view.unwantedVoter)
	case view.unwantedVoter != consensus.None && view.readyLearner != consensus.None:
		c.replaceVoter(view)
	case view.unwantedLearner != consensus.None:
		c.removeMember(view.unwantedLearner)
	}
}

// replaceVoter replaces the voter by the learner. A silent voter is removed first, as the larger group
// would need all other voters for a quorum. A retiring voter still responds, so the learner is promoted
// first.
func (c *Core) replaceVoter(view membershipView) {
	if !c.retiring[view.unwantedVoter] {
		c.removeMember(view.unwantedVoter)
		return
	}
	c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.PromoteLearner, ID: view.readyLearner})
}

func (c *Core) removeMember(id consensus.ReplicaID) {
	if id == c.raft.ID() {
		c.TransferLeadership()
		return
	}
	c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.RemoveReplica, ID: id})
}
