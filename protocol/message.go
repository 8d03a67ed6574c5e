// Package protocol defines the messages between dillchute's processes and between a node and the
// engines it owns. Messages may be lost, duplicated and reordered; receivers must tolerate this.
package protocol

import (
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/state"
)

// Message is the envelope of all messages between control replicas and nodes. Exactly one pointer is set.
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

// Notify tells a node that the catalog has changed or samples are waiting. The node responds with an
// immediate heartbeat, so that a lost Notify only delays it until the next regular heartbeat.
type Notify struct{}

// Join asks the leader to add a replica to the group as a learner.
type Join struct {
	ID      consensus.ReplicaID `cbor:"1,keyasint"`
	Address string              `cbor:"2,keyasint"`
	// PassedOn is set once a follower has forwarded the request to the leader.
	PassedOn bool `cbor:"3,keyasint,omitempty"`
	// Knows is the newest command version that the replica supports, 0 if its build does not report it.
	Knows uint64 `cbor:"4,keyasint,omitempty"`
}

// PoolSummary is a node's free capacity for one engine group.
type PoolSummary struct {
	_     struct{} `cbor:",toarray"`
	Group string
	Free  int
	// Queued is the number of waiting requests.
	Queued int
}

// Summary is the load of a node, which the leader distributes to the node's peers.
type Summary struct {
	Running int           `cbor:"1,keyasint"`
	Queued  int           `cbor:"2,keyasint"`
	Groups  []PoolSummary `cbor:"3,keyasint"`
}

// Heartbeat renews a node's lease and requests catalog changes.
type Heartbeat struct {
	Node        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Region      string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// Epoch is the epoch of the node's registration, 0 before the first one.
	Epoch uint64 `cbor:"5,keyasint"`
	// Sequence increases with each heartbeat and is returned in the reply.
	Sequence uint64 `cbor:"6,keyasint"`
	// Revision is the newest catalog revision that the node has applied.
	Revision uint64  `cbor:"7,keyasint"`
	Summary  Summary `cbor:"8,keyasint"`
	// Draining is set if the node accepts no new work.
	Draining bool `cbor:"9,keyasint"`
	// Leaving is set once the node has finished all work and is about to exit.
	Leaving bool `cbor:"10,keyasint"`
}

// HeartbeatReply answers a Heartbeat. If Leader is set and Epoch is 0, the sender is not the leader.
type HeartbeatReply struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Leader is the address of the leader that the replica knows of.
	Leader string `cbor:"2,keyasint"`
	// Epoch is the epoch of the node's registration.
	Epoch uint64 `cbor:"3,keyasint"`
	// LeaseMillis is the duration of the lease from the time at which the node sent the heartbeat.
	LeaseMillis int64       `cbor:"4,keyasint"`
	Delta       state.Delta `cbor:"5,keyasint"`
	// Peers holds the summaries of the nodes in the region.
	Peers map[string]Summary `cbor:"6,keyasint"`
	// Pending is the number of samples waiting for a node, by pool.
	Pending map[string]int `cbor:"7,keyasint"`
}

// Propose asks the leader to commit a command.
type Propose struct {
	ID      uint64        `cbor:"1,keyasint"`
	Command state.Command `cbor:"2,keyasint"`
}

// ProposeOutcome is the outcome of a Propose.
type ProposeOutcome uint8

// The outcomes of a Propose.
const (
	// ProposeDone means that the command was applied and Result is set.
	ProposeDone ProposeOutcome = iota + 1
	// ProposeNotLeader means that the command was not accepted and should be sent to Leader.
	ProposeNotLeader
	// ProposeUnknown means that leadership was lost and the command may still be applied.
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
	// OutcomeAnswered means that the complete response was delivered.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that the request was certainly not run.
	OutcomeNotRun
	// OutcomeUnknown means that the request may have been run, completely or partly.
	OutcomeUnknown
)

// String returns the name of the outcome used in responses and metrics.
func (o Outcome) String() string {
	return [...]string{"", "answered", "not_run", "unknown"}[o]
}

