package runner

import (
	"io"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/internal/pack"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
	"github.com/dillchute/dillchute/transport"
)

const (
	// Path is the HTTP path on which a runner accepts links.
	Path = "/internal/runs"
	// maxFrameBytes limits the size of one message.
	maxFrameBytes = 64 << 20
	// keepaliveInterval is the maximum time between two messages in each direction.
	keepaliveInterval = 250 * time.Millisecond
	// runnerTimeout is how long a runner may be silent before the leader closes the link and restarts its
	// runs elsewhere: four keepalive intervals, and less than the time after which a run counts as stalled.
	runnerTimeout = time.Second
	// leaderTimeout is how long a leader may be silent before the runner closes the link. It is longer
	// than runnerTimeout, since the leader decides whether a run continues.
	leaderTimeout = 1200 * time.Millisecond
	// orphanTimeout is how long runs continue without a link. It leaves time for an election, which
	// usually takes at most two election timeouts (0.8 s).
	orphanTimeout = 2500 * time.Millisecond
	// termHeader carries the term of the leader that opens a link.
	termHeader = "Leader-Term"
	// maxPendingTime is how long after the leader's decision a start may be sent.
	maxPendingTime = 300 * time.Millisecond
	// maxReportAge is the maximum age of the leader's last received report when a runner accepts a start.
	// It keeps a runner that stalled from executing outdated starts.
	maxReportAge = time.Second
)

// start requests a run. Its number is unique on the link.
type start struct {
	Run     uint64            `cbor:"1,keyasint"`
	Backend directory.Backend `cbor:"2,keyasint"`
	Step    string            `cbor:"3,keyasint"`
	Host    string            `cbor:"4,keyasint"`
	Sample  *ledger.Sample    `cbor:"5,keyasint"`
	// Text is the text that the run continues.
	Text   Batch  `cbor:"6,keyasint"`
	Tenant string `cbor:"7,keyasint,omitempty"`
	// Known and KindKnown are KnownCrashes and KnownKindCrashes of Request.
	Known     int `cbor:"8,keyasint,omitempty"`
	KindKnown int `cbor:"9,keyasint,omitempty"`
	// decidedAt is not sent to the runner.
	decidedAt time.Time
}

// firstOrphanNumber is the number of the first orphaned run on a link. Runs that the leader starts are
// numbered from 1.
const firstOrphanNumber = 1 << 32

// commands is a message from the leader.
type commands struct {
	// Heard is the number of the newest report that the leader has received, 0 for none.
	Heard   uint64   `cbor:"1,keyasint"`
	Starts  []start  `cbor:"2,keyasint,omitempty"`
	Cancels []uint64 `cbor:"3,keyasint,omitempty"`
}

// report is a message from a runner. Reports are numbered from 1.
type report struct {
	Number uint64      `cbor:"1,keyasint"`
	Runs   []runReport `cbor:"2,keyasint,omitempty"`
	// Held lists the orphaned runs. It is set in the first report only.
	Held []orphanReport `cbor:"3,keyasint,omitempty"`
	// Superseded is set in the last report of a link that was replaced by one of a later term.
	Superseded bool `cbor:"4,keyasint,omitempty"`
}

// orphanReport describes a run that was started over an earlier link. Events after Text and the end of
// the run follow in runReports.
type orphanReport struct {
	Run    uint64 `cbor:"1,keyasint"`
	Step   string `cbor:"2,keyasint"`
	Sample string `cbor:"3,keyasint"`
	Engine string `cbor:"4,keyasint"`
	Text   Batch  `cbor:"5,keyasint"`
}

// runReport holds the new events of a run and its end.
type runReport struct {
	Run   uint64 `cbor:"1,keyasint"`
	Batch Batch  `cbor:"2,keyasint"`
	// End is 0 while the run continues.
	End scheduler.RunEnd `cbor:"3,keyasint,omitempty"`
}

func writeMessage(writer io.Writer, message any) error {
	return transport.WriteFrame(writer, pack.Encode(message))
}

// readMessage reads a message. The texts of events in it need not be valid UTF-8; see Batch.isValid.
//
// The memory of the message comes from the budget while it is read.
func readMessage(budget *intake.Budget, reader io.Reader, into any) error {
	frame, err := transport.ReadFrame(budget, reader, maxFrameBytes)
	if err != nil {
		return err
	}
	defer frame.Release()
	memory, err := pack.DecodeUncheckedTextWithin(budget, frame.Bytes, maxFrameBytes, into)
	memory.Release()
	return err
}
