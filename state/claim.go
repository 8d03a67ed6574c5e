package state

import "sort"

// ClaimState is how far a claimed request has come.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimRunning: granted; the request may be running.
	ClaimRunning ClaimState = iota + 1
	// ClaimAnswered: the answer is recorded.
	ClaimAnswered
	// ClaimUnknown: the request may have run and its answer is lost.
	ClaimUnknown
	// ClaimNotRun: the arrival was refused before any engine was reached. Only
	// a later attempt of the caller may run.
	ClaimNotRun
)

// Claim asks for the right to run, once, a request that must not repeat.
type Claim struct {
	// Key is the caller's identity of the request.
	Key string `cbor:"1,keyasint"`
	// Digest is a hash of the request's content.
	Digest []byte `cbor:"2,keyasint"`
	// IssuedAt and Window are the caller's: after their sum, in milliseconds,
	// it resends no more, and the claim is forgotten.
	IssuedAt int64 `cbor:"3,keyasint"`
	Window   int64 `cbor:"4,keyasint"`
	// Attempt counts the caller's sends of the request from 1.
	Attempt uint32 `cbor:"8,keyasint"`
	// Node, Epoch and Nonce name the arrival that asks.
	Node  string `cbor:"5,keyasint"`
	Epoch uint64 `cbor:"6,keyasint"`
	Nonce uint64 `cbor:"7,keyasint"`
}

// ClaimOutcome is the answer to a Claim.
type ClaimOutcome uint8

// The outcomes of a Claim.
const (
	// ClaimGranted: this arrival, and no other, may run the request.
	ClaimGranted ClaimOutcome = iota + 1
	// ClaimDuplicate: another arrival holds the claim; State tells more.
	ClaimDuplicate
	// ClaimExpired: the caller's window has passed.
	ClaimExpired
	// ClaimMismatch: the identity was used with other content.
	ClaimMismatch
	// ClaimFenced: the node's registration has ended.
	ClaimFenced
)

// ClaimResult is the outcome with, for a duplicate, what is recorded.
type ClaimResult struct {
	Outcome ClaimOutcome `cbor:"1,keyasint"`
	State   ClaimState   `cbor:"2,keyasint,omitempty"`
	Answer  []byte       `cbor:"3,keyasint,omitempty"`
}

// ResolveClaim records how a claimed request ended.
type ResolveClaim struct {
	// Claim repeats what was asked for. It may not have been granted yet: the
	// network reorders.
	Claim Claim `cbor:"1,keyasint"`
	// NotRun is set if the request provably reached no engine: a later attempt
	// of the caller may run, this one and earlier ones never will.
	NotRun bool `cbor:"5,keyasint"`
	// Answer is nil if the outcome is unknown.
	Answer []byte `cbor:"6,keyasint"`
}

type claimRecord struct {
	Claim  Claim      `cbor:"1,keyasint"`
	State  ClaimState `cbor:"2,keyasint"`
	Answer []byte     `cbor:"3,keyasint"`
	// Refused is the highest attempt whose caller was told that it did not
	// run. It and lower ones never run, also if their Claim comes late.
	Refused uint32 `cbor:"4,keyasint,omitempty"`
}

// heldBy tells whether the same arrival made both claims.
func (r *claimRecord) heldBy(claim *Claim) bool {
	return r.Claim.Node == claim.Node && r.Claim.Epoch == claim.Epoch && r.Claim.Nonce == claim.Nonce
}

// claim grants the right to run to the first arrival. A claim is forgotten
// only after its window, and a request is refused after its window, so a
// resend never meets a forgotten claim.
func (m *Machine) claim(command *Claim) *ClaimResult {
	m.forgetClaims()
	if m.Now > command.IssuedAt+command.Window {
		return &ClaimResult{Outcome: ClaimExpired}
	}
	record := m.Claims[command.Key]
	if record != nil && string(record.Claim.Digest) != string(command.Digest) {
		return &ClaimResult{Outcome: ClaimMismatch}
	}
	free := record == nil || (record.State == ClaimNotRun && command.Attempt > record.Refused)
	if !free {
		return record.answer(command)
	}
	node := m.Catalog.Nodes[command.Node]
	if node == nil || node.Epoch != command.Epoch {
		return &ClaimResult{Outcome: ClaimFenced}
	}
	m.insertClaim(command, ClaimRunning)
	return &ClaimResult{Outcome: ClaimGranted}
}

// answer tells an arrival what is recorded; the holder itself, asking again
// after a lost answer, is granted again.
func (r *claimRecord) answer(command *Claim) *ClaimResult {
	if r.heldBy(command) && r.State == ClaimRunning {
		return &ClaimResult{Outcome: ClaimGranted}
	}
	return &ClaimResult{Outcome: ClaimDuplicate, State: r.State, Answer: r.Answer}
}

func (m *Machine) insertClaim(command *Claim, state ClaimState) {
	inserted := &claimRecord{Claim: *command, State: state}
	if earlier := m.Claims[command.Key]; earlier != nil {
		inserted.Refused = earlier.Refused
		m.dropClaim(command.Key)
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

// forgetClaims drops the claims whose window has passed; ClaimOrder is sorted
// by the window's end.
func (m *Machine) forgetClaims() {
	passed := 0
	for _, key := range m.ClaimOrder {
		claim := m.Claims[key].Claim
		if m.Now <= claim.IssuedAt+claim.Window {
			break
		}
		delete(m.Claims, key)
		passed++
	}
	m.ClaimOrder = m.ClaimOrder[passed:]
}

func (m *Machine) resolveClaim(command *ResolveClaim) {
	m.forgetClaims()
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

// refuseClaim records that the caller was told that the arrival did not run,
// whether or not the arrival's own Claim has come yet.
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

func (m *Machine) dropClaim(key string) {
	delete(m.Claims, key)
	for position, other := range m.ClaimOrder {
		if other == key {
			m.ClaimOrder = append(append([]string(nil), m.ClaimOrder[:position]...), m.ClaimOrder[position+1:]...)
			return
		}
	}
}
