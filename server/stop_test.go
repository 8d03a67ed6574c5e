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
	"github.com/dillchute/dillchute/replica"
	"github.com/dillchute/dillchute/routing"
)

// testGrace is what the stops here may take.
const testGrace = 8 * time.Second

// stoppingGateway returns a gateway whose planned stop began so long ago.
func stoppingGateway(ago time.Duration) *Gateway {
	gateway := newTestGateway(time.Now())
	gateway.plan.Store(newStopPlan(clock.Now().Add(-ago), testGrace))
	return gateway
}

// TestStopTakesWhatFits: right after its begin a stop takes everything, later what has to end in
// time, and in the end nothing that may last.
func TestStopTakesWhatFits(t *testing.T) {
	running := newTestGateway(time.Now())
	require.True(t, running.mayTake(clock.Now().Add(time.Hour)))
	for _, one := range []struct {
		ago, left time.Duration
		taken     bool
	}{
		{0, time.Hour, true},
		{noticeTime / 2, time.Hour, true},
		{noticeTime, time.Second, true},
		{noticeTime, time.Hour, false},
		{testGrace - exitMargin - time.Second, time.Second / 2, true},
		{testGrace - exitMargin - time.Second, 2 * time.Second, false},
		{testGrace, time.Second, false},
	} {
		require.Equal(t, one.taken, stoppingGateway(one.ago).mayTake(clock.Now().Add(one.left)), one)
	}
}

// TestStopBoundsDeadlines: backends are not given more time than the process has.
func TestStopBoundsDeadlines(t *testing.T) {
	gateway := stoppingGateway(0)
	long, short := clock.Now().Add(time.Hour), clock.Now().Add(time.Second)
	request := &forward.Request{Deadline: long}
	require.True(t, gateway.take(request))
	require.Equal(t, gateway.plan.Load().workEnds, request.Deadline)
	request.Deadline = short
	require.True(t, gateway.take(request))
	require.Equal(t, short, request.Deadline)
}

// TestStopRefusesAsNotRun: what does not fit reaches no backend, and is said not to have run.
func TestStopRefusesAsNotRun(t *testing.T) {
	gateway := stoppingGateway(noticeTime)
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

// TestStopShortensWaits: a call for results waits no longer than a stop leaves time for, and a
// call to the ledger that may outlive the process is refused.
func TestStopShortensWaits(t *testing.T) {
	_, cancel, wait, err := stoppingGateway(noticeTime).ledgerTime(context.Background(), time.Hour)
	require.NoError(t, err)
	cancel()
	require.Less(t, wait, testGrace)
	_, cancel, wait, err = stoppingGateway(testGrace-exitMargin-ledgerCallTimeout-maxResultWait/2).ledgerTime(context.Background(), maxResultWait)
	require.NoError(t, err)
	cancel()
	require.Less(t, wait, maxResultWait)
	_, _, _, err = stoppingGateway(testGrace-exitMargin-ledgerCallTimeout/2).ledgerTime(context.Background(), 0)
	require.True(t, errorx.IsOfType(err, replica.ErrUnavailable))
}

// TestStopCountsASuspension: who ends the process in the end does not wait for a machine that was
// suspended, so what fitted before does not fit after it.
func TestStopCountsASuspension(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	gateway := newTestGateway(time.Now())
	gateway.Stop(time.Hour)
	defer gateway.TrackRequest()()
	require.True(t, gateway.mayTake(clock.Now().Add(time.Minute)))
	source.Suspend(time.Hour)
	require.False(t, gateway.mayTake(clock.Now().Add(time.Minute)))
	// It waits no longer for what runs.
	gateway.drain()
	require.Error(t, gateway.baseContext.Err())
}

// toldDirectory is a stand-in of the directory. At each call that tells something it finds out
// whether the teller still takes connections.
type toldDirectory struct {
	server    *httptest.Server
	reachable chan bool
}

func newToldDirectory(t *testing.T, teller string) *toldDirectory {
	d := &toldDirectory{reachable: make(chan bool, 100)}
	d.server = httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		var call directoryCall
		if !readCBOR(response, request, &call) || call.Quarantine == nil && call.Usage == nil {
			return
		}
		connection, err := net.Dial("tcp", teller)
		if err == nil {
			connection.Close()
		}
		d.reachable <- err == nil
		writeCBOR(response, directoryAnswer{})
	}))
	t.Cleanup(d.server.Close)
	return d
}

func (d *toldDirectory) seeds(logger *zerolog.Logger) *Seeds {
	settings := config.DefaultGateway().Process
	settings.Peers = []string{d.server.Listener.Addr().String()}
	return NewSeeds(settings, func() (config.Process, error) { return settings, nil }, logger)
}

// TestStoreTakesNothingWhileItTells: a store that stops tells what it has learnt once it serves
// nobody any more: a run that began meanwhile would end with the process.
func TestStoreTakesNothingWhileItTells(t *testing.T) {
	served := listenLoopback(t)
	directory := newToldDirectory(t, served.Addr().String())
	settings := config.DefaultLedger()
	logger := zerolog.Nop()
	seeds := directory.seeds(&logger)
	store := NewLedger(settings, seeds, nil, nil, &logger)
	httpServer := newHTTPServer(store.runs)
	serveHTTP(httpServer, served, &logger)
	response, err := http.Get("http://" + served.Addr().String())
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	store.executor.guard.RecordFingerprintCrash("content", "backend", 0)
	store.finish(httpServer)
	require.False(t, <-directory.reachable)
}

// TestUsageIsToldLast: a stopping gateway tells what it has counted once it serves nobody any
// more, and the request that ended last is among it.
func TestUsageIsToldLast(t *testing.T) {
	served := listenLoopback(t)
	directory := newToldDirectory(t, served.Addr().String())
	logger := zerolog.Nop()
	gateway := NewGateway(config.DefaultGateway(), directory.seeds(&logger), nil, &logger)
	begun := make(chan struct{})
	callers := newCallerServer(gateway.closeConnections(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-gateway.baseContext.Done()
		gateway.usage.note("north", forward.Result{History: []forward.AttemptRecord{{StartedAt: clock.Now()}}})
	})))
	serveHTTP(callers, served, &logger)
	answer := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + served.Addr().String())
		if err == nil {
			err = response.Body.Close()
		}
		answer <- err
	}()
	<-begun
	require.NoError(t, gateway.end(callers, time.Second))
	require.NoError(t, <-answer)
	require.False(t, <-directory.reachable)
}
