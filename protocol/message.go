// Package protocol defines the messages between dillchute's own processes and
// between a node and the engines it owns. They are values: the cores that
// exchange them tolerate their loss, repetition and reordering.
package protocol

import (
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/state"
)

// Message is the one type that the transport carries between control replicas
// and nodes. Exactly one pointer is set.
type Message struct {
	// From is the address of the sending process.
	From           string             `cbor:"1,keyasint"`
	Consensus      *consensus.Message `cbor:"2,keyasint,omitempty"`
	Heartbeat      *Heartbeat         `cbor:"3,keyasint,omitempty"`
	HeartbeatReply *HeartbeatReply    `cbor:"4,keyasint,omitempty"`
	Propose        *Propose           `cbor:"5,keyasint,omitempty"`
	ProposeReply   *ProposeReply      `cbor:"6,keyasint,omitempty"`
	Forward        *Forward           `cbor:"7,keyasint,omitempty"`
	ForwardChunk   *ForwardChunk      `cbor:"8,keyasint,omitempty"`
	ForwardCancel  *ForwardCancel     `cbor:"9,keyasint,omitempty"`
	Join           *Join              `cbor:"10,keyasint,omitempty"`
	Notify         *Notify            `cbor:"11,keyasint,omitempty"`
}

// Notify tells a node that its leader has news for it: a change of the catalog
// or samples that wait. The node asks for them by a heartbeat at once, so that a
// lost Notify costs no more than the time to the next heartbeat.
type Notify struct{}

// Join asks the leader to take a replica into the group as a learner.
type Join struct {
	ID      consensus.ReplicaID `cbor:"1,keyasint"`
	Address string              `cbor:"2,keyasint"`
	// PassedOn is set once a replica that does not lead has passed the question to the leader.
	PassedOn bool `cbor:"3,keyasint,omitempty"`
	// Knows is the newest version of the group's commands that the replica knows, 0 for a build that
	// does not say it.
	Knows uint64 `cbor:"4,keyasint,omitempty"`
}

// PoolSummary is a node's free capacity for one engine group.
type PoolSummary struct {
	_     struct{} `cbor:",toarray"`
	Group string
	Free  int
	// Queued is the number of requests that wait.
	Queued int
}

// Summary is what a node tells its peers, through the leader, about itself.
type Summary struct {
	Running int           `cbor:"1,keyasint"`
	Queued  int           `cbor:"2,keyasint"`
	Groups  []PoolSummary `cbor:"3,keyasint"`
}

// Heartbeat renews a node's lease and asks for what changed.
type Heartbeat struct {
	Node        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Region      string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// Epoch is the registration's; 0 before the first.
	Epoch uint64 `cbor:"5,keyasint"`
	// Sequence grows with each heartbeat; the reply repeats it.
	Sequence uint64 `cbor:"6,keyasint"`
	// Revision is the newest catalog revision that the node acts on.
	Revision uint64  `cbor:"7,keyasint"`
	Summary  Summary `cbor:"8,keyasint"`
	// Draining tells that the node takes no new work.
	Draining bool `cbor:"9,keyasint"`
	// Leaving tells that the node has ended all its work and goes.
	Leaving bool `cbor:"10,keyasint"`
}

// HeartbeatReply answers a Heartbeat. A reply with Leader set and Epoch 0 comes
// from a replica that does not lead.
type HeartbeatReply struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Leader is the address of the leader, as far as the replica knows.
	Leader string `cbor:"2,keyasint"`
	// Epoch is that of the node's registration.
	Epoch uint64 `cbor:"3,keyasint"`
	// LeaseMillis is the lease's length, counted from when the node sent the heartbeat.
	LeaseMillis int64       `cbor:"4,keyasint"`
	Delta       state.Delta `cbor:"5,keyasint"`
	// Peers are the summaries of the region's nodes.
	Peers map[string]Summary `cbor:"6,keyasint"`
	// Pending is the number of samples that wait for a node, by pool.
	Pending map[string]int `cbor:"7,keyasint"`
}

// Propose asks the leader to commit a command.
type Propose struct {
	ID      uint64        `cbor:"1,keyasint"`
	Command state.Command `cbor:"2,keyasint"`
}

// ProposeOutcome is what became of a Propose.
type ProposeOutcome uint8

// The outcomes of a Propose.
const (
	// ProposeDone: the command is applied; Result holds what came of it.
	ProposeDone ProposeOutcome = iota + 1
	// ProposeNotLeader: the command was not taken in; Leader may know better.
	ProposeNotLeader
	// ProposeUnknown: leadership was lost; the command may yet be applied.
	ProposeUnknown
)

