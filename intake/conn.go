package intake

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what a connection is doing.
type phase int32

const (
	// phaseWaiting: nothing of the next request has arrived.
	phaseWaiting phase = iota
	// phaseHead: a part of the head has arrived.
	phaseHead
	// phaseBody: the head is whole, and the body is being read.
	phaseBody
	// phaseAnswer: the request is being answered.
	phaseAnswer
	// phaseMultiplexed: the connection carries many requests at once.
	phaseMultiplexed
	// phaseRefused: the refusal of a head was sent. The HTTP server may read again before it closes the connection.
	phaseRefused
)

const (
	// freeHeadBytes of the memory of each head need no reservation. They cover a usual head, and the part of a body that is read
	// with it.
	freeHeadBytes = 24 << 10
	// headSlackBytes is what the HTTP server may read beyond the end of a head.
	headSlackBytes = 4 << 10
	// writePieceBytes is the size of the pieces in which answers are written. Each must be taken within IdleTimeout.
	writePieceBytes = 64 << 10
	// lingerTimeout and lingerBytes bound what is read after a refusal, so that closing does not discard the refusal before
	// its client has read it.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
)

// http2Preface is the beginning of a connection that multiplexes requests.
var http2Preface = []byte("PRI * HTTP/2.0\r\n")

// errRefused ends the reading of a head whose refusal was already sent. The HTTP server sends nothing after such an error.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the request was refused")}

// conn is a client's connection.
type conn struct {
	net.Conn
	intake   *Intake
	listener *listener

	phase atomic.Int32
	// head is the memory of the request's head, reserved until the request has ended. headBytes, headLines and headStarted
	// describe the head that is being read.
	head                 *Reservation
	headBytes, headLines int
	headStarted          time.Time
	// phaseStarted is when the current wait for a request began.
	phaseStarted time.Time

	deadlineMutex sync.Mutex
	// writeDeadline is the deadline that the handler has set for its writes, or the zero time.
	writeDeadline time.Time

	// The fields below are guarded by connections.mutex.
	section *section
	list    *list.List
	element *list.Element
	removed bool
}

func (c *conn) unlink() {
	if c.list != nil {
		c.list.Remove(c.element)
	}
	c.list, c.element = nil, nil
}

// enter records the connection's phase. It returns false if the connection was closed in favour of another one.
func (c *conn) enter(to phase) bool {
	c.phase.Store(int32(to))
	return c.intake.connections.move(c, to)
}

func (c *conn) currentPhase() phase { return phase(c.phase.Load()) }

// awaitRequest prepares the connection for its next request.
func (c *conn) awaitRequest() {
	c.head.Release()
	c.headBytes, c.headLines = 0, 0
	c.phaseStarted = time.Now()
	c.enter(phaseWaiting)
}

// Read implements net.Conn. It enforces the limits on heads.
func (c *conn) Read(data []byte) (int, error) {
	switch c.currentPhase() {
	case phaseWaiting, phaseHead:
		return c.readHead(data)
	case phaseRefused:
		return 0, errRefused
	default:
		return c.Conn.Read(data)
	}
}

// readHead reads a part of a head.
func (c *conn) readHead(data []byte) (int, error) {
	count, err := c.readInTime(data)
	if count == 0 {
		return 0, err
	}
	if c.currentPhase() == phaseWaiting {
		c.headStarted = time.Now()
		if c.listener.allowsHTTP2 && bytes.HasPrefix(data[:count], http2Preface) {
			c.clearReadDeadline()
			c.enter(phaseMultiplexed)
			return count, err
		}
		c.enter(phaseHead)
	}
	c.headBytes += count
	c.headLines += bytes.Count(data[:count], []byte{'\n'})
	if limit := c.listener.limits().HeaderBytes; c.headBytes > limit+headSlackBytes {
		return 0, c.refuse(refusalHeadTooLarge)
	}
	if c.head.Resize(HeadMemory(c.headBytes, c.headLines)) != nil {
		return 0, c.refuse(refusalBusy)
	}
	return count, err
}

