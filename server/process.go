package server

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/event"
)

const (
	// callerIdleTimeout is how long a caller's connection may rest.
	callerIdleTimeout = 60 * time.Second
	// entryDelay is how long after a planned stop has begun new connections may
	// still arrive.
	entryDelay = 3500 * time.Millisecond
	// exitMargin is kept of the grace for the process's own end.
	exitMargin  = 700 * time.Millisecond
	memoryShare = 0.8
	mebibyte    = 1 << 20
)

// limitMemory has the collector keep the process under its limit.
func limitMemory(settings config.Process) {
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit) * mebibyte))
	}
}

func newCallerServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}
}

// listen opens an address and serves it in the background.
func listen(address string, handler http.Handler, logger *zerolog.Logger) (*http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	httpServer := newCallerServer(handler)
	serveHTTP(httpServer, listener, logger)
	return httpServer, nil
}

// serveMetrics serves metrics and profiles on the process's metrics address.
func serveMetrics(settings config.Process, collect collector, logger *zerolog.Logger) error {
	if settings.MetricsAddress == "" {
		return nil
	}
	router := mux.NewRouter()
	addOperational(router, func() bool { return true }, newRegistry(collect), true)
	_, err := listen(settings.MetricsAddress, router, logger)
	return err
}

// RunGateway serves callers and the entry until the context ends, and then ends
// what runs.
func RunGateway(ctx context.Context, settings config.Gateway, gateway *Gateway, callers, ready http.Handler, logger *zerolog.Logger) error {
	limitMemory(settings.Process)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go gateway.Run(background)
	if err := serveMetrics(settings.Process, gateway.collect, logger); err != nil {
		return err
	}
	readyServer, err := listen(settings.ReadyAddress, ready, logger)
	if err != nil {
		return err
	}
	defer readyServer.Close()
	callerServer, err := listen(settings.CallerAddress, callers, logger)
	if err != nil {
		return err
	}
	event.GatewayStarted.On(logger).Str("name", settings.Name).Str("address", settings.CallerAddress).Send()
	<-ctx.Done()
	event.GatewayStopping.On(logger).Int("in_flight", gateway.InFlight()).Send()
	gateway.drain(settings.Grace)
	event.GatewayStopped.On(logger).Int("in_flight", gateway.InFlight()).Send()
	return callerServer.Close()
}

// drain takes what still comes until the entry sends no more, and waits for
// what runs, as long as the grace allows.
func (g *Gateway) drain(grace time.Duration) {
	g.Stop()
	began := time.Now()
	for time.Since(began) < grace-exitMargin {
		if time.Since(began) > entryDelay && g.InFlight() == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

// RunDirectory serves operators and backends until the context ends.
func RunDirectory(ctx context.Context, settings config.Directory, served *Directory, control http.Handler, logger *zerolog.Logger) error {
	limitMemory(settings.Process)
	internal, err := net.Listen("tcp", settings.InternalAddress)
	if err != nil {
		return err
	}
	if err := serveMetrics(settings.Process, served.collect, logger); err != nil {
		return err
	}
	controlServer, err := listen(settings.ControlAddress, control, logger)
	if err != nil {
		return err
	}
	defer controlServer.Close()
	return served.Run(ctx, internal)
}

// RunLedger serves gateways and other stores until the context ends.
func RunLedger(ctx context.Context, settings config.Ledger, served *Ledger, logger *zerolog.Logger) error {
	limitMemory(settings.Process)
	internal, err := net.Listen("tcp", settings.InternalAddress)
	if err != nil {
		return err
	}
	if err := serveMetrics(settings.Process, served.collect, logger); err != nil {
		return err
	}
	return served.Run(ctx, internal)
}
