// Package consensus implements the Raft agreement protocol as a pure state
// machine: ticks, messages and proposals go in, and a Ready with entries and
// state to persist, messages to send and entries to apply comes out. The
// package holds no clock, disk, socket, goroutine or global random number, so
// that the same input always gives the same output.
//
// It follows Ongaro's dissertation, "Consensus: Bridging Theory and Practice":
// pre-vote (9.6), check-quorum (6.2), leadership transfer (3.10), membership
// changes of one replica at a time (4.1), learners (4.2.1) and reads confirmed
// by a round of heartbeats (6.4).
package consensus

// ReplicaID identifies one incarnation of a replica. A replica that lost its
// disk must come back under a new ID: a vote given under the old one may
// otherwise be given twice in a term.
type ReplicaID uint64

// None is the ReplicaID that names no replica.
const None ReplicaID = 0

// EntryKind tells how an entry is applied.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNormal carries a command of the replicated state machine. An empty
	// one is what a new leader appends to commit the entries before it.
	EntryNormal EntryKind = iota
	// EntryMembership carries an encoded MembershipChange.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Term  uint64
	Index uint64
	Kind  EntryKind
	Data  []byte
}

// Member is a replica that belongs to the group.
type Member struct {
	_       struct{} `cbor:",toarray"`
	ID      ReplicaID
	Address string
	// Voter is false for a learner, which receives the log and has no vote.
	Voter bool
}

// Membership is the group's set of members, ordered by ID.
type Membership struct {
	_       struct{} `cbor:",toarray"`
	Members []Member
}

// MembershipAction is what a MembershipChange does.
type MembershipAction uint8

// The membership actions.
const (
	// AddLearner adds a replica without a vote.
	AddLearner MembershipAction = iota + 1
	// PromoteLearner gives a learner its vote.
	PromoteLearner
	// RemoveReplica takes a replica out of the group.
	RemoveReplica
)

// MembershipChange changes the membership by one replica.
type MembershipChange struct {
	_       struct{} `cbor:",toarray"`
	Action  MembershipAction
	ID      ReplicaID
	Address string
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	_          struct{} `cbor:",toarray"`
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// HardState is what must be durable before any message that depends on it is sent.
type HardState struct {
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageHeartbeat
	MessageHeartbeatReply
	MessageSnapshot
	MessageTimeoutNow
)

// Message is what replicas send to each other. The network may lose, repeat,
// delay and reorder messages.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind MessageKind
	From ReplicaID
	To   ReplicaID
	Term uint64
	// Index is the entry before Entries, the last entry of a candidate, or the
	// last entry that a reply acknowledges.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	// Reject is set in replies that refuse.
	Reject bool
	// Hint is, in a refused append's reply, the highest index that may match.
	Hint uint64
	// Round counts the leader's heartbeats; a reply repeats it.
	Round uint64
	// Transfer marks a vote request that follows a leadership transfer and so
	// is not held back by a leader that is still heard.
	Transfer bool
	Snapshot *Snapshot
}

// ReadState says that a read which was asked for under Context may be served
// once the state machine has applied Index.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is what the caller has to do, in this order: persist Snapshot,
// HardState and Entries and sync them; send Messages; apply Snapshot and
// Committed; then call Advance.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	// Entries are appended to the stored log; stored entries from the first
	// one's index on are replaced.
	Entries []Entry
	// Snapshot, if not nil, replaces the stored log and the state machine.
	Snapshot   *Snapshot
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
	// RejectedReads are contexts of reads that this replica cannot confirm
	// because it is not the leader any more.
	RejectedReads []uint64
}

// find returns the position of the member in the list, or -1.
func (m Membership) find(id ReplicaID) int {
	for position := range m.Members {
		if m.Members[position].ID == id {
			return position
		}
	}
	return -1
}

// Member returns the member with the ID, and whether there is one.
func (m Membership) Member(id ReplicaID) (Member, bool) {
	position := m.find(id)
	if position < 0 {
		return Member{}, false
	}
	return m.Members[position], true
}

// Voters returns the number of members with a vote.
func (m Membership) Voters() int {
	count := 0
	for _, member := range m.Members {
		if member.Voter {
			count++
		}
	}
	return count
}

// apply returns the membership after the change. A change that does not fit
// (adding a present replica, promoting or removing an absent one) has no effect.
func (m Membership) apply(change MembershipChange) Membership {
	members := append([]Member(nil), m.Members...)
	position := m.find(change.ID)
	switch {
	case change.Action == AddLearner && position < 0:
		members = append(members, Member{ID: change.ID, Address: change.Address})
		for i := len(members) - 1; i > 0 && members[i].ID < members[i-1].ID; i-- {
			members[i], members[i-1] = members[i-1], members[i]
		}
	case change.Action == PromoteLearner && position >= 0:
		members[position].Voter = true
	case change.Action == RemoveReplica && position >= 0:
		members = append(members[:position], members[position+1:]...)
	}
	return Membership{Members: members}
}
