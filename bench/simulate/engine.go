package simulate

import (
	"maps"
	"slices"
	"strconv"

	"github.com/dillchute/dillchute/bench/model"
	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/protocol"
)

const (
	engineTickMillis = 40
	// maxBreakDetectionMillis bounds the time until one end of a connection notices that it broke.
	maxBreakDetectionMillis = 8000
	weightLoadMillis        = 100
)

// engineProcess simulates an engine process.
type engineProcess struct {
	*process
	cluster         *cluster
	config          model.Config
	group           string
	engine          *model.Engine
	connections     map[string]*connection
	nextID          int
	ticking         bool
	loadFailPercent int
	leaving         bool
}

// connection is one HTTP request of a node to an engine. It delivers messages in order or breaks.
type connection struct {
	id                string
	node              *nodeProcess
	nodeIncarnation   int
	engine            *engineProcess
	engineIncarnation int
	message           protocol.EngineMessage
	broken            bool
	// lastArrival is the arrival time of the engine's last message; later messages do not overtake it.
	lastArrival int64
}

func (e *engineProcess) start() {
	e.markStarted()
	config := e.config
	config.Incarnation = uint64(e.incarnation)
	e.engine = model.NewEngine(config)
	e.engine.SetLeaving(e.leaving)
	e.connections, e.ticking = map[string]*connection{}, false
}

// sendToEngine sends a node's message to an engine.
func (cl *cluster) sendToEngine(n *nodeProcess, outgoing node.EngineOutgoing) {
	target := cl.engineByName[outgoing.Engine]
	if outgoing.Message.Cancel != nil {
		cl.cancelAttempt(n, target, outgoing.Message.Cancel.Attempt)
		return
	}
	conn := &connection{node: n, nodeIncarnation: n.incarnation, engine: target, message: outgoing.Message}
	if !target.alive || cl.world.blocked(n.process, target.process) || cl.world.blocked(target.process, n.process) {
		// The connection could not be established: nothing was sent.
		conn.fail(cl.world.randomBetween(1, 1000), protocol.RefusedConnect)
		return
	}
	conn.engineIncarnation = target.incarnation
	cl.world.schedule(cl.world.messageDelay(n.process, target.process), conn.arrive)
}

// arrive delivers the request to the engine. From here on, the node cannot know whether a broken
// connection left the request unprocessed.
func (c *connection) arrive() {
	if !c.engine.alive || c.engine.incarnation != c.engineIncarnation || c.engine.cluster.world.blocked(c.node.process, c.engine.process) {
		c.fail(c.engine.cluster.world.randomBetween(1, maxBreakDetectionMillis), "")
		return
	}
	c.engine.runOrDefer(func() {
		if c.broken {
			return
		}
		c.engine.nextID++
		c.id = strconv.Itoa(c.engine.nextID)
		c.engine.connections[c.id] = c
		c.engine.engine.Receive(c.engine.monotonicClock(), c.id, c.message)
		c.engine.flush()
	})
}

// fail breaks the connection and reports the failure to the node after the delay. A non-empty
// reason means that the request did not reach the engine.
func (c *connection) fail(delay int64, reason string) {
	c.broken = true
	c.engine.cluster.world.tracef("%s: connection from %s broke: %q", c.engine.name, c.node.name, reason)
	var message protocol.EngineMessage
	switch {
	case c.message.Start != nil && reason != "":
		message.Refused = &protocol.EngineRefused{Attempt: c.message.Start.Attempt, Reason: reason}
	case c.message.Start != nil:
		message.Lost = &protocol.EngineLost{Attempt: c.message.Start.Attempt}
	case c.message.Order != nil:
		message.OrderResult = &protocol.EngineOrderResult{Epoch: c.message.Order.Epoch, Sequence: c.message.Order.Sequence}
	default:
		return
	}
	c.sendToNode(delay, message)
}

func (c *connection) sendToNode(delay int64, message protocol.EngineMessage) {
	if c.node.incarnation != c.nodeIncarnation {
		return
	}
	c.node.after(delay, func() {
		c.node.core.ReceiveEngine(c.node.monotonicClock(), c.engine.name, message)
		c.node.flush()
	})
}

