// Package oracle checks whether a run kept its promises. It relies only on external observations:
// what callers sent and received, what engines ran and generated, what trainers received, which
// revisions nodes used, and the replies to operators.
package oracle

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/dillchute/dillchute/protocol"
)

// Event is one observation. Exactly one pointer is set.
type Event struct {
	// At is in milliseconds on a clock that all observers share.
	At        int64      `json:"at"`
	Pool      *Pool      `json:"pool,omitempty"`
	Published *Published `json:"published,omitempty"`
	Submitted *Submitted `json:"submitted,omitempty"`
	Delivered *Delivered `json:"delivered,omitempty"`
	Began     *Began     `json:"began,omitempty"`
	Generated *Generated `json:"generated,omitempty"`
	Sent      *Sent      `json:"sent,omitempty"`
	Ended     *Ended     `json:"ended,omitempty"`
	Leaving   *Leaving   `json:"leaving,omitempty"`
	Applied   *Applied   `json:"applied,omitempty"`
	Acting    *Acting    `json:"acting,omitempty"`
	StepDone  *StepDone  `json:"step_done,omitempty"`
}

// Pool records a pool and its largest staleness bound in the run.
type Pool struct {
	Name                 string `json:"name"`
	Model                string `json:"model"`
	MaxStalenessVersions uint64 `json:"max_staleness_versions"`
}

// Published records that the publication of a version was acknowledged.
type Published struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// Submitted records that a trainer's step was accepted.
type Submitted struct {
	Pool    string   `json:"pool"`
	Step    uint64   `json:"step"`
	Prompts []Prompt `json:"prompts"`
}

// Prompt is one sample of a submitted step.
type Prompt struct {
	Index     uint32 `json:"index"`
	Prompt    string `json:"prompt"`
	MaxTokens uint32 `json:"max_tokens"`
}

// Segment is a range of tokens generated under one version.
type Segment struct {
	Version uint64 `json:"version"`
	First   uint32 `json:"first"`
	Count   uint32 `json:"count"`
}

// Delivered records that a trainer received a sample.
type Delivered struct {
	Pool     string    `json:"pool"`
	Number   uint64    `json:"number"`
	Step     uint64    `json:"step"`
	Index    uint32    `json:"index"`
	Segments []Segment `json:"segments"`
	Tokens   []uint32  `json:"tokens"`
	// FetchedAt is the time at which the trainer sent the fetch that returned the sample.
	FetchedAt int64 `json:"fetched_at"`
}

// Began records that an engine began an attempt of a request.
type Began struct {
	Engine  string `json:"engine"`
	Attempt string `json:"attempt"`
	Request string `json:"request"`
}

// Generated records that an engine generated tokens of a request under one version.
type Generated struct {
	Engine  string  `json:"engine"`
	Request string  `json:"request"`
	Segment Segment `json:"segment"`
}

// Sent records one attempt of a caller to send a live request. Attempts are numbered from 1.
type Sent struct {
	Key           string `json:"key"`
	Attempt       uint32 `json:"attempt"`
	Prompt        string `json:"prompt"`
	MaxTokens     uint32 `json:"max_tokens"`
	NotRepeatable bool   `json:"not_repeatable"`
}

// Ended records the outcome of an attempt at its caller.
type Ended struct {
	Key     string           `json:"key"`
	Attempt uint32           `json:"attempt"`
	Outcome protocol.Outcome `json:"outcome"`
	Reason  protocol.Reason  `json:"reason"`
	Tokens  []uint32         `json:"tokens"`
}

// Leaving records that an engine was marked as leaving or that the mark was removed.
type Leaving struct {
	Engine  string `json:"engine"`
	Leaving bool   `json:"leaving"`
}

// Applied records the reply to an operator's change.
type Applied struct {
	ChangeID string `json:"change_id"`
	Base     uint64 `json:"base"`
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision"`
}

// Acting records that a node started to use a revision.
type Acting struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
}

// StepDone records that a trainer finished a step, and how long it waited for the samples.
type StepDone struct {
	Pool       string `json:"pool"`
	Step       uint64 `json:"step"`
	WaitMillis int64  `json:"wait_millis"`
	// TrainMillis is the time spent on training the step.
	TrainMillis int64 `json:"train_millis"`
}

// maxLineBytes bounds the length of a line of a record file.
const maxLineBytes = 64 << 20

// Read reads events from lines of JSON. Malformed lines are skipped, such as an incomplete last
// line after a crash.
func Read(reader io.Reader) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var event Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			continue
		}
		events = append(events, event)
	}
	return events, scanner.Err()
}
