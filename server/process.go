package server

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
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
	// entryDelay is how long after a planned stop has begun new connections may
	// still arrive.
	entryDelay = 3500 * time.Millisecond
	// exitMargin is kept of the grace for the process's own end.
	exitMargin = 700 * time.Millisecond
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
	if !clock.HasBoot() {
		event.NoBootClock.On(logger).Send()
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

// serveMetrics serves metrics and profiles, if there is a listener for them.
func serveMetrics(listener net.Listener, logger *zerolog.Logger, collect collector, further []prometheus.Collector) {
	if listener == nil {
		return
	}
	router := mux.NewRouter()
	addOperational(router, func() bool { return true }, newRegistry(collect, further...), true)
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
	stopBy := time.Now().Add(settings.Grace - exitMargin)
	gateway.drain(stopBy)
	gateway.usage.finish(background)
	tellNews(background, gateway.guard, gateway.watcher)
	event.GatewayStopped.On(logger).Int("in_flight", gateway.InFlight()).Send()
	return shutDown(callerServer, stopBy)
}

// closeTime is what a server has at least for the last answers, which are ready, to be written.
const closeTime = 200 * time.Millisecond

// shutDown ends the server's connections, each after the answer that is being written. What is
// left when the time is over is cut.
func shutDown(server *http.Server, stopBy time.Time) error {
	limited, cancel := context.WithTimeout(context.Background(), max(time.Until(stopBy), closeTime))
	defer cancel()
	if server.Shutdown(limited) == nil {
		return nil
	}
	return server.Close()
}

// closeConnections ends a connection after its answer while a planned stop is
// under way, and after a chunked request: the library lets chunks win over a
// length that stands beside them, so nothing that follows is believed.
//
// A request that comes after the last one was waited for is refused: it must not be passed on
// and then be cut by the process's end. It is counted before that is looked at, so that none
// slips between.
func (g *Gateway) closeConnections(callers http.Handler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		defer g.Begin()()
		if g.closed.Load() {
			response.Header().Set("Connection", "close")
			response.Header().Set("Retry-After", strconv.FormatFloat(RetryAfter.Seconds(), 'f', -1, 64))
			response.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if g.Stopping() || len(request.TransferEncoding) > 0 {
			response.Header().Set("Connection", "close")
		}
		callers.ServeHTTP(response, request)
	})
}

// drain takes what still comes until the entry sends no more, and waits for what runs, until
// the time at the latest. After that nothing more is taken.
func (g *Gateway) drain(stopBy time.Time) {
	g.Stop()
	entryEnds := time.Now().Add(entryDelay)
	for time.Now().Before(stopBy) && (time.Now().Before(entryEnds) || g.InFlight() > 0) {
		time.Sleep(drainPoll)
	}
	g.closed.Store(true)
	for time.Now().Before(stopBy) && g.InFlight() > 0 {
		time.Sleep(drainPoll)
	}
}

// RunDirectory serves operators and backends until the context ends.
func RunDirectory(ctx context.Context, settings config.Directory, served *Directory, listeners Listeners, control http.Handler, logger *zerolog.Logger) error {
	limitMemory(settings.Process)
	checkClock(logger)
	serveMetrics(listeners.Metrics, logger, served.collect, served.metrics.collectors())
	controlServer := newCallerServer(control)
	serveHTTP(controlServer, listeners.Outer, logger)
	defer controlServer.Close()
	return served.Run(ctx, listeners.Internal)
}

// RunLedger serves gateways and other stores until the context ends.
func RunLedger(ctx context.Context, settings config.Ledger, served *Ledger, listeners Listeners, logger *zerolog.Logger) error {
	limitMemory(settings.Process)
	checkClock(logger)
	serveMetrics(listeners.Metrics, logger, served.collect, served.metrics.collectors())
	return served.Run(ctx, listeners.Internal)
}
