package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testTimeout bounds waits that normally end much sooner.
const testTimeout = 30 * time.Second

// testServer serves a handler within limits that the test changes.
type testServer struct {
	t       *testing.T
	intake  *Intake
	address string
	limits  atomic.Pointer[Limits]
}

func newTestServer(t *testing.T, capacity Capacity, limits Limits, handler http.HandlerFunc) *testServer {
	s := &testServer{t: t, intake: New(capacity)}
	s.limits.Store(&limits)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := s.intake.NewServer(handler, ServerOptions{Weight: 1, Limits: func() Limits { return *s.limits.Load() }})
	go server.Serve(inner)
	t.Cleanup(func() { server.Close() })
	s.address = inner.Addr().String()
	return s
}

// dial opens a connection and sends the text.
func (s *testServer) dial(text string) net.Conn {
	connection, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { connection.Close() })
	require.NoError(s.t, connection.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(connection, text)
	require.NoError(s.t, err)
	return connection
}

// status returns the status of the next response on the connection.
func (s *testServer) status(connection net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(s.t, err)
	return response.StatusCode
}

func answerOK(http.ResponseWriter, *http.Request) {}

var testCapacity = Capacity{MemoryBytes: 1 << 20, Connections: 100}

// TestHeadsOverTheLimitAreRefused checks heads that are whole and heads that are not, under a limit that rises and falls.
func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	limits := DefaultLimits()
	limits.HeaderBytes = 2000
	s := newTestServer(t, testCapacity, limits, answerOK)
	whole := func(size int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", size) + "\r\n\r\n"
	}
	require.Equal(t, http.StatusOK, s.status(s.dial(whole(1900))))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, s.status(s.dial(whole(2000))))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, s.status(s.dial("GET / HTTP/1.1\r\nA: "+strings.Repeat("x", 8000))))
	raised := limits
	raised.HeaderBytes = 5000
	s.limits.Store(&raised)
	kept := s.dial(whole(4900))
	require.Equal(t, http.StatusOK, s.status(kept))
	s.limits.Store(&limits)
	_, err := io.WriteString(kept, whole(4900))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, s.status(kept), "the limit fell while the connection was open")
	start := "GET / HTTP/1.1\r\nHost: h\r\n"
	lines := strings.Repeat("a:b\n", (limits.HeaderBytes-len(start)-2)/4)
	require.Equal(t, http.StatusOK, s.status(s.dial(start+lines+"\r\n")), "many short lines within the limit")
	pipelined := s.dial(whole(10) + whole(2000))
	reader := bufio.NewReader(pipelined)
	for _, expected := range []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.Equal(t, expected, response.StatusCode)
	}
}

