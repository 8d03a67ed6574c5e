package server

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/event"
)

// Seeds holds the addresses of directory replicas from the settings file, which may change while the
// process runs.
type Seeds struct {
	load      func() (config.Process, error)
	logger    *zerolog.Logger
	addresses atomic.Pointer[[]string]
	// refreshedAt is the time of the last Refresh that read the settings, in milliseconds.
	refreshedAt atomic.Int64
}

// minSeedReloadInterval is the minimum time between reads by Refresh.
const minSeedReloadInterval = 2 * time.Second

// NewSeeds returns the seeds of the settings. The function load reads the settings again.
func NewSeeds(settings config.Process, load func() (config.Process, error), logger *zerolog.Logger) *Seeds {
	s := &Seeds{load: load, logger: logger}
	addresses := settings.PeerAddresses()
	s.addresses.Store(&addresses)
	return s
}

// Addresses returns the addresses of the last successful read.
func (s *Seeds) Addresses() []string { return *s.addresses.Load() }

// Current returns the addresses after a Refresh. A process calls it when no known address answers.
func (s *Seeds) Current() []string {
	s.Refresh()
	return s.Addresses()
}

// Refresh reads the settings again unless it did so recently. Invalid settings are ignored.
func (s *Seeds) Refresh() {
	previous := s.refreshedAt.Load()
	now := nowMillis()
	if now-previous > minSeedReloadInterval.Milliseconds() && s.refreshedAt.CompareAndSwap(previous, now) {
		s.reload()
	}
}

func (s *Seeds) reload() {
	settings, err := s.load()
	if err != nil {
		event.SettingsRejected.On(s.logger).Err(err).Send()
		return
	}
	addresses := settings.PeerAddresses()
	if slices.Equal(addresses, s.Addresses()) {
		return
	}
	s.addresses.Store(&addresses)
	event.SettingsApplied.On(s.logger).Str("peers", strings.Join(addresses, " ")).Send()
}

// NotifyHangup returns a channel that receives SIGHUP. It must be called before anything else at startup,
// because until then the signal terminates the process.
func NotifyHangup() chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// ReloadOnSignal reads the settings again on each signal until the context ends. SIGHUP stays caught after
// that, so that it does not terminate the process during a graceful shutdown.
func (s *Seeds) ReloadOnSignal(ctx context.Context, hangups chan os.Signal) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				event.ReloadRequested.On(s.logger).Send()
				s.reload()
			}
		}
	}()
}
