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

// TestHangUpReadsSettingsAgain: a hang-up signal does not end the process; the
// peers of the changed file are taken, and a wrong file changes nothing.
func TestHangUpReadsSettingsAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "gateway.yaml")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(gatewaySettings + `peers: ["10.0.0.1:80"]`)
	settings, err := config.LoadGateway(path)
	require.NoError(t, err)
	logger := zerolog.Nop()
	seeds := NewSeeds(settings.Process, func() (config.Process, error) {
		again, err := config.LoadGateway(path)
		return again.Process, err
	}, &logger)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	seeds.FollowSignals(ctx, CatchHangUps())
	require.Equal(t, []string{"10.0.0.1:7000"}, seeds.Addresses())

	write(gatewaySettings + `peers: ["10.0.0.2:80", "10.0.0.3:80"]`)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	changed := func() bool { return len(seeds.Addresses()) == 2 }
	require.Eventually(t, changed, time.Minute, time.Millisecond)
	require.Equal(t, []string{"10.0.0.2:7000", "10.0.0.3:7000"}, seeds.Addresses())

	write(gatewaySettings + `peers: [not an address]`)
	seeds.Refresh()
	require.Equal(t, []string{"10.0.0.2:7000", "10.0.0.3:7000"}, seeds.Addresses())
}

// TestCurrentSeedsAreRead: a process that gets no answer learns of other seeds without a signal.
func TestCurrentSeedsAreRead(t *testing.T) {
	logger := zerolog.Nop()
	read := config.Process{Peers: []string{"10.0.0.2:80"}, PeerPort: 7000}
	seeds := NewSeeds(config.Process{Peers: []string{"10.0.0.1:80"}, PeerPort: 7000}, func() (config.Process, error) { return read, nil }, &logger)
	require.Equal(t, []string{"10.0.0.1:7000"}, seeds.Addresses())
	require.Equal(t, []string{"10.0.0.2:7000"}, seeds.Current())
}

// TestSeedIntervalIsNotOfTheTimeOfDay: the time between two reads is that of package clock, so that
// a machine whose time of day was set back still learns of other seeds.
func TestSeedIntervalIsNotOfTheTimeOfDay(t *testing.T) {
	logger := zerolog.Nop()
	reads := 0
	seeds := NewSeeds(config.Process{}, func() (config.Process, error) { reads++; return config.Process{}, nil }, &logger)
	machine := &clock.Suspendable{}
	defer clock.Use(machine)()
	seeds.Refresh()
	seeds.Refresh()
	require.Equal(t, 1, reads)
	machine.Suspend(2 * seedInterval)
	seeds.Refresh()
	require.Equal(t, 2, reads)
}
