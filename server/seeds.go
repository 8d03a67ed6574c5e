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

// Seeds are the addresses of replicas of the directory that the settings file
// names. The file may change while the process runs.
type Seeds struct {
	load      func() (config.Process, error)
	logger    *zerolog.Logger
	addresses atomic.Pointer[[]string]
	// readAt is when the settings were last read without a signal, in milliseconds.
	readAt atomic.Int64
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

// Current returns the newest addresses after a Refresh, for a process that gets no answer at those
// that it knows.
func (s *Seeds) Current() []string {
	s.Refresh()
	return s.Addresses()
}

// Refresh reads the settings again unless that has been done shortly before. A
// file that is wrong changes nothing.
func (s *Seeds) Refresh() {
	last := s.readAt.Load()
	now := nowMillis()
	if now-last > seedInterval.Milliseconds() && s.readAt.CompareAndSwap(last, now) {
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

// CatchHangUps returns the process's hang-up signals, which end it until this is called: it is
// what a role does first, before it reads its settings.
func CatchHangUps() chan os.Signal {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps
}

// FollowSignals reads the settings again whenever a hang-up signal arrives, or one has since the
// signals are caught, until the context ends. The signals stay caught after that: given back, one
// that comes during a planned stop would end the process with all that it still does.
func (s *Seeds) FollowSignals(ctx context.Context, hangUps chan os.Signal) {
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangUps:
				event.ReloadRequested.On(s.logger).Send()
				s.reload()
			}
		}
	}()
}
