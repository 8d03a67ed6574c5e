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

// TestUnreadResponseTimesOut checks that a caller that does not read its
// response holds the request only for the write timeout.
func TestUnreadResponseTimesOut(t *testing.T) {
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		writer := newCompletionWriter(response, protocol.LiveRequest{}, true)
		writer.writeTimeout = 100 * time.Millisecond
		for !writer.failed {
			writer.write(node.CallerEvent{Version: 1, Tokens: make([]uint32, 4096)})
			writer.flush()
		}
		close(ended)
	}))
	defer server.Close()
	connection, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer connection.Close()
	_, err = connection.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
	require.NoError(t, err)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the write to a caller that does not read did not time out")
	}
}
