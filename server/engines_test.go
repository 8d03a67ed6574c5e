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

const testPatience = 30 * time.Second

// engineServed returns a client of an engine that answers with the handler,
// and the messages that the client makes of its answers.
func engineServed(t *testing.T, handler http.HandlerFunc) (*engineClient, string, chan protocol.EngineMessage) {
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

func next(t *testing.T, received chan protocol.EngineMessage) protocol.EngineMessage {
	select {
	case message := <-received:
		return message
	case <-time.After(testPatience):
		t.Fatal("no message came")
		return protocol.EngineMessage{}
	}
}

func cancelAttempt(client *engineClient, address string) {
	client.send(node.EngineOutgoing{Engine: "e", Address: address, Message: protocol.EngineMessage{Cancel: &protocol.EngineCancel{Attempt: "a"}}})
}

// waitForClose keeps a request open until its caller has closed the connection. The
// server notices that only once the request's body has been read.
func waitForClose(request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	<-request.Context().Done()
}

// TestCancelRightAfterStart: a cancel that follows its start at once ends the
// stream, also if the start has not been carried out yet.
func TestCancelRightAfterStart(t *testing.T) {
	for range 200 {
		client, address, received := engineServed(t, func(_ http.ResponseWriter, request *http.Request) { waitForClose(request) })
		startAttempt(client, address)
		cancelAttempt(client, address)
		message := next(t, received)
		require.True(t, message.Lost != nil || message.Refused != nil)
	}
}

// TestCancelReachesTheEngine: the engine sees the end of an attempt that it had
// begun to work on when it was cancelled.
func TestCancelReachesTheEngine(t *testing.T) {
	begun, ended := make(chan struct{}), make(chan struct{})
	client, address, received := engineServed(t, func(_ http.ResponseWriter, request *http.Request) {
		close(begun)
		waitForClose(request)
		close(ended)
	})
	startAttempt(client, address)
	<-begun
	cancelAttempt(client, address)
	require.NotNil(t, next(t, received).Lost)
	select {
	case <-ended:
	case <-time.After(testPatience):
		t.Fatal("the engine goes on with an attempt that was cancelled")
	}
}

// TestEngineAnswersAreNotTrusted: what is no whole, well-formed answer of the
// attempt counts as a lost one, and only the engine's own word as a refusal.
func TestEngineAnswersAreNotTrusted(t *testing.T) {
	tests := map[string]struct {
		status  int
		body    string
		refused bool
	}{
		"cut stream":         {http.StatusOK, "data: {\"attempt\":\"a\",\"tokens\":[1]}\n\n", false},
		"no stream":          {http.StatusOK, "<html>", false},
		"another's chunk":    {http.StatusOK, "data: {\"attempt\":\"b\",\"done\":true}\n\n", false},
		"truncated chunk":    {http.StatusOK, "data: {\"attempt\":\"a\",\"tok", false},
		"refusal":            {http.StatusServiceUnavailable, `{"attempt":"a","reason":"full"}`, true},
		"another's refusal":  {http.StatusServiceUnavailable, `{"attempt":"b","reason":"full"}`, false},
		"a proxy's refusal":  {http.StatusBadGateway, "bad gateway", false},
		"refusal, no reason": {http.StatusServiceUnavailable, `{"attempt":"a"}`, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, address, received := engineServed(t, func(response http.ResponseWriter, _ *http.Request) {
				response.WriteHeader(test.status)
				_, _ = response.Write([]byte(test.body))
			})
			startAttempt(client, address)
			message := next(t, received)
			if message.Chunk != nil {
				message = next(t, received)
			}
			require.Equal(t, test.refused, message.Refused != nil)
			require.Equal(t, !test.refused, message.Lost != nil)
		})
	}
}

// FuzzReadChunks: whatever bytes an engine streams, the attempt ends with its
// last chunk or as lost, exactly once, and no chunk of another attempt passes.
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
