// Package directory implements the replicated state machine that holds the routing configuration,
// the registered backends, the newest versions of models' weights and the members of the ledger's
// group. Apply is deterministic: the result depends only on the state and the command.
package directory

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/dillchute/dillchute/capacity"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/internal/pack"
	"github.com/dillchute/dillchute/quarantine"
	"github.com/dillchute/dillchute/routing"
	"github.com/dillchute/dillchute/usage"
)

// Command is an entry of the replicated log. Exactly one field is set.
type Command struct {
	PutConfiguration *PutConfiguration `cbor:"1,keyasint,omitempty"`
	PutBackend       *Backend          `cbor:"2,keyasint,omitempty"`
	RemoveBackend    *RemoveBackend    `cbor:"3,keyasint,omitempty"`
	NameVersion      *ModelVersion     `cbor:"4,keyasint,omitempty"`
	PutStore         *Store            `cbor:"5,keyasint,omitempty"`
	FormGroup        *Group            `cbor:"6,keyasint,omitempty"`
	ReportGroup      *Group            `cbor:"7,keyasint,omitempty"`
	Retire           *Retire           `cbor:"8,keyasint,omitempty"`
	// CountUsage adds the totals of gateways, FixUsage closes a window, and ToldUsage removes the
	// report of a window after it was delivered.
	CountUsage []usage.Totals `cbor:"9,keyasint,omitempty"`
	FixUsage   int64          `cbor:"10,keyasint,omitempty"`
	ToldUsage  int64          `cbor:"11,keyasint,omitempty"`
	// Act records that the holder of a duty is about to act.
	Act *duty.Action `cbor:"12,keyasint,omitempty"`
	// Crashes are reported crashes, and Answered the suspects that got a response.
	Crashes  []quarantine.Crash       `cbor:"13,keyasint,omitempty"`
	Answered []quarantine.Fingerprint `cbor:"14,keyasint,omitempty"`
	// OfferTrial and TakeTrial allow one send of a quarantined request. ForgetSuspect removes a
	// suspect that is not quarantined.
	OfferTrial    *SuspectRevision       `cbor:"15,keyasint,omitempty"`
	TakeTrial     quarantine.Fingerprint `cbor:"16,keyasint,omitempty"`
	ForgetSuspect *SuspectRevision       `cbor:"17,keyasint,omitempty"`
	// Batch holds changes of backends, which are applied in order.
	Batch []Command `cbor:"18,keyasint,omitempty"`
	// PutZone records the zone of a replica of the directory.
	PutZone *ReplicaZone `cbor:"19,keyasint,omitempty"`
	// Order is a capacity order that is about to be sent or was answered.
	Order *capacity.Order `cbor:"20,keyasint,omitempty"`
	// RaiseVersion raises the version that determines how commands are applied.
	RaiseVersion *RaiseVersion `cbor:"21,keyasint,omitempty"`
	// ReturnBackend registers a backend again that was removed because it was silent. It is written
	// from ReturnVersion on.
	ReturnBackend *Backend `cbor:"22,keyasint,omitempty"`
}

// ReplicaZone is the zone of the replica of the directory at an address.
type ReplicaZone struct {
	_       struct{} `cbor:",toarray"`
	Address string
	Zone    string
}

// SuspectRevision identifies a suspect at a revision. A command with it has no effect if the suspect has
// changed since.
type SuspectRevision struct {
	Fingerprint quarantine.Fingerprint `cbor:"1,keyasint"`
	Revision    uint64                 `cbor:"2,keyasint"`
}

// PutConfiguration replaces the configuration if its version is higher than the current one.
type PutConfiguration struct {
	Configuration routing.Configuration `cbor:"1,keyasint"`
	// Source is the document as received. Reads return it unchanged.
	Source []byte `cbor:"2,keyasint"`
}

