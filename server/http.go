package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/intake"
)

// rpcOptions are those of a listener for remote procedure calls, whose clients may multiplex them.
func rpcOptions() intake.ServerOptions { return intake.ServerOptions{Weight: mainWeight, HTTP2: true} }

// httpServer serves the connections of a listener.
type httpServer interface{ Serve(net.Listener) error }

// serveHTTP serves in the background. The returned channel is closed if serving fails.
func serveHTTP(server httpServer, listener net.Listener, logger *zerolog.Logger) <-chan struct{} {
	failed := make(chan struct{})
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			event.HTTPServerFailed.On(logger).Err(err).Send()
			close(failed)
		}
	}()
	return failed
}

func stopHTTP(server *intake.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}

// addOperationalRoutes adds the routes of health checks and metrics and, if enabled, of profiles.
func addOperationalRoutes(router *mux.Router, ready func() bool, registry *prometheus.Registry, profiles bool) {
	router.HandleFunc("/healthz", func(response http.ResponseWriter, _ *http.Request) {
		response.WriteHeader(http.StatusOK)
	})
	router.HandleFunc("/readyz", func(response http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(response, "not ready", http.StatusServiceUnavailable)
		}
	})
	router.Handle("/metrics", atMost(maxScrapes, promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
	if profiles {
		router.PathPrefix("/debug/pprof/profile").HandlerFunc(pprof.Profile)
		router.PathPrefix("/debug/pprof/").Handler(atMost(maxProfiles, http.HandlerFunc(pprof.Index)))
	}
}

// Numbers of requests for metrics and for profiles that are answered at a time. Each takes memory for its whole answer.
const (
	maxScrapes  = 8
	maxProfiles = 2
)

// atMost refuses requests with 503 while that many are being answered.
func atMost(limit int, handler http.Handler) http.Handler {
	places := make(chan struct{}, limit)
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
			handler.ServeHTTP(response, request)
		default:
			response.Header().Set("Retry-After", "1")
			http.Error(response, "too many requests at a time", http.StatusServiceUnavailable)
		}
	})
}
