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
	// redialInterval is the time after which a connection that is not up yet is
	// tried once more beside the first: a machine that has just got power loses
	// what was sent before, and the kernel sends again only after a second.
	redialInterval = 120 * time.Millisecond
	// maxDials bounds the attempts for one connection.
	maxDials = 5
)

// dialFunc opens a connection, as net.Dialer's DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialed is the end of one attempt.
type dialed struct {
	connection net.Conn
	err        error
}

// redialer opens connections by attempts that overlap. The first that succeeds
// counts, and the others are closed.
type redialer struct {
	dial     dialFunc
	interval time.Duration
	timeout  time.Duration
}

// DialContext opens a connection. A peer that refuses is believed at once.
func (r redialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	results := make(chan dialed, maxDials)
	attempt := func() {
		connection, err := r.dial(ctx, network, address)
		results <- dialed{connection, err}
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
				go closeAll(results, started-ended)
				return result.connection, result.err
			}
		}
	}
}

// closeAll closes the connections of the attempts that have not ended yet.
func closeAll(results <-chan dialed, count int) {
	for range count {
		if late := <-results; late.err == nil {
			late.connection.Close()
		}
	}
}

// NewInternalTransport returns an HTTP client transport for calls between the
// system's own processes: like NewHTTPTransport, quick to reach a machine that has just
// come back, and quick to leave connections that have gone silent.
func NewInternalTransport() http.RoundTripper {
	plain := NewHTTPTransport()
	plain.DialContext = redialer{dial: plain.DialContext, interval: redialInterval, timeout: dialTimeout}.DialContext
	return freshAfterSilence{plain}
}
