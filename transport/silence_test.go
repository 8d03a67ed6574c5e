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

// silencingProxy forwards connections. After silence, connections that were open stay open but carry
// nothing; new ones work.
type silencingProxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	// generation counts the calls of silence.
	generation int
}

func newSilencingProxy(t *testing.T, target string) *silencingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &silencingProxy{listener: listener, target: target}
	t.Cleanup(func() { listener.Close() })
	go p.accept()
	return p
}

func (p *silencingProxy) address() string { return p.listener.Addr().String() }

func (p *silencingProxy) silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.generation++
}

func (p *silencingProxy) currentGeneration() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.generation
}

func (p *silencingProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		generation := p.currentGeneration()
		go p.forward(client, server, generation)
		go p.forward(server, client, generation)
	}
}

// forward copies data in one direction, and discards it once the connection is silenced.
func (p *silencingProxy) forward(from, to net.Conn, generation int) {
	buffer := make([]byte, 1<<12)
	for {
		count, err := from.Read(buffer)
		silent := p.currentGeneration() != generation
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

// Messages must arrive again after the connection stops responding without a reset.
func TestSilentStreamIsReopened(t *testing.T) {
	sender, _, _ := newTransport(t)
	_, address, received := newTransport(t)
	proxy := newSilencingProxy(t, address)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
				sender.Send(proxy.address(), protocol.Message{From: "sender"})
			}
		}
	}()
	for range 3 {
		require.Equal(t, "sender", (<-received).From)
		proxy.silence()
		for len(received) > 0 {
			<-received
		}
		require.Equal(t, "sender", (<-received).From)
	}
}

// A timeout on one of many silent connections must drop all of them.
func TestTimeoutDropsSilentConnections(t *testing.T) {
	const connections = 8
	var allArrived sync.WaitGroup
	allArrived.Add(connections)
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/together") {
			allArrived.Done()
			allArrived.Wait()
		}
	}))
	defer server.Close()
	proxy := newSilencingProxy(t, strings.TrimPrefix(server.URL, "http://"))
	client := http.Client{Transport: NewInternalTransport()}
	call := func(path string, timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+proxy.address()+path, nil)
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
	for range connections {
		calls.Go(func() { require.NoError(t, call("/together", time.Minute)) })
	}
	calls.Wait()
	proxy.silence()
	require.Error(t, call("/", 200*time.Millisecond), "first call on a silent connection")
	require.NoError(t, call("/", time.Minute), "silent connections must not be reused")
}
