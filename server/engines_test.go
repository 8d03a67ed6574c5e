package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/protocol"
)

const testTimeout = 30 * time.Second

// newTestEngine returns a client, the address of an engine that serves the handler, and the client's
// messages.
func newTestEngine(t *testing.T, handler http.HandlerFunc) (*engineClient, string, chan protocol.EngineMessage) {
	server := httptest.NewServer(handler)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		server.Close()
	})
	received := make(chan protocol.EngineMessage, 16)
	client := newEngineClient(ctx, func(_ string, message protocol.EngineMessage) { received <- message })
	return client, strings.TrimPrefix(server.URL, "http://"), received
}

func startAttempt(client *engineClient, address string) {
	client.send(node.EngineOutgoing{Engine: "e", Address: address, Message: protocol.EngineMessage{Start: &protocol.EngineStart{Attempt: "a"}}})
}

func nextMessage(t *testing.T, received chan protocol.EngineMessage) protocol.EngineMessage {
	select {
	case message := <-received:
		return message
	case <-time.After(testTimeout):
		t.Fatal("no message received")
		return protocol.EngineMessage{}
	}
}

func cancelAttempt(client *engineClient, address string) {
	client.send(node.EngineOutgoing{Engine: "e", Address: address, Message: protocol.EngineMessage{Cancel: &protocol.EngineCancel{Attempt: "a"}}})
}

// waitForClose blocks until the caller has closed the connection. The server only detects that once the
// request's body has been read.
func waitForClose(request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	<-request.Context().Done()
}

// TestCancelRightAfterStart checks that a cancel immediately after a start ends the attempt, even if the
// start has not been sent yet.
func TestCancelRightAfterStart(t *testing.T) {
	for range 200 {
		client, address, received := newTestEngine(t, func(_ http.ResponseWriter, request *http.Request) { waitForClose(request) })
		startAttempt(client, address)
		cancelAttempt(client, address)
		message := nextMessage(t, received)
		require.True(t, message.Lost != nil || message.Refused != nil)
	}
}

// TestCancelReachesTheEngine checks that the engine sees the cancellation of an attempt that it is
// processing.
func TestCancelReachesTheEngine(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	client, address, received := newTestEngine(t, func(_ http.ResponseWriter, request *http.Request) {
		close(begun)
		waitForClose(request)
		close(ended)
	})
	startAttempt(client, address)
	<-begun
	cancelAttempt(client, address)
	require.NotNil(t, nextMessage(t, received).Lost)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the engine continues a cancelled attempt")
	}
}

// TestInvalidEngineResponses checks that an incomplete or malformed response counts as a lost attempt, and
// that only an engine's refusal of this attempt counts as a refusal.
func TestInvalidEngineResponses(t *testing.T) {
	tests := map[string]struct {
		status  int
		body    string
		refused bool
	}{
		"incomplete stream":          {http.StatusOK, "data: {\"attempt\":\"a\",\"tokens\":[1]}\n\n", false},
		"not a stream":               {http.StatusOK, "<html>", false},
		"chunk of another attempt":   {http.StatusOK, "data: {\"attempt\":\"b\",\"done\":true}\n\n", false},
		"truncated chunk":            {http.StatusOK, "data: {\"attempt\":\"a\",\"tok", false},
		"refusal":                    {http.StatusServiceUnavailable, `{"attempt":"a","reason":"full"}`, true},
		"refusal of another attempt": {http.StatusServiceUnavailable, `{"attempt":"b","reason":"full"}`, false},
		"response of a proxy":        {http.StatusBadGateway, "bad gateway", false},
		"refusal without reason":     {http.StatusServiceUnavailable, `{"attempt":"a"}`, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, address, received := newTestEngine(t, func(response http.ResponseWriter, _ *http.Request) {
				response.WriteHeader(test.status)
				_, _ = response.Write([]byte(test.body))
			})
			startAttempt(client, address)
			message := nextMessage(t, received)
			if message.Chunk != nil {
				message = nextMessage(t, received)
			}
			require.Equal(t, test.refused, message.Refused != nil)
			require.Equal(t, !test.refused, message.Lost != nil)
		})
	}
}

// FuzzReadChunks checks that for any streamed bytes the attempt ends exactly once, with its last chunk or
// as lost, and that no chunk of another attempt is accepted.
func FuzzReadChunks(f *testing.F) {
	f.Add([]byte("data: {\"attempt\":\"a\",\"tokens\":[1]}\n\ndata: {\"attempt\":\"a\",\"done\":true}\n\n"))
	f.Add([]byte("data: {\"attempt\":\"b\"}\n\n"))
	f.Add([]byte("event: x\ndata: {"))
	f.Fuzz(func(t *testing.T, data []byte) {
		ends := 0
		client := newEngineClient(context.Background(), func(_ string, message protocol.EngineMessage) {
			require.Zero(t, ends, "a message after the end")
			if message.Chunk != nil {
				require.Equal(t, "a", message.Chunk.Attempt)
			}
			if message.Lost != nil || message.Chunk.Done {
				ends++
			}
		})
		client.readChunks("e", "a", &http.Response{Body: io.NopCloser(bytes.NewReader(data))})
		require.Equal(t, 1, ends)
	})
}
