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
	gateway := NewGateway(settings, seeds, nil, NewIntake(settings.Process), &logger)
	gateway.startedAt = startedAt
	return gateway
}

// TestFirstRequestsWaitForConfiguration checks that a request right after the
// gateway's start waits for the first configuration, and a later one is refused at once.
func TestFirstRequestsWaitForConfiguration(t *testing.T) {
	startedEarlier := newTestGateway(time.Now().Add(-time.Hour))
	_, _, err := startedEarlier.Match(context.Background(), "h", "/a/b")
	require.True(t, errorx.IsOfType(err, replica.ErrUnavailable))

	// A start time in the future keeps the request waiting throughout the test.
	justStarted := newTestGateway(time.Now().Add(time.Hour))
	type matchResult struct {
		route routing.Route
		err   error
	}
	results := make(chan matchResult, 1)
	go func() {
		route, _, err := justStarted.Match(context.Background(), "h", "/a/b")
		results <- matchResult{route, err}
	}()
	machine := directory.NewMachine()
	route := routing.Route{
		Name: "r", Host: "h", Prefix: "/a/", Kind: routing.Repeatable, TimeoutMillis: 1, Attempts: 1,
		Shares: []routing.Share{{Service: "s", Weight: 1}},
	}
	machine.Apply(directory.Command{PutConfiguration: &directory.PutConfiguration{Configuration: routing.Configuration{
		Version: 1, Routes: []routing.Route{route}, Services: []routing.Service{{Name: "s"}},
	}}}.Encode())
	justStarted.watcher.apply(justStarted.Catalog(), machine.DeltaSince(0))
	result := <-results
	require.NoError(t, result.err)
	require.Equal(t, "r", result.route.Name)
}
