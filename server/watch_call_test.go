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

// TestCallsGetPastAReplicaThatStandsStill: the first replica of the list takes connections and
// answers nothing, as a machine that stands still does. Callers that give a call no longer than one
// replica may take come through to the next replica all the same, if not at once then with the next
// calls.
func TestCallsGetPastAReplicaThatStandsStill(t *testing.T) {
	still, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { still.Close() })
	live := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		writeCBOR(response, directoryAnswer{Leader: "live"})
	}))
	t.Cleanup(live.Close)
	logger := zerolog.Nop()
	settings := config.Process{Peers: []string{still.Addr().String(), live.Listener.Addr().String()}}
	settings.PeerPort = 0
	seeds := NewSeeds(settings, func() (config.Process, error) { return settings, nil }, &logger)
	watcher := NewWatcher(seeds, "z", 0, &logger)
	require.Equal(t, settings.Peers, watcher.addresses())
	const patience = 300 * time.Millisecond
	for range 2 * len(settings.Peers) {
		limited, cancel := context.WithTimeout(context.Background(), patience)
		_, err = watcher.call(limited, directoryCall{Newest: true})
		cancel()
		if err == nil {
			return
		}
	}
	require.NoError(t, err)
}
