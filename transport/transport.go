// Package transport carries messages between dillchute's own processes: one
// long HTTP request for each direction of a pair, whose body is a sequence of
// length-prefixed CBOR messages. Messages may be lost when a peer cannot be
// reached or does not keep up; they are never reordered within a connection.
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

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/protocol"
)

// Path is where a process takes in messages.
const Path = "/internal/messages"

const (
	// queueLength and bufferSize are allocated for each peer, of which the
	// leader of control has as many as there are nodes.
	queueLength     = 4096
	bufferSize      = 16 << 10
	maxMessageBytes = 1 << 30
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = time.Second
	// idleClose ends a connection that has carried nothing for so long.
	idleClose = 2 * time.Minute
)

var (
	namespace = errorx.NewNamespace("transport")
	// ErrMalformed: a stream holds something other than messages.
	ErrMalformed = namespace.NewType("malformed")
)

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 26, MaxMapPairs: 1 << 26}.DecMode()
	if err != nil {
		panic("transport: decoder options: " + err.Error())
	}
	return mode
}()

// Counts are the transport's totals.
type Counts struct {
	MessagesSent, MessagesDropped, MessagesReceived atomic.Uint64
	BytesSent, BytesReceived                        atomic.Uint64
}

// Transport sends messages to peers by address and takes in theirs.
type Transport struct {
	logger  *zerolog.Logger
	receive func(protocol.Message)
	context context.Context
	stop    context.CancelFunc
	client  *http.Client

	mutex sync.Mutex
	links map[string]*link
	wait  sync.WaitGroup
	// began is the origin of now.
	began time.Time

	// Counts may be read at any time.
	Counts Counts
}

// New returns a transport that hands received messages to the function, which
// is called from several goroutines.
func New(logger *zerolog.Logger, receive func(protocol.Message)) *Transport {
	background, stop := context.WithCancel(context.Background())
	return &Transport{
		logger: logger, receive: receive, context: background, stop: stop,
		client: &http.Client{Transport: NewInternalTransport()},
		links:  map[string]*link{},
		began:  time.Now().Add(-time.Nanosecond),
	}
}

// now returns the steady time in nanoseconds, which is never 0.
func (t *Transport) now() int64 { return int64(time.Since(t.began)) }

// Close drops what has not been sent and ends all connections.
func (t *Transport) Close() {
	t.stop()
	t.wait.Wait()
}

// Send queues a message for the process at the address. It never blocks: the
// message is dropped if the queue is full.
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
	existing := t.links[address]
	if existing == nil {
		existing = &link{transport: t, address: address, queue: make(chan *protocol.Message, queueLength)}
		t.links[address] = existing
		t.wait.Add(1)
		go existing.run()
	}
	return existing
}

// link is the connection to one peer.
type link struct {
	transport *Transport
	address   string
	queue     chan *protocol.Message
	failing   bool
	// unanswered is when the first of the bytes was sent that the peer has not
	// acknowledged, in nanoseconds since the transport began; 0 for none.
	unanswered atomic.Int64
}

func (l *link) run() {
	defer l.transport.wait.Done()
	backoff := minBackoff
	for {
		select {
		case <-l.transport.context.Done():
			return
		case message := <-l.queue:
			if l.stream(message) {
				backoff = minBackoff
				continue
			}
		}
		l.drop()
		select {
		case <-l.transport.context.Done():
			return
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// drop discards what was queued while the peer could not be reached: the
// senders resend what still matters.
func (l *link) drop() {
	for {
		select {
		case <-l.queue:
			l.transport.Counts.MessagesDropped.Add(1)
		default:
			return
		}
	}
}

// stream sends messages over one connection until it fails or is idle, and
// tells whether it carried any.
func (l *link) stream(first *protocol.Message) bool {
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(l.transport.context)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.address+Path, reader)
	if err != nil {
		return false
	}
	ended := make(chan error, 1)
	l.unanswered.Store(0)
	go func() {
		response, err := l.transport.client.Do(request)
		if err == nil {
			l.takeAcknowledgements(response.Body)
			response.Body.Close()
			err = io.EOF
		}
		reader.CloseWithError(err)
		ended <- err
	}()
	go l.watchSilence(ctx, cancel)
	sent := l.write(writer, first, ended)
	writer.Close()
	l.note(sent)
	return sent
}

func (l *link) write(writer io.Writer, first *protocol.Message, ended <-chan error) bool {
	buffered := bufio.NewWriterSize(writer, bufferSize)
	message, sent := first, false
	idle := time.NewTimer(idleClose)
	defer idle.Stop()
	for {
		if err := l.encode(buffered, message); err != nil {
			return sent
		}
		if len(l.queue) == 0 {
			l.unanswered.CompareAndSwap(0, l.transport.now())
			if err := buffered.Flush(); err != nil {
				return sent
			}
			sent = true
		}
		idle.Reset(idleClose)
		select {
		case message = <-l.queue:
		case <-ended:
			return sent
		case <-l.transport.context.Done():
			// The caller closes the body, without which the HTTP client
			// would go on waiting for it.
			return sent
		case <-idle.C:
			return true
		}
	}
}

func (l *link) encode(writer io.Writer, message *protocol.Message) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		panic("transport: a message must encode: " + err.Error())
	}
	if err := WriteFrame(writer, data); err != nil {
		return err
	}
	l.transport.Counts.MessagesSent.Add(1)
	l.transport.Counts.BytesSent.Add(uint64(lengthSize + len(data)))
	return nil
}

func (l *link) note(sent bool) {
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

// ServeHTTP takes in a peer's stream of messages.
func (t *Transport) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	acknowledge, stop := acknowledgements(response)
	defer stop()
	reader := bufio.NewReaderSize(request.Body, bufferSize)
	for {
		message, size, err := ReadMessage(reader)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			if errorx.IsOfType(err, ErrMalformed) {
				event.MalformedStream.On(t.logger).Str("peer", request.RemoteAddr).Err(err).Send()
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

// ReadMessage reads one length-prefixed message and returns its size in bytes.
// It returns io.EOF at the end of the stream and an ErrMalformed error for
// bytes that are no message.
func ReadMessage(reader io.Reader) (protocol.Message, int, error) {
	var message protocol.Message
	data, err := ReadFrame(reader, maxMessageBytes)
	if err != nil {
		return message, 0, err
	}
	if err := decoder.Unmarshal(data, &message); err != nil {
		return message, 0, ErrMalformed.Wrap(err, "decode")
	}
	return message, lengthSize + len(data), nil
}
