package server

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestsAfterDrainAreRefused checks that a graceful shutdown waits for running requests, and that later
// ones on an open connection are refused without reaching a backend.
func TestRequestsAfterDrainAreRefused(t *testing.T) {
	gateway := newTestGateway(time.Now())
	entered, release := make(chan struct{}), make(chan struct{})
	handled := 0
	handler := gateway.closeConnections(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
		handled++
		close(entered)
		<-release
		response.WriteHeader(http.StatusOK)
	}))
	send := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/x", nil))
		return recorder
	}
	first := make(chan *httptest.ResponseRecorder, 1)
	go func() { first <- send() }()
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
	late := send()
	require.Equal(t, http.StatusServiceUnavailable, late.Code)
	require.Equal(t, "close", late.Header().Get("Connection"))
	require.Equal(t, 1, handled)
	require.Zero(t, gateway.InFlight())
}
