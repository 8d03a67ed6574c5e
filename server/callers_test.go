package server

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/protocol"
)

// TestCallerThatDoesNotReadIsGivenUp: a caller that leaves its answer unread
// holds the request for the write timeout and no longer.
func TestCallerThatDoesNotReadIsGivenUp(t *testing.T) {
	givenUp := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		answer := newAnswer(response, protocol.LiveRequest{}, true)
		answer.writeTimeout = 100 * time.Millisecond
		for !answer.broken {
			answer.add(node.CallerEvent{Version: 1, Tokens: make([]uint32, 4096)})
			answer.flush()
		}
		close(givenUp)
	}))
	defer server.Close()
	connection, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer connection.Close()
	_, err = connection.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	select {
	case <-givenUp:
	case <-time.After(testTimeout):
		t.Fatal("the answer waits for its caller")
	}
}
