// Package transport sends messages between dillchute's own processes: one long HTTP request for each
// direction of a pair, whose body is a sequence of length-prefixed CBOR messages. Messages may be lost
// if a peer is unreachable or too slow; they are never reordered within a connection.
package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/protocol"
)

// Path is the HTTP path at which a process receives messages.
const Path = "/internal/messages"

const (
	// queueLength and bufferSize are allocated for each peer; the leader has one peer for each node.
	queueLength     = 4096
	bufferSize      = 16 << 10
	maxMessageBytes = 1 << 30
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = time.Second
	// streamIdleTimeout is the time without messages after which a stream is closed.
	streamIdleTimeout = 2 * time.Minute
	// malformedLogInterval is the minimum time between two log lines about malformed streams.
	malformedLogInterval = time.Second
	// streamReadTimeout bounds the wait for a message. A sender closes its stream before.
	streamReadTimeout = streamIdleTimeout + 10*time.Second
)

var (
	namespace = errorx.NewNamespace("transport")
	// ErrMalformed is the type of errors for streams that contain anything but messages.
	ErrMalformed = namespace.NewType("malformed")
)

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 26, MaxMapPairs: 1 << 26}.DecMode()
	if err != nil {
		panic("transport: invalid decoder options: " + err.Error())
	}
	return mode
}()

// Counts are the transport's totals.
type Counts struct {
	// MessagesRefused counts the received messages that the budget of memory had no room for.
	MessagesSent, MessagesDropped, MessagesReceived, MessagesRefused atomic.Uint64
	BytesSent, BytesReceived                                         atomic.Uint64
}

// Transport sends messages to peers by address and receives theirs.
type Transport struct {
	logger  *zerolog.Logger
	memory  *intake.Budget
	receive func(protocol.Message)
	context context.Context
	cancel  context.CancelFunc
	client  *http.Client

	mutex   sync.Mutex
	links   map[string]*link
	running sync.WaitGroup
	// malformedLog bounds the log lines about malformed streams, which anyone can send.
	malformedLog rate.Sometimes
	// start is the origin of now.
	start time.Time

	// Counts may be read at any time.
	Counts Counts
}

// New returns a transport that passes received messages to the function, which is called from several
// goroutines. The memory for messages that are being received comes from the budget.
func New(logger *zerolog.Logger, memory *intake.Budget, receive func(protocol.Message)) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		logger: logger, memory: memory, receive: receive, context: ctx, cancel: cancel,
		client: &http.Client{Transport: NewInternalTransport()},
		links:  map[string]*link{}, malformedLog: rate.Sometimes{Interval: malformedLogInterval},
		start: time.Now().Add(-time.Nanosecond),
	}
}

// now returns the monotonic time since the start in nanoseconds, which is never 0.
func (t *Transport) now() int64 { return int64(time.Since(t.start)) }

// Close discards unsent messages and closes all connections.
func (t *Transport) Close() {
	t.cancel()
	t.running.Wait()
}

// Send queues a message for the process at the address. It never blocks: the message is dropped if the
// queue is full.
func (t *Transport) Send(address string, message protocol.Message) {
	select {
	case t.link(address).queue <- &message:
	default:
		t.Counts.MessagesDropped.Add(1)
	}
}

func (t *Transport) link(address string) *link {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	peer := t.links[address]
	if peer == nil {
		peer = &link{transport: t, address: address, queue: make(chan *protocol.Message, queueLength)}
		t.links[address] = peer
		t.running.Add(1)
		go peer.run()
	}
	return peer
}

// link is the connection to one peer.
type link struct {
	transport *Transport
	address   string
	queue     chan *protocol.Message
	failing   bool
	// unacknowledgedSince is when the first unacknowledged data was sent, in nanoseconds since the
	// transport's start; 0 if there is none.
	unacknowledgedSince atomic.Int64
}

