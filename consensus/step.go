package consensus

import "slices"

// Step takes in a message from another replica. Messages of earlier terms and
// messages that make no sense in the current role are ignored.
func (r *Raft) Step(message Message) {
	if message.To != r.config.ID {
		return
	}
	if message.Term > r.term && !r.acceptHigherTerm(message) {
		return
	}
	if message.Term < r.term {
		r.stepStale(message)
		return
	}
	switch message.Kind {
	case MessagePreVote:
		r.stepPreVote(message)
	case MessageVote:
		r.stepVote(message)
	case MessagePreVoteReply, MessageVoteReply:
		r.stepVoteReply(message)
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.stepFromLeader(message)
	case MessageAppendReply:
		r.stepAppendReply(message)
	case MessageHeartbeatReply:
		r.stepHeartbeatReply(message)
	case MessageTimeoutNow:
		r.campaign(Candidate, true)
	}
}

// acceptHigherTerm moves to the message's term where that is called for, and
// tells whether the message is to be handled further.
func (r *Raft) acceptHigherTerm(message Message) bool {
	isRequest := message.Kind == MessagePreVote || message.Kind == MessageVote
	if isRequest && !message.Transfer && r.hearsLeader() {
		// A replica that hears its leader helps nobody to depose it.
		return false
	}
	switch {
	case message.Kind == MessagePreVote:
		return true
	case message.Kind == MessagePreVoteReply && !message.Reject:
		// A granted pre-vote carries the term of the election to come.
		return true
	case message.Kind == MessageAppend || message.Kind == MessageHeartbeat || message.Kind == MessageSnapshot:
		r.becomeFollower(message.Term, message.From)
	default:
		r.becomeFollower(message.Term, None)
	}
	return true
}

func (r *Raft) hearsLeader() bool {
	return r.leader != None && r.sinceHeard < r.config.ElectionTicks
}

// stepStale answers messages of an earlier term where silence would leave the
// sender stuck.
func (r *Raft) stepStale(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.send(Message{Kind: MessageAppendReply, To: message.From, Term: r.term, Reject: true})
	case MessagePreVote:
		r.send(Message{Kind: MessagePreVoteReply, To: message.From, Term: r.term, Reject: true})
	}
}

// stepPreVote grants a pre-vote, which binds nobody, if the candidate could
// win a real election of the message's term.
func (r *Raft) stepPreVote(message Message) {
	granted := message.Term > r.term && r.log.upToDate(message.Index, message.LogTerm)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term}
	if !granted {
		reply.Term, reply.Reject = r.term, true
	}
	if granted && r.awaitsFirstLeader() {
		r.yield(message.From)
	}
	r.send(reply)
}

// yield leaves the first election to a candidate that has asked for a pre-vote:
// of two that ask at the same moment, the one with the higher identity gives way.
func (r *Raft) yield(candidate ReplicaID) {
	if r.role == PreCandidate && candidate < r.config.ID {
		r.role = Follower
	}
	if r.role == Follower {
		r.sinceHeard = 0
	}
}

// stepVote grants at most one vote in a term; the vote is persisted with the
// hard state before the reply leaves.
func (r *Raft) stepVote(message Message) {
	free := r.vote == message.From || (r.vote == None && r.leader == None)
	granted := free && r.log.upToDate(message.Index, message.LogTerm)
	if granted {
		r.vote = message.From
		r.resetElectionTimeout()
	}
	r.send(Message{Kind: MessageVoteReply, To: message.From, Term: r.term, Reject: !granted})
}

func (r *Raft) stepVoteReply(message Message) {
	wanted := Candidate
	if message.Kind == MessagePreVoteReply {
		wanted = PreCandidate
	}
	if r.role != wanted {
		return
	}
	if wanted == PreCandidate && !message.Reject && message.Term != r.term+1 {
		return
	}
	r.votes[message.From] = !message.Reject
	r.countVotes()
}

