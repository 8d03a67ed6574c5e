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
	// acknowledgeInterval is the least time between two acknowledgements of a stream.
	acknowledgeInterval = 250 * time.Millisecond
	// silenceLimit is how long a peer may leave what was sent to it unacknowledged before
	// its stream is opened anew: several acknowledgements, and less than the kernel takes
	// to give up a connection (unacknowledgedTimeout).
	silenceLimit = time.Second
)

// watchSilence ends the stream once the peer leaves it unacknowledged for too long.
func (l *link) watchSilence(ctx context.Context, end func()) {
	ticker := time.NewTicker(acknowledgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if since := l.unanswered.Load(); since != 0 && l.transport.now()-since > int64(silenceLimit) {
			end()
			return
		}
	}
}

// takeAcknowledgements reads a peer's acknowledgements until the stream ends.
func (l *link) takeAcknowledgements(body io.Reader) {
	var one [64]byte
	for {
		if _, err := body.Read(one[:]); err != nil {
			return
		}
		l.unanswered.Store(0)
	}
}

// acknowledgements returns a function that notes that something has come, and one that ends
// the acknowledging, which writes a byte for all that came since the last one.
func acknowledgements(response http.ResponseWriter) (note, stop func()) {
	controller := http.NewResponseController(response)
	// It fails on HTTP/2 only, where streams go both ways anyway.
	_ = controller.EnableFullDuplex()
	come, ending, ended := make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-ending:
				return
			case <-come:
			}
			_, err := response.Write([]byte{0})
			if err != nil || controller.Flush() != nil {
				return
			}
			select {
			case <-ending:
				return
			case <-time.After(acknowledgeInterval):
			}
		}
	}()
	note = func() {
		select {
		case come <- struct{}{}:
		default:
		}
	}
	stop = func() {
		close(ending)
		<-ended
	}
	return note, stop
}

// freshAfterSilence drops the connections that rest once a call on a kept connection has
// run out of time: connections may go silent for good without a reset, all those to a
// machine at once, while new ones work. The call's own connection is closed with it; without
// this, the next calls would be tried on one silent connection after the other.
type freshAfterSilence struct{ *http.Transport }

// RoundTrip carries out one call.
func (f freshAfterSilence) RoundTrip(request *http.Request) (*http.Response, error) {
	var kept atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { kept.Store(got.Reused) }}
	response, err := f.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil && kept.Load() && errors.Is(request.Context().Err(), context.DeadlineExceeded) {
		f.CloseIdleConnections()
	}
	return response, err
}
