package server

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
)

const gatewaySettings = `
name: gateway-1
zone: z
internal_address: "127.0.0.1:7000"
caller_address: "127.0.0.1:7001"
ready_address: "127.0.0.1:7002"
peer_port: 7000
`

// TestHangupReloadsSeeds checks that SIGHUP applies the changed peers without terminating the process, and
// that invalid settings are ignored.
func TestHangupReloadsSeeds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway.yaml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(gatewaySettings + `peers: ["10.0.0.1:80"]`)
	settings, err := config.LoadGateway(path)
	require.NoError(t, err)
	logger := zerolog.Nop()
	seeds := NewSeeds(settings.Process, func() (config.Process, error) {
		reloaded, err := config.LoadGateway(path)
		return reloaded.Process, err
	}, &logger)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seeds.ReloadOnSignal(ctx, NotifyHangup())
	require.Equal(t, []string{"10.0.0.1:7000"}, seeds.Addresses())

	write(gatewaySettings + `peers: ["10.0.0.2:80", "10.0.0.3:80"]`)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	hasChanged := func() bool { return len(seeds.Addresses()) == 2 }
	require.Eventually(t, hasChanged, time.Minute, time.Millisecond)
	require.Equal(t, []string{"10.0.0.2:7000", "10.0.0.3:7000"}, seeds.Addresses())

	write(gatewaySettings + `peers: [not an address]`)
	seeds.Refresh()
	require.Equal(t, []string{"10.0.0.2:7000", "10.0.0.3:7000"}, seeds.Addresses())
}

// TestCurrentReloadsSeeds checks that Current reads the settings without a signal.
func TestCurrentReloadsSeeds(t *testing.T) {
	logger := zerolog.Nop()
	changed := config.Process{Peers: []string{"10.0.0.2:80"}, PeerPort: 7000}
	seeds := NewSeeds(config.Process{Peers: []string{"10.0.0.1:80"}, PeerPort: 7000}, func() (config.Process, error) { return changed, nil }, &logger)
	require.Equal(t, []string{"10.0.0.1:7000"}, seeds.Addresses())
	require.Equal(t, []string{"10.0.0.2:7000"}, seeds.Current())
}

// TestSeedIntervalUsesMonotonicClock checks that the time between reloads is measured by package clock, so
// that setting the wall clock back does not delay them.
func TestSeedIntervalUsesMonotonicClock(t *testing.T) {
	logger := zerolog.Nop()
	reads := 0
	seeds := NewSeeds(config.Process{}, func() (config.Process, error) { reads++; return config.Process{}, nil }, &logger)
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	seeds.Refresh()
	seeds.Refresh()
	require.Equal(t, 1, reads)
	source.Suspend(2 * minSeedReloadInterval)
	seeds.Refresh()
	require.Equal(t, 2, reads)
}
