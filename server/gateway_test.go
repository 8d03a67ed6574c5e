package server

import (
	"context"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/routing"
)

func newTestGateway(startedAt time.Time) *Gateway {
	logger := zerolog.Nop()
	settings := config.DefaultGateway()
	seeds := NewSeeds(settings.Process, func() (config.Process, error) { return settings.Process, nil }, &logger)
	gateway := NewGateway(settings, seeds, nil, &logger)
	gateway.startedAt = startedAt
	return gateway
}

// TestFirstRequestsWaitForTheConfiguration: a request that comes right after the
// gateway's start is matched once the configuration is there; one that comes
// later is refused at once.
func TestFirstRequestsWaitForTheConfiguration(t *testing.T) {
	long := newTestGateway(time.Now().Add(-time.Hour))
	_, _, err := long.Match(context.Background(), "h", "/a/b")
	require.True(t, errorx.IsOfType(err, replica.ErrUnavailable))

	// A start that lies ahead makes the wait as long as the test may need.
	started := newTestGateway(time.Now().Add(time.Hour))
	type matched struct {
		route routing.Route
		err   error
	}
	answered := make(chan matched, 1)
	go func() {
		route, _, err := started.Match(context.Background(), "h", "/a/b")
		answered <- matched{route, err}
	}()
	machine := directory.NewMachine()
	route := routing.Route{
		Name: "r", Host: "h", Prefix: "/a/", Kind: routing.Repeatable, TimeoutMillis: 1, Attempts: 1,
		Shares: []routing.Share{{Service: "s", Weight: 1}},
	}
	machine.Apply(directory.Command{PutConfiguration: &directory.PutConfiguration{Configuration: routing.Configuration{
		Version: 1, Routes: []routing.Route{route}, Services: []routing.Service{{Name: "s"}},
	}}}.Encode())
	started.watcher.apply(started.Catalog(), machine.DeltaSince(0))
	got := <-answered
	require.NoError(t, got.err)
	require.Equal(t, "r", got.route.Name)
}
