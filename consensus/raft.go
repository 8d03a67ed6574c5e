package consensus

import (
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Role is a replica's part in the current term.
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

// Config holds what a Raft needs to start.
type Config struct {
	ID ReplicaID
	// ElectionTicks is the least number of ticks without a leader after which
	// a replica campaigns; the actual number is drawn from [n, 2n).
	ElectionTicks int
	// FirstElectionTicks, if not 0, has a replica that has just started ask for
	// pre-votes before an election timeout: the first voter after that many
	// ticks, each further one a tick later, and again until a leader is heard.
	// Where there is a leader, its followers refuse the pre-vote.
	FirstElectionTicks int
	// LastLeaderTicks is how much longer replicas that have just started wait with
	// their first pre-vote if they have not led in the newest term they know: where
	// the one that has comes back with them, it leads again.
	LastLeaderTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats.
	HeartbeatTicks int
	// MaxAppendBytes bounds the entries' data in one message, though one
	// entry is always sent.
	MaxAppendBytes int
	// Seed determines the replica's election timeouts.
	Seed uint64
	// HardState, Snapshot and Entries are what storage held at the start.
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// progress is what a leader knows about one follower.
type progress struct {
	match uint64
	next  uint64
	// lastReplyTick is the leader's tick at the follower's last reply.
	lastReplyTick int
	// matchAtHeartbeat is match at the previous heartbeat's reply: no growth
	// since then and a short log mean that an append was lost.
	matchAtHeartbeat uint64
	// snapshotTick is the tick at which a snapshot was sent, 0 for none.
	snapshotTick int
	round        uint64
}

// membershipRecord is the membership from the entry at the index on.
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
	// memberships are the snapshot's and those of the log's membership
	// entries, in order. The last one is in use from the moment it is in the
	// log: a replica that waited for its commit could be left with a quorum of
	// replicas that are gone.
	memberships []membershipRecord

	term     uint64
	vote     ReplicaID
	role     Role
	leader   ReplicaID
	reported HardState

	tick            int
	sinceHeard      int
	sinceHeartbeat  int
	electionTimeout int
	// heardLeader is set once a leader has been heard since the start.
	heardLeader bool

	votes     map[ReplicaID]bool
	followers map[ReplicaID]*progress
	// transferee is the replica that leadership is being handed to.
	transferee   ReplicaID
	transferTick int
	round        uint64
	reads        []pendingRead

	messages        []Message
	readStates      []ReadState
	rejectedReads   []uint64
	pendingSnapshot *Snapshot
}

// New returns a replica that continues from what storage held.
func New(config Config) *Raft {
	r := &Raft{
		config:      config,
		random:      rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		snapshot:    config.Snapshot,
		memberships: []membershipRecord{{index: config.Snapshot.Index, membership: config.Snapshot.Membership}},
		term:        config.HardState.Term,
		vote:        config.HardState.Vote,
		reported:    config.HardState,
		followers:   map[ReplicaID]*progress{},
	}
	r.log.restore(config.Snapshot.Index, config.Snapshot.Term)
	r.log.entries = append(r.log.entries, config.Entries...)
	r.log.stable = r.log.lastIndex()
	r.noteMemberships(config.Snapshot.Index + 1)
	r.log.committed = max(r.log.committed, min(config.HardState.Commit, r.log.lastIndex()))
	r.resetElectionTimeout()
	if r.awaitsFirstLeader() {
		r.electionTimeout = config.FirstElectionTicks + r.firstElectionDelay()
	}
	return r
}

// ID returns the replica's identity.
func (r *Raft) ID() ReplicaID { return r.config.ID }

// Role returns the replica's part in the current term.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// Leader returns the leader of the current term, or None if it is not known.
func (r *Raft) Leader() ReplicaID { return r.leader }

// Commit returns the last committed index.
func (r *Raft) Commit() uint64 { return r.log.committed }

// CommittedInTerm tells whether the last committed entry is of the current term.
func (r *Raft) CommittedInTerm() bool { return r.log.matches(r.log.committed, r.term) }

// Membership returns the membership in use: the newest in the log.
func (r *Raft) Membership() Membership {
	return r.memberships[len(r.memberships)-1].membership
}

// MembershipCommitted tells whether the membership in use is committed, so
// that no later leader can go back to an earlier one.
func (r *Raft) MembershipCommitted() bool {
	return r.memberships[len(r.memberships)-1].index <= r.log.committed
}

// noteMemberships takes in the log's membership entries from the index on,
// after entries from there on have been appended or replaced.
func (r *Raft) noteMemberships(from uint64) {
	for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index >= from {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
	for _, entry := range r.log.slice(max(from, r.log.snapshotIndex+1)-1, r.log.lastIndex()) {
		if entry.Kind != EntryMembership {
			continue
		}
		var change MembershipChange
		if err := cbor.Unmarshal(entry.Data, &change); err != nil {
			panic("consensus: a membership change in the log must decode: " + err.Error())
		}
		r.memberships = append(r.memberships, membershipRecord{
			index: entry.Index, membership: r.Membership().apply(change),
		})
	}
}

// ForgetSnapshotData drops the data of the newest snapshot, for a caller that
// adds it to messages from its storage.
func (r *Raft) ForgetSnapshotData() { r.snapshot.Data = nil }

// compactMemberships drops the records that a snapshot at the index covers.
func (r *Raft) compactMemberships(index uint64) {
	for len(r.memberships) > 1 && r.memberships[1].index <= index {
		r.memberships = r.memberships[1:]
	}
}

// LogSize returns the number of entries kept since the newest snapshot.
func (r *Raft) LogSize() int { return len(r.log.entries) }

// Match returns the last entry that a leader knows to be durable at the
// replica, and the number of ticks since the replica's last reply.
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
	r.sinceHeard++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.sinceHeard >= r.electionTimeout {
		r.campaign(PreCandidate, false)
	}
}

func (r *Raft) tickLeader() {
	r.sinceHeartbeat++
	if r.transferee != None && r.tick-r.transferTick >= r.config.ElectionTicks {
		r.transferee = None
	}
	if r.sinceHeard >= r.config.ElectionTicks {
		r.sinceHeard = 0
		if !r.quorumActive() {
			r.becomeFollower(r.term, None)
			return
		}
	}
	if r.sinceHeartbeat >= r.config.HeartbeatTicks {
		r.broadcastHeartbeat()
	}
}

func (r *Raft) appendOwn(kind EntryKind, data []byte) uint64 {
	index := r.log.lastIndex() + 1
	r.log.entries = append(r.log.entries, Entry{Term: r.term, Index: index, Kind: kind, Data: data})
	return index
}

// Propose appends a command to the log and returns the index and term under
// which it will be committed, if ever. It returns false if the replica is not
// the leader or is handing its leadership over.
func (r *Raft) Propose(data []byte) (index, term uint64, ok bool) {
	if r.role != Leader || r.transferee != None {
		return 0, 0, false
	}
	return r.appendOwn(EntryNormal, data), r.term, true
}

// ProposeMembership appends a membership change, which is in use at once. It
// returns false if the replica is not the leader, another change is not
// committed yet, nothing of the leader's own term is, or the change would have
// no effect or remove the last voter. The first two conditions make any two
// quorums in use overlap.
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
		panic("consensus: a membership change must encode: " + err.Error())
	}
	r.noteMemberships(r.appendOwn(EntryMembership, data))
	r.syncFollowers()
	return true
}