// Reason is the reason why a request was not answered.
type Reason string

// The reasons.
const (
	ReasonNone                  Reason = ""
	ReasonQueueFull             Reason = "queue_full"
	ReasonDeadline              Reason = "deadline_exceeded"
	ReasonDraining              Reason = "draining"
	ReasonNoLease               Reason = "no_lease"
	ReasonUnknownPool           Reason = "unknown_pool"
	ReasonNoEngine              Reason = "no_engine"
	ReasonEngineLost            Reason = "engine_lost"
	ReasonPeerLost              Reason = "peer_lost"
	ReasonRetryBudget           Reason = "retry_budget_exhausted"
	ReasonDuplicate             Reason = "duplicate_in_progress"
	ReasonEarlierOutcomeUnknown Reason = "earlier_outcome_unknown"
	ReasonWindowExpired         Reason = "window_expired"
	ReasonIdentityReused        Reason = "identity_reused"
	ReasonSuperseded            Reason = "superseded_by_refusal"
	ReasonCancelled             Reason = "cancelled"
	ReasonControlUnavailable    Reason = "control_unavailable"
	ReasonProtocolFailure       Reason = "protocol_failure"
)

// LiveRequest is a caller's request as received by a node.
type LiveRequest struct {
	// Key is the caller's idempotency key. It may be empty if the request may be repeated.
	Key           string `cbor:"1,keyasint"`
	Pool          string `cbor:"2,keyasint"`
	Prompt        string `cbor:"3,keyasint"`
	MaxTokens     uint32 `cbor:"4,keyasint"`
	NotRepeatable bool   `cbor:"5,keyasint"`
	// TimeoutMillis is the remaining time until the caller's deadline.
	TimeoutMillis int64 `cbor:"6,keyasint"`
	// IssuedAt (Unix milliseconds) and WindowMillis bound the time in which a request that must not be
	// repeated may be resent.
	IssuedAt     int64 `cbor:"7,keyasint"`
	WindowMillis int64 `cbor:"8,keyasint"`
	// Attempt is the number of times the caller has sent the request, from 1.
	Attempt uint32 `cbor:"9,keyasint"`
	// Unresolved is set if the caller does not know the outcome of an earlier attempt. A refusal of this
	// attempt then does not prove that the request was not run, unless the control replicas decided it.
	Unresolved bool `cbor:"11,keyasint"`
	// PriorityCap limits the pool's live priority for this request.
	PriorityCap uint8 `cbor:"10,keyasint"`
}

// Forward sends a request to a node that owns a free engine.
type Forward struct {
	// ID is assigned by the sender.
	ID uint64 `cbor:"1,keyasint"`
	// OwnerEpoch is the receiver's registration epoch that the sender knows. A receiver with a later epoch
	// must not run the request, since it may have run it in the earlier one.
	OwnerEpoch uint64      `cbor:"5,keyasint"`
	Request    LiveRequest `cbor:"2,keyasint"`
	// Resume holds the tokens that an earlier attempt delivered, Segments their versions.
	Resume   []uint32        `cbor:"3,keyasint"`
	Segments []state.Segment `cbor:"4,keyasint"`
}

// ForwardChunk returns a part of the response or its end.
type ForwardChunk struct {
	ID    uint64 `cbor:"1,keyasint"`
	Index uint32 `cbor:"2,keyasint"`
	// Tokens follow those of the previous chunk. Version is the version of the weights that generated them.
	Version uint64   `cbor:"3,keyasint"`
	Tokens  []uint32 `cbor:"4,keyasint"`
	// Outcome is set in the last chunk only.
	Outcome     Outcome `cbor:"5,keyasint"`
	Reason      Reason  `cbor:"6,keyasint"`
	RetryMillis int64   `cbor:"7,keyasint"`
}

// ForwardCancel cancels a forwarded request whose caller no longer waits.
type ForwardCancel struct {
	ID uint64 `cbor:"1,keyasint"`
}
