package transport

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/protocol"
)

func newTransport(t *testing.T) (*Transport, string, chan protocol.Message) {
	logger := zerolog.Nop()
	received := make(chan protocol.Message, 1024)
	transport := New(&logger, testMemory(), func(message protocol.Message) { received <- message })
	server := httptest.NewUnstartedServer(transport)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(func() {
		transport.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return transport, strings.TrimPrefix(server.URL, "http://"), received
}

func TestMessagesArriveInOrder(t *testing.T) {
	sender, _, _ := newTransport(t)
	_, address, received := newTransport(t)
	const count = 500
	for number := range count {
		sender.Send(address, protocol.Message{From: "sender", Join: &protocol.Join{Address: strings.Repeat("x", number)}})
	}
	for number := range count {
		message := <-received
		require.Equal(t, "sender", message.From)
		require.Len(t, message.Join.Address, number)
	}
}

// Messages to an unreachable peer must be dropped without blocking the sender.
func TestUnreachablePeerDoesNotBlock(t *testing.T) {
	sender, _, _ := newTransport(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := listener.Addr().String()
	require.NoError(t, listener.Close())
	for range 20_000 {
		sender.Send(unreachable, protocol.Message{From: "sender"})
	}
	_, address, received := newTransport(t)
	sender.Send(address, protocol.Message{From: "still here"})
	require.Equal(t, "still here", (<-received).From)
}

func TestMalformedStreamIsRefused(t *testing.T) {
	_, address, _ := newTransport(t)
	tests := map[string][]byte{
		"too long": {0xff, 0xff, 0xff, 0xff, 1, 2, 3},
		"not cbor": {0, 0, 0, 3, 0xff, 0xff, 0xff},
		"number":   {0, 0, 0, 1, 0x01},
	}
	for name, body := range tests {
		t.Run(name, func(t *testing.T) {
			response, err := http.Post("http://"+address, "application/cbor", bytes.NewReader(body))
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
		})
	}
}

func TestTruncatedMessageEndsTheStream(t *testing.T) {
	_, _, err := ReadMessage(testMemory(), bytes.NewReader([]byte{0, 0, 1, 0, 0xa1}))
	require.ErrorIs(t, err, io.EOF)
	_, _, err = ReadMessage(testMemory(), bytes.NewReader([]byte{0, 0}))
	require.ErrorIs(t, err, io.EOF)
}

// Data from a peer must be read as messages or return a typed error, never panic.
func FuzzReadMessage(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Add([]byte{0, 0, 0, 2, 0xa1, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := bytes.NewReader(data)
		for {
			_, _, err := ReadMessage(testMemory(), reader)
			if err == nil {
				continue
			}
			require.True(t, err == io.EOF || errorx.IsOfType(err, ErrMalformed))
			return
		}
	})
}
