package runner

import (
	"io"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/internal/pack"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
	"github.com/dillchute/dillchute/transport"
)

const (
	// Path is where a runner takes in links.
	Path = "/internal/runs"
	// maxFrameBytes bounds one message of a link; a message holds what has gathered
	// since the one before.
	maxFrameBytes = 64 << 20
	// keepaliveInterval is the longest time between two messages in each direction.
	keepaliveInterval = 250 * time.Millisecond
	// runnerSilence is how long a runner says nothing before the leader gives its
	// runs to others: four messages, and under the time after which a run stalls.
	runnerTimeout = time.Second
	// leaderSilence is how long the leader says nothing before a runner ends its
	// link. It is longer than the leader's, which alone decides whether a run goes on.
	leaderTimeout = 1200 * time.Millisecond
	// orphanTime is how long runs go on without a link. A new leader is elected within
	// two election timeouts, 0.8 s, as a rule, and opens its links at once.
	orphanTimeout = 2500 * time.Millisecond
	// termHeader carries the term of the leader that opens a link.
	termHeader = "Leader-Term"
	// pendingLimit is how long after it was decided a start may be sent.
	maxPendingTime = 300 * time.Millisecond
	// startValidity is how old the newest report that the leader had heard may be when
	// a start is taken in. A runner that stood still must not begin what the leader
	// asked for long ago.
	maxReportAge = time.Second
)

// start asks for a run. Its number is unique on the link.
type start struct {
	Run     uint64            `cbor:"1,keyasint"`
	Backend directory.Backend `cbor:"2,keyasint"`
	Step    string            `cbor:"3,keyasint"`
	Host    string            `cbor:"4,keyasint"`
	Sample  *ledger.Sample    `cbor:"5,keyasint"`
	// Text is what the run continues.
	Text Batch `cbor:"6,keyasint"`
	// Tenant is as in Request.
	Tenant string `cbor:"7,keyasint,omitempty"`
	// Known and KindKnown are as in Request.
	Known     int `cbor:"8,keyasint,omitempty"`
	KindKnown int `cbor:"9,keyasint,omitempty"`
	// decidedAt is as in Request; it stays with the leader.
	decidedAt time.Time
}

// firstHeldRun is the number that a link gives to the first run that it brings back.
// Those that the leader starts count from 1.
const firstOrphanNumber = 1 << 32

// commands is a message from the leader.
type commands struct {
	// Heard is the number of the newest report that the leader has had, 0 for none.
	Heard   uint64   `cbor:"1,keyasint"`
	Starts  []start  `cbor:"2,keyasint,omitempty"`
	Cancels []uint64 `cbor:"3,keyasint,omitempty"`
}

// report is a message from a runner. Reports are numbered from 1.
type report struct {
	Number uint64      `cbor:"1,keyasint"`
	Runs   []runReport `cbor:"2,keyasint,omitempty"`
	// Held are the runs that the link brings back; in the first report only.
	Held []orphanReport `cbor:"3,keyasint,omitempty"`
	// Superseded is set in the last report of a link that another one has taken over.
	Superseded bool `cbor:"4,keyasint,omitempty"`
}

// heldReport tells of a run that was begun over an earlier link. Its news follow as
// those of any run, after the text that stands here.
type orphanReport struct {
	Run    uint64 `cbor:"1,keyasint"`
	Step   string `cbor:"2,keyasint"`
	Sample string `cbor:"3,keyasint"`
	Engine string `cbor:"4,keyasint"`
	Text   Batch  `cbor:"5,keyasint"`
}

// runReport is what is new of one run.
type runReport struct {
	Run   uint64 `cbor:"1,keyasint"`
	Batch Batch  `cbor:"2,keyasint"`
	// End is how the run ended, or 0 while it goes on.
	End scheduler.RunEnd `cbor:"3,keyasint,omitempty"`
}

func writeMessage(writer io.Writer, message any) error {
	return transport.WriteFrame(writer, pack.Encode(message))
}

func readMessage(reader io.Reader, into any) error {
	data, err := transport.ReadFrame(reader, maxFrameBytes)
	if err != nil {
		return err
	}
	return pack.Decode(data, maxFrameBytes, into)
}
