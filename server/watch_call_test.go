package server

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
)

// TestCallsSkipUnresponsiveReplica checks that calls with a short timeout reach the next replica, if
// necessary only after some have failed, if the first one accepts connections and never answers.
func TestCallsSkipUnresponsiveReplica(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { unresponsive.Close() })
	live := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		writeCBOR(response, directoryAnswer{Leader: "live"})
	}))
	t.Cleanup(live.Close)
	logger := zerolog.Nop()
	settings := config.Process{Peers: []string{unresponsive.Addr().String(), live.Listener.Addr().String()}}
	settings.PeerPort = 0
	seeds := NewSeeds(settings, func() (config.Process, error) { return settings, nil }, &logger)
	watcher := NewWatcher(seeds, "z", 0, &logger)
	require.Equal(t, settings.Peers, watcher.addresses())
	const timeout = 300 * time.Millisecond
	for range 2 * len(settings.Peers) {
		limited, cancel := context.WithTimeout(context.Background(), timeout)
		_, err = watcher.call(limited, directoryCall{Newest: true})
		cancel()
		if err == nil {
			return
		}
	}
	require.NoError(t, err)
}
