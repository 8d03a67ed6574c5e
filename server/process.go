package server

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/event"
)

const (
	// callerIdleTimeout is how long a caller's connection may rest.
	callerIdleTimeout = 60 * time.Second
	// memoryShare is the part of a limit that the collector keeps to, and
	// collectPercent how much the heap may grow between collections.
	memoryShare    = 0.8
	collectPercent = 40
	mebibyte       = 1 << 20
)

// limitMemory has the collector keep the process small, and under its limit.
func limitMemory(settings config.Process) {
	debug.SetGCPercent(collectPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit) * mebibyte))
	}
}

// checkClock says so if suspensions of the machine can only be guessed.
func checkClock(logger *zerolog.Logger) {
	if !clock.HasBootTime() {
		event.BootClockUnavailable.On(logger).Send()
	}
}

func newCallerServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}
}

// Listeners are the open addresses of a process. Metrics may be nil.
type Listeners struct {
	// Internal is where other processes of dillchute call.
	Internal net.Listener
	// Outer is where callers, or operators and backends, call.
	Outer net.Listener
	// Ready is where the entry asks whether the process is ready.
	Ready   net.Listener
	Metrics net.Listener
}

// Listen opens the addresses that are not empty.
func Listen(internal, outer, ready, metrics string) (Listeners, error) {
	var opened Listeners
	for _, one := range []struct {
		address string
		into    *net.Listener
	}{{internal, &opened.Internal}, {outer, &opened.Outer}, {ready, &opened.Ready}, {metrics, &opened.Metrics}} {
		if one.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			return opened, err
		}
		*one.into = listener
	}
	return opened, nil
}

// serveMetrics serves metrics and profiles, if there is a listener for them, and what else the
// functions add.
func serveMetrics(listener net.Listener, logger *zerolog.Logger, collect collector, further []prometheus.Collector, add ...func(router *mux.Router)) {
	if listener == nil {
		return
	}
	router := mux.NewRouter()
	addOperationalRoutes(router, func() bool { return true }, newRegistry(collect, further...), true)
	for _, one := range add {
		one(router)
	}
	serveHTTP(newCallerServer(router), listener, logger)
}

// RunGateway serves callers and the entry until the context ends, and then ends
// what runs.
func RunGateway(ctx context.Context, settings config.Gateway, gateway *Gateway, listeners Listeners, callers, ready http.Handler, logger *zerolog.Logger) error {
	limitMemory(settings.Process)
	checkClock(logger)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go gateway.Run(background)
	serveMetrics(listeners.Metrics, logger, gateway.collect, gateway.metrics.collectors())
	readyServer := newCallerServer(ready)
	serveHTTP(readyServer, listeners.Ready, logger)
	defer readyServer.Close()
	callerServer := newCallerServer(gateway.closeConnections(callers))
	serveHTTP(callerServer, listeners.Outer, logger)
	event.GatewayStarted.On(logger).Str("name", settings.Name).Str("address", settings.CallerAddress).Send()
	<-ctx.Done()
	event.GatewayStopping.On(logger).Int("in_flight", gateway.InFlight()).Send()
	err := gateway.end(callerServer, settings.Grace)
	event.GatewayStopped.On(logger).Int("in_flight", gateway.InFlight()).Send()
	return err
}

// callTime is what calls of operators and backends that a replica has taken have to end when it
// stops: they are answered, one way or the other, within the second that their senders wait.
const callTime = time.Second

// RunDirectory serves operators and backends until the context ends. Calls that it has taken by
// then end before the replica does, which they need.
func RunDirectory(ctx context.Context, settings config.Directory, served *Directory, listeners Listeners, control http.Handler, logger *zerolog.Logger) error {
	limitMemory(settings.Process)
	checkClock(logger)
	serveMetrics(listeners.Metrics, logger, served.collect, served.metrics.collectors(), served.scale.addStatus)
	controlServer := newCallerServer(control)
	serveHTTP(controlServer, listeners.Outer, logger)
	defer controlServer.Close()
	replicaContext, stop := context.WithCancel(context.Background())
	defer stop()
	context.AfterFunc(ctx, func() {
		defer stop()
		// What is left then is cut, of which its sender learns no more than by an answer that is late.
		_ = shutDown(controlServer, callTime)
	})
	return served.Run(replicaContext, listeners.Internal)
}

// RunLedger serves gateways and other stores until the context ends.
func RunLedger(ctx context.Context, settings config.Ledger, served *Ledger, listeners Listeners, logger *zerolog.Logger) error {
	limitMemory(settings.Process)
	checkClock(logger)
	serveMetrics(listeners.Metrics, logger, served.collect, served.metrics.collectors())
	return served.Run(ctx, listeners.Internal)
}
