package consensus

import "slices"

// Step handles a message from another replica. Messages that do not apply in the
// current term or role are ignored.
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

// acceptHigherTerm handles a message from a higher term. It adopts that term unless
// the message is part of a pre-vote, and reports whether to process the message.
func (r *Raft) acceptHigherTerm(message Message) bool {
	isRequest := message.Kind == MessagePreVote || message.Kind == MessageVote
	if isRequest && !message.Transfer && r.hasActiveLeader() {
		// Ignore vote requests while a leader is active.
		return false
	}
	switch {
	case message.Kind == MessagePreVote:
		return true
	case message.Kind == MessagePreVoteReply && !message.Reject:
		// A granted pre-vote carries the term of the future election.
		return true
	case message.Kind == MessageAppend || message.Kind == MessageHeartbeat || message.Kind == MessageSnapshot:
		r.becomeFollower(message.Term, message.From)
	default:
		r.becomeFollower(message.Term, None)
	}
	return true
}

func (r *Raft) hasActiveLeader() bool {
	return r.leader != None && r.electionElapsed < r.config.ElectionTicks
}

// stepStale rejects those messages of an earlier term whose sender would otherwise
// never learn the current term.
func (r *Raft) stepStale(message Message) {
	switch message.Kind {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		r.send(Message{Kind: MessageAppendReply, To: message.From, Term: r.term, Reject: true})
	case MessagePreVote:
		r.send(Message{Kind: MessagePreVoteReply, To: message.From, Term: r.term, Reject: true})
	}
}

// stepPreVote grants a pre-vote, which is not binding, if this replica could vote
// for the candidate in the message's term.
func (r *Raft) stepPreVote(message Message) {
	granted := message.Term > r.term && r.log.isUpToDate(message.Index, message.LogTerm)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term}
	if !granted {
		reply.Term, reply.Reject = r.term, true
	}
	if granted && r.awaitsFirstLeader() {
		r.yieldFirstElection(message.From)
	}
	r.send(reply)
}

// yieldFirstElection delays this replica's own first campaign in favor of a candidate
// that has asked for a pre-vote. Of two concurrent pre-candidates, the one with the
// higher ID yields.
func (r *Raft) yieldFirstElection(candidate ReplicaID) {
	if r.role == PreCandidate && candidate < r.config.ID {
		r.role = Follower
	}
	if r.role == Follower {
		r.electionElapsed = 0
	}
}

// stepVote grants at most one vote per term. The vote is persisted with the hard
// state before the reply is sent.
func (r *Raft) stepVote(message Message) {
	canVote := r.vote == message.From || (r.vote == None && r.leader == None)
	granted := canVote && r.log.isUpToDate(message.Index, message.LogTerm)
	if granted {
		r.vote = message.From
		r.resetElectionTimeout()
	}
	r.send(Message{Kind: MessageVoteReply, To: message.From, Term: r.term, Reject: !granted})
}

func (r *Raft) stepVoteReply(message Message) {
	expectedRole := Candidate
	if message.Kind == MessagePreVoteReply {
		expectedRole = PreCandidate
	}
	if r.role != expectedRole {
		return
	}
	if expectedRole == PreCandidate && !message.Reject && message.Term != r.term+1 {
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
	r.electionElapsed, r.heardLeader = 0, true
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
		// Entries covered by the snapshot are committed and match; the leader
		// can continue after the committed prefix.
		reply.Index = r.log.committed
	case !r.log.matches(message.Index, message.LogTerm):
		reply.Reject, reply.Index = true, message.Index
		reply.Hint = min(message.Index-1, r.log.lastIndex())
	default:
		r.log.append(message.Entries)
		if len(message.Entries) > 0 {
			r.updateMemberships(message.Entries[0].Index)
		}
		reply.Index = message.Index + uint64(len(message.Entries))
		r.commitTo(min(message.Commit, reply.Index))
	}
	r.send(reply)
}

func (r *Raft) commitTo(index uint64) {
	r.log.committed = max(r.log.committed, index)
}

// stepSnapshot installs a snapshot unless the log already contains the entries that it
// covers. In that case the log is kept, because later entries may have been acknowledged.
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
		// A rejection at or below the known match index is stale.
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
	r.confirmReads()
}

// advanceCommit commits the entries that a quorum has persisted. Only entries of the
// leader's own term are counted; earlier ones are committed with them (Raft paper,
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
		r.confirmReads()
	}
}

// confirmReads confirms the reads whose heartbeat round a quorum has acknowledged.
// Reads wait until the leader has committed an entry in its term, because until then
// it may not know the latest commit index.
func (r *Raft) confirmReads() {
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
	r.heartbeatElapsed = 0
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
	r.confirmReads()
}

func (r *Raft) broadcastAppend() {
	for _, member := range r.Membership().Members {
		follower := r.followers[member.ID]
		if follower != nil && follower.next <= r.log.lastIndex() {
			r.sendAppend(member.ID, follower)
		}
	}
}

// sendAppend sends the entries from follower.next on and advances next optimistically;
// a rejection or a stalled heartbeat reply resets it.
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

// sendSnapshot sends the newest snapshot, at most once per election timeout while
// the follower has not acknowledged one.
func (r *Raft) sendSnapshot(to ReplicaID, follower *progress) {
	if follower.snapshotTick > 0 && r.tick-follower.snapshotTick < r.config.ElectionTicks {
		return
	}
	follower.snapshotTick = max(r.tick, 1)
	snapshot := r.snapshot
	r.send(Message{Kind: MessageSnapshot, To: to, Term: r.term, Snapshot: &snapshot})
}
