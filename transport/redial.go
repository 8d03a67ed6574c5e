package transport

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// redialInterval is the time after which another dial is started beside those in progress. A
	// machine that has just started loses earlier packets, and the kernel retransmits only after a
	// second.
	redialInterval = 120 * time.Millisecond
	// maxDials is the maximum number of dials for one connection.
	maxDials = 5
)

// dialFunc opens a connection like net.Dialer.DialContext.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialResult is the result of one dial.
type dialResult struct {
	connection net.Conn
	err        error
}

// redialer opens connections with overlapping dials. The first successful one is used, and the others
// are closed.
type redialer struct {
	dial     dialFunc
	interval time.Duration
	timeout  time.Duration
}

// DialContext opens a connection. It fails at once if the peer refuses the connection.
func (r redialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	results := make(chan dialResult, maxDials)
	attempt := func() {
		connection, err := r.dial(ctx, network, address)
		results <- dialResult{connection, err}
	}
	go attempt()
	started, ended := 1, 0
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if started < maxDials {
				started++
				go attempt()
			}
		case result := <-results:
			ended++
			if result.err == nil || errors.Is(result.err, syscall.ECONNREFUSED) || ended == started {
				go closeLateConnections(results, started-ended)
				return result.connection, result.err
			}
		}
	}
}

// closeLateConnections closes the connections of the dials that have not finished yet.
func closeLateConnections(results <-chan dialResult, count int) {
	for range count {
		if result := <-results; result.err == nil {
			result.connection.Close()
		}
	}
}

// NewInternalTransport returns an HTTP client transport for calls between dillchute's own processes.
// In addition to NewHTTPTransport, it redials while a machine is starting, and drops idle connections
// after a timeout.
func NewInternalTransport() http.RoundTripper {
	plain := NewHTTPTransport()
	plain.DialContext = redialer{dial: plain.DialContext, interval: redialInterval, timeout: dialTimeout}.DialContext
	return dropIdleAfterTimeout{plain}
}
