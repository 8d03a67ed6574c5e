package consensus

import (
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Role is a replica's role in the current term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Config holds the parameters and the persisted state that a Raft starts with.
type Config struct {
	ID ReplicaID
	// ElectionTicks is the minimum election timeout; the actual timeout is drawn
	// from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// FirstElectionTicks, if not 0, is the shorter timeout after which a replica
	// that has heard no leader since its start sends pre-votes: the first voter
	// after this many ticks, each further voter one tick later. If the group has
	// a leader, its followers reject the pre-vote.
	FirstElectionTicks int
	// NonLeaderDelayTicks delays the first pre-vote of replicas that did not lead in
	// the newest term they know, so that the last leader is elected again if it
	// restarts with them.
	NonLeaderDelayTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes limits the entry data in one message; at least one entry
	// is always sent.
	MaxAppendBytes int
	// Seed seeds the randomized election timeouts.
	Seed uint64
	// HardState, Snapshot and Entries are the persisted state.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is a leader's view of one follower.
type progress struct {
	match uint64
	next  uint64
	// lastReplyTick is the leader's tick at the follower's last reply.
	lastReplyTick int
	// matchAtHeartbeat is match at the previous heartbeat reply. If match has not
	// grown since and the follower's log is behind, an append was lost.
	matchAtHeartbeat uint64
	// snapshotTick is the tick at which a snapshot was sent, or 0.
	snapshotTick int
	round        uint64
}

// membershipRecord is the membership in effect from the entry at index on.
type membershipRecord struct {
	index      uint64
	membership Membership
}

type pendingRead struct {
	context uint64
	round   uint64
}

// Raft is one replica's state. Its methods must not be called concurrently.
type Raft struct {
	config   Config
	random   *rand.Rand
	log      log
	snapshot Snapshot
	// memberships holds the snapshot's membership and one record for each
	// membership entry in the log, in order. The last one takes effect when it
	// is appended, not when it is committed: otherwise a quorum of replaced
	// replicas could be required to commit it.
	memberships []membershipRecord

	term              uint64
	vote              ReplicaID
	role              Role
	leader            ReplicaID
	previousHardState HardState

	tick             int
	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// heardLeader is true once a leader has been heard since the start.
	heardLeader bool

	votes     map[ReplicaID]bool
	followers map[ReplicaID]*progress
	// transferee is the target of a leadership transfer in progress.
	transferee   ReplicaID
	transferTick int
	round        uint64
	reads        []pendingRead

	messages        []Message
	readStates      []ReadState
	rejectedReads   []uint64
	pendingSnapshot *Snapshot
}

// New returns a replica that continues from the persisted state in the config.
func New(config Config) *Raft {
	r := &Raft{
		config:            config,
		random:            rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		snapshot:          config.Snapshot,
		memberships:       []membershipRecord{{index: config.Snapshot.Index, membership: config.Snapshot.Membership}},
		term:              config.HardState.Term,
		vote:              config.HardState.Vote,
		previousHardState: config.HardState,
		followers:         map[ReplicaID]*progress{},
	}
	r.log.restore(config.Snapshot.Index, config.Snapshot.Term)
	r.log.entries = append(r.log.entries, config.Entries...)
	r.log.stable = r.log.lastIndex()
	r.updateMemberships(config.Snapshot.Index + 1)
	r.log.committed = max(r.log.committed, min(config.HardState.Commit, r.log.lastIndex()))
	r.resetElectionTimeout()
	if r.awaitsFirstLeader() {
		r.electionTimeout = config.FirstElectionTicks + r.firstElectionDelay()
	}
	return r
}

// ID returns the replica's ID.
func (r *Raft) ID() ReplicaID { return r.config.ID }

// Role returns the replica's role in the current term.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// Leader returns the leader of the current term, or None if it is unknown.
func (r *Raft) Leader() ReplicaID { return r.leader }

// Commit returns the last committed index.
func (r *Raft) Commit() uint64 { return r.log.committed }

// CommittedInTerm reports whether the last committed entry is from the current term.
func (r *Raft) CommittedInTerm() bool { return r.log.matches(r.log.committed, r.term) }

// Membership returns the membership in effect, which is the newest in the log.
func (r *Raft) Membership() Membership {
	return r.memberships[len(r.memberships)-1].membership
}

// MembershipCommitted reports whether the membership in effect is committed, so
// that no later leader can revert it.
func (r *Raft) MembershipCommitted() bool {
	return r.memberships[len(r.memberships)-1].index <= r.log.committed
}

// updateMemberships rebuilds the membership records from the log entries at and
// after the index, which have been appended or replaced.
func (r *Raft) updateMemberships(from uint64) {
	for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index >= from {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
	for _, entry := range r.log.slice(max(from, r.log.snapshotIndex+1)-1, r.log.lastIndex()) {
		if entry.Kind != EntryMembership {
			continue
		}
		var change MembershipChange
		if err := cbor.Unmarshal(entry.Data, &change); err != nil {
			panic("consensus: decode membership change in the log: " + err.Error())
		}
		r.memberships = append(r.memberships, membershipRecord{
			index: entry.Index, membership: r.Membership().apply(change),
		})
	}
}

// DropSnapshotData releases the data of the newest snapshot, for callers that add
// it to messages from their storage.
func (r *Raft) DropSnapshotData() { r.snapshot.Data = nil }

// compactMemberships drops the records superseded at or before the index.
func (r *Raft) compactMemberships(index uint64) {
	for len(r.memberships) > 1 && r.memberships[1].index <= index {
		r.memberships = r.memberships[1:]
	}
}

// LogSize returns the number of entries after the newest snapshot.
func (r *Raft) LogSize() int { return len(r.log.entries) }

// Match returns the index of the last entry that the leader knows to be persisted
// at the replica, and the number of ticks since the replica's last reply.
func (r *Raft) Match(id ReplicaID) (index uint64, silentTicks int) {
	if id == r.config.ID {
		return r.log.stable, 0
	}
	follower, ok := r.followers[id]
	if !ok {
		return 0, r.tick
	}
	return follower.match, r.tick - follower.lastReplyTick
}

// Tick advances the replica's logical clock by one.
func (r *Raft) Tick() {
	r.tick++
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.electionElapsed >= r.electionTimeout {
		r.campaign(PreCandidate, false)
	}
}

func (r *Raft) tickLeader() {
	r.heartbeatElapsed++
	if r.transferee != None && r.tick-r.transferTick >= r.config.ElectionTicks {
		r.transferee = None
	}
	if r.electionElapsed >= r.config.ElectionTicks {
		r.electionElapsed = 0
		if !r.quorumActive() {
			r.becomeFollower(r.term, None)
			return
		}
	}
	if r.heartbeatElapsed >= r.config.HeartbeatTicks {
		r.broadcastHeartbeat()
	}
}

func (r *Raft) appendEntry(kind EntryKind, data []byte) uint64 {
	index := r.log.lastIndex() + 1
	r.log.entries = append(r.log.entries, Entry{Term: r.term, Index: index, Kind: kind, Data: data})
	return index
}

// Propose appends a command to the log and returns its index and term. It returns
// false if the replica is not the leader or is transferring leadership.
func (r *Raft) Propose(data []byte) (index, term uint64, ok bool) {
	if r.role != Leader || r.transferee != None {
		return 0, 0, false
	}
	return r.appendEntry(EntryNormal, data), r.term, true
}

// ProposeMembership appends a membership change, which takes effect immediately. It
// returns false if the replica is not the leader or is transferring leadership, if an
// earlier change or the leader's first entry of its term is not committed yet, or if
// the change would have no effect or remove the last voter. Allowing one uncommitted
// change at a time makes the quorums of successive memberships overlap.
func (r *Raft) ProposeMembership(change MembershipChange) bool {
	if r.role != Leader || r.transferee != None {
		return false
	}
	if !r.MembershipCommitted() || !r.CommittedInTerm() {
		return false
	}
	after := r.Membership().apply(change)
	if after.Voters() == 0 || slices.Equal(after.Members, r.Membership().Members) {
		return false
	}
	data, err := cbor.Marshal(change)
	if err != nil {
		panic("consensus: encode membership change: " + err.Error())
	}
	r.updateMemberships(r.appendEntry(EntryMembership, data))
	r.syncFollowers()
	return true
}

// ReadIndex asks a quorum to confirm that this replica is still the leader. Ready
// returns the outcome as a ReadState or a rejected read with the context. Pending
// reads share one round of heartbeats.
func (r *Raft) ReadIndex(context uint64) {
	if r.role != Leader {
		r.rejectedReads = append(r.rejectedReads, context)
		return
	}
	// The current round may have been sent before this call, so only the next
	// one can confirm the read.
	r.reads = append(r.reads, pendingRead{context: context, round: r.round + 1})
	if len(r.reads) == 1 {
		r.broadcastHeartbeat()
	}
}

// TransferLeadership transfers leadership to the replica once it holds the whole
// log. It returns false if this replica is not the leader or the target is not
// another voter.
func (r *Raft) TransferLeadership(to ReplicaID) bool {
	member, ok := r.Membership().Member(to)
	if r.role != Leader || !ok || !member.Voter || to == r.config.ID {
		return false
	}
	r.transferee, r.transferTick = to, r.tick
	r.finishTransfer(to)
	return true
}

func (r *Raft) finishTransfer(id ReplicaID) {
	if r.transferee == id && r.followers[id].match == r.log.lastIndex() {
		r.send(Message{Kind: MessageTimeoutNow, To: id, Term: r.term})
	}
}

// SnapshotMetadata returns a snapshot without data of the applied state at index.
// It returns false if the entry is not applied or no longer in the log.
func (r *Raft) SnapshotMetadata(index uint64) (Snapshot, bool) {
	term, ok := r.log.term(index)
	if !ok || index <= r.log.snapshotIndex || index > r.log.applied {
		return Snapshot{}, false
	}
	membership := r.memberships[0].membership
	for _, record := range r.memberships {
		if record.index <= index {
			membership = record.membership
		}
	}
	return Snapshot{Index: index, Term: term, Membership: membership}, true
}

// Compact drops the log up to index and returns the snapshot to be persisted. The
// data must be the applied state at index.
func (r *Raft) Compact(index uint64, data []byte) (Snapshot, bool) {
	snapshot, ok := r.SnapshotMetadata(index)
	if !ok {
		return Snapshot{}, false
	}
	snapshot.Data = data
	r.compactMemberships(index)
	r.snapshot = snapshot
	r.log.compact(index, snapshot.Term)
	return r.snapshot, true
}

func (r *Raft) send(message Message) {
	message.From = r.config.ID
	r.messages = append(r.messages, message)
}

// HasReady reports whether Ready would return any work.
func (r *Raft) HasReady() bool {
	return len(r.messages) > 0 || len(r.readStates) > 0 || len(r.rejectedReads) > 0 ||
		r.pendingSnapshot != nil || r.log.stable < r.log.lastIndex() ||
		r.log.applied < r.log.committed || r.hardState() != r.previousHardState
}

func (r *Raft) hardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
}

// Ready returns the pending work. Advance must be called afterwards, before any
// other method.
func (r *Raft) Ready() Ready {
	if r.role == Leader {
		r.broadcastAppend()
	}
	ready := Ready{
		Entries:       r.log.slice(r.log.stable, r.log.lastIndex()),
		Snapshot:      r.pendingSnapshot,
		Messages:      r.messages,
		ReadStates:    r.readStates,
		RejectedReads: r.rejectedReads,
	}
	// Committed may contain entries that are also in Entries; the caller persists
	// those before it applies them.
	ready.Committed = r.log.slice(r.log.applied, r.log.committed)
	if state := r.hardState(); state != r.previousHardState {
		ready.HardState = &state
	}
	return ready
}

// Advance confirms that the caller has processed the Ready.
func (r *Raft) Advance(ready Ready) {
	r.messages, r.readStates, r.rejectedReads, r.pendingSnapshot = nil, nil, nil, nil
	if ready.HardState != nil {
		r.previousHardState = *ready.HardState
	}
	if count := len(ready.Entries); count > 0 {
		r.log.stable = ready.Entries[count-1].Index
	}
	if count := len(ready.Committed); count > 0 {
		r.log.applied = ready.Committed[count-1].Index
	}
	if r.role != Leader {
		return
	}
	r.advanceCommit()
	if !r.isVoter() && r.MembershipCommitted() {
		// A removed leader steps down once its removal is committed.
		r.becomeFollower(r.term, None)
	}
}