func (cl *cluster) cancelAttempt(n *nodeProcess, target *engineProcess, attempt string) {
	for _, conn := range target.connections {
		if conn.node == n && conn.nodeIncarnation == n.incarnation && conn.message.Start != nil && conn.message.Start.Attempt == attempt {
			conn.broken = true
			cl.world.schedule(cl.world.messageDelay(n.process, target.process), func() { target.disconnect(conn) })
			return
		}
	}
}

// disconnect ends a connection at the engine.
func (e *engineProcess) disconnect(ended *connection) {
	if e.alive && e.incarnation == ended.engineIncarnation && e.connections[ended.id] == ended {
		e.runOrDefer(func() {
			delete(e.connections, ended.id)
			e.engine.Disconnect(ended.id)
		})
	}
}

func (e *engineProcess) tick() {
	e.ticking = false
	e.engine.Tick(e.monotonicClock())
	e.flush()
}

func (e *engineProcess) flush() {
	for _, record := range e.engine.TakeRecords() {
		if record.Began {
			e.world.tracef("%s began %s as %s", e.name, record.Request, record.Attempt)
			e.world.record(oracle.Event{Began: &oracle.Began{Engine: e.name, Attempt: record.Attempt, Request: record.Request}})
			continue
		}
		e.world.record(oracle.Event{Generated: &oracle.Generated{
			Engine: e.name, Request: record.Request,
			Segment: oracle.Segment{Version: record.Version, First: record.First, Count: record.Count},
		}})
	}
	for _, fetch := range e.engine.TakeFetches() {
		e.fetchWeights(fetch)
	}
	for _, reply := range e.engine.TakeReplies() {
		if target := e.connections[reply.To]; target != nil {
			e.reply(target, reply.Message)
		}
	}
	if !e.ticking && (e.engine.Running() > 0 || e.engine.Swapping()) {
		e.ticking = true
		e.after(engineTickMillis, e.tick)
	}
}

// reply sends a message to the node, in order. If the network blocks it, the connection breaks and
// each end notices after a random delay.
func (e *engineProcess) reply(to *connection, message protocol.EngineMessage) {
	if to.broken {
		return
	}
	if e.world.blocked(e.process, to.node.process) {
		to.fail(e.world.randomBetween(1, maxBreakDetectionMillis), "")
		e.world.schedule(e.world.randomBetween(1, maxBreakDetectionMillis), func() { e.disconnect(to) })
		return
	}
	arrival := max(to.lastArrival, e.world.now+e.world.messageDelay(e.process, to.node.process))
	to.lastArrival = arrival
	if to.node.incarnation != to.nodeIncarnation || !to.node.alive {
		e.world.schedule(e.world.randomBetween(1, maxBreakDetectionMillis), func() { e.disconnect(to) })
		return
	}
	to.sendToNode(arrival-e.world.now, message)
	last := message.Chunk == nil || message.Chunk.Done
	if last {
		delete(e.connections, to.id)
	}
}

// fetchWeights fetches weights from the weight store, which serves one load at a time.
func (e *engineProcess) fetchWeights(model.FetchWeights) {
	start := max(e.world.now, e.cluster.weightStoreFreeAt)
	e.cluster.weightStoreFreeAt = start + weightLoadMillis
	ok := !e.world.randomPercent(e.loadFailPercent)
	if !ok {
		e.world.recordFault("swap-fails", "%s", e.name)
	}
	e.after(e.cluster.weightStoreFreeAt-e.world.now, func() {
		e.engine.WeightsFetched(e.monotonicClock(), ok)
		e.flush()
	})
}

// kill crashes the engine. The node of each connection notices after a random delay.
func (e *engineProcess) kill() {
	for _, id := range slices.Sorted(maps.Keys(e.connections)) {
		if conn := e.connections[id]; !conn.broken {
			conn.fail(e.world.randomBetween(1, maxBreakDetectionMillis), "")
		}
	}
	e.markStopped()
}
