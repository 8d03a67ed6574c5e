package transport

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	dialTimeout = 700 * time.Millisecond
	// unacknowledgedTimeout ends a connection whose peer acknowledges nothing:
	// a machine without power, or behind a cut, sends no reset.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// probeTime is how long a connection rests before the kernel asks its peer for a sign of
	// life, and between two such questions. One that is not answered ends the connection once
	// unacknowledgedTimeout is over.
	probeTime       = time.Second
	idleConnections = 64
	idleTimeout     = 30 * time.Second
)

// NewDialer returns a dialer whose connections end soon after their peer has
// become unreachable.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeTime, Interval: probeTime, Count: 2},
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(descriptor uintptr) {
				// A platform without the option keeps its own time limit.
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
}

// NewHTTPTransport returns an HTTP client transport over such connections. It
// asks for no compression and keeps idle connections for further calls.
func NewHTTPTransport() *http.Transport {
	return &http.Transport{
		DialContext: NewDialer().DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout,
	}
}
