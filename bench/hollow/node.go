// Package hollow measures what control costs at a given size: real control
// processes, and nodes and engines that share this process but speak the real
// protocol. A hollow node runs the node's own core and transport; its engines
// answer at once, or after a fixed time where they load weights or generate.
package hollow

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/transport"
)

const nodeTick = 50 * time.Millisecond

// hollowEngine is what an engine would remember.
type hollowEngine struct {
	epoch    uint64
	sequence uint64
	version  uint64
}

// dueMessage is an engine's answer that is still to come.
type dueMessage struct {
	at      int64
	engine  string
	message protocol.EngineMessage
}

// hollowNode is a node without callers whose engines are in the same process.
type hollowNode struct {
	id        string
	zone      string
	region    string
	core      *node.Core
	loop      *eventloop.Loop
	transport *transport.Transport
	server    *http.Server
	started   time.Time
	stop      context.CancelFunc
	ended     chan struct{}
	shared    *engines
	due       []dueMessage

	revision atomic.Uint64
	leased   atomic.Bool
	// lapses counts how often the lease has ended.
	lapses atomic.Uint64
}

// engines are all hollow engines and how they behave.
type engines struct {
	loadMillis   int64
	sampleMillis int64
	// loaded counts the loads of weights that have ended.
	loaded atomic.Uint64

	mutex sync.Mutex
	known map[string]*hollowEngine
}

func newEngines(load, sample time.Duration) *engines {
	return &engines{loadMillis: load.Milliseconds(), sampleMillis: sample.Milliseconds(), known: map[string]*hollowEngine{}}
}

// with runs the function on what the engine remembers.
func (e *engines) with(id string, do func(*hollowEngine)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.known[id] == nil {
		e.known[id] = &hollowEngine{}
	}
	do(e.known[id])
}

func startNode(id, zone, region string, controls []string, shared *engines) (*hollowNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	logger := zerolog.Nop()
	ctx, cancel := context.WithCancel(context.Background())
	n := &hollowNode{
		id: id, zone: zone, region: region, loop: eventloop.New(), started: time.Now(), stop: cancel, ended: make(chan struct{}), shared: shared,
		core: node.New(node.Config{
			ID: id, Zone: zone, Region: region, Address: listener.Addr().String(),
			Incarnation: uint64(time.Now().UnixMilli()/100) & (1<<31 - 1), Controls: controls, Seed: uint64(time.Now().UnixNano()),
		}),
	}
	n.transport = transport.New(&logger, func(message protocol.Message) {
		n.loop.Call(func() { n.core.Receive(n.now(), message) })
	})
	mux := http.NewServeMux()
	mux.Handle(transport.Path, n.transport)
	n.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() {
		// Serve ends with an error when the node is killed.
		_ = n.server.Serve(listener)
	}()
	go func() {
		defer close(n.ended)
		// The loop ends with the context and flush never fails.
		_ = n.loop.Run(ctx, nodeTick, n.tick, n.flush)
	}()
	return n, nil
}

// kill ends the node as a crash does.
func (n *hollowNode) kill() {
	n.stop()
	<-n.ended
	n.server.Close()
	n.transport.Close()
}

func (n *hollowNode) now() int64 { return time.Since(n.started).Milliseconds() }

func (n *hollowNode) tick() {
	now := n.now()
	var later []dueMessage
	for _, answer := range n.due {
		if answer.at > now {
			later = append(later, answer)
			continue
		}
		n.core.ReceiveEngine(now, answer.engine, answer.message)
	}
	n.due = later
	n.core.Tick(now)
	n.revision.Store(n.core.Revision())
	leased := n.core.Leased()
	if n.leased.Swap(leased) && !leased {
		n.lapses.Add(1)
	}
}

func (n *hollowNode) flush() error {
	for _, outgoing := range n.core.TakeMessages() {
		n.transport.Send(outgoing.Address, outgoing.Message)
	}
	for _, outgoing := range n.core.TakeEngineMessages() {
		n.answer(outgoing.Engine, outgoing.Message)
	}
	n.core.TakeCallerEvents()
	n.revision.Store(n.core.Revision())
	return nil
}

func (n *hollowNode) answer(id string, message protocol.EngineMessage) {
	switch {
	case message.Probe != nil:
		n.shared.with(id, func(engine *hollowEngine) {
			n.later(id, 0, protocol.EngineMessage{Report: &protocol.EngineReport{
				Engine: id, Epoch: engine.epoch, Sequence: engine.sequence, Version: engine.version,
			}})
		})
	case message.Order != nil:
		n.order(id, message.Order)
	case message.Start != nil:
		start := message.Start
		n.shared.with(id, func(engine *hollowEngine) {
			n.later(id, n.shared.sampleMillis, protocol.EngineMessage{Chunk: &protocol.EngineChunk{
				Attempt: start.Attempt, Epoch: start.Epoch, Version: engine.version, Tokens: make([]uint32, start.MaxTokens), Done: true,
			}})
		})
	}
}

func (n *hollowNode) order(id string, order *protocol.EngineOrder) {
	wait := int64(0)
	if order.Version != 0 {
		wait = n.shared.loadMillis
	}
	n.shared.with(id, func(engine *hollowEngine) {
		if order.Epoch < engine.epoch {
			return
		}
		engine.epoch, engine.sequence = order.Epoch, order.Sequence
		if order.Version != 0 {
			engine.version = order.Version
			n.shared.loaded.Add(1)
		}
	})
	n.later(id, wait, protocol.EngineMessage{OrderResult: &protocol.EngineOrderResult{Epoch: order.Epoch, Sequence: order.Sequence, Done: true}})
}

func (n *hollowNode) later(engine string, wait int64, message protocol.EngineMessage) {
	n.due = append(n.due, dueMessage{at: n.now() + wait, engine: engine, message: message})
}
