package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

const (
	testControl = "control"
	testPool    = "pool"
	testPeer    = "peer-address"
	testTick    = 50
)

// testNode runs a Core and simulates control, one peer and the engines.
type testNode struct {
	t             *testing.T
	core          *Core
	now           int64
	sent          []protocol.Message
	events        []CallerEvent
	machine       *state.Machine
	controlSilent bool
}

// newTestNode returns a node with a lease, a pool, an engine "e1" that it owns and a
// peer.
func newTestNode(t *testing.T) *testNode {
	n := &testNode{t: t, machine: state.NewMachine(), core: New(Config{
		ID: "n1", Zone: "z", Region: "r", Address: "own", Incarnation: 1, Controls: []string{testControl}, Seed: 1,
	})}
	n.apply(state.Command{RegisterNode: &state.RegisterNode{ID: "n1", Zone: "z", Region: "r", Address: "own", Incarnation: 1}})
	n.apply(state.Command{RegisterNode: &state.RegisterNode{ID: "n2", Zone: "z", Region: "r", Address: testPeer, Incarnation: 1}})
	n.apply(state.Command{Apply: &state.Apply{ChangeID: "first", Pools: []state.PoolSpec{{
		Name: testPool, Model: "m", EngineGroup: "g", Policy: state.ContinueRunning, MaxStalenessVersions: 1, LivePriority: 7,
		MaxQueuedRequests: 4, MaxQueuedTokens: 10_000, RetryPercent: 100, MaxSwappingPercent: 50, Disconnected: state.RefuseDisconnected,
	}}}})
	n.apply(state.Command{PublishVersion: &state.PublishVersion{Model: "m", Version: 1}})
	n.apply(state.Command{SyncEngines: &state.SyncEngines{Listed: []state.Engine{{ID: "e1", Region: "r", Group: "g", Address: "engine", Slots: 16}}}})
	n.grantEngine("e1")
	n.advance(2000)
	require.True(t, n.core.HasLease())
	return n
}

func (n *testNode) apply(command state.Command) state.Result { return n.machine.Apply(command) }

func (n *testNode) grantEngine(engine string) {
	n.apply(state.Command{SetOwners: &state.SetOwners{Grants: []state.OwnerGrant{{
		Engine: engine, EngineEpoch: n.machine.Catalog.Engines[engine].Epoch, Node: "n1", NodeEpoch: n.machine.Catalog.Nodes["n1"].Epoch,
	}}}})
}

// advance advances the time; the engine and, unless controlSilent is set, control reply.
func (n *testNode) advance(millis int64) {
	for end := n.now + millis; n.now < end; {
		n.now += testTick
		n.core.Tick(n.now)
		n.exchange()
	}
}

func (n *testNode) exchange() {
	for _, outgoing := range n.core.TakeEngineMessages() {
		n.replyAsEngine(outgoing)
	}
	for _, outgoing := range n.core.TakeMessages() {
		n.sent = append(n.sent, outgoing.Message)
		if n.controlSilent || outgoing.Address != testControl {
			continue
		}
		n.replyAsControl(outgoing.Message)
	}
	n.events = append(n.events, n.core.TakeCallerEvents()...)
}

func (n *testNode) replyAsEngine(outgoing EngineOutgoing) {
	switch message := outgoing.Message; {
	case message.Order != nil:
		n.core.ReceiveEngine(n.now, outgoing.Engine, protocol.EngineMessage{OrderResult: &protocol.EngineOrderResult{
			Epoch: message.Order.Epoch, Sequence: message.Order.Sequence, Done: true,
		}})
	case message.Probe != nil:
		target := n.core.engines[outgoing.Engine]
		n.core.ReceiveEngine(n.now, outgoing.Engine, protocol.EngineMessage{Report: &protocol.EngineReport{
			Epoch: target.info.Epoch, Sequence: target.sequence, Version: target.version,
		}})
	}
}

func (n *testNode) replyAsControl(message protocol.Message) {
	if heartbeat := message.Heartbeat; heartbeat != nil {
		n.core.Receive(n.now, protocol.Message{From: testControl, HeartbeatReply: n.heartbeatReply(heartbeat, n.machine.DeltaSince(heartbeat.Revision, "r"))})
	}
	if message.Propose != nil {
		n.core.Receive(n.now, protocol.Message{From: testControl, ProposeReply: &protocol.ProposeReply{
			ID: message.Propose.ID, Outcome: protocol.ProposeDone, Result: n.apply(message.Propose.Command),
		}})
	}
}

func (n *testNode) heartbeatReply(heartbeat *protocol.Heartbeat, delta state.Delta) *protocol.HeartbeatReply {
	pending := map[string]int{}
	if ledger := n.machine.Ledgers[testPool]; ledger != nil && ledger.Pending() > 0 {
		pending[testPool] = ledger.Pending()
	}
	return &protocol.HeartbeatReply{
		Sequence: heartbeat.Sequence, Epoch: n.machine.Catalog.Nodes["n1"].Epoch, LeaseMillis: 3000, Delta: delta, Pending: pending,
		Peers: map[string]protocol.Summary{"n2": {Groups: []protocol.PoolSummary{{Group: "g", Free: 8}}}},
	}
}