func (l *link) run() {
	defer l.transport.running.Done()
	backoff := minBackoff
	for {
		select {
		case <-l.transport.context.Done():
			return
		case message := <-l.queue:
			if l.sendStream(message) {
				backoff = minBackoff
				continue
			}
		}
		l.dropQueued()
		select {
		case <-l.transport.context.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// dropQueued discards the messages queued while the peer was unreachable. Senders resend those that
// still matter.
func (l *link) dropQueued() {
	for {
		select {
		case <-l.queue:
			l.transport.Counts.MessagesDropped.Add(1)
		default:
			return
		}
	}
}

// sendStream sends messages over one connection until it fails or is idle, and reports whether any was
// sent.
func (l *link) sendStream(first *protocol.Message) bool {
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(l.transport.context)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.address+Path, reader)
	if err != nil {
		return false
	}
	ended := make(chan error, 1)
	l.unacknowledgedSince.Store(0)
	go func() {
		response, err := l.transport.client.Do(request)
		if err == nil {
			l.readAcknowledgements(response.Body)
			response.Body.Close()
			err = io.EOF
		}
		reader.CloseWithError(err)
		ended <- err
	}()
	go l.watchAcknowledgements(ctx, cancel)
	sent := l.writeMessages(writer, first, ended)
	writer.Close()
	l.recordReachability(sent)
	return sent
}

func (l *link) writeMessages(writer io.Writer, first *protocol.Message, ended <-chan error) bool {
	buffered := bufio.NewWriterSize(writer, bufferSize)
	message, sent := first, false
	idle := time.NewTimer(streamIdleTimeout)
	defer idle.Stop()
	for {
		if err := l.encode(buffered, message); err != nil {
			return sent
		}
		if len(l.queue) == 0 {
			l.unacknowledgedSince.CompareAndSwap(0, l.transport.now())
			if err := buffered.Flush(); err != nil {
				return sent
			}
			sent = true
		}
		idle.Reset(streamIdleTimeout)
		select {
		case message = <-l.queue:
		case <-ended:
			return sent
		case <-l.transport.context.Done():
			// The caller closes the body; otherwise, the HTTP client would keep waiting for it.
			return sent
		case <-idle.C:
			return true
		}
	}
}

func (l *link) encode(writer io.Writer, message *protocol.Message) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic("transport: encode message: " + err.Error())
	}
	if err := WriteFrame(writer, data); err != nil {
		return err
	}
	l.transport.Counts.MessagesSent.Add(1)
	l.transport.Counts.BytesSent.Add(uint64(lengthPrefixBytes + len(data)))
	return nil
}

func (l *link) recordReachability(sent bool) {
	if sent == !l.failing {
		return
	}
	l.failing = !sent
	if l.transport.context.Err() != nil {
		return
	}
	kind := event.PeerReachable
	if l.failing {
		kind = event.PeerUnreachable
	}
	kind.On(l.transport.logger).Str("peer", l.address).Send()
}

// ServeHTTP receives a peer's stream of messages.
func (t *Transport) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	acknowledge, stop := startAcknowledging(response)
	defer stop()
	reader := bufio.NewReaderSize(request.Body, bufferSize)
	controller := http.NewResponseController(response)
	for {
		// It fails on HTTP/2, where the server closes connections that are not used.
		_ = controller.SetReadDeadline(time.Now().Add(streamReadTimeout))
		message, size, err := ReadMessage(t.memory, reader)
		if errors.Is(err, io.EOF) {
			return
		}
		if intake.IsRefusal(err) {
			// The sender opens another stream, and its core sends again what still matters.
			t.Counts.MessagesRefused.Add(1)
			return
		}
		if err != nil {
			if errorx.IsOfType(err, ErrMalformed) {
				t.malformedLog.Do(func() {
					event.MalformedStream.On(t.logger).Str("peer", request.RemoteAddr).Err(err).Send()
				})
				http.Error(response, "malformed message", http.StatusBadRequest)
			}
			return
		}
		acknowledge()
		t.Counts.MessagesReceived.Add(1)
		t.Counts.BytesReceived.Add(uint64(size))
		t.receive(message)
	}
}

// ReadMessage reads a length-prefixed message and returns it with its size in bytes. It returns io.EOF
// at the end of the stream and an ErrMalformed error for data that is not a message.
//
// The memory of the encoded message, and of what it decodes to, comes from the budget while it is read.
func ReadMessage(budget *intake.Budget, reader io.Reader) (protocol.Message, int, error) {
	var message protocol.Message
	frame, err := ReadFrame(budget, reader, maxMessageBytes)
	if err != nil {
		return message, 0, err
	}
	defer frame.Release()
	if err := frame.Memory.Resize(int64(cap(frame.Bytes)) + intake.CBORMemory(frame.Bytes)); err != nil {
		return message, 0, err
	}
	if err := decoder.Unmarshal(frame.Bytes, &message); err != nil {
		return message, 0, ErrMalformed.Wrap(err, "decode")
	}
	return message, lengthPrefixBytes + len(frame.Bytes), nil
}
