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
	// unacknowledgedTimeout ends a connection whose peer acknowledges nothing: a machine that lost
	// power or is partitioned sends no reset.
	unacknowledgedTimeout = 1500 * time.Millisecond
	// keepAliveInterval is the idle time before the first keep-alive probe and between probes. An
	// unanswered probe ends the connection after unacknowledgedTimeout.
	keepAliveInterval   = time.Second
	maxIdleConnsPerHost = 64
	idleTimeout         = 30 * time.Second
)

// NewDialer returns a dialer whose connections end soon after their peer becomes unreachable.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
		Control: func(_, _ string, connection syscall.RawConn) error {
			return connection.Control(func(descriptor uintptr) {
				// Without the option, the platform's default timeout applies.
				_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(unacknowledgedTimeout.Milliseconds()))
			})
		},
	}
}

// NewHTTPTransport returns an HTTP client transport that uses NewDialer, requests no compression and
// keeps idle connections for reuse.
func NewHTTPTransport() *http.Transport {
	return &http.Transport{
		DialContext: NewDialer().DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout,
	}
}
