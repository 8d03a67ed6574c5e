package server

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/responsecheck"
	"github.com/dillchute/dillchute/transport"
)

const (
	nodeTick = 50 * time.Millisecond
	// incarnationUnit and incarnationMask derive a 31-bit incarnation from the start time. It differs
	// between starts that are at least one unit apart.
	incarnationUnit   = 100 * time.Millisecond
	incarnationMask   = 1<<31 - 1
	scoreTimeout      = 5 * time.Second
	scoreRetryDelay   = 200 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// Node runs one node.
type Node struct {
	settings  config.Node
	logger    *zerolog.Logger
	core      *node.Core
	loop      *eventloop.Loop
	transport *transport.Transport
	intake    *intake.Intake
	engines   *engineClient
	// scorer is the client for the scoring service.
	scorer  *http.Client
	start   time.Time
	context context.Context
	stop    context.CancelFunc

	callers map[uint64]*eventloop.Mailbox[node.CallerEvent]
	leased  bool
	status  atomic.Pointer[nodeStatus]
}

type nodeStatus struct {
	leased   bool
	revision uint64
	inFlight int
	counters node.Counters
}

// NewNode returns a node that has not started yet.
func NewNode(settings config.Node, logger *zerolog.Logger) *Node {
	start := clock.Now()
	background, stop := context.WithCancel(context.Background())
	n := &Node{
		settings: settings, logger: logger, intake: intake.New(intake.NewCapacity(0, 0)), scorer: newOutsideClient(), loop: eventloop.New(), start: start,
		context: background, stop: stop, callers: map[uint64]*eventloop.Mailbox[node.CallerEvent]{},
		core: node.New(node.Config{
			ID: settings.ID, Zone: settings.Zone, Region: settings.Region, Address: settings.Address,
			Incarnation: uint64(start.UnixMilli()/incarnationUnit.Milliseconds()) & incarnationMask,
			Controls:    settings.Controls, Seed: uint64(start.UnixNano()), Scoring: settings.ScorerURL != "",
		}),
	}
	n.status.Store(&nodeStatus{})
	n.transport = transport.New(logger, n.intake.Replication, func(message protocol.Message) {
		n.loop.Submit(func() { n.core.Receive(n.now(), message) })
	})
	n.engines = newEngineClient(background, func(id string, message protocol.EngineMessage) {
		n.loop.Submit(func() { n.core.ReceiveEngine(n.now(), id, message) })
	})
	return n
}

func (n *Node) now() int64 { return clock.Since(n.start).Milliseconds() }

// Run serves other processes on one listener and callers on the other until the context ends. Then it
// accepts no new work, waits for running work up to the drain timeout, and stops.
func (n *Node) Run(ctx context.Context, internal, callers net.Listener) error {
	defer n.transport.Close()
	defer n.stop()
	event.NodeStarted.On(n.logger).Str("node", n.settings.ID).Str("address", n.settings.Address).Send()
	internalServer, callerServer := n.intake.NewServer(n.internalRoutes(), rpcOptions()), n.intake.NewServer(n.intake.LimitBodies(n.callerRoutes()), rpcOptions())
	internalFailed := serveHTTP(internalServer, internal, n.logger)
	callersFailed := serveHTTP(callerServer, callers, n.logger)
	loopContext, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()
	go func() {
		select {
		case <-ctx.Done():
			n.drain()
		case <-internalFailed:
		case <-callersFailed:
		}
		stopLoop()
	}()
	err := n.loop.Run(loopContext, nodeTick, n.tick, n.flush)
	stopHTTP(callerServer)
	// A graceful shutdown would never end, because peers keep their streams open.
	internalServer.Close()
	event.NodeStopped.On(n.logger).Str("node", n.settings.ID).Send()
	return err
}

func (n *Node) tick() {
	n.core.Tick(n.now())
	n.status.Store(&nodeStatus{
		leased: n.core.HasLease(), revision: n.core.Revision(), inFlight: n.core.InFlight(), counters: n.core.Counters(),
	})
	if leased := n.core.HasLease(); leased != n.leased {
		n.leased = leased
		kind := event.LeaseLost
		if leased {
			kind = event.LeaseGained
		}
		kind.On(n.logger).Str("node", n.settings.ID).Send()
	}
}

func (n *Node) flush() error {
	for _, outgoing := range n.core.TakeMessages() {
		n.transport.Send(outgoing.Address, outgoing.Message)
	}
	for _, outgoing := range n.core.TakeEngineMessages() {
		n.engines.send(outgoing)
	}
	for _, request := range n.core.TakeScoreRequests() {
		go n.score(request)
	}
	for _, callerEvent := range n.core.TakeCallerEvents() {
		if mailbox := n.callers[callerEvent.Request]; mailbox != nil {
			mailbox.Put(callerEvent)
			if callerEvent.Outcome != 0 {
				delete(n.callers, callerEvent.Request)
			}
		}
	}
	return nil
}

// drain waits until the node's work has ended or the drain timeout has passed. If the work has ended, it
// notifies control.
func (n *Node) drain() {
	event.NodeDraining.On(n.logger).Str("node", n.settings.ID).Send()
	n.loop.Submit(func() { n.core.Drain(n.now()) })
	deadline := time.Now().Add(n.settings.DrainTimeout)
	for time.Now().Before(deadline) {
		drained, ok := eventloop.Call(n.loop, n.core.Drained)
		if !ok {
			return
		}
		if drained {
			n.leave()
			return
		}
		time.Sleep(drainPollInterval)
	}
	event.DrainTimedOut.On(n.logger).Str("node", n.settings.ID).Send()
}

func (n *Node) leave() {
	n.loop.Submit(func() { n.core.Leave(n.now()) })
	// The message is optional: without it the lease expires. The pause gives the transport time to write it.
	time.Sleep(drainPollInterval)
}

func (n *Node) internalRoutes() http.Handler {
	router := mux.NewRouter()
	router.Handle(transport.Path, intake.Streaming(n.transport)).Methods(http.MethodPost)
	addOperationalRoutes(router, func() bool { return n.status.Load().leased }, n.registry(), n.settings.Pprof)
	return router
}

// scoreReply is the response of a scoring service.
type scoreReply struct {
	Reward float64 `json:"reward"`
}

// scoreBody is the request body for a scoring service.
type scoreBody struct {
	Pool   string   `json:"pool"`
	Prompt string   `json:"prompt"`
	Tokens []uint32 `json:"tokens"`
}

// score calls the scoring service until it answers or the node stops. Scoring is a pure function of the
// result, so retries are safe.
func (n *Node) score(request node.ScoreRequest) {
	body, err := json.Marshal(scoreBody{Pool: request.Pool, Prompt: request.Prompt, Tokens: request.Tokens})
	if err != nil {
		panic("server: encode score request: " + err.Error())
	}
	for n.context.Err() == nil {
		reward, err := n.scoreOnce(body)
		if err == nil {
			n.loop.Submit(func() { n.core.ReceiveScore(n.now(), request.Request, reward) })
			return
		}
		event.ScorerUnreachable.On(n.logger).Err(err).Send()
		select {
		case <-n.context.Done():
		case <-time.After(scoreRetryDelay):
		}
	}
}

func (n *Node) scoreOnce(body []byte) (float64, error) {
	ctx, cancel := context.WithTimeout(n.context, scoreTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, n.settings.ScorerURL+"/v1/score", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := n.scorer.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var reply scoreReply
	if response.StatusCode != http.StatusOK {
		return 0, errUnexpectedStatus.New("the scoring service responded with status %d", response.StatusCode)
	}
	err = responsecheck.DecodeJSON(response, maxOutsideBodyBytes, &reply)
	return reply.Reward, err
}
