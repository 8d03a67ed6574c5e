// Package state implements the replicated state machine of the control replicas:
// declarations, nodes, engine ownership, weight versions, claims of non-repeatable
// requests, and the sample ledger. Machine.Apply depends only on the state and the
// command, so that all replicas agree; it takes the time from the command.
package state

import "github.com/fxamacker/cbor/v2"

// Command is an entry of the replicated log. Exactly one pointer is set.
type Command struct {
	// Now is the proposing leader's wall clock in milliseconds since 1970. It may
	// go back; Machine.Now does not.
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

// encoder sorts map keys, so that equal states have equal encodings.
var encoder = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("state: invalid encoder options: " + err.Error())
	}
	return mode
}()

// decoder allows arrays and maps large enough for the largest snapshot.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 26, MaxMapPairs: 1 << 26}.DecMode()
	if err != nil {
		panic("state: invalid decoder options: " + err.Error())
	}
	return mode
}()

// Encode returns the command's encoding in the log.
func (c Command) Encode() []byte {
	data, err := encoder.Marshal(c)
	if err != nil {
		panic("state: encode command: " + err.Error())
	}
	return data
}

// DecodeCommand decodes a log entry.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	err := decoder.Unmarshal(data, &command)
	return command, err
}