func (r *Raft) stepFromLeader(message Message) {
	if r.role == Leader {
		panic("consensus: two leaders in one term")
	}
	r.role, r.leader = Follower, message.From
	r.sinceHeard, r.heardLeader = 0, true
	switch message.Kind {
	case MessageAppend:
		r.stepAppend(message)
	case MessageHeartbeat:
		r.commitTo(min(message.Commit, r.log.lastIndex()))
		r.send(Message{
			Kind: MessageHeartbeatReply, To: message.From, Term: r.term,
			Index: r.log.lastIndex(), Round: message.Round,
		})
	case MessageSnapshot:
		r.stepSnapshot(message)
	}
}

func (r *Raft) stepAppend(message Message) {
	reply := Message{Kind: MessageAppendReply, To: message.From, Term: r.term}
	switch {
	case message.Index < r.log.snapshotIndex:
		// What the snapshot covers is committed and so matches; the leader
		// may go on after the committed prefix.
		reply.Index = r.log.committed
	case !r.log.matches(message.Index, message.LogTerm):
		reply.Reject, reply.Index = true, message.Index
		reply.Hint = min(message.Index-1, r.log.lastIndex())
	default:
		r.log.append(message.Entries)
		if len(message.Entries) > 0 {
			r.noteMemberships(message.Entries[0].Index)
		}
		reply.Index = message.Index + uint64(len(message.Entries))
		r.commitTo(min(message.Commit, reply.Index))
	}
	r.send(reply)
}

func (r *Raft) commitTo(index uint64) {
	r.log.committed = max(r.log.committed, index)
}

// stepSnapshot installs a snapshot unless the log holds all that it covers. In
// that case the log is kept: entries after the snapshot may have been
// acknowledged and counted as durable.
func (r *Raft) stepSnapshot(message Message) {
	snapshot := message.Snapshot
	switch {
	case snapshot == nil || snapshot.Index <= r.log.committed:
	case r.log.matches(snapshot.Index, snapshot.Term):
		r.commitTo(snapshot.Index)
	default:
		r.installSnapshot(snapshot)
	}
	r.send(Message{Kind: MessageAppendReply, To: message.From, Term: r.term, Index: r.log.committed})
}

func (r *Raft) installSnapshot(snapshot *Snapshot) {
	r.snapshot = *snapshot
	r.memberships = []membershipRecord{{index: snapshot.Index, membership: snapshot.Membership}}
	r.log.restore(snapshot.Index, snapshot.Term)
	r.pendingSnapshot = snapshot
}

func (r *Raft) stepAppendReply(message Message) {
	follower, ok := r.followers[message.From]
	if r.role != Leader || !ok {
		return
	}
	follower.lastReplyTick = r.tick
	if message.Reject {
		// A reply to an append from before the known match is out of date.
		if message.Index > follower.match {
			follower.next = max(min(follower.next, message.Hint+1), follower.match+1)
			r.sendAppend(message.From, follower)
		}
		return
	}
	if message.Index > follower.match {
		follower.match = message.Index
		follower.next = max(follower.next, message.Index+1)
		r.advanceCommit()
		r.finishTransfer(message.From)
	}
	if follower.match >= r.log.snapshotIndex {
		follower.snapshotTick = 0
	}
	if follower.next <= r.log.lastIndex() {
		r.sendAppend(message.From, follower)
	}
}

func (r *Raft) stepHeartbeatReply(message Message) {
	follower, ok := r.followers[message.From]
	if r.role != Leader || !ok {
		return
	}
	follower.lastReplyTick = r.tick
	follower.round = max(follower.round, message.Round)
	stalled := follower.match == follower.matchAtHeartbeat && follower.match < r.log.lastIndex()
	follower.matchAtHeartbeat = follower.match
	if stalled && follower.snapshotTick == 0 {
		follower.next = follower.match + 1
		r.sendAppend(message.From, follower)
	}
	r.releaseReads()
}

