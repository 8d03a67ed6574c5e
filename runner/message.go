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
	runnerSilence = time.Second
	// leaderSilence is how long the leader says nothing before a runner ends its
	// runs. It is longer than the leader's, which alone decides whether a run goes on.
	leaderSilence = 2 * time.Second
	// startValidity is how old the newest report that the leader had heard may be when
	// a start is taken in. A runner that stood still must not begin what the leader
	// asked for long ago.
	startValidity = time.Second
)

// start asks for a run. Its number is unique on the link.
type start struct {
	Run     uint64            `cbor:"1,keyasint"`
	Backend directory.Backend `cbor:"2,keyasint"`
	Host    string            `cbor:"3,keyasint"`
	Sample  *ledger.Sample    `cbor:"4,keyasint"`
	After   uint64            `cbor:"5,keyasint,omitempty"`
}

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
