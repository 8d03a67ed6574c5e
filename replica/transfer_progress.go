package replica

import (
	"io"
	"net/http"
	"time"
)

const (
	// transferStallTimeout is how long the sender of a snapshot may send nothing. It is a small part of the time in
	// which a replica has to catch up, in which the leader must be able to send again.
	transferStallTimeout = time.Second
	// minTransferRate is the rate below which a transfer is ended, in bytes a second after the first
	// transferStallTimeout. The slowest links of machines with disks carry many times that.
	minTransferRate = 256 << 10
)

// transferReader reads the body of a transfer, and ends it if the sender stalls or is too slow: connections may go
// silent without an error, and the next transfer waits for this one.
type transferReader struct {
	body     io.Reader
	deadline *http.ResponseController
	began    time.Time
	// received is the number of bytes read so far.
	received int64
}

func newTransferReader(response http.ResponseWriter, request *http.Request) *transferReader {
	return &transferReader{body: request.Body, deadline: http.NewResponseController(response), began: time.Now()}
}

// Read implements io.Reader.
func (r *transferReader) Read(buffer []byte) (int, error) {
	if err := r.deadline.SetReadDeadline(r.nextDeadline(time.Now())); err != nil {
		return 0, err
	}
	count, err := r.body.Read(buffer)
	r.received += int64(count)
	return count, err
}

// nextDeadline returns when the next read must have returned.
func (r *transferReader) nextDeadline(now time.Time) time.Time {
	slowest := r.began.Add(transferStallTimeout + time.Duration(r.received)*time.Second/minTransferRate)
	if stalled := now.Add(transferStallTimeout); stalled.Before(slowest) {
		return stalled
	}
	return slowest
}

// end removes the deadline, which would otherwise apply to the next request on the connection.
func (r *transferReader) end() error { return r.deadline.SetReadDeadline(time.Time{}) }
