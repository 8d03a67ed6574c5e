// Package responsecheck checks the bytes of HTTP/1 responses strictly, as they arrive on the connections of a client. The
// HTTP client of package net/http reads leniently what RFC 9110 and RFC 9112 call invalid, and may take the end of a
// connection that has failed for the end of a response. A connection of this package fails instead, so that only valid and
// whole responses reach whoever reads them. It checks status lines, fields, chunks, trailers and interim responses, and bounds
// heads.
package responsecheck

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/dillchute/dillchute/intake"
)

// writeEndTimeout bounds the wait for the result of a write when the peer has closed the connection.
const writeEndTimeout = time.Second

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

	// writeMutex is held during each write.
	writeMutex sync.Mutex
	mutex      sync.Mutex
	response   response
	request    request
	// writeError and readError are the first errors of the two directions.
	writeError, readError error
}

// NewConn returns a connection on which no response is due.
func NewConn(connection net.Conn, limits Limits) *Conn {
	return &Conn{Conn: connection, limits: limits}
}

// Begin prepares the connection for a request with the method whose body has the length, or a negative one if that is not
// known. It returns the reservation for the heads of the response, which the caller must release, or nil if the connection
// can carry no request.
func (c *Conn) Begin(method string, bodyLength int64) *HeadMemory {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.readError != nil || c.writeError != nil || c.response.stage != stageEnded {
		return nil
	}
	memory := &HeadMemory{reservation: c.limits.Memory.NewReservation(freeHeadBytes)}
	c.response = response{method: method, stage: stageStatusLine, maxHeadBytes: c.limits.HeadBytes, memory: memory}
	c.request = request{bodyLeft: bodyLength}
	return memory
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	c.mutex.Lock()
	c.request.add(data)
	c.mutex.Unlock()
	count, err := c.Conn.Write(data)
	if err != nil {
		c.mutex.Lock()
		c.writeError = errors.Join(c.writeError, err)
		c.mutex.Unlock()
	}
	return count, err
}

// Read implements net.Conn. It returns nothing that is not part of a valid response.
func (c *Conn) Read(data []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(data)
	accepted, violation := c.accept(data[:count])
	switch {
	case violation != nil:
		return accepted, c.fail(violation)
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
//
// A response that ends with its connection is whole only if the whole request was written before: the kernel reports a reset
// once, to a write or to a read. If the write has taken the report, the read sees a connection that was closed in order.
func (c *Conn) endOfConnection() error {
	c.mutex.Lock()
	stage, hasBegun, isWritten := c.response.stage, c.response.hasBegun(), c.request.isWhole()
	c.mutex.Unlock()
	switch {
	case stage == stageEnded, stage == stageStatusLine && !hasBegun:
		return io.EOF
	case stage != stageUntilClose || !isWritten:
		return io.ErrUnexpectedEOF
	}
	if c.awaitWrite() != nil {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// awaitWrite waits until the current write has ended, and returns the first error of all writes.
func (c *Conn) awaitWrite() error {
	// An error means that the connection is closed, so that the write ends.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeEndTimeout))
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writeError
}
