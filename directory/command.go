// Package directory is the replicated state machine that tells which backends
// exist and how requests reach them: the routing configuration, registered
// backends, the newest versions of models' weights, and the members of the
// ledger's groups. Apply is a pure function of state and command.
package directory

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/dillchute/dillchute/capacity"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/usage"
)

// Command is one entry of the replicated log. Exactly one field is set.
type Command struct {
	PutConfiguration *PutConfiguration `cbor:"1,keyasint,omitempty"`
	PutBackend       *Backend          `cbor:"2,keyasint,omitempty"`
	RemoveBackend    *RemoveBackend    `cbor:"3,keyasint,omitempty"`
	NameVersion      *ModelVersion     `cbor:"4,keyasint,omitempty"`
	PutStore         *Store            `cbor:"5,keyasint,omitempty"`
	FormGroup        *Group            `cbor:"6,keyasint,omitempty"`
	ReportGroup      *Group            `cbor:"7,keyasint,omitempty"`
	Retire           *Retire           `cbor:"8,keyasint,omitempty"`
	// CountUsage holds totals of gateways, FixUsage a window that is closed, and ToldUsage
	// one that was reported.
	CountUsage []usage.Totals `cbor:"9,keyasint,omitempty"`
	FixUsage   int64          `cbor:"10,keyasint,omitempty"`
	ToldUsage  int64          `cbor:"11,keyasint,omitempty"`
	// Act says that its holder is about to carry out a duty.
	Act *duty.Action `cbor:"12,keyasint,omitempty"`
	// Crashes and Answered are what processes tell of requests that may crash backends.
	Crashes  []quarantine.Crash       `cbor:"13,keyasint,omitempty"`
	Answered []quarantine.Fingerprint `cbor:"14,keyasint,omitempty"`
	// OfferTrial and TakeTrial let a request that is held back be sent once, and ForgetSuspect
	// drops one that is not.
	OfferTrial    *SuspectRevision       `cbor:"15,keyasint,omitempty"`
	TakeTrial     quarantine.Fingerprint `cbor:"16,keyasint,omitempty"`
	ForgetSuspect *SuspectRevision       `cbor:"17,keyasint,omitempty"`
	// Batch are changes of backends, carried out in their order.
	Batch []Command `cbor:"18,keyasint,omitempty"`
	// PutZone tells where a replica of the directory is.
	PutZone *ReplicaZone `cbor:"19,keyasint,omitempty"`
	// Order is an order of backends that is about to be sent, or has been answered.
	Order *capacity.Order `cbor:"20,keyasint,omitempty"`
	// RaiseVersion has later meanings of commands used.
	RaiseVersion *RaiseVersion `cbor:"21,keyasint,omitempty"`
	// ReturnBackend registers a backend again that was taken out only because nobody heard it. It
	// is written from ReturnVersion on.
	ReturnBackend *Backend `cbor:"22,keyasint,omitempty"`
}

// ReplicaZone tells in which zone the replica of the directory at an address is.
type ReplicaZone struct {
	_       struct{} `cbor:",toarray"`
	Address string
	Zone    string
}

// SuspectRevision names a suspect as of a revision: a command about it has no effect once it has
// changed.
type SuspectRevision struct {
	Fingerprint quarantine.Fingerprint `cbor:"1,keyasint"`
	Revision    uint64                 `cbor:"2,keyasint"`
}

// PutConfiguration puts a configuration into force if its version is higher
// than the one held.
type PutConfiguration struct {
	Configuration routing.Configuration `cbor:"1,keyasint"`
	// Source is the document as it was received, which reads return unchanged.
	Source []byte `cbor:"2,keyasint"`
}

// RemoveBackend takes out a backend. Either the ID of one incarnation is set or a name.
type RemoveBackend struct {
	// ID takes out an incarnation that nobody hears. From ReturnVersion on it may return; before
	// it does not come back, as one that is named never does.
	ID string `cbor:"1,keyasint"`
	// Name takes out whichever incarnation is registered under it.
	Name string `cbor:"2,keyasint,omitempty"`
	// Born is when the incarnation of that name started, in milliseconds since 1970, or 0 if it
	// does not say.
	Born int64 `cbor:"3,keyasint,omitempty"`
	// LatestBirth is the latest birth under that name that stays out if none is registered and
	// Born is not known.
	LatestBirth int64 `cbor:"4,keyasint,omitempty"`
}

// Backend is one incarnation of a process that serves requests.
type Backend struct {
	// ID names the incarnation, see Incarnation.ID.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	Slots   int    `cbor:"5,keyasint"`
	// Draining backends get no new requests; the mark is never taken back.
	Draining bool `cbor:"6,keyasint"`
	// Silent backends have sent no heartbeat for some time.
	Silent bool           `cbor:"7,keyasint"`
	Models []ModelVersion `cbor:"8,keyasint"`
	// Name is what the backend calls itself, empty where that is its ID, and Born when it
	// started, in milliseconds since 1970, or 0 if it does not say.
	Name string `cbor:"9,keyasint,omitempty"`
	Born int64  `cbor:"10,keyasint,omitempty"`
	// Reclaimable backends may be taken away at short notice.
	Reclaimable bool `cbor:"11,keyasint,omitempty"`
}

// ModelVersion is a version of a model's weights.
type ModelVersion struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version uint64
}

// Store is a process that keeps a replica of the ledger.
type Store struct {
	Name    string              `cbor:"1,keyasint"`
	Address string              `cbor:"2,keyasint"`
	Zone    string              `cbor:"3,keyasint"`
	Replica consensus.ReplicaID `cbor:"4,keyasint"`
	// Fresh is set on a store that has never held data and may be a first
	// member of a group.
	Fresh bool `cbor:"5,keyasint"`
	// Retiring is an operator's wish to empty the store; Retired says that it
	// holds nothing that the group needs.
	Retiring bool `cbor:"6,keyasint"`
	Retired  bool `cbor:"7,keyasint"`
}

// Group is the membership of a group of ledger replicas, as last reported.
type Group struct {
	Members []consensus.Member `cbor:"1,keyasint"`
	// Number grows with each report, so that a late one is ignored.
	Number uint64 `cbor:"2,keyasint"`
}

// Retire asks for a store to be emptied.
type Retire struct {
	Name string `cbor:"1,keyasint"`
	// Replicas is the least number of stores that must remain.
	Replicas int `cbor:"2,keyasint"`
}

// RetireOutcome tells what became of a Retire.
type RetireOutcome uint8

// The outcomes.
const (
	RetireAccepted RetireOutcome = iota + 1
	RetireUnknown
	RetireTooFew
)

// Result is the outcome of a command.
type Result struct {
	// Version is the configuration's version held after the command.
	Version uint64        `cbor:"1,keyasint"`
	Retire  RetireOutcome `cbor:"2,keyasint"`
	// Granted says that a trial was taken.
	Granted bool `cbor:"3,keyasint,omitempty"`
}

var deterministic = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("directory: encoder options: " + err.Error())
	}
	return mode
}()

// Encode returns the command as bytes for the log.
func (c Command) Encode() []byte {
	data, err := deterministic.Marshal(c)
	if err != nil {
		panic("directory: a command must encode: " + err.Error())
	}
	return data
}

// DecodeResult reads a command's outcome.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	err := cbor.Unmarshal(data, &result)
	return result, err
}
