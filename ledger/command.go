// Package ledger is the replicated record of steps: what a trainer handed in,
// and the results in the order in which they became known. Apply is a pure
// function of state and command.
package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/internal/pack"
)

// Command is one entry of the replicated log. Exactly one pointer is set.
type Command struct {
	Submit *Step   `cbor:"1,keyasint,omitempty"`
	Record *Record `cbor:"2,keyasint,omitempty"`
	End    *End    `cbor:"3,keyasint,omitempty"`
	Prune  *Prune  `cbor:"4,keyasint,omitempty"`
	// Order says that the leader is about to give an order to an engine, whose ID is the
	// subject: the next leader must know for how long it must not.
	Order *duty.Action `cbor:"5,keyasint,omitempty"`
	// Checkpoint keeps what long runs have produced so far.
	Checkpoint *Checkpoint `cbor:"6,keyasint,omitempty"`
	Paces      *Paces      `cbor:"7,keyasint,omitempty"`
	// Failed counts what engines and reward calls have failed of a sample.
	Failed *Failed `cbor:"8,keyasint,omitempty"`
}

// Failed says how often a sample has failed so far. The counts never fall.
type Failed struct {
	Step   string   `cbor:"1,keyasint"`
	Sample string   `cbor:"2,keyasint"`
	Counts Failures `cbor:"3,keyasint"`
}

// Failures counts the answers that were failures, over all leaders.
type Failures struct {
	// Runs are those of engines, Rewards those of reward calls.
	Runs    int `cbor:"1,keyasint"`
	Rewards int `cbor:"2,keyasint"`
}

// Paces is what the leader has observed of the engines, for the next leader.
type Paces struct {
	// Millis is the time between two events of a run, by the engines' IDs.
	Millis map[string]float64 `cbor:"1,keyasint"`
}

// Field is one header field of a sample's request.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Reward is the call that scores a sample's text.
type Reward struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

// Sample is one request for tokens of a step.
type Sample struct {
	ID     string  `cbor:"1,keyasint"`
	Path   string  `cbor:"2,keyasint"`
	Header []Field `cbor:"3,keyasint"`
	Body   []byte  `cbor:"4,keyasint"`
	// Group names the samples that share a prompt and count only together.
	Group  string  `cbor:"5,keyasint"`
	Reward *Reward `cbor:"6,keyasint"`
	// Predicted is the expected number of tokens that come out, 0 if unknown.
	Predicted int `cbor:"7,keyasint"`
	// MostTokens is the most tokens that come out, 0 if unknown.
	MostTokens int `cbor:"8,keyasint,omitempty"`
}

// Step is what a trainer hands in at once.
type Step struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Number counts the trainer's steps, from 0.
	Number int    `cbor:"3,keyasint"`
	Model  string `cbor:"4,keyasint"`
	// OldestVersion is the oldest version of the weights that may make tokens.
	OldestVersion uint64 `cbor:"5,keyasint"`
	SingleVersion bool   `cbor:"6,keyasint"`
	// Wanted is the number of groups that the trainer waits for.
	Wanted int `cbor:"7,keyasint"`
	// Attempts is the number of failures after which a sample is given up.
	Attempts int `cbor:"8,keyasint"`
	// The times are in milliseconds since 1970, by the leader's clock.
	SubmittedAt int64    `cbor:"9,keyasint"`
	DueAt       int64    `cbor:"10,keyasint"`
	GiveUpAt    int64    `cbor:"11,keyasint"`
	Samples     []Sample `cbor:"12,keyasint"`
	// Priority ranks the step among others; 0 is the most urgent.
	Priority int `cbor:"13,keyasint"`
	// EventTokens is the number of tokens that one event of a text holds, 0 if
	// unknown.
	EventTokens int `cbor:"14,keyasint,omitempty"`
	// Tenant is the name of the one that handed the step in, "" where there are none.
	Tenant string `cbor:"15,keyasint,omitempty"`
}

// State says how a sample ended.
type State uint8

// The states.
const (
	// Succeeded: the text is whole and scored.
	Succeeded State = iota + 1
	// Dead: the sample was given up.
	Dead
)

// Result is the end of one sample.
type Result struct {
	Sample string `cbor:"1,keyasint"`
	State  State  `cbor:"2,keyasint"`
	// Text holds the data of all events, separated by line feeds.
	Text     string   `cbor:"3,keyasint"`
	Versions []uint64 `cbor:"4,keyasint"`
	Score    string   `cbor:"5,keyasint"`
	// Kept is, in a command, the number of events that checkpoints have kept of the
	// text: Text holds those after them, and Checksum is that of the whole text. It
	// is 0 in the state, where Text is whole.
	Kept     uint64 `cbor:"6,keyasint,omitempty"`
	Checksum uint32 `cbor:"7,keyasint,omitempty"`
}

// Record adds results to a step.
type Record struct {
	Step    string   `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
}

// Checkpoint adds to the partial texts of a step's samples.
type Checkpoint struct {
	Step  string         `cbor:"1,keyasint"`
	Texts []Continuation `cbor:"2,keyasint"`
}

// Continuation is what a sample's run has produced after some events.
type Continuation struct {
	Sample string `cbor:"1,keyasint"`
	// After is the number of events of the text before these. What is kept
	// beyond it is replaced: 0 begins the text anew.
	After  uint64   `cbor:"2,keyasint"`
	Events []string `cbor:"3,keyasint"`
	// Versions made the whole text up to the last of Events.
	Versions []uint64 `cbor:"4,keyasint"`
}

// End closes a step: no more of it is run.
type End struct {
	Step string `cbor:"1,keyasint"`
}

// Prune forgets steps that have ended and whose results nobody may ask for.
type Prune struct {
	Steps []string `cbor:"1,keyasint"`
}

var encoder = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("ledger: encoder options: " + err.Error())
	}
	return mode
}()

// maxCommandBytes bounds a command that was packed.
const maxCommandBytes = 256 << 20

// Encode returns the command as bytes for the log, packed.
func (c Command) Encode() []byte {
	data, err := encoder.Marshal(c)
	if err != nil {
		panic("ledger: a command must encode: " + err.Error())
	}
	return pack.Pack(data)
}

// decodeCommand reads what Encode returned. It fails with a pack.ErrCorrupt error
// or one of the decoder's.
func decodeCommand(data []byte) (Command, error) {
	var command Command
	err := pack.Decode(data, maxCommandBytes, &command)
	return command, err
}