// lastForward returns the last request that the node has forwarded, or nil.
func (n *testNode) lastForward() *protocol.Forward {
	for position := len(n.sent) - 1; position >= 0; position-- {
		if n.sent[position].Forward != nil {
			return n.sent[position].Forward
		}
	}
	return nil
}

func (n *testNode) submit(live protocol.LiveRequest) uint64 {
	live.Pool, live.MaxTokens, live.PriorityCap = testPool, 10, 9
	live.TimeoutMillis = max(live.TimeoutMillis, 10_000)
	id := n.core.Submit(n.now, live)
	n.exchange()
	return id
}

func (n *testNode) outcome(id uint64) (protocol.Outcome, protocol.Reason, []uint32) {
	var tokens []uint32
	for _, event := range n.events {
		if event.Request != id {
			continue
		}
		tokens = append(tokens, event.Tokens...)
		if event.Outcome != 0 {
			return event.Outcome, event.Reason, tokens
		}
	}
	return 0, protocol.ReasonNone, tokens
}

func (n *testNode) loseEngine() {
	n.apply(state.Command{SyncEngines: &state.SyncEngines{Removed: []string{"e1"}}})
	n.apply(state.Command{SyncEngines: &state.SyncEngines{Listed: []state.Engine{{ID: "e2", Region: "r", Group: "g", Slots: 8}}}})
	n.advance(1000)
}

// TestForwardChunksReordered checks that reordered and duplicate chunks of a forwarded
// request are delivered in order and once.
func TestForwardChunksReordered(t *testing.T) {
	n := newTestNode(t)
	n.loseEngine()
	id := n.submit(protocol.LiveRequest{})
	forward := n.lastForward()
	require.NotNil(t, forward)
	chunk := func(index uint32, tokens ...uint32) protocol.Message {
		return protocol.Message{From: testPeer, ForwardChunk: &protocol.ForwardChunk{ID: forward.ID, Index: index, Version: 1, Tokens: tokens}}
	}
	last := chunk(3)
	last.ForwardChunk.Outcome = protocol.OutcomeAnswered
	for _, message := range []protocol.Message{chunk(2, 30), last, chunk(0, 10), chunk(0, 10), chunk(1, 20), chunk(2, 30)} {
		n.core.Receive(n.now, message)
		n.exchange()
	}
	outcome, _, tokens := n.outcome(id)
	require.Equal(t, protocol.OutcomeAnswered, outcome)
	require.Equal(t, []uint32{10, 20, 30}, tokens)
}

// TestForwardChunksFromOtherPeerIgnored checks that only the peer to which a request was
// forwarded can answer it.
func TestForwardChunksFromOtherPeerIgnored(t *testing.T) {
	n := newTestNode(t)
	n.loseEngine()
	id := n.submit(protocol.LiveRequest{})
	n.core.Receive(n.now, protocol.Message{From: "elsewhere", ForwardChunk: &protocol.ForwardChunk{
		ID: n.lastForward().ID, Version: 1, Tokens: []uint32{66}, Outcome: protocol.OutcomeAnswered,
	}})
	n.exchange()
	outcome, _, tokens := n.outcome(id)
	require.Zero(t, outcome)
	require.Empty(t, tokens)
}

// TestRefusedResendOutcome checks that a refused resend of a non-repeatable request is
// reported as not run only if all earlier attempts were refused too.
func TestRefusedResendOutcome(t *testing.T) {
	for _, unresolved := range []bool{false, true} {
		n := newTestNode(t)
		n.controlSilent = true
		n.advance(4000)
		id := n.submit(protocol.LiveRequest{Key: "k", NotRepeatable: true, IssuedAt: 1, WindowMillis: 60_000, Attempt: 2, Unresolved: unresolved})
		outcome, reason, _ := n.outcome(id)
		require.Equal(t, protocol.ReasonNoLease, reason)
		want := protocol.OutcomeNotRun
		if unresolved {
			want = protocol.OutcomeUnknown
		}
		require.Equal(t, want, outcome)
	}
}

// TestOverlappingDeltaApplied checks that a delta that starts before the current revision
// is applied, because its reply also renews the lease.
func TestOverlappingDeltaApplied(t *testing.T) {
	n := newTestNode(t)
	earlier := n.core.Revision()
	n.apply(state.Command{PublishVersion: &state.PublishVersion{Model: "m", Version: 2}})
	n.advance(1500)
	n.controlSilent = true
	n.advance(heartbeatIntervalMillis + testTick)
	n.apply(state.Command{PublishVersion: &state.PublishVersion{Model: "m", Version: 3}})
	n.core.Receive(n.now, protocol.Message{From: testControl, HeartbeatReply: n.heartbeatReply(
		&protocol.Heartbeat{Sequence: n.core.heartbeatSequence}, n.machine.DeltaSince(earlier, "r"))})
	require.Equal(t, n.machine.Revision, n.core.Revision())
	current := n.core.Revision()
	n.core.mergeDelta(state.Delta{From: earlier, To: earlier + 1, Changed: state.NewCatalog()})
	require.Equal(t, current, n.core.Revision(), "an older delta changed the revision")
}

