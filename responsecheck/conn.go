// Package responsecheck checks the bytes of HTTP/1 responses strictly, as they arrive on the connections of a client. The
// HTTP client of package net/http reads leniently what RFC 9110 and RFC 9112 call invalid, and takes the end of a connection
// for the end of a response. A connection of this package fails instead, so that only valid responses with an end of their
// own reach whoever reads them: the status line, the heads of interim responses, the fields, chunks and trailers are checked,
// and heads are bounded.
package responsecheck

import (
	"errors"
	"io"
	"net"
	"sync"

	"github.com/dillchute/dillchute/intake"
)

// Limits bound what the responses on a connection make the client hold.
type Limits struct {
	// HeadBytes bounds the head of a response, with those of interim responses and the trailer.
	HeadBytes int
	// Memory is the budget for heads.
	Memory *intake.Budget
}

// Conn is a client's connection, which carries one request at a time. It fails when bytes arrive that are no valid response,
// and when the connection ends before the response has.
type Conn struct {
	net.Conn
	limits Limits

	mutex    sync.Mutex
	response response
	// readError is the first error of a read.
	readError error
}

// NewConn returns a connection on which no response is due.
func NewConn(connection net.Conn, limits Limits) *Conn {
	return &Conn{Conn: connection, limits: limits}
}

// Begin prepares the connection for a request with the method. It returns the reservation for the heads of the response, which the caller must release, or nil if the connection
// can carry no request.
func (c *Conn) Begin(method string) *HeadMemory {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.readError != nil || c.response.stage != stageEnded {
		return nil
	}
	memory := &HeadMemory{reservation: c.limits.Memory.NewReservation(freeHeadBytes)}
	c.response = response{method: method, stage: stageStatusLine, maxHeadBytes: c.limits.HeadBytes, memory: memory}
	return memory
}

// Read implements net.Conn. It returns nothing that is not part of a valid response.
func (c *Conn) Read(data []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(data)
	accepted, invalid := c.accept(data[:count])
	switch {
	case invalid != nil:
		return accepted, c.fail(invalid)
	case errors.Is(err, io.EOF):
		return accepted, c.fail(c.endOfConnection())
	}
	return accepted, err
}

// failure returns why nothing more can be read, or nil.
func (c *Conn) failure() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.readError
}

// fail makes all further reads fail with the error.
func (c *Conn) fail(err error) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readError = err
	return err
}

// accept checks what has arrived, and returns how much of it may be read.
func (c *Conn) accept(data []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	accepted, err := c.response.accept(data)
	if err == nil && accepted < len(data) {
		// The response before the surplus is whole.
		err = invalid(ReasonSurplus)
	}
	return accepted, err
}

// endOfConnection returns the error for reads after the peer has closed the connection: io.EOF if that is where a response
// may end, and another one otherwise.
func (c *Conn) endOfConnection() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.response.stage == stageEnded || c.response.stage == stageUntilClose || c.response.stage == stageStatusLine && !c.response.hasBegun() {
		return io.EOF
	}
	return io.ErrUnexpectedEOF
}
