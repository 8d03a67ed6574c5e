package replica

import (
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/protocol"
)

const (
	// reconcileTicks is the number of ticks between runs of the membership loop.
	reconcileTicks = 2
	// maxLearnerLag is how many entries a learner may trail to count as caught up.
	maxLearnerLag = 64
	// forgetFactor times SilentTicks is how long a learner may be silent.
	forgetFactor = 8
)

// receiveJoin takes a replica into the group as a learner. A member at the same
// address under another identity has lost its disk: it never comes back.
func (c *Core) receiveJoin(join protocol.Join) {
	if !c.Leading() {
		c.passOnJoin(join)
		return
	}
	if join.Knows < c.required || c.isOfEarlierLife(join) {
		return
	}
	membership := c.raft.Membership()
	for _, member := range membership.Members {
		if member.Address == join.Address && member.ID != join.ID {
			c.superseded[member.ID] = true
		}
	}
	delete(c.superseded, join.ID)
	if _, ok := membership.Member(join.ID); ok || c.retiring[join.ID] || c.hasStandby() {
		return
	}
	c.raft.ProposeMembership(consensus.MembershipChange{
		Action: consensus.AddLearner, ID: join.ID, Address: join.Address,
	})
}

// isOfEarlierLife tells whether a member at the address answers under another identity than the
// one that asks. Its machine has lost a disk between the two, and the question is the older one:
// whoever stood still passes on late what it was asked. It would put out a living member otherwise.
// Where the member is only not known to be gone yet, the question comes again.
func (c *Core) isOfEarlierLife(join protocol.Join) bool {
	for _, member := range c.raft.Membership().Members {
		if member.Address == join.Address && member.ID != join.ID && c.answers(member.ID) {
			return true
		}
	}
	return false
}

// answers tells, on a leader, whether the member has replied within an election timeout.
func (c *Core) answers(id consensus.ReplicaID) bool {
	_, silent := c.raft.Match(id)
	return id == c.raft.ID() || silent <= c.config.Consensus.ElectionTicks
}

// passOnJoin sends the question of a replica outside to the leader. Such a replica knows only the
// few addresses of its settings; if it were let in by a leader alone, it would stay outside while
// none of them leads, and the group would be a voter short without anybody's notice. It is passed on
// once, so that replicas that take each other for the leader do not send it around.
func (c *Core) passOnJoin(join protocol.Join) {
	if join.PassedOn || c.raft.Leader() == consensus.None {
		return
	}
	join.PassedOn = true
	c.send(c.LeaderAddress(), protocol.Message{Join: &join})
}

// hasStandby tells whether there are as many learners alive as are wanted, to
// become voters that are missing and to stand by. Further ones would cost every
// commit a copy.
func (c *Core) hasStandby() bool {
	if c.config.Standby == 0 {
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
	return learners >= c.config.Standby+max(c.config.Voters-voters, 0)
}

// Require has only those let in from now on that know the version of the machine's commands: others
// would apply them in another way.
func (c *Core) Require(version uint64) { c.required = max(c.required, version) }

// SetRetiring names the replicas that are to leave the group.
func (c *Core) SetRetiring(retiring map[consensus.ReplicaID]bool) { c.retiring = retiring }

// membershipView sorts the members by what the loop may do with them.
type membershipView struct {
	voters int
	// leaving is a voter that should go: superseded, retiring or silent.
	leaving consensus.ReplicaID
	// useless is a learner that should go.
	useless consensus.ReplicaID
	// ready is a learner that holds almost all of the log.
	ready consensus.ReplicaID
}

// SilentVoters returns, on a leader, the number of voters that have not replied
// for an election timeout.
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

// MissingVoters returns, on a leader, how many voters the group lacks that have answered within
// the time after which a learner takes their place.
func (c *Core) MissingVoters() int {
	if !c.Leading() {
		return 0
	}
	alive := 0
	for _, member := range c.raft.Membership().Members {
		if _, silent := c.raft.Match(member.ID); member.Voter && (member.ID == c.raft.ID() || silent <= c.config.SilentTicks) {
			alive++
		}
	}
	return max(c.config.Voters-alive, 0)
}

func (c *Core) viewMembership() membershipView {
	var view membershipView
	for _, member := range c.raft.Membership().Members {
		match, silent := c.raft.Match(member.ID)
		unwanted := c.superseded[member.ID] || c.retiring[member.ID]
		switch {
		case member.Voter:
			view.voters++
			gone := member.ID != c.raft.ID() && silent > c.config.SilentTicks
			if c.superseded[member.ID] || view.leaving == consensus.None && (unwanted || gone) {
				view.leaving = member.ID
			}
		case unwanted || silent > forgetFactor*c.config.SilentTicks:
			view.useless = member.ID
		case match+maxLearnerLag >= c.raft.Commit() && match > 0 && silent <= c.config.Consensus.ElectionTicks:
			view.ready = member.ID
		}
	}
	return view
}

// reconcileMembership moves the membership one step towards the wanted number
// of voters that are alive. One change is under way at a time; the consensus
// package refuses a second. A voter whose disk is lost is removed first, which
// leaves the quorum at the same number of live voters; any other voter leaves
// only once a caught-up learner can take its place.
func (c *Core) reconcileMembership() {
	view := c.viewMembership()
	switch {
	case view.leaving != consensus.None && c.superseded[view.leaving] && view.voters > 1:
		c.remove(view.leaving)
	case view.ready != consensus.None && view.voters < c.config.Voters:
		c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.PromoteLearner, ID: view.ready})
	case view.leaving != consensus.None && view.voters > c.config.Voters:
		c.remove(view.leaving)
	case view.leaving != consensus.None && view.ready != consensus.None:
		c.replace(view)
	case view.useless != consensus.None:
		c.remove(view.useless)
	}
}

// replace puts the learner in the place of the voter. A silent voter goes
// first: with it, a larger group would need all others for a quorum. A retiring
// one still helps, so the learner comes first.
func (c *Core) replace(view membershipView) {
	if !c.retiring[view.leaving] {
		c.remove(view.leaving)
		return
	}
	c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.PromoteLearner, ID: view.ready})
}

func (c *Core) remove(id consensus.ReplicaID) {
	if id == c.raft.ID() {
		c.TransferLeadership()
		return
	}
	c.raft.ProposeMembership(consensus.MembershipChange{Action: consensus.RemoveReplica, ID: id})
}
