package state

import "sort"

// ClaimState is the state of a claimed request.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimRunning: granted; the request may be running.
	ClaimRunning ClaimState = iota + 1
	// ClaimAnswered: the request finished and its answer is recorded.
	ClaimAnswered
	// ClaimUnknown: the request may have run, but its answer is lost.
	ClaimUnknown
	// ClaimNotRun: the request was refused before it reached an engine. Only a
	// later attempt of the caller may run.
	ClaimNotRun
)

// Claim asks for the exclusive right to run a non-repeatable request.
type Claim struct {
	// Key is the caller's idempotency key.
	Key string `cbor:"1,keyasint"`
	// Digest is a hash of the request's content.
	Digest []byte `cbor:"2,keyasint"`
	// IssuedAt and Window, in milliseconds, are set by the caller. After their sum
	// the caller no longer resends the request, and the claim is deleted.
	IssuedAt int64 `cbor:"3,keyasint"`
	Window   int64 `cbor:"4,keyasint"`
	// Attempt numbers the caller's sends of the request, starting at 1.
	Attempt uint32 `cbor:"8,keyasint"`
	// Node, Epoch and Nonce identify the arrival: one receipt of the request by a node.
	Node  string `cbor:"5,keyasint"`
	Epoch uint64 `cbor:"6,keyasint"`
	Nonce uint64 `cbor:"7,keyasint"`
}

// ClaimOutcome is the outcome of a Claim.
type ClaimOutcome uint8

// The outcomes of a Claim.
const (
	// ClaimGranted: this arrival, and no other, may run the request.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimDuplicate: another arrival holds the claim; see ClaimResult.State.
	ClaimDuplicate
	// ClaimExpired: the caller's window has passed.
	ClaimExpired
	// ClaimMismatch: the key was used for a request with different content.
	ClaimMismatch
	// ClaimFenced: the node's registration is no longer current.
	ClaimFenced
)

// ClaimResult holds the outcome and, for a duplicate, the recorded state and answer.
type ClaimResult struct {
	Outcome ClaimOutcome `cbor:"1,keyasint"`
	State   ClaimState   `cbor:"2,keyasint,omitempty"`
	Answer  []byte       `cbor:"3,keyasint,omitempty"`
}

// ResolveClaim records the outcome of a claimed request.
type ResolveClaim struct {
	// Claim is a copy of the claim. It may not have been granted yet, because
	// messages can be reordered.
	Claim Claim `cbor:"1,keyasint"`
	// NotRun is set if the request did not reach an engine: a later attempt of
	// the caller may run, this and earlier attempts must not.
	NotRun bool `cbor:"5,keyasint"`
	// Answer is nil if the outcome is unknown.
	Answer []byte `cbor:"6,keyasint"`
}

type claimRecord struct {
	Claim  Claim      `cbor:"1,keyasint"`
	State  ClaimState `cbor:"2,keyasint"`
	Answer []byte     `cbor:"3,keyasint"`
	// Refused is the highest attempt that was reported as not run. It and earlier
	// attempts are never granted, even if their Claim arrives later.
	Refused uint32 `cbor:"4,keyasint,omitempty"`
}

// heldBy reports whether both claims were made by the same arrival.
func (r *claimRecord) heldBy(claim *Claim) bool {
	return r.Claim.Node == claim.Node && r.Claim.Epoch == claim.Epoch && r.Claim.Nonce == claim.Nonce
}

// claim grants the request to the first arrival. Claims are kept until their
// window ends and later requests are refused, so a resend is always detected.
func (m *Machine) claim(command *Claim) *ClaimResult {
	m.expireClaims()
	if m.Now > command.IssuedAt+command.Window {
		return &ClaimResult{Outcome: ClaimExpired}
	}
	record := m.Claims[command.Key]
	if record != nil && string(record.Claim.Digest) != string(command.Digest) {
		return &ClaimResult{Outcome: ClaimMismatch}
	}
	available := record == nil || (record.State == ClaimNotRun && command.Attempt > record.Refused)
	if !available {
		return record.resultFor(command)
	}
	node := m.Catalog.Nodes[command.Node]
	if node == nil || node.Epoch != command.Epoch {
		return &ClaimResult{Outcome: ClaimFenced}
	}
	m.insertClaim(command, ClaimRunning)
	return &ClaimResult{Outcome: ClaimGranted}
}

// resultFor returns the result for a claim that is already recorded. The holder
// is granted it again, because it may have lost the first reply.
func (r *claimRecord) resultFor(command *Claim) *ClaimResult {
	if r.heldBy(command) && r.State == ClaimRunning {
		return &ClaimResult{Outcome: ClaimGranted}
	}
	return &ClaimResult{Outcome: ClaimDuplicate, State: r.State, Answer: r.Answer}
}

func (m *Machine) insertClaim(command *Claim, state ClaimState) {
	inserted := &claimRecord{Claim: *command, State: state}
	if earlier := m.Claims[command.Key]; earlier != nil {
		inserted.Refused = earlier.Refused
		m.deleteClaim(command.Key)
	}
	m.Claims[command.Key] = inserted
	end := command.IssuedAt + command.Window
	position := sort.Search(len(m.ClaimOrder), func(i int) bool {
		other := m.Claims[m.ClaimOrder[i]].Claim
		return other.IssuedAt+other.Window > end
	})
	m.ClaimOrder = append(m.ClaimOrder, "")
	copy(m.ClaimOrder[position+1:], m.ClaimOrder[position:])
	m.ClaimOrder[position] = command.Key
}

// expireClaims deletes the claims whose window has ended. ClaimOrder is sorted
// by the end of the window.
func (m *Machine) expireClaims() {
	expired := 0
	for _, key := range m.ClaimOrder {
		claim := m.Claims[key].Claim
		if m.Now <= claim.IssuedAt+claim.Window {
			break
		}
		delete(m.Claims, key)
		expired++
	}
	m.ClaimOrder = m.ClaimOrder[expired:]
}

func (m *Machine) resolveClaim(command *ResolveClaim) {
	m.expireClaims()
	if command.NotRun {
		m.refuseClaim(&command.Claim)
		return
	}
	record := m.Claims[command.Claim.Key]
	if record == nil || !record.heldBy(&command.Claim) {
		return
	}
	switch {
	case command.Answer != nil:
		record.State, record.Answer = ClaimAnswered, command.Answer
	case record.State == ClaimRunning:
		record.State = ClaimUnknown
	}
}

// refuseClaim records that the attempt was reported to the caller as not run. The
// attempt's own Claim may arrive later.
func (m *Machine) refuseClaim(claim *Claim) {
	if m.Now > claim.IssuedAt+claim.Window {
		return
	}
	if m.Claims[claim.Key] == nil {
		m.insertClaim(claim, ClaimNotRun)
	}
	record := m.Claims[claim.Key]
	record.Refused = max(record.Refused, claim.Attempt)
	if record.State == ClaimRunning && record.heldBy(claim) {
		record.State = ClaimNotRun
	}
}

func (m *Machine) deleteClaim(key string) {
	delete(m.Claims, key)
	for position, other := range m.ClaimOrder {
		if other == key {
			m.ClaimOrder = append(append([]string(nil), m.ClaimOrder[:position]...), m.ClaimOrder[position+1:]...)
			return
		}
	}
}