// TestLateHeadsAndBodiesAreRefused checks that a head, and a body, that stay without an end are answered with 408.
func TestLateHeadsAndBodiesAreRefused(t *testing.T) {
	limits := Limits{HeaderBytes: 2000, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
	var s *testServer
	s = newTestServer(t, testCapacity, limits, func(response http.ResponseWriter, request *http.Request) {
		if _, err := s.intake.ReadRequest(request, 1000, NoTimeout); err != nil {
			AnswerEarly(response, request, http.StatusRequestTimeout)
		}
	})
	require.Equal(t, http.StatusRequestTimeout, s.status(s.dial("GET / HTTP/1.1\r\nHost: h\r\n")))
	require.Equal(t, http.StatusRequestTimeout, s.status(s.dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nsome")))
	_, err := s.dial("").Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "a silent connection is closed")
	ignored := newTestServer(t, testCapacity, limits, answerOK).dial("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nsome")
	require.Equal(t, http.StatusOK, s.status(ignored))
	_, err = ignored.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "a body that is not read holds no connection")
}

// TestHeadsShareTheBudget checks that many large heads are refused with 503, that small ones are still served, and that the
// memory is free again once the connections are closed.
func TestHeadsShareTheBudget(t *testing.T) {
	limits := DefaultLimits()
	s := newTestServer(t, testCapacity, limits, answerOK)
	large := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000)
	held := s.dial(large)
	whole := HeadMemory(len(large), strings.Count(large, "\n")) - freeHeadBytes
	require.Eventually(t, func() bool { return s.intake.Memory.Reserved() == whole }, testTimeout, time.Millisecond)
	refused := s.dial(large)
	response, err := http.ReadResponse(bufio.NewReader(refused), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, s.status(s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")), "a small head needs no room")
	require.NoError(t, held.Close())
	require.Eventually(t, func() bool { return s.intake.Memory.Reserved() == 0 }, testTimeout, time.Millisecond)
}

// TestNewConnectionsGetThrough checks that a request on a new connection is answered while more silent connections are held
// than the process may have, and that a connection that is being answered is not closed for another one.
func TestNewConnectionsGetThrough(t *testing.T) {
	capacity := Capacity{MemoryBytes: 1 << 20, Connections: 4}
	arrived, finish := make(chan struct{}), make(chan struct{})
	s := newTestServer(t, capacity, DefaultLimits(), func(response http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/slow" {
			close(arrived)
			<-finish
		}
	})
	slow := s.dial("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-arrived
	for number := range 20 {
		s.dial([]string{"", "GET", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"}[number%3])
		require.Equal(t, http.StatusOK, s.status(s.dial("GET / HTTP/1.1\r\nHost: h\r\n\r\n")))
		require.LessOrEqual(t, s.intake.Status().Connections, capacity.Connections)
	}
	close(finish)
	require.Equal(t, http.StatusOK, s.status(slow))
}

// TestAnswersThatAreNotReadEnd checks that a connection whose client takes nothing of its answer ends, and that one whose
// client reads slowly gets all of it.
func TestAnswersThatAreNotReadEnd(t *testing.T) {
	const size = 32 << 20
	limits := DefaultLimits()
	limits.IdleTimeout = 100 * time.Millisecond
	ended := make(chan error, 1)
	s := newTestServer(t, testCapacity, limits, func(response http.ResponseWriter, request *http.Request) {
		_, err := response.Write(make([]byte, size))
		ended <- err
	})
	request := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	s.dial(request)
	require.Error(t, <-ended)
	read := make(chan error, 1)
	connection := s.dial(request)
	go func() {
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		read <- err
	}()
	require.NoError(t, <-ended)
	require.NoError(t, <-read)
}

// TestRefusalArrivesWhileTheClientSends checks that a client that reads only once it has sent its whole body gets the
// refusal.
func TestRefusalArrivesWhileTheClientSends(t *testing.T) {
	const size = 8 << 20
	var s *testServer
	s = newTestServer(t, testCapacity, DefaultLimits(), func(response http.ResponseWriter, request *http.Request) {
		_, err := s.intake.ReadRequest(request, 1000, NoTimeout)
		require.Error(t, err)
		AnswerEarly(response, request, http.StatusRequestEntityTooLarge)
	})
	for _, framing := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size)),
	} {
		require.Equal(t, http.StatusRequestEntityTooLarge, s.status(s.dial("POST / HTTP/1.1\r\nHost: h\r\n"+framing)))
	}
}

// TestCapacityFollowsTheLimits checks the budgets of machines of several sizes.
func TestCapacityFollowsTheLimits(t *testing.T) {
	require.Equal(t, Capacity{MemoryBytes: 284 << 20 / 3, ReplicationBytes: 284 << 20 / 6, Connections: 2000}, NewCapacity(284, 4100))
	require.Equal(t, Capacity{MemoryBytes: 128 << 20 / 3, ReplicationBytes: 128 << 20 / 6, Connections: 150}, NewCapacity(128, 400))
	require.Equal(t, Capacity{MemoryBytes: 64 << 20 / 3, ReplicationBytes: 64 << 20 / 6, Connections: 512}, NewCapacity(64, 100_000), "memory bounds the connections")
	require.Equal(t, minConnections, NewCapacity(0, 110).Connections)
	require.Equal(t, maxConnections, NewCapacity(0, 10_000_000).Connections)
}

// TestBodiesThatHandlersReadTakeTheBudget checks that what a handler reads is reserved until it returns.
func TestBodiesThatHandlersReadTakeTheBudget(t *testing.T) {
	budgets := New(testCapacity)
	read := make(chan error, 1)
	handler := budgets.LimitBodies(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		data, err := io.ReadAll(request.Body)
		if err == nil {
			require.GreaterOrEqual(t, budgets.Memory.Reserved()+freeBodyBytes, int64(bodyCopies*len(data)))
		}
		read <- err
	}))
	for size, fits := range map[int]bool{0: true, 1000: true, 200 << 10: true, 300 << 10: false} {
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
		handler.ServeHTTP(httptest.NewRecorder(), request)
		require.Equal(t, fits, <-read == nil, size)
		require.Zero(t, budgets.Memory.Reserved())
	}
}

// TestSmallRequestsNeedNoRoom checks that a request with a small body, which arrives together with its head, is served while
// the budget is used up.
func TestSmallRequestsNeedNoRoom(t *testing.T) {
	var s *testServer
	s = newTestServer(t, testCapacity, DefaultLimits(), func(response http.ResponseWriter, request *http.Request) {
		if _, err := s.intake.ReadRequest(request, 1<<20, NoTimeout); err != nil {
			AnswerEarly(response, request, http.StatusServiceUnavailable)
		}
	})
	used := s.intake.Memory.NewReservation(0)
	require.NoError(t, used.Resize(testCapacity.MemoryBytes))
	const size = 4000
	head := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("Some-Field: some value\r\n", 10)
	request := head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	require.Equal(t, http.StatusOK, s.status(s.dial(request)))
}
