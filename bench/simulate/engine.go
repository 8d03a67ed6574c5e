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
	// breakNoticeMillis is the longest time until an end of a connection that
	// cannot reach the other one is noticed.
	breakNoticeMillis = 8000
	storeMillis       = 100
)

// engineProcess is an engine.
type engineProcess struct {
	*process
	cluster     *cluster
	config      model.Config
	group       string
	engine      *model.Engine
	connections map[string]*connection
	nextID      int
	ticking     bool
	failPercent int
	leaving     bool
}

// connection is one HTTP request of a node to an engine. It delivers in order
// or breaks.
type connection struct {
	id       string
	node     *nodeProcess
	nodeLife int
	engine   *engineProcess
	life     int
	message  protocol.EngineMessage
	broken   bool
	// lastAt keeps the order of what the engine sends.
	lastAt int64
}

func (e *engineProcess) start() {
	e.birth()
	config := e.config
	config.Incarnation = uint64(e.life)
	e.engine = model.NewEngine(config)
	e.engine.SetLeaving(e.leaving)
	e.connections, e.ticking = map[string]*connection{}, false
}

// sendEngine carries a node's message to an engine.
func (cl *cluster) sendEngine(n *nodeProcess, outgoing node.EngineOutgoing) {
	target := cl.engineByName[outgoing.Engine]
	if outgoing.Message.Cancel != nil {
		cl.cancelAttempt(n, target, outgoing.Message.Cancel.Attempt)
		return
	}
	connecting := &connection{node: n, nodeLife: n.life, engine: target, message: outgoing.Message}
	if !target.alive || cl.world.cut(n.process, target.process) || cl.world.cut(target.process, n.process) {
		// No connection comes about: no byte has been sent.
		connecting.fail(cl.world.between(1, 1000), protocol.RefusedConnect)
		return
	}
	connecting.life = target.life
	cl.world.schedule(cl.world.delay(n.process, target.process), connecting.arrive)
}

// arrive hands the request to the engine. From here on the node cannot know
// whether it was taken up.
func (c *connection) arrive() {
	if !c.engine.alive || c.engine.life != c.life || c.engine.cluster.world.cut(c.node.process, c.engine.process) {
		c.fail(c.engine.cluster.world.between(1, breakNoticeMillis), "")
		return
	}
	c.engine.enter(func() {
		if c.broken {
			return
		}
		c.engine.nextID++
		c.id = strconv.Itoa(c.engine.nextID)
		c.engine.connections[c.id] = c
		c.engine.engine.Receive(c.engine.monotonic(), c.id, c.message)
		c.engine.flush()
	})
}

// fail tells the node, after a while, that the request failed. A reason means
// that it provably did not reach the engine.
func (c *connection) fail(delay int64, reason string) {
	c.broken = true
	c.engine.cluster.world.note("%s: connection of %s breaks: %q", c.engine.name, c.node.name, reason)
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
	c.toNode(delay, message)
}

func (c *connection) toNode(delay int64, message protocol.EngineMessage) {
	if c.node.life != c.nodeLife {
		return
	}
	c.node.after(delay, func() {
		c.node.core.ReceiveEngine(c.node.monotonic(), c.engine.name, message)
		c.node.flush()
	})
}

func (cl *cluster) cancelAttempt(n *nodeProcess, target *engineProcess, attempt string) {
	for _, existing := range target.connections {
		if existing.node == n && existing.nodeLife == n.life && existing.message.Start != nil && existing.message.Start.Attempt == attempt {
			existing.broken = true
			cl.world.schedule(cl.world.delay(n.process, target.process), func() { target.drop(existing) })
			return
		}
	}
}

// drop ends a connection at the engine.
func (e *engineProcess) drop(ended *connection) {
	if e.alive && e.life == ended.life && e.connections[ended.id] == ended {
		e.enter(func() {
			delete(e.connections, ended.id)
			e.engine.Disconnect(ended.id)
		})
	}
}

func (e *engineProcess) tick() {
	e.ticking = false
	e.engine.Tick(e.monotonic())
	e.flush()
}

func (e *engineProcess) flush() {
	for _, record := range e.engine.TakeRecords() {
		if record.Began {
			e.world.note("%s began %s as %s", e.name, record.Request, record.Attempt)
			e.world.record(oracle.Event{Began: &oracle.Began{Engine: e.name, Attempt: record.Attempt, Request: record.Request}})
			continue
		}
		e.world.record(oracle.Event{Generated: &oracle.Generated{
			Engine: e.name, Request: record.Request,
			Segment: oracle.Segment{Version: record.Version, First: record.First, Count: record.Count},
		}})
	}
	for _, fetch := range e.engine.TakeFetches() {
		e.fetch(fetch)
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

// reply sends a message back in order. If the way is cut the connection
// breaks, and each end notices after a while.
func (e *engineProcess) reply(to *connection, message protocol.EngineMessage) {
	if to.broken {
		return
	}
	if e.world.cut(e.process, to.node.process) {
		to.fail(e.world.between(1, breakNoticeMillis), "")
		e.world.schedule(e.world.between(1, breakNoticeMillis), func() { e.drop(to) })
		return
	}
	arrival := max(to.lastAt, e.world.now+e.world.delay(e.process, to.node.process))
	to.lastAt = arrival
	if to.node.life != to.nodeLife || !to.node.alive {
		e.world.schedule(e.world.between(1, breakNoticeMillis), func() { e.drop(to) })
		return
	}
	to.toNode(arrival-e.world.now, message)
	ends := message.Chunk == nil || message.Chunk.Done
	if ends {
		delete(e.connections, to.id)
	}
}

// fetch asks the weight store, whose rate all engines share.
func (e *engineProcess) fetch(model.FetchWeights) {
	start := max(e.world.now, e.cluster.storeFreeAt)
	e.cluster.storeFreeAt = start + storeMillis
	ok := !e.world.percent(e.failPercent)
	if !ok {
		e.world.fault("swap-fails", "%s", e.name)
	}
	e.after(e.cluster.storeFreeAt-e.world.now, func() {
		e.engine.WeightsFetched(e.monotonic(), ok)
		e.flush()
	})
}

// kill ends the engine; each connection's node notices after a while.
func (e *engineProcess) kill() {
	for _, id := range slices.Sorted(maps.Keys(e.connections)) {
		if existing := e.connections[id]; !existing.broken {
			existing.fail(e.world.between(1, breakNoticeMillis), "")
		}
	}
	e.death()
}
