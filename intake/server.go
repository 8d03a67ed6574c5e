package intake

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// ServerOptions describe one listener of a process.
type ServerOptions struct {
	// Weight sets the listener's share of the process's connections, in relation to its other listeners.
	Weight int
	// Limits returns the current limits of a client. If it is nil, DefaultLimits apply.
	Limits func() Limits
	// HTTP2 allows connections that multiplex requests.
	HTTP2 bool
}

// Server serves HTTP within the limits of an Intake.
type Server struct {
	*http.Server
	intake  *Intake
	options ServerOptions
}

// Limits of a multiplexed connection, whose requests share its memory.
const (
	maxStreams              = 64
	maxMultiplexedFrame     = 16 << 10
	multiplexedBuffer       = 64 << 10
	multiplexedHeaderBytes  = 64 << 10
	multiplexedPingInterval = 30 * time.Second
)

// connKey is the context key of a request's connection.
type connKey struct{}

// NewServer returns a server of the handler.
func (i *Intake) NewServer(handler http.Handler, options ServerOptions) *Server {
	if options.Limits == nil {
		options.Limits = DefaultLimits
	}
	s := &Server{intake: i, options: options}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(options.HTTP2)
	s.Server = &http.Server{
		Handler: s.limit(handler), Protocols: protocols, ConnState: recordState,
		ConnContext: func(ctx context.Context, connection net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, connection)
		},
		// The connection enforces the limit on heads, which may change. This one is above all.
		MaxHeaderBytes: maxHeaderBytes,
	}
	if options.HTTP2 {
		s.MaxHeaderBytes = multiplexedHeaderBytes
		s.HTTP2 = &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReadFrameSize: maxMultiplexedFrame, MaxReceiveBufferPerConnection: multiplexedBuffer,
			MaxReceiveBufferPerStream: multiplexedBuffer, SendPingTimeout: multiplexedPingInterval,
		}
	}
	return s
}

// maxHeaderBytes is above each configured limit on heads.
const maxHeaderBytes = 1 << 30

// Serve serves the connections of the listener until the server is closed.
func (s *Server) Serve(inner net.Listener) error {
	return s.Server.Serve(&listener{
		Listener: inner, intake: s.intake, section: s.intake.connections.addSection(s.options.Weight),
		limits: s.options.Limits, allowsHTTP2: s.options.HTTP2,
	})
}

// recordState follows the HTTP server's view of a connection. The server calls it between the reads of the connection.
func recordState(connection net.Conn, state http.ConnState) {
	c, ok := connection.(*conn)
	if !ok {
		return
	}
	if current := c.currentPhase(); state != http.StateClosed && (current == phaseMultiplexed || current == phaseRefused) {
		return
	}
	switch state {
	case http.StateActive:
		c.clearReadDeadline()
		c.enter(phaseAnswer)
	case http.StateIdle:
		c.awaitRequest()
	case http.StateClosed, http.StateHijacked:
		c.end()
	}
}

// connOf returns the connection of the request, or nil if it is not one of this package's or carries many requests.
func connOf(request *http.Request) *conn {
	c, ok := request.Context().Value(connKey{}).(*conn)
	if !ok || c.currentPhase() == phaseMultiplexed {
		return nil
	}
	return c
}

// limit refuses whole heads over the limit, and bounds the time for bodies.
func (s *Server) limit(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		c := connOf(request)
		if c == nil {
			handler.ServeHTTP(response, request)
			return
		}
		limits := s.options.Limits()
		if headBytes(request) > limits.HeaderBytes {
			s.intake.counters.refused[refusalHeadTooLarge].Add(1)
			response.Header().Set("Connection", "close")
			http.Error(response, "the head of the request is too large", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if request.ContentLength != 0 {
			c.enter(phaseBody)
			request.Body = &timedBody{ReadCloser: request.Body, conn: c}
			c.extendBodyDeadline(time.Time{})
		}
		handler.ServeHTTP(response, request)
	})
}

// headBytes returns the least size that the request's head can have had: without optional spaces, and without the fields that
// the HTTP server removes.
func headBytes(request *http.Request) int {
	// A colon and a line feed.
	const separators = 2
	size := len(request.Method) + len(request.RequestURI) + len(request.Proto)
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// timedBody is a request body that must make progress.
type timedBody struct {
	io.ReadCloser
	conn *conn
	// deadline is when the body must be whole, or the zero time.
	deadline time.Time
	// untimed is set if the handler bounds the time itself.
	untimed atomic.Bool
	ended   bool
}

// Read implements io.Reader.
func (b *timedBody) Read(data []byte) (int, error) {
	if b.untimed.Load() || b.ended {
		return b.ReadCloser.Read(data)
	}
	b.conn.extendBodyDeadline(b.deadline)
	count, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		b.end()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = ErrTimeout.Wrap(err, "read the body")
	}
	return count, err
}

// end records that the whole body was read. From now on the connection waits for the answer.
func (b *timedBody) end() {
	b.ended = true
	b.conn.clearReadDeadline()
	b.conn.enter(phaseAnswer)
}

// extendBodyDeadline allows IdleTimeout for the next part of the body, within the deadline if that is not zero.
func (c *conn) extendBodyDeadline(deadline time.Time) {
	next := time.Now().Add(c.listener.limits().IdleTimeout)
	if !deadline.IsZero() && deadline.Before(next) {
		next = deadline
	}
	// An error means that the connection is closed, which the read returns.
	_ = c.Conn.SetReadDeadline(next)
}

// Streaming wraps a handler whose requests have bodies without end, and which bounds the time for them itself.
func Streaming(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if body, ok := request.Body.(*timedBody); ok {
			body.untimed.Store(true)
			body.conn.clearReadDeadline()
			body.conn.enter(phaseAnswer)
		}
		handler.ServeHTTP(response, request)
	})
}

// bodyCopies is how often what a handler reads of a body is held, as bytes and decoded.
const bodyCopies = 4

// LimitBodies wraps a handler that reads and decodes bodies itself. What it reads of a body is reserved until it returns; a
// read fails with ErrBusy or ErrTooLarge if the budget has no room.
func (i *Intake) LimitBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		memory := i.Memory.NewReservation(freeBodyBytes)
		defer memory.Release()
		request.Body = &reservedBody{ReadCloser: request.Body, memory: memory}
		handler.ServeHTTP(response, request)
	})
}

// reservedBody is a request body whose content is reserved as it is read.
type reservedBody struct {
	io.ReadCloser
	memory *Reservation
	read   int64
}

// Read implements io.Reader.
func (b *reservedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	b.read += int64(count)
	if refused := b.memory.Resize(bodyCopies * b.read); refused != nil {
		return 0, refused
	}
	return count, err
}