// RemoveBackend removes a backend, identified by either ID or Name.
type RemoveBackend struct {
	// ID identifies a silent incarnation, which may return from ReturnVersion on. An incarnation that
	// is removed by Name may not return.
	ID string `cbor:"1,keyasint"`
	// Name identifies the incarnation that is registered under it.
	Name string `cbor:"2,keyasint,omitempty"`
	// Born is the start time of the incarnation in Unix milliseconds, or 0 if unknown. An
	// incarnation that started later is not removed.
	Born int64 `cbor:"3,keyasint,omitempty"`
	// LatestBirth replaces Born if that is 0: incarnations that started no later cannot register. Before
	// DepartureVersion it has no effect if an incarnation is registered under the name.
	LatestBirth int64 `cbor:"4,keyasint,omitempty"`
}

// Backend is one incarnation of a process that serves requests.
type Backend struct {
	// ID identifies the incarnation, see Incarnation.ID.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	Zone    string `cbor:"4,keyasint"`
	Slots   int    `cbor:"5,keyasint"`
	// Draining backends get no new requests. An incarnation never stops draining.
	Draining bool `cbor:"6,keyasint"`
	// Silent backends have not sent a heartbeat for some time.
	Silent bool           `cbor:"7,keyasint"`
	Models []ModelVersion `cbor:"8,keyasint"`
	// Name is the name that the backend reports, empty if it equals ID. Born is its start time in
	// Unix milliseconds, or 0 if unknown.
	Name string `cbor:"9,keyasint,omitempty"`
	Born int64  `cbor:"10,keyasint,omitempty"`
	// Reclaimable backends may be withdrawn at short notice.
	Reclaimable bool `cbor:"11,keyasint,omitempty"`
}

// ModelVersion is a version of a model's weights.
type ModelVersion struct {
	_       struct{} `cbor:",toarray"`
	Model   string
	Version uint64
}

// Store is a process with a replica of the ledger.
type Store struct {
	Name    string              `cbor:"1,keyasint"`
	Address string              `cbor:"2,keyasint"`
	Zone    string              `cbor:"3,keyasint"`
	Replica consensus.ReplicaID `cbor:"4,keyasint"`
	// Fresh is set if the store never held data, so that it may be an initial member of a group.
	Fresh bool `cbor:"5,keyasint"`
	// Retiring is set once an operator has requested to retire the store, and Retired once it is no
	// longer a member of the group.
	Retiring bool `cbor:"6,keyasint"`
	Retired  bool `cbor:"7,keyasint"`
}

// Group is the last reported membership of a group of ledger replicas.
type Group struct {
	Members []consensus.Member `cbor:"1,keyasint"`
	// Number increases with each report, so that stale reports are ignored.
	Number uint64 `cbor:"2,keyasint"`
}

// Retire requests that a store leaves the group.
type Retire struct {
	Name string `cbor:"1,keyasint"`
	// Replicas is the minimum number of stores that must remain.
	Replicas int `cbor:"2,keyasint"`
}

// RetireOutcome is the outcome of a Retire command.
type RetireOutcome uint8

// Outcomes of a Retire command: accepted, unknown store, too few stores would remain.
const (
	RetireAccepted RetireOutcome = iota + 1
	RetireUnknown
	RetireTooFew
)

// Result is the outcome of a command.
type Result struct {
	// Version is the version of the configuration after the command.
	Version uint64        `cbor:"1,keyasint"`
	Retire  RetireOutcome `cbor:"2,keyasint"`
	// Granted reports whether a trial was taken.
	Granted bool `cbor:"3,keyasint,omitempty"`
}

var deterministic = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("directory: invalid encoder options: " + err.Error())
	}
	return mode
}()

// Encode returns the command encoded for the log.
func (c Command) Encode() []byte {
	data, err := deterministic.Marshal(c)
	if err != nil {
		panic("directory: encode command: " + err.Error())
	}
	return data
}

// CheckCommand fails if the data is not a command, or if the budget has no room for what it decodes to, which it reserves. The
// caller must release the reservation.
func CheckCommand(budget *intake.Budget, data []byte) (*intake.Reservation, error) {
	var command Command
	return pack.DecodeWithin(budget, data, len(data), &command)
}

// DecodeResult decodes the result of Apply.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	err := cbor.Unmarshal(data, &result)
	return result, err
}
