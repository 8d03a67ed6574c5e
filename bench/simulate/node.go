package simulate

import (
	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/protocol"
)

const (
	nodeTickMillis   = 50
	scoreDelayMillis = 20
)

// nodeProcess simulates a node process.
type nodeProcess struct {
	*process
	cluster        *cluster
	core           *node.Core
	callers        map[uint64]func(node.CallerEvent)
	draining       bool
	actingRevision uint64
}

func (n *nodeProcess) start() {
	n.markStarted()
	n.callers, n.draining, n.actingRevision = map[uint64]func(node.CallerEvent){}, false, 0
	n.core = node.New(node.Config{
		ID: n.name, Zone: n.zone, Region: n.cluster.region(n.zone), Address: n.address,
		Incarnation: uint64(n.incarnation), Controls: n.cluster.controlAddresses(),
		Seed: n.world.random.Uint64(), Scoring: true,
	})
	n.tick()
}

func (n *nodeProcess) tick() {
	n.core.Tick(n.monotonicClock())
	if n.core.Drained() {
		n.core.Leave(n.monotonicClock())
		n.flush()
		n.markStopped()
		return
	}
	n.flush()
	n.after(nodeTickMillis, n.tick)
}

func (n *nodeProcess) drain() {
	n.draining = true
	n.core.Drain(n.monotonicClock())
	n.flush()
}

func (n *nodeProcess) receive(message protocol.Message) {
	n.core.Receive(n.monotonicClock(), message)
	n.flush()
}

func (n *nodeProcess) submitLive(live protocol.LiveRequest, onEvent func(node.CallerEvent)) uint64 {
	id := n.core.Submit(n.monotonicClock(), live)
	n.callers[id] = onEvent
	n.flush()
	return id
}

func (n *nodeProcess) flush() {
	for _, outgoing := range n.core.TakeMessages() {
		n.cluster.sendMessage(n.process, outgoing.Address, outgoing.Message)
	}
	for _, outgoing := range n.core.TakeEngineMessages() {
		n.cluster.sendToEngine(n, outgoing)
	}
	for _, score := range n.core.TakeScoreRequests() {
		n.after(scoreDelayMillis, func() {
			n.core.ReceiveScore(n.monotonicClock(), score.Request, 1)
			n.flush()
		})
	}
	for _, event := range n.core.TakeCallerEvents() {
		onEvent := n.callers[event.Request]
		if event.Outcome != 0 {
			delete(n.callers, event.Request)
		}
		if onEvent != nil {
			onEvent(event)
		}
	}
	n.recordRevision()
}

// recordRevision records the revision that the node uses, whenever it changes under a lease.
func (n *nodeProcess) recordRevision() {
	if revision := n.core.Revision(); revision != n.actingRevision && n.core.HasLease() {
		n.actingRevision = revision
		n.world.record(oracle.Event{Acting: &oracle.Acting{Node: n.name, Incarnation: uint64(n.incarnation), Revision: revision}})
	}
}
