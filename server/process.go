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
	"github.com/dillchute/dillchute/intake"
)

const (
	// memoryLimitFraction is the fraction of the process's memory limit that is set as Go's memory
	// limit, and gcPercent is the value for debug.SetGCPercent. Pages of the mapped database, which Go does not
	// count, need room in processes with a data folder.
	memoryLimitFraction       = 0.8
	mappedMemoryLimitFraction = 0.5
	gcPercent                 = 40
	mebibyte                  = 1 << 20
)

// limitMemory configures the garbage collector for a small heap within the fraction of the memory limit.
func limitMemory(settings config.Process, fraction float64) {
	debug.SetGCPercent(gcPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(fraction * float64(settings.MemoryLimit) * mebibyte))
	}
}

// checkClock logs a warning if the machine has no clock that counts suspensions.
func checkClock(logger *zerolog.Logger) {
	if !clock.HasBootTime() {
		event.BootClockUnavailable.On(logger).Send()
	}
}

// Weights of the listeners, which set their shares of a process's connections.
const (
	// mainWeight is that of the listeners for the process's work.
	mainWeight = 8
	// auxiliaryWeight is that of the listeners for readiness checks and metrics.
	auxiliaryWeight = 1
)

// NewIntake returns the budgets for the clients of a process.
func NewIntake(settings config.Process) *intake.Intake {
	return intake.New(intake.NewCapacity(settings.MemoryLimit, settings.DescriptorLimit))
}

// Listeners holds the open listeners of a process. Metrics may be nil.
type Listeners struct {
	// Internal serves other processes of dillchute.
	Internal net.Listener
	// External serves callers (gateway) or operators and backends (directory).
	External net.Listener
	// Ready serves the load balancer's readiness checks.
	Ready   net.Listener
	Metrics net.Listener
}

// Listen opens a listener for each address that is not empty.
func Listen(internal, external, ready, metrics string) (Listeners, error) {
	var listeners Listeners
	for _, target := range []struct {
		address string
		into    *net.Listener
	}{{internal, &listeners.Internal}, {external, &listeners.External}, {ready, &listeners.Ready}, {metrics, &listeners.Metrics}} {
		if target.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", target.address)
		if err != nil {
			return listeners, err
		}
		*target.into = listener
	}
	return listeners, nil
}

// serveMetrics serves metrics, profiles and the added routes. It does nothing if the listener is nil.
func serveMetrics(limits *intake.Intake, listener net.Listener, logger *zerolog.Logger, collect collector, extra []prometheus.Collector, addRoutes ...func(router *mux.Router)) {
	if listener == nil {
		return
	}
	router := mux.NewRouter()
	withIntake := func(emit chan<- prometheus.Metric) {
		collect(emit)
		collectIntake(emit, limits.Status())
	}
	addOperationalRoutes(router, func() bool { return true }, newRegistry(withIntake, extra...), true)
	for _, addRoute := range addRoutes {
		addRoute(router)
	}
	serveHTTP(limits.NewServer(router, intake.ServerOptions{Weight: auxiliaryWeight}), listener, logger)
}

// RunGateway serves callers and readiness checks until the context ends, and then shuts down gracefully.
func RunGateway(ctx context.Context, settings config.Gateway, gateway *Gateway, listeners Listeners, callers, ready http.Handler, logger *zerolog.Logger) error {
	limitMemory(settings.Process, memoryLimitFraction)
	checkClock(logger)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go gateway.Run(background)
	serveMetrics(gateway.intake, listeners.Metrics, logger, gateway.collect, gateway.metrics.collectors())
	readyServer := gateway.intake.NewServer(ready, intake.ServerOptions{Weight: auxiliaryWeight})
	serveHTTP(readyServer, listeners.Ready, logger)
	defer readyServer.Close()
	callerServer := gateway.newCallerServer(callers)
	serveHTTP(callerServer, listeners.External, logger)
	event.GatewayStarted.On(logger).Str("name", settings.Name).Str("address", settings.CallerAddress).Send()
	<-ctx.Done()
	event.GatewayStopping.On(logger).Int("in_flight", gateway.InFlight()).Send()
	err := gateway.shutDown(callerServer.Server, settings.Grace)
	event.GatewayStopped.On(logger).Int("in_flight", gateway.InFlight()).Send()
	return err
}

// controlShutdownTimeout is how long a stopping replica waits for open calls of operators and backends.
// Their clients wait no longer than that.
const controlShutdownTimeout = time.Second

// RunDirectory serves operators and backends until the context ends. The replica stops only after the
// calls in progress, which depend on it.
func RunDirectory(ctx context.Context, settings config.Directory, directory *Directory, listeners Listeners, control http.Handler, logger *zerolog.Logger) error {
	limitMemory(settings.Process, mappedMemoryLimitFraction)
	checkClock(logger)
	serveMetrics(directory.intake, listeners.Metrics, logger, directory.collect, directory.metrics.collectors(), directory.scale.addStatusRoute)
	controlServer := directory.intake.NewServer(control, intake.ServerOptions{Weight: mainWeight})
	serveHTTP(controlServer, listeners.External, logger)
	defer controlServer.Close()
	replicaContext, stop := context.WithCancel(context.Background())
	defer stop()
	context.AfterFunc(ctx, func() {
		defer stop()
		// Calls still open after the timeout are aborted. Their clients have timed out by then.
		_ = shutDownServer(controlServer.Server, controlShutdownTimeout)
	})
	return directory.Run(replicaContext, listeners.Internal)
}

// RunLedger serves gateways and other stores until the context ends.
func RunLedger(ctx context.Context, settings config.Ledger, ledger *Ledger, listeners Listeners, logger *zerolog.Logger) error {
	limitMemory(settings.Process, mappedMemoryLimitFraction)
	checkClock(logger)
	serveMetrics(ledger.intake, listeners.Metrics, logger, ledger.collect, ledger.metrics.collectors())
	return ledger.Run(ctx, listeners.Internal)
}