// ProposeReply answers a Propose.
type ProposeReply struct {
	ID      uint64         `cbor:"1,keyasint"`
	Outcome ProposeOutcome `cbor:"2,keyasint"`
	Leader  string         `cbor:"3,keyasint"`
	Result  state.Result   `cbor:"4,keyasint"`
}

// Outcome is how a live request ended.
type Outcome uint8

// The outcomes of a live request.
const (
	// OutcomeAnswered: the whole answer was delivered.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun: the request provably ran nowhere.
	OutcomeNotRun
	// OutcomeUnknown: the request may have run, wholly or in part.
	OutcomeUnknown
)

// String returns the outcome as it stands in answers and metrics.
func (o Outcome) String() string {
	return [...]string{"", "answered", "not_run", "unknown"}[o]
}

// Reason says why a request was not answered.
type Reason string

// The reasons.
const (
	ReasonNone            Reason = ""
	ReasonQueueFull       Reason = "queue_full"
	ReasonDeadline        Reason = "deadline_exceeded"
	ReasonDraining        Reason = "draining"
	ReasonNoLease         Reason = "no_lease"
	ReasonUnknownPool     Reason = "unknown_pool"
	ReasonNoEngine        Reason = "no_engine"
	ReasonEngineLost      Reason = "engine_lost"
	ReasonPeerLost        Reason = "peer_lost"
	ReasonRetryBudget     Reason = "retry_budget_exhausted"
	ReasonDuplicate       Reason = "duplicate_in_progress"
	ReasonOutcomeLost     Reason = "earlier_outcome_unknown"
	ReasonWindowExpired   Reason = "window_expired"
	ReasonIdentityReused  Reason = "identity_reused"
	ReasonSuperseded      Reason = "superseded_by_refusal"
	ReasonCancelled       Reason = "cancelled"
	ReasonControlUnknown  Reason = "control_unavailable"
	ReasonProtocolFailure Reason = "protocol_failure"
)

// LiveRequest is a caller's request as it arrives at a node.
type LiveRequest struct {
	// Key is the caller's identity of the request; it may be empty for one
	// that may repeat.
	Key           string `cbor:"1,keyasint"`
	Pool          string `cbor:"2,keyasint"`
	Prompt        string `cbor:"3,keyasint"`
	MaxTokens     uint32 `cbor:"4,keyasint"`
	NotRepeatable bool   `cbor:"5,keyasint"`
	// TimeoutMillis is what is left of the caller's patience.
	TimeoutMillis int64 `cbor:"6,keyasint"`
	// IssuedAt (milliseconds since 1970) and WindowMillis bound resends of a
	// request that must not repeat.
	IssuedAt     int64 `cbor:"7,keyasint"`
	WindowMillis int64 `cbor:"8,keyasint"`
	// Attempt counts the caller's sends of the request from 1.
	Attempt uint32 `cbor:"9,keyasint"`
	// Unresolved says that the caller does not know what became of an earlier
	// send, so that a refusal of this one proves nothing about the request
	// unless control has decided.
	Unresolved bool `cbor:"11,keyasint"`
	// PriorityCap lowers the pool's live priority for this request.
	PriorityCap uint8 `cbor:"10,keyasint"`
}

// Forward hands a request to the node that owns a free engine.
type Forward struct {
	// ID is the sender's own number of this forwarding.
	ID uint64 `cbor:"1,keyasint"`
	// OwnerEpoch is the registration of the receiver that the sender knows; a
	// later one must not run the request, since an earlier one may have.
	OwnerEpoch uint64      `cbor:"5,keyasint"`
	Request    LiveRequest `cbor:"2,keyasint"`
	// Resume are tokens that an earlier attempt delivered, with their segments.
	Resume   []uint32        `cbor:"3,keyasint"`
	Segments []state.Segment `cbor:"4,keyasint"`
}

// ForwardChunk carries a part of the answer, or its end, back.
type ForwardChunk struct {
	ID    uint64 `cbor:"1,keyasint"`
	Index uint32 `cbor:"2,keyasint"`
	// Tokens follow those of the previous index, under Version.
	Version uint64   `cbor:"3,keyasint"`
	Tokens  []uint32 `cbor:"4,keyasint"`
	// Outcome is not 0 in the last chunk.
	Outcome     Outcome `cbor:"5,keyasint"`
	Reason      Reason  `cbor:"6,keyasint"`
	RetryMillis int64   `cbor:"7,keyasint"`
}

// ForwardCancel tells the owner that nobody waits for the answer any more.
type ForwardCancel struct {
	ID uint64 `cbor:"1,keyasint"`
}