// ReadIndex asks for a confirmation, by a quorum, that this replica is the
// leader now. The answer comes as a ReadState or a rejected read with the
// context. Reads that wait together share one round of heartbeats.
func (r *Raft) ReadIndex(context uint64) {
	if r.role != Leader {
		r.rejectedReads = append(r.rejectedReads, context)
		return
	}
	// The round after the one under way is the first that is sent wholly
	// after this call.
	r.reads = append(r.reads, pendingRead{context: context, round: r.round + 1})
	if len(r.reads) == 1 {
		r.broadcastHeartbeat()
	}
}

// TransferLeadership hands leadership to the replica as soon as it holds the
// whole log. It returns false if that replica cannot take it.
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

// Describe returns the snapshot, without data, of the applied state at index.
// It returns false if the log does not hold the entry any more.
func (r *Raft) Describe(index uint64) (Snapshot, bool) {
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

// Compact drops the log up to the snapshot, which the caller has made of the
// applied state at index, and returns the snapshot to be persisted.
func (r *Raft) Compact(index uint64, data []byte) (Snapshot, bool) {
	snapshot, ok := r.Describe(index)
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

// HasReady tells whether Ready would return anything to do.
func (r *Raft) HasReady() bool {
	return len(r.messages) > 0 || len(r.readStates) > 0 || len(r.rejectedReads) > 0 ||
		r.pendingSnapshot != nil || r.log.stable < r.log.lastIndex() ||
		r.log.applied < r.log.committed || r.hardState() != r.reported
}

func (r *Raft) hardState() HardState {
	return HardState{Term: r.term, Vote: r.vote, Commit: r.log.committed}
}

// Ready returns what is to be done. Advance must be called afterwards, before
// any other method.
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
	// Only entries that are durable here are applied: an entry handed out
	// below in this Ready is persisted by the caller first.
	ready.Committed = r.log.slice(r.log.applied, r.log.committed)
	if state := r.hardState(); state != r.reported {
		ready.HardState = &state
	}
	return ready
}

// Advance tells the replica that the Ready has been carried out.
func (r *Raft) Advance(ready Ready) {
	r.messages, r.readStates, r.rejectedReads, r.pendingSnapshot = nil, nil, nil, nil
	if ready.HardState != nil {
		r.reported = *ready.HardState
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
		// A leader that is removed leads until the others have committed that.
		r.becomeFollower(r.term, None)
	}
}
