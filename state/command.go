// Package state is the replicated state machine of the control replicas:
// declarations, nodes, engine ownership, weight versions, claims of requests
// that must not repeat, and the sample ledger. Machine.Apply is a pure function
// of the state and the command, so that all replicas agree; the time it uses is
// the one that the proposing leader wrote into the command.
package state

import "github.com/fxamacker/cbor/v2"

// Command is one entry of the replicated log. Exactly one pointer is set.
type Command struct {
	// Now is the proposing leader's wall clock in milliseconds since 1970.
	// The machine's own time never goes back.
	Now             int64            `cbor:"1,keyasint"`
	Apply           *Apply           `cbor:"2,keyasint,omitempty"`
	PublishVersion  *PublishVersion  `cbor:"3,keyasint,omitempty"`
	RegisterNode    *RegisterNode    `cbor:"4,keyasint,omitempty"`
	ExpireNode      *ExpireNode      `cbor:"5,keyasint,omitempty"`
	DrainNode       *DrainNode       `cbor:"6,keyasint,omitempty"`
	SyncEngines     *SyncEngines     `cbor:"7,keyasint,omitempty"`
	SetOwners       *SetOwners       `cbor:"8,keyasint,omitempty"`
	DrainEngine     *DrainEngine     `cbor:"9,keyasint,omitempty"`
	SubmitStep      *SubmitStep      `cbor:"10,keyasint,omitempty"`
	AssignSamples   *AssignSamples   `cbor:"11,keyasint,omitempty"`
	CompleteSamples *CompleteSamples `cbor:"12,keyasint,omitempty"`
	Fetch           *Fetch           `cbor:"13,keyasint,omitempty"`
	Claim           *Claim           `cbor:"14,keyasint,omitempty"`
	ResolveClaim    *ResolveClaim    `cbor:"15,keyasint,omitempty"`
}

// Result is the outcome of a command. At most one pointer is set.
type Result struct {
	Apply    *ApplyResult    `cbor:"1,keyasint,omitempty"`
	Publish  *PublishResult  `cbor:"2,keyasint,omitempty"`
	Register *RegisterResult `cbor:"3,keyasint,omitempty"`
	Found    bool            `cbor:"4,keyasint,omitempty"`
	Submit   *SubmitResult   `cbor:"5,keyasint,omitempty"`
	Assign   *AssignResult   `cbor:"6,keyasint,omitempty"`
	Fetch    *FetchResult    `cbor:"7,keyasint,omitempty"`
	Claim    *ClaimResult    `cbor:"8,keyasint,omitempty"`
}

// deterministic encodes maps in sorted order, so that equal states have equal bytes.
var deterministic = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("state: encoder options: " + err.Error())
	}
	return mode
}()

// decoder accepts arrays as long as a snapshot at full size needs.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 26, MaxMapPairs: 1 << 26}.DecMode()
	if err != nil {
		panic("state: decoder options: " + err.Error())
	}
	return mode
}()

// Encode returns the command as bytes for the log.
func (c Command) Encode() []byte {
	data, err := deterministic.Marshal(c)
	if err != nil {
		panic("state: a command must encode: " + err.Error())
	}
	return data
}

// DecodeCommand reads a command from the log.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	err := decoder.Unmarshal(data, &command)
	return command, err
}