// TestDrainingNodeLingers checks that a draining node refuses requests until its peers
// know of the drain.
func TestDrainingNodeLingers(t *testing.T) {
	n := newTestNode(t)
	n.core.Drain(n.now)
	n.advance(drainLingerMillis - 2*testTick)
	require.False(t, n.core.Drained())
	id := n.submit(protocol.LiveRequest{})
	outcome, reason, _ := n.outcome(id)
	require.Equal(t, protocol.OutcomeNotRun, outcome)
	require.Equal(t, protocol.ReasonDraining, reason)
	n.advance(200)
	require.True(t, n.core.Drained())
}

// TestStrandedSamplesReturned checks that a node returns queued samples to control after
// it has lost its engines.
func TestStrandedSamplesReturned(t *testing.T) {
	n := newTestNode(t)
	var prompts []state.Prompt
	for index := range uint32(4) {
		prompts = append(prompts, state.Prompt{Index: index, MaxTokens: 10})
	}
	n.apply(state.Command{SubmitStep: &state.SubmitStep{Pool: testPool, Step: 1, Prompts: prompts}})
	n.advance(1500)
	require.Zero(t, n.machine.Ledgers[testPool].Pending(), "all samples are assigned")
	n.loseEngine()
	for _, id := range n.core.sortedRequestIDs() {
		n.core.receiveLost(n.core.requests[id].attempt)
	}
	n.advance(2 * strandedTimeoutMillis)
	require.Equal(t, 4, n.machine.Ledgers[testPool].Pending())
	require.Zero(t, n.core.InFlight())
}

// TestLostLeaseStopsNewWork checks that a node without a lease refuses requests of a pool
// with RefuseDisconnected.
func TestLostLeaseStopsNewWork(t *testing.T) {
	n := newTestNode(t)
	n.controlSilent = true
	n.advance(3500)
	require.False(t, n.core.HasLease())
	id := n.submit(protocol.LiveRequest{})
	outcome, reason, _ := n.outcome(id)
	require.Equal(t, protocol.OutcomeNotRun, outcome)
	require.Equal(t, protocol.ReasonNoLease, reason)
}

// TestFullQueueRefusesImmediately checks that a full queue refuses requests with a retry
// delay.
func TestFullQueueRefusesImmediately(t *testing.T) {
	n := newTestNode(t)
	var last uint64
	for range 16 + 8 + 4 + 1 {
		last = n.submit(protocol.LiveRequest{})
	}
	outcome, reason, _ := n.outcome(last)
	require.Equal(t, protocol.OutcomeNotRun, outcome)
	require.Equal(t, protocol.ReasonQueueFull, reason)
	require.Positive(t, n.events[len(n.events)-1].RetryAfterMillis)
}

// TestNotifyTriggersHeartbeat checks that the node fetches changes when it is notified by
// the leader, and ignores notifications from others.
func TestNotifyTriggersHeartbeat(t *testing.T) {
	n := newTestNode(t)
	n.advance(heartbeatIntervalMillis / 2)
	n.apply(state.Command{PublishVersion: &state.PublishVersion{Model: "m", Version: 2}})
	n.now++
	n.core.Receive(n.now, protocol.Message{From: "elsewhere", Notify: &protocol.Notify{}})
	n.exchange()
	require.Less(t, n.core.Revision(), n.machine.Revision)
	n.core.Receive(n.now, protocol.Message{From: testControl, Notify: &protocol.Notify{}})
	n.exchange()
	require.Equal(t, n.machine.Revision, n.core.Revision())
}

// TestSamplesWaitForNewerWeights checks that a sample does not start on an engine with
// outdated weights if it would become stale before it finishes.
func TestSamplesWaitForNewerWeights(t *testing.T) {
	n := newTestNode(t)
	pool := n.core.catalog.Pools[testPool].Spec
	target, sample := n.core.engines["e1"], &request{maxTokens: 500}
	tests := map[string]struct {
		version     uint64
		publication publication
		elapsed     int64
		starts      bool
	}{
		"publications are far apart":  {1, publication{version: 2, lastInterval: 60_000}, 0, true},
		"publications are close":      {1, publication{version: 2, lastInterval: 4000}, 0, false},
		"publications come in bursts": {1, publication{version: 2, lastInterval: 60_000, previousInterval: 4000}, 0, false},
		"no interval is known":        {1, publication{version: 2}, 0, false},
		"engine has newest version":   {2, publication{version: 2, lastInterval: 4000}, 0, true},
		"swap takes too long":         {1, publication{version: 2, lastInterval: 4000}, maxSwapWaitMillis + 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target.version, target.tokenMillis = test.version, 10
			test.publication.seenAt = n.core.now - test.elapsed
			n.core.publications[pool.Model] = test.publication
			require.Equal(t, test.starts, n.core.canFinishInTime(sample, target, pool))
		})
	}
}
