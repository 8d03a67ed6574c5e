package responsecheck

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// dialFunc opens a connection, like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Check makes the transport, which must not be in use yet, check all responses. Its connections are *Conn, and requests must
// be sent with RoundTrip.
func Check(base *http.Transport, limits Limits) {
	base.DialContext = checkedDial(base.DialContext, limits)
	base.MaxResponseHeaderBytes = int64(limits.HeadBytes)
}

// transport is a client transport whose connections check the responses.
type transport struct{ http *http.Transport }

// NewClient returns an HTTP client that sends requests with the transport and checks all responses. It follows no redirect,
// which would let a service choose who gets a request.
func NewClient(base *http.Transport, limits Limits) *http.Client {
	Check(base, limits)
	return &http.Client{
		Transport:     &transport{http: base},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// checkedDial returns a function that opens connections with dial and checks their responses.
func checkedDial(dial dialFunc, limits Limits) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(connection, limits), nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	return RoundTrip(t.http, request)
}

// RoundTrip sends the request with a transport that checks responses. The memory for the heads of the response is reserved
// until its body is closed.
func RoundTrip(checked http.RoundTripper, request *http.Request) (*http.Response, error) {
	var latest atomic.Pointer[HeadMemory]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		memory := info.Conn.(*Conn).Begin(request.Method, bodyLength(request))
		if memory == nil {
			// The round trip fails with the connection. An error says that it is closed already.
			_ = info.Conn.Close()
			return
		}
		release(latest.Swap(memory))
	}}
	response, err := checked.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		release(latest.Load())
		return nil, err
	}
	response.Body = &releasingBody{ReadCloser: response.Body, memory: latest.Load()}
	return response, nil
}

func release(memory *HeadMemory) {
	if memory != nil {
		memory.Release()
	}
}

// releasingBody releases the memory of a response's heads when it is closed.
type releasingBody struct {
	io.ReadCloser
	memory *HeadMemory
}

// Close implements io.Closer.
func (b *releasingBody) Close() error {
	release(b.memory)
	return b.ReadCloser.Close()
}

// CloseIdleConnections closes the connections that carry no request. http.Client calls it.
func (t *transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// bodyLength returns the length of the request's body as it is sent, or a negative number if that is not known.
func bodyLength(request *http.Request) int64 {
	if request.ContentLength == 0 && request.Body != nil && request.Body != http.NoBody {
		return -1
	}
	return request.ContentLength
}
