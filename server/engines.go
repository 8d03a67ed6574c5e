package server

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/responsecheck"
)

var (
	namespace           = errorx.NewNamespace("server")
	errUnexpectedStatus = namespace.NewType("unexpected_status")
)

const (
	engineDialTimeout  = time.Second
	engineProbeTimeout = 2 * time.Second
	maxChunkBytes      = 1 << 20
	eventPrefix        = "data: "
	engineIdleConns    = 256
)

// engineClient sends a node's messages to engines over their HTTP interface.
type engineClient struct {
	context context.Context
	receive func(engine string, message protocol.EngineMessage)
	client  *http.Client

	mutex   sync.Mutex
	cancels map[string]context.CancelFunc
}

func newEngineClient(ctx context.Context, receive func(string, protocol.EngineMessage)) *engineClient {
	dialer := &net.Dialer{Timeout: engineDialTimeout}
	return &engineClient{
		context: ctx, receive: receive, cancels: map[string]context.CancelFunc{},
		client: responsecheck.NewClient(&http.Transport{
			DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: engineIdleConns,
		}, outsideLimits()),
	}
}

// send starts processing a message and passes the engine's answers to receive.
func (c *engineClient) send(outgoing node.EngineOutgoing) {
	switch message := outgoing.Message; {
	case message.Start != nil:
		// The attempt is registered before send returns, so that an immediately following cancel finds it.
		ctx := c.registerAttempt(message.Start.Attempt)
		go c.generate(ctx, outgoing.Engine, outgoing.Address, message.Start)
	case message.Cancel != nil:
		c.cancel(message.Cancel.Attempt)
	case message.Order != nil:
		go c.order(outgoing.Engine, outgoing.Address, message.Order)
	case message.Probe != nil:
		go c.probe(outgoing.Engine, outgoing.Address)
	}
}

func (c *engineClient) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		panic("server: encode engine request: " + err.Error())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return c.client.Do(request)
}

// registerAttempt returns a context that cancel ends.
func (c *engineClient) registerAttempt(attempt string) context.Context {
	ctx, cancel := context.WithCancel(c.context)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.cancels[attempt] = cancel
	return ctx
}

func (c *engineClient) generate(ctx context.Context, engine, address string, start *protocol.EngineStart) {
	defer c.cancel(start.Attempt)
	response, err := c.post(ctx, address, "/v1/generate", start)
	if err != nil {
		c.receive(engine, startFailure(start.Attempt, err))
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		c.handleRefusal(engine, start.Attempt, response)
		return
	}
	c.readChunks(engine, start.Attempt, response)
}

// startFailure returns a refusal if the connection failed, so that the start cannot have reached the
// engine, and otherwise a lost attempt.
func startFailure(attempt string, err error) protocol.EngineMessage {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return protocol.EngineMessage{Refused: &protocol.EngineRefused{Attempt: attempt, Reason: protocol.RefusedConnect}}
	}
	return protocol.EngineMessage{Lost: &protocol.EngineLost{Attempt: attempt}}
}

// handleRefusal forwards the engine's refusal of the attempt. Any other response counts as a lost attempt.
func (c *engineClient) handleRefusal(engine, attempt string, response *http.Response) {
	var refused protocol.EngineRefused
	err := responsecheck.DecodeJSON(response, maxOutsideBodyBytes, &refused)
	if err != nil || refused.Attempt != attempt || refused.Reason == "" {
		c.receive(engine, protocol.EngineMessage{Lost: &protocol.EngineLost{Attempt: attempt}})
		return
	}
	c.receive(engine, protocol.EngineMessage{Refused: &refused})
}

// readChunks forwards the chunks of an attempt. It is lost unless its last chunk arrives, also if more than maxChunkBytes that
// belong to no chunk come between two.
func (c *engineClient) readChunks(engine, attempt string, response *http.Response) {
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxChunkBytes)
	for passed := 0; passed <= maxChunkBytes && scanner.Scan(); {
		data, isEvent := strings.CutPrefix(scanner.Text(), eventPrefix)
		if !isEvent {
			passed += len(scanner.Bytes()) + len("\n")
			continue
		}
		passed = 0
		var chunk protocol.EngineChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || chunk.Attempt != attempt {
			break
		}
		c.receive(engine, protocol.EngineMessage{Chunk: &chunk})
		if chunk.Done {
			return
		}
	}
	c.receive(engine, protocol.EngineMessage{Lost: &protocol.EngineLost{Attempt: attempt}})
}

// cancel closes the attempt's connection, which makes the engine end its stream.
func (c *engineClient) cancel(attempt string) {
	c.mutex.Lock()
	cancel := c.cancels[attempt]
	delete(c.cancels, attempt)
	c.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (c *engineClient) order(engine, address string, order *protocol.EngineOrder) {
	result := protocol.EngineOrderResult{Epoch: order.Epoch, Sequence: order.Sequence}
	response, err := c.post(c.context, address, "/v1/orders", order)
	if err == nil {
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK || responsecheck.DecodeJSON(response, maxOutsideBodyBytes, &result) != nil {
			result = protocol.EngineOrderResult{Epoch: order.Epoch, Sequence: order.Sequence}
		}
	}
	c.receive(engine, protocol.EngineMessage{OrderResult: &result})
}

func (c *engineClient) probe(engine, address string) {
	ctx, cancel := context.WithTimeout(c.context, engineProbeTimeout)
	defer cancel()
	var report protocol.EngineReport
	if getJSON(ctx, c.client, "http://"+address+"/v1/status", &report) == nil {
		c.receive(engine, protocol.EngineMessage{Report: &report})
	}
}
