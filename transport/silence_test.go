package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/protocol"
)

// silencer stands between two processes. Connections that were open when it was told so
// carry nothing any more, and stay open; new ones work.
type silencer struct {
	listener net.Listener
	to       string

	mutex sync.Mutex
	// round counts the times that it was told.
	round int
}

func newSilencer(t *testing.T, to string) *silencer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &silencer{listener: listener, to: to}
	t.Cleanup(func() { listener.Close() })
	go s.accept()
	return s
}

func (s *silencer) address() string { return s.listener.Addr().String() }

func (s *silencer) silence() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.round++
}

func (s *silencer) current() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.round
}

func (s *silencer) accept() {
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", s.to)
		if err != nil {
			near.Close()
			continue
		}
		round := s.current()
		go s.carry(near, far, round)
		go s.carry(far, near, round)
	}
}

// carry passes bytes on in one direction, and swallows them once the connection is silent.
func (s *silencer) carry(from, to net.Conn, round int) {
	buffer := make([]byte, 1<<12)
	for {
		count, err := from.Read(buffer)
		silent := s.current() != round
		if err != nil {
			if !silent {
				to.Close()
			}
			return
		}
		if !silent {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
	}
}

// TestSilentStreamIsOpenedAnew: messages arrive again after the connection has gone silent
// for good, though nobody resets it.
func TestSilentStreamIsOpenedAnew(t *testing.T) {
	sender, _, _ := listening(t)
	_, address, received := listening(t)
	between := newSilencer(t, address)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				sender.Send(between.address(), protocol.Message{From: "sender"})
			}
		}
	}()
	for range 3 {
		require.Equal(t, "sender", (<-received).From)
		between.silence()
		for len(received) > 0 {
			<-received
		}
		require.Equal(t, "sender", (<-received).From)
	}
}

// TestCallsLeaveSilentConnections: of many kept connections that have gone silent, one call
// finds out for all.
func TestCallsLeaveSilentConnections(t *testing.T) {
	const many = 8
	var together sync.WaitGroup
	together.Add(many)
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/together") {
			together.Done()
			together.Wait()
		}
	}))
	defer server.Close()
	between := newSilencer(t, strings.TrimPrefix(server.URL, "http://"))
	client := http.Client{Transport: NewInternalTransport()}
	call := func(path string, patience time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+between.address()+path, nil)
		require.NoError(t, err)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	var calls sync.WaitGroup
	for range many {
		calls.Go(func() { require.NoError(t, call("/together", time.Minute)) })
	}
	calls.Wait()
	between.silence()
	require.Error(t, call("/", 200*time.Millisecond), "the call that finds out")
	require.NoError(t, call("/", time.Minute), "the others are not tried")
}
