package consensus

// quorumActive reports whether a quorum of voters has replied within an election
// timeout. A leader without an active quorum steps down (check-quorum), so that an
// isolated replica does not remain leader.
func (r *Raft) quorumActive() bool {
	active := 0
	for _, member := range r.Membership().Members {
		if !member.Voter {
			continue
		}
		_, silentTicks := r.Match(member.ID)
		if member.ID == r.config.ID || silentTicks <= r.config.ElectionTicks {
			active++
		}
	}
	return active >= r.quorum()
}

func (r *Raft) quorum() int { return r.Membership().Voters()/2 + 1 }

func (r *Raft) isVoter() bool {
	member, ok := r.Membership().Member(r.config.ID)
	return ok && member.Voter
}

// canCampaign reports whether the replica is a voter, or a voter whose removal is
// not committed yet. In the second case it may be the only replica that holds the
// removal and has to lead until the others have committed it; its own vote does
// not count (dissertation, 4.2.2).
func (r *Raft) canCampaign() bool {
	if r.isVoter() || r.MembershipCommitted() || len(r.memberships) < 2 {
		return r.isVoter()
	}
	member, ok := r.memberships[len(r.memberships)-2].membership.Member(r.config.ID)
	return ok && member.Voter
}

func (r *Raft) resetElectionTimeout() {
	r.electionElapsed = 0
	r.electionTimeout = r.config.ElectionTicks + r.random.IntN(r.config.ElectionTicks)
}

// awaitsFirstLeader reports whether the replica has heard no leader since its start
// and so uses the short timeout of first elections.
func (r *Raft) awaitsFirstLeader() bool {
	return r.config.FirstElectionTicks > 0 && !r.heardLeader
}

// initialSnapshotIndex is the index of the snapshot that a new group starts with.
// The log goes beyond it once the group has had a leader.
const initialSnapshotIndex = 1

// firstElectionDelay returns the extra ticks before the first pre-vote after a start.
// It is 0 for the replica that led in the newest known term, which is recognized by
// its vote for itself.
func (r *Raft) firstElectionDelay() int {
	switch {
	case r.config.NonLeaderDelayTicks == 0 || r.log.lastIndex() <= initialSnapshotIndex:
		return r.rank()
	case r.vote == r.config.ID:
		return 0
	default:
		return r.config.NonLeaderDelayTicks + r.rank()
	}
}

// rank returns the number of voters with a lower ID.
func (r *Raft) rank() int {
	lower := 0
	for _, member := range r.Membership().Members {
		if member.Voter && member.ID < r.config.ID {
			lower++
		}
	}
	return lower
}

func (r *Raft) becomeFollower(term uint64, leader ReplicaID) {
	if term > r.term {
		r.term, r.vote = term, None
	}
	if r.role == Leader {
		r.rejectReads()
	}
	r.role, r.leader, r.transferee = Follower, leader, None
	r.resetElectionTimeout()
}

func (r *Raft) rejectReads() {
	for _, read := range r.reads {
		r.rejectedReads = append(r.rejectedReads, read.context)
	}
	r.reads = nil
}

// campaign asks the other voters for their votes. A pre-campaign changes no terms,
// so that a replica that returns from a partition does not depose a working leader.
func (r *Raft) campaign(role Role, transfer bool) {
	r.resetElectionTimeout()
	if role == PreCandidate && r.awaitsFirstLeader() {
		r.electionTimeout = r.config.FirstElectionTicks + r.random.IntN(2*r.Membership().Voters()+1)
	}
	// A learner also forgets the silent leader: it may have been promoted
	// without knowing it yet, and its vote may be needed.
	r.leader = None
	if !r.canCampaign() {
		return
	}
	r.role = role
	r.votes = map[ReplicaID]bool{r.config.ID: true}
	kind, term := MessagePreVote, r.term+1
	if role == Candidate {
		r.term, r.vote = r.term+1, r.config.ID
		kind, term = MessageVote, r.term
	}
	for _, member := range r.Membership().Members {
		if member.Voter && member.ID != r.config.ID {
			r.send(Message{
				Kind: kind, To: member.ID, Term: term, Transfer: transfer,
				Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(),
			})
		}
	}
	r.countVotes()
}

func (r *Raft) countVotes() {
	granted, refused := 0, 0
	for id, vote := range r.votes {
		member, ok := r.Membership().Member(id)
		switch {
		case !ok || !member.Voter:
		case vote:
			granted++
		default:
			refused++
		}
	}
	switch {
	case granted >= r.quorum() && r.role == PreCandidate:
		r.campaign(Candidate, false)
	case granted >= r.quorum() && r.role == Candidate:
		r.becomeLeader()
	case refused >= r.quorum():
		r.becomeFollower(r.term, None)
	}
}

func (r *Raft) becomeLeader() {
	r.role, r.leader, r.transferee = Leader, r.config.ID, None
	r.electionElapsed, r.heartbeatElapsed, r.heardLeader = 0, 0, true
	r.followers = map[ReplicaID]*progress{}
	r.syncFollowers()
	r.appendEntry(EntryNormal, nil)
	r.broadcastAppend()
}

// syncFollowers adds and removes followers to match the membership.
func (r *Raft) syncFollowers() {
	for id := range r.followers {
		if r.Membership().find(id) < 0 {
			delete(r.followers, id)
		}
	}
	for _, member := range r.Membership().Members {
		if member.ID == r.config.ID || r.followers[member.ID] != nil {
			continue
		}
		r.followers[member.ID] = &progress{
			next: r.log.lastIndex() + 1, lastReplyTick: r.tick,
		}
	}
}
