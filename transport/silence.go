package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// minAcknowledgeInterval is the minimum time between two acknowledgements of a stream.
	minAcknowledgeInterval = 250 * time.Millisecond
	// acknowledgementTimeout is how long sent data may remain unacknowledged before the stream is
	// reopened. It allows for several acknowledgements and is shorter than unacknowledgedTimeout of
	// the kernel.
	acknowledgementTimeout = time.Second
)

// watchAcknowledgements cancels the stream if the peer does not acknowledge it in time.
func (l *link) watchAcknowledgements(ctx context.Context, cancel func()) {
	ticker := time.NewTicker(minAcknowledgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if since := l.unacknowledgedSince.Load(); since != 0 && l.transport.now()-since > int64(acknowledgementTimeout) {
			cancel()
			return
		}
	}
}

// readAcknowledgements reads the peer's acknowledgements until the stream ends.
func (l *link) readAcknowledgements(body io.Reader) {
	var buffer [64]byte
	for {
		if _, err := body.Read(buffer[:]); err != nil {
			return
		}
		l.unacknowledgedSince.Store(0)
	}
}

// startAcknowledging returns a function that requests an acknowledgement of received data, and one
// that stops acknowledging. An acknowledgement is one byte, which covers all data since the previous
// one.
func startAcknowledging(response http.ResponseWriter) (acknowledge, stop func()) {
	controller := http.NewResponseController(response)
	// This fails only on HTTP/2, where streams are full-duplex anyway.
	_ = controller.EnableFullDuplex()
	received, stopping, done := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stopping:
				return
			case <-received:
			}
			_, err := response.Write([]byte{0})
			if err != nil || controller.Flush() != nil {
				return
			}
			select {
			case <-stopping:
				return
			case <-time.After(minAcknowledgeInterval):
			}
		}
	}()
	acknowledge = func() {
		select {
		case received <- struct{}{}:
		default:
		}
	}
	stop = func() {
		close(stopping)
		<-done
	}
	return acknowledge, stop
}

// dropIdleAfterTimeout closes the idle connections when a call on a reused connection times out. All
// connections to a machine may stop responding at once without a reset, while new ones work; otherwise
// the next calls would time out on one of them after another.
type dropIdleAfterTimeout struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (f dropIdleAfterTimeout) RoundTrip(request *http.Request) (*http.Response, error) {
	var reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused.Store(info.Reused) }}
	response, err := f.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil && reused.Load() && errors.Is(request.Context().Err(), context.DeadlineExceeded) {
		f.CloseIdleConnections()
	}
	return response, err
}
