package server

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNothingIsTakenAfterTheLastRequest: a planned stop waits for what runs, and a request that
// comes later on an open connection is refused and reaches nobody.
func TestNothingIsTakenAfterTheLastRequest(t *testing.T) {
	gateway := newTestGateway(time.Now())
	entered, release := make(chan struct{}), make(chan struct{})
	passed := 0
	handler := gateway.closeConnections(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		passed++
		close(entered)
		<-release
		response.WriteHeader(http.StatusOK)
	}))
	ask := func() *httptest.ResponseRecorder {
		recorded := httptest.NewRecorder()
		handler.ServeHTTP(recorded, httptest.NewRequest(http.MethodPost, "/x", nil))
		return recorded
	}
	first := make(chan *httptest.ResponseRecorder, 1)
	go func() { first <- ask() }()
	<-entered
	require.Equal(t, int64(1), gateway.InFlight())
	gateway.Stop(time.Minute)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		gateway.drain()
	}()
	require.True(t, gateway.Stopping())
	close(release)
	require.Equal(t, http.StatusOK, (<-first).Code)
	<-drained
	late := ask()
	require.Equal(t, http.StatusServiceUnavailable, late.Code)
	require.Equal(t, "close", late.Header().Get("Connection"))
	require.Equal(t, 1, passed)
	require.Zero(t, gateway.InFlight())
}