// advanceCommit commits what a quorum holds durably. Only an entry of the
// leader's own term is counted; those before it are committed with it (Raft,
// section 5.4.2).
func (r *Raft) advanceCommit() {
	matches := make([]uint64, 0, len(r.Membership().Members))
	for _, member := range r.Membership().Members {
		if member.Voter {
			match, _ := r.Match(member.ID)
			matches = append(matches, match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.quorum()]
	if index > r.log.committed && r.log.matches(index, r.term) {
		r.commitTo(index)
		r.releaseReads()
	}
}

// releaseReads answers the reads whose round a quorum has acknowledged. A
// leader that has not committed in its term yet may not know the newest commit
// index, so reads wait for that.
func (r *Raft) releaseReads() {
	if len(r.reads) == 0 || !r.CommittedInTerm() {
		return
	}
	confirmed := r.confirmedRound()
	kept := r.reads[:0]
	for _, read := range r.reads {
		if read.round <= confirmed {
			r.readStates = append(r.readStates, ReadState{Context: read.context, Index: r.log.committed})
			continue
		}
		kept = append(kept, read)
	}
	r.reads = kept
	if len(r.reads) > 0 && confirmed == r.round {
		r.broadcastHeartbeat()
	}
}

func (r *Raft) confirmedRound() uint64 {
	rounds := make([]uint64, 0, len(r.Membership().Members))
	for _, member := range r.Membership().Members {
		switch {
		case !member.Voter:
		case member.ID == r.config.ID:
			rounds = append(rounds, r.round)
		default:
			rounds = append(rounds, r.followers[member.ID].round)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-r.quorum()]
}

func (r *Raft) broadcastHeartbeat() {
	r.sinceHeartbeat = 0
	r.round++
	for _, member := range r.Membership().Members {
		follower := r.followers[member.ID]
		if follower == nil {
			continue
		}
		r.send(Message{
			Kind: MessageHeartbeat, To: member.ID, Term: r.term,
			Commit: min(follower.match, r.log.committed), Round: r.round,
		})
	}
	r.releaseReads()
}

func (r *Raft) broadcastAppend() {
	for _, member := range r.Membership().Members {
		follower := r.followers[member.ID]
		if follower != nil && follower.next <= r.log.lastIndex() {
			r.sendAppend(member.ID, follower)
		}
	}
}

// sendAppend sends the entries from follower.next on and counts on their
// arrival; a refusal or a stalled heartbeat reply takes that back.
func (r *Raft) sendAppend(to ReplicaID, follower *progress) {
	if follower.next <= r.log.snapshotIndex {
		r.sendSnapshot(to, follower)
		return
	}
	previous := follower.next - 1
	term, _ := r.log.term(previous)
	entries := r.boundedEntries(previous)
	follower.next += uint64(len(entries))
	r.send(Message{
		Kind: MessageAppend, To: to, Term: r.term, Index: previous,
		LogTerm: term, Commit: r.log.committed, Entries: entries,
	})
}

func (r *Raft) boundedEntries(after uint64) []Entry {
	entries := r.log.slice(after, r.log.lastIndex())
	size := 0
	for position, entry := range entries {
		size += len(entry.Data)
		if size > r.config.MaxAppendBytes && position > 0 {
			return entries[:position]
		}
	}
	return entries
}

// sendSnapshot sends the newest snapshot, and not again before an election
// timeout has passed without an answer.
func (r *Raft) sendSnapshot(to ReplicaID, follower *progress) {
	if follower.snapshotTick > 0 && r.tick-follower.snapshotTick < r.config.ElectionTicks {
		return
	}
	follower.snapshotTick = max(r.tick, 1)
	snapshot := r.snapshot
	r.send(Message{Kind: MessageSnapshot, To: to, Term: r.term, Snapshot: &snapshot})
}
