package server

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
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

// Seeds are the addresses of replicas of the directory that the settings file
// names. The file may change while the process runs.
type Seeds struct {
	load      func() (config.Process, error)
	logger    *zerolog.Logger
	addresses atomic.Pointer[[]string]
	readAt    atomic.Int64
}

// seedInterval is the least time between two reads without a signal.
const seedInterval = 2 * time.Second

// NewSeeds returns the seeds of the settings, which the function reads again.
func NewSeeds(settings config.Process, load func() (config.Process, error), logger *zerolog.Logger) *Seeds {
	s := &Seeds{load: load, logger: logger}
	addresses := settings.PeerAddresses()
	s.addresses.Store(&addresses)
	return s
}

// Addresses returns the newest addresses.
func (s *Seeds) Addresses() []string { return *s.addresses.Load() }

// Refresh reads the settings again unless that has been done shortly before. A
// file that is wrong changes nothing.
func (s *Seeds) Refresh() {
	last := s.readAt.Load()
	if time.Since(time.UnixMilli(last)) > seedInterval && s.readAt.CompareAndSwap(last, time.Now().UnixMilli()) {
		s.reload()
	}
}

func (s *Seeds) reload() {
	settings, err := s.load()
	if err != nil {
		event.SettingsRefused.On(s.logger).Err(err).Send()
		return
	}
	addresses := settings.PeerAddresses()
	if slices.Equal(addresses, s.Addresses()) {
		return
	}
	s.addresses.Store(&addresses)
	event.SettingsTaken.On(s.logger).Str("peers", strings.Join(addresses, " ")).Send()
}

// FollowSignals reads the settings again whenever a hang-up signal arrives.
func (s *Seeds) FollowSignals(ctx context.Context) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangUps)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangUps:
				event.ReloadAsked.On(s.logger).Send()
				s.reload()
			}
		}
	}()
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
