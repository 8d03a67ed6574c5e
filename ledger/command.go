// Package ledger is the replicated state machine for training steps: the steps that trainers submit
// and their results in commit order. Machine.Apply is deterministic.
package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/internal/pack"
)

// Command is one entry of the replicated log. Exactly one pointer is set.
type Command struct {
	Submit *Step   `cbor:"1,keyasint,omitempty"`
	Record *Record `cbor:"2,keyasint,omitempty"`
	End    *End    `cbor:"3,keyasint,omitempty"`
	Prune  *Prune  `cbor:"4,keyasint,omitempty"`
	// Order is committed before the leader sends an order to the engine whose ID is the subject, so that
	// the next leader knows how long it must wait before it sends one.
	Order *duty.Action `cbor:"5,keyasint,omitempty"`
	// Checkpoint saves the output of unfinished runs.
	Checkpoint *Checkpoint `cbor:"6,keyasint,omitempty"`
	Paces      *Paces      `cbor:"7,keyasint,omitempty"`
	// Failed records how often engine runs and reward calls of a sample have failed.
	Failed *Failed `cbor:"8,keyasint,omitempty"`
}

// Failed sets a sample's failure counts. A lower count than the recorded one is ignored.
type Failed struct {
	Step   string   `cbor:"1,keyasint"`
	Sample string   `cbor:"2,keyasint"`
	Counts Failures `cbor:"3,keyasint"`
}

// Failures counts the failed attempts of a sample across all leaders.
type Failures struct {
	// Runs counts engine runs, Rewards counts reward calls.
	Runs    int `cbor:"1,keyasint"`
	Rewards int `cbor:"2,keyasint"`
}

// Paces saves the generation speed that the leader has observed per engine, for the next leader.
type Paces struct {
	// Millis maps an engine's ID to the time between two events of a run.
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

// Sample is one generation request of a step.
type Sample struct {
	ID     string  `cbor:"1,keyasint"`
	Path   string  `cbor:"2,keyasint"`
	Header []Field `cbor:"3,keyasint"`
	Body   []byte  `cbor:"4,keyasint"`
	// Group names the samples that share a prompt and count only as a complete group.
	Group  string  `cbor:"5,keyasint"`
	Reward *Reward `cbor:"6,keyasint"`
	// Predicted is the expected number of output tokens, 0 if unknown.
	Predicted int `cbor:"7,keyasint"`
	// MostTokens is the maximum number of output tokens, 0 if unknown.
	MostTokens int `cbor:"8,keyasint,omitempty"`
}

// Step is a batch of samples that a trainer submits together.
type Step struct {
	ID   string `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	// Number is the index of the step within the training run, from 0.
	Number int    `cbor:"3,keyasint"`
	Model  string `cbor:"4,keyasint"`
	// OldestVersion is the oldest version of the weights that may generate tokens.
	OldestVersion uint64 `cbor:"5,keyasint"`
	SingleVersion bool   `cbor:"6,keyasint"`
	// Wanted is the number of complete groups that the trainer waits for.
	Wanted int `cbor:"7,keyasint"`
	// Attempts is the number of failures after which a sample fails permanently.
	Attempts int `cbor:"8,keyasint"`
	// Times are Unix milliseconds by the leader's clock.
	SubmittedAt int64    `cbor:"9,keyasint"`
	DueAt       int64    `cbor:"10,keyasint"`
	GiveUpAt    int64    `cbor:"11,keyasint"`
	Samples     []Sample `cbor:"12,keyasint"`
	// Priority is 0 for the most urgent steps.
	Priority int `cbor:"13,keyasint"`
	// EventTokens is the number of tokens per event, 0 if unknown.
	EventTokens int `cbor:"14,keyasint,omitempty"`
	// Tenant is the tenant that submitted the step, empty in a deployment without tenants.
	Tenant string `cbor:"15,keyasint,omitempty"`
}

// State is the final state of a sample.
type State uint8

// The states.
const (
	// Succeeded means that the text is complete and scored.
	Succeeded State = iota + 1
	// FailedPermanently means that the sample is not retried.
	FailedPermanently
)

// Result is the final state of a sample and its output.
type Result struct {
	Sample string `cbor:"1,keyasint"`
	State  State  `cbor:"2,keyasint"`
	// Text holds the data of all events, separated by newlines.
	Text     string   `cbor:"3,keyasint"`
	Versions []uint64 `cbor:"4,keyasint"`
	Score    string   `cbor:"5,keyasint"`
	// Kept is the number of leading events that the command omits from Text because checkpoints hold
	// them. Checksum covers the complete text. In the state, Text is complete and Kept is 0.
	Kept     uint64 `cbor:"6,keyasint,omitempty"`
	Checksum uint32 `cbor:"7,keyasint,omitempty"`
}

// Record adds results to a step.
type Record struct {
	Step    string   `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
}

// Checkpoint extends the partial texts of a step's samples.
type Checkpoint struct {
	Step  string         `cbor:"1,keyasint"`
	Texts []Continuation `cbor:"2,keyasint"`
}

// Continuation holds the events that a sample's run has produced after those of earlier checkpoints.
type Continuation struct {
	Sample string `cbor:"1,keyasint"`
	// After is the number of events that precede Events. Saved events beyond it are replaced; 0
	// replaces the whole text.
	After  uint64   `cbor:"2,keyasint"`
	Events []string `cbor:"3,keyasint"`
	// Versions lists the weights that generated the text up to the last of Events.
	Versions []uint64 `cbor:"4,keyasint"`
}

// End ends a step. None of its remaining samples are run.
type End struct {
	Step string `cbor:"1,keyasint"`
}

// Prune deletes ended steps whose results can no longer be read.
type Prune struct {
	Steps []string `cbor:"1,keyasint"`
}

var encoder = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("ledger: invalid encoder options: " + err.Error())
	}
	return mode
}()

// maxCommandBytes limits the size of an unpacked command.
const maxCommandBytes = 256 << 20

// Encode returns the packed encoding of the command for the log.
func (c Command) Encode() []byte {
	data, err := encoder.Marshal(c)
	if err != nil {
		panic("ledger: encode command: " + err.Error())
	}
	return pack.Pack(data)
}

// CheckCommand fails if the data is not a command, or if the budget has no room for what it decodes to, which it reserves. The
// caller must release the reservation.
func CheckCommand(budget *intake.Budget, data []byte) (*intake.Reservation, error) {
	var command Command
	return pack.DecodeWithin(budget, data, maxCommandBytes, &command)
}

// decodeCommand decodes the output of Encode. It returns a pack.ErrCorrupt error or a decoder error.
func decodeCommand(data []byte) (Command, error) {
	var command Command
	err := pack.Decode(data, maxCommandBytes, &command)
	return command, err
}
