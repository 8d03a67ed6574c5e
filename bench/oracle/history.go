// Package oracle judges a run from outside: it sees only what callers sent and
// received, what engines ran and stamped, what trainers got, and what operators
// were told. It knows nothing of how dillchute works.
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

// Pool tells the largest staleness bound that a pool had in the run.
type Pool struct {
	Name                 string `json:"name"`
	Model                string `json:"model"`
	MaxStalenessVersions uint64 `json:"max_staleness_versions"`
}

// Published: the answer came that a version is published.
type Published struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
}

// Submitted: a trainer was told that a step is accepted.
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

// Segment is a run of tokens under one version.
type Segment struct {
	Version uint64 `json:"version"`
	First   uint32 `json:"first"`
	Count   uint32 `json:"count"`
}

// Delivered: a trainer has taken over a sample.
type Delivered struct {
	Pool     string    `json:"pool"`
	Number   uint64    `json:"number"`
	Step     uint64    `json:"step"`
	Index    uint32    `json:"index"`
	Segments []Segment `json:"segments"`
	Tokens   []uint32  `json:"tokens"`
	// FetchedAt is when the trainer sent the fetch that brought the sample.
	FetchedAt int64 `json:"fetched_at"`
}

// Began: an engine began an attempt at a request.
type Began struct {
	Engine  string `json:"engine"`
	Attempt string `json:"attempt"`
	Request string `json:"request"`
}

// Generated: an engine generated tokens of a request under a version.
type Generated struct {
	Engine  string  `json:"engine"`
	Request string  `json:"request"`
	Segment Segment `json:"segment"`
}

// Sent: a caller sent a live request, for the Attempt-th time.
type Sent struct {
	Key           string `json:"key"`
	Attempt       uint32 `json:"attempt"`
	Prompt        string `json:"prompt"`
	MaxTokens     uint32 `json:"max_tokens"`
	NotRepeatable bool   `json:"not_repeatable"`
}

// Ended: a caller got the final answer to a send.
type Ended struct {
	Key     string           `json:"key"`
	Attempt uint32           `json:"attempt"`
	Outcome protocol.Outcome `json:"outcome"`
	Reason  protocol.Reason  `json:"reason"`
	Tokens  []uint32         `json:"tokens"`
}

// Leaving: an engine was marked as leaving, or not any more.
type Leaving struct {
	Engine  string `json:"engine"`
	Leaving bool   `json:"leaving"`
}

// Applied: an operator was told what became of a change.
type Applied struct {
	ChangeID string `json:"change_id"`
	Base     uint64 `json:"base"`
	Accepted bool   `json:"accepted"`
	Revision uint64 `json:"revision"`
}

// Acting: a node started to act on a revision.
type Acting struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
}

// StepDone: a trainer has a step whole, after waiting for so long.
type StepDone struct {
	Pool       string `json:"pool"`
	Step       uint64 `json:"step"`
	WaitMillis int64  `json:"wait_millis"`
	// TrainMillis is the time the trainer then spent on it.
	TrainMillis int64 `json:"train_millis"`
}

// maxLine bounds a line of a record file.
const maxLine = 64 << 20

// Read reads events from lines of JSON. A torn last line, as a killed process
// leaves it, is ignored.
func Read(reader io.Reader) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var event Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			continue
		}
		events = append(events, event)
	}
	return events, scanner.Err()
}
