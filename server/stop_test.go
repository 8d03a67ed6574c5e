package server

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/forward"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/routing"
)

// testGracePeriod is the grace period of the shutdowns in these tests.
const testGracePeriod = 8 * time.Second

// newStoppingGateway returns a gateway whose shutdown began the given time ago.
func newStoppingGateway(elapsed time.Duration) *Gateway {
	gateway := newTestGateway(time.Now())
	gateway.plan.Store(newShutdownPlan(clock.Now().Add(-elapsed), testGracePeriod))
	return gateway
}

// TestStopAcceptsRequestsThatFit checks that a shutdown accepts all requests at first, and later only those
// whose deadline it can meet.
func TestStopAcceptsRequestsThatFit(t *testing.T) {
	running := newTestGateway(time.Now())
	require.True(t, running.canAccept(clock.Now().Add(time.Hour)))
	for _, test := range []struct {
		elapsed, timeLeft time.Duration
		accepted          bool
	}{
		{0, time.Hour, true},
		{acceptAllTime / 2, time.Hour, true},
		{acceptAllTime, time.Second, true},
		{acceptAllTime, time.Hour, false},
		{testGracePeriod - exitMargin - time.Second, time.Second / 2, true},
		{testGracePeriod - exitMargin - time.Second, 2 * time.Second, false},
		{testGracePeriod, time.Second, false},
	} {
		require.Equal(t, test.accepted, newStoppingGateway(test.elapsed).canAccept(clock.Now().Add(test.timeLeft)), test)
	}
}

// TestStopLimitsDeadlines checks that a request's deadline is limited to the shutdown's work deadline.
func TestStopLimitsDeadlines(t *testing.T) {
	gateway := newStoppingGateway(0)
	long, short := clock.Now().Add(time.Hour), clock.Now().Add(time.Second)
	request := &forward.Request{Deadline: long}
	require.True(t, gateway.accept(request))
	require.Equal(t, gateway.plan.Load().workDeadline, request.Deadline)
	request.Deadline = short
	require.True(t, gateway.accept(request))
	require.Equal(t, short, request.Deadline)
}

// TestStopRejectsAsNotRun checks that a request which does not fit reaches no backend and is reported as not
// run.
func TestStopRejectsAsNotRun(t *testing.T) {
	gateway := newStoppingGateway(acceptAllTime)
	route := routing.Route{Name: "r", TimeoutMillis: time.Hour.Milliseconds(), Attempts: 1}
	catalog := directory.NewCatalog()
	for _, result := range []forward.Result{
		gateway.Forward(context.Background(), catalog, route, &forward.Request{Method: http.MethodPost}),
		gateway.Stream(context.Background(), catalog, route, &forward.Request{Method: http.MethodPost}, nil),
	} {
		require.Equal(t, forward.Stopping, result.Reason)
		require.False(t, result.MayHaveRun)
		require.Empty(t, result.History)
	}
}

// TestStopShortensWaits checks that calls for results wait no longer than the shutdown permits, and that a
// call to the ledger which could outlive the process is refused.
func TestStopShortensWaits(t *testing.T) {
	_, cancel, wait, err := newStoppingGateway(acceptAllTime).ledgerCallContext(context.Background(), time.Hour)
	require.NoError(t, err)
	cancel()
	require.Less(t, wait, testGracePeriod)
	_, cancel, wait, err = newStoppingGateway(testGracePeriod-exitMargin-ledgerCallTimeout-maxResultWait/2).ledgerCallContext(context.Background(), maxResultWait)
	require.NoError(t, err)
	cancel()
	require.Less(t, wait, maxResultWait)
	_, _, _, err = newStoppingGateway(testGracePeriod-exitMargin-ledgerCallTimeout/2).ledgerCallContext(context.Background(), 0)
	require.True(t, errorx.IsOfType(err, replica.ErrUnavailable))
}

// TestStopCountsSuspension checks that the time of a machine suspension counts towards the grace period.
func TestStopCountsSuspension(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	gateway := newTestGateway(time.Now())
	gateway.Stop(time.Hour)
	defer gateway.TrackRequest()()
	require.True(t, gateway.canAccept(clock.Now().Add(time.Minute)))
	source.Suspend(time.Hour)
	require.False(t, gateway.canAccept(clock.Now().Add(time.Minute)))
	// The work deadline has passed, so drain does not wait for the open request.
	gateway.drain()
	require.Error(t, gateway.baseContext.Err())
}

// probingDirectory is a fake directory. At each report of crashes or usage it checks whether the reporting
// process still accepts connections.
type probingDirectory struct {
	server    *httptest.Server
	reachable chan bool
}

func newProbingDirectory(t *testing.T, reporter string) *probingDirectory {
	d := &probingDirectory{reachable: make(chan bool, 100)}
	d.server = httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		var call directoryCall
		if !readTestCall(response, request, &call) || call.Quarantine == nil && call.Usage == nil {
			return
		}
		connection, err := net.Dial("tcp", reporter)
		if err == nil {
			connection.Close()
		}
		d.reachable <- err == nil
		writeCBOR(response, directoryAnswer{})
	}))
	t.Cleanup(d.server.Close)
	return d
}

func (d *probingDirectory) seeds(logger *zerolog.Logger) *Seeds {
	settings := config.DefaultGateway().Process
	settings.Peers = []string{d.server.Listener.Addr().String()}
	return NewSeeds(settings, func() (config.Process, error) { return settings, nil }, logger)
}

// TestLedgerIsClosedBeforeFinalReport checks that a stopping store closes its server before it reports
// crashes: a run that started in between would be lost.
func TestLedgerIsClosedBeforeFinalReport(t *testing.T) {
	listener := listenLoopback(t)
	probing := newProbingDirectory(t, listener.Addr().String())
	settings := config.DefaultLedger()
	logger := zerolog.Nop()
	seeds := probing.seeds(&logger)
	ledger := NewLedger(settings, seeds, nil, nil, NewIntake(settings.Process), &logger)
	httpServer := ledger.intake.NewServer(intake.Streaming(ledger.runnerServer), intake.ServerOptions{Weight: mainWeight})
	serveHTTP(httpServer, listener, &logger)
	response, err := http.Get("http://" + listener.Addr().String())
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	ledger.executor.guard.RecordFingerprintCrash("content", "backend", 0)
	ledger.shutdown(httpServer)
	require.False(t, <-probing.reachable)
}

// TestUsageIsReportedLast checks that a stopping gateway reports usage after it has stopped serving,
// including the last request.
func TestUsageIsReportedLast(t *testing.T) {
	listener := listenLoopback(t)
	probing := newProbingDirectory(t, listener.Addr().String())
	logger := zerolog.Nop()
	gateway := NewGateway(config.DefaultGateway(), probing.seeds(&logger), nil, NewIntake(config.Process{}), &logger)
	started := make(chan struct{})
	callers := gateway.newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-gateway.baseContext.Done()
		gateway.usage.record("north", forward.Result{History: []forward.AttemptRecord{{StartedAt: clock.Now()}}})
	}))
	serveHTTP(callers, listener, &logger)
	answer := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err == nil {
			err = response.Body.Close()
		}
		answer <- err
	}()
	<-started
	require.NoError(t, gateway.shutDown(callers.Server, time.Second))
	require.NoError(t, <-answer)
	require.False(t, <-probing.reachable)
}
