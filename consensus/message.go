// Package consensus implements the Raft consensus algorithm as a deterministic
// state machine: its inputs are ticks, messages and proposals, its output is a
// Ready with entries and state to persist, messages to send and entries to apply.
// The package uses no clock, disk, network, goroutines or global randomness, so
// that the same input always gives the same output.
//
// It follows Ongaro's dissertation, "Consensus: Bridging Theory and Practice":
// pre-vote (9.6), check-quorum (6.2), leadership transfer (3.10), membership
// changes of one replica at a time (4.1), learners (4.2.1) and reads confirmed
// by a round of heartbeats (6.4).
package consensus

// ReplicaID identifies one incarnation of a replica. A replica that lost its
// disk must rejoin under a new ID; otherwise it could vote twice in a term.
type ReplicaID uint64

// None is the zero ReplicaID; no replica has it.
const None ReplicaID = 0

// EntryKind determines how an entry is applied.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNormal carries a command for the replicated state machine. A new leader
	// appends an empty one to commit the entries before it.
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

// Member is a replica in the group.
type Member struct {
	_       struct{} `cbor:",toarray"`
	ID      ReplicaID
	Address string
	// Voter is false for a learner, which receives the log but does not vote.
	Voter bool
}

// Membership is the group's set of members, ordered by ID.
type Membership struct {
	_       struct{} `cbor:",toarray"`
	Members []Member
}

// MembershipAction is the kind of a MembershipChange.
type MembershipAction uint8

// The membership actions.
const (
	// AddLearner adds a replica without a vote.
	AddLearner MembershipAction = iota + 1
	// PromoteLearner makes a learner a voter.
	PromoteLearner
	// RemoveReplica removes a replica from the group.
	RemoveReplica
)

// MembershipChange adds, promotes or removes one replica.
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

// HardState must be persisted before any message that depends on it is sent.
type HardState struct {
	_      struct{} `cbor:",toarray"`
	Term   uint64
	Vote   ReplicaID
	Commit uint64
}

// MessageKind identifies the type of a Message.
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

// Message is a message between replicas. The network may lose, duplicate, delay
// and reorder messages.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind MessageKind
	From ReplicaID
	To   ReplicaID
	Term uint64
	// Index is the index of the entry before Entries, of the candidate's last
	// entry, or of the last entry that a reply acknowledges.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	// Reject is set in replies that reject the request.
	Reject bool
	// Hint, in the reply to a rejected append, is the highest index that may match.
	Hint uint64
	// Round numbers the leader's heartbeats; a reply echoes it.
	Round uint64
	// Transfer marks a vote request from a leadership transfer, which replicas
	// accept although they still hear the leader.
	Transfer bool
	Snapshot *Snapshot
}

// ReadState confirms the read with the given Context: it may be served once the
// state machine has applied Index.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready holds pending work, which the caller must do in this order: persist and
// sync Snapshot, HardState and Entries; send Messages; apply Snapshot and
// Committed; call Advance.
type Ready struct {
	// HardState is nil if it is unchanged.
	HardState *HardState
	// Entries are appended to the stored log and replace stored entries from the
	// index of the first one on.
	Entries []Entry
	// Snapshot, if not nil, replaces the stored log and the state machine's state.
	Snapshot   *Snapshot
	Messages   []Message
	Committed  []Entry
	ReadStates []ReadState
	// RejectedReads are the contexts of reads that this replica cannot confirm
	// because it is not the leader.
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

// Member returns the member with the ID, and whether it exists.
func (m Membership) Member(id ReplicaID) (Member, bool) {
	position := m.find(id)
	if position < 0 {
		return Member{}, false
	}
	return m.Members[position], true
}

// Voters returns the number of voting members.
func (m Membership) Voters() int {
	count := 0
	for _, member := range m.Members {
		if member.Voter {
			count++
		}
	}
	return count
}

// apply returns the membership after the change. Adding a present replica, or
// promoting or removing an absent one, has no effect.
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