// readInTime reads until the deadline of the phase. A limit that was raised meanwhile applies.
func (c *conn) readInTime(data []byte) (int, error) {
	for {
		deadline := c.requestDeadline()
		// An error means that the connection is closed, which the read returns.
		_ = c.Conn.SetReadDeadline(deadline)
		count, err := c.Conn.Read(data)
		if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return count, err
		}
		if time.Now().Before(c.requestDeadline()) {
			continue
		}
		if c.currentPhase() == phaseHead {
			return 0, c.refuse(refusalHeadTimeout)
		}
		c.intake.counters.idleClosed.Add(1)
		return 0, err
	}
}

// requestDeadline returns when the wait for the rest of the head ends.
func (c *conn) requestDeadline() time.Time {
	limits := c.listener.limits()
	if c.currentPhase() == phaseHead {
		return c.headStarted.Add(limits.HeaderTimeout)
	}
	return c.phaseStarted.Add(limits.IdleTimeout)
}

func (c *conn) clearReadDeadline() {
	// An error means that the connection is closed, which the next read returns.
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// refuse sends the refusal of a request whose head is not whole, and returns errRefused.
func (c *conn) refuse(refused refusal) error {
	c.intake.counters.refused[refused].Add(1)
	sendRefusal(c.Conn, refused)
	c.phase.Store(int32(phaseRefused))
	return errRefused
}

// refusal is why a request or a connection is refused.
type refusal int

const (
	// refusalBusy: a budget is used up.
	refusalBusy refusal = iota
	// refusalHeadTooLarge: the head exceeds the limit.
	refusalHeadTooLarge
	// refusalHeadTimeout: the head was not whole in time.
	refusalHeadTimeout
	refusalCount
)

// refusalStatus holds the status line of each refusal. None of these requests has run.
var refusalStatus = [refusalCount]string{"503 Service Unavailable", "431 Request Header Fields Too Large", "408 Request Timeout"}

// RetryAfter is when a client may come again whose request did not fit the budget.
const RetryAfter = 500 * time.Millisecond

// sendRefusal sends the refusal, ends the sending side, and reads for a short time what the client still sends.
func sendRefusal(connection net.Conn, refused refusal) {
	text := "HTTP/1.1 " + refusalStatus[refused] + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if refused == refusalBusy {
		text += "Retry-After: " + strconv.FormatFloat(RetryAfter.Seconds(), 'f', -1, 64) + "\r\n"
	}
	if connection.SetDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	if _, err := io.WriteString(connection, text+"\r\n"); err != nil {
		return
	}
	if half, ok := connection.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	discarded := make([]byte, headSlackBytes)
	for total := 0; total < lingerBytes; {
		count, err := connection.Read(discarded)
		if err != nil {
			return
		}
		total += count
	}
}

// Write implements net.Conn. Each piece of an answer must be taken within IdleTimeout.
func (c *conn) Write(data []byte) (int, error) {
	written := 0
	for {
		piece := data[written:min(written+writePieceBytes, len(data))]
		// An error means that the connection is closed, which the write returns.
		_ = c.Conn.SetWriteDeadline(c.pieceDeadline())
		count, err := c.Conn.Write(piece)
		written += count
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// pieceDeadline returns the deadline for the next piece of an answer.
func (c *conn) pieceDeadline() time.Time {
	c.deadlineMutex.Lock()
	defer c.deadlineMutex.Unlock()
	deadline := time.Now().Add(c.listener.limits().IdleTimeout)
	if !c.writeDeadline.IsZero() && c.writeDeadline.Before(deadline) {
		return c.writeDeadline
	}
	return deadline
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.deadlineMutex.Lock()
	c.writeDeadline = deadline
	c.deadlineMutex.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetWriteDeadline(deadline), c.Conn.SetReadDeadline(deadline))
}

// CloseWrite ends the sending side, which lets the HTTP server's last answer arrive.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.intake.connections.drop(c)
	return c.Conn.Close()
}

// end releases what the connection has reserved. The HTTP server calls it after its last use.
func (c *conn) end() {
	c.intake.connections.drop(c)
	c.head.Release()
}
