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

// testNode runs one core by hand: the test plays control, peers and engines.
type testNode struct {
	t       *testing.T
	core    *Core
	now     int64
	sent    []protocol.Message
	events  []CallerEvent
	machine *state.Machine
	silent  bool
}

// newTestNode returns a node under a lease, with a pool, an engine "e1" that it
// owns and a peer.
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
	n.own("e1")
	n.run(2000)
	require.True(t, n.core.Leased())
	return n
}

func (n *testNode) apply(command state.Command) state.Result { return n.machine.Apply(command) }

func (n *testNode) own(engine string) {
	n.apply(state.Command{SetOwners: &state.SetOwners{Grants: []state.OwnerGrant{{
		Engine: engine, EngineEpoch: n.machine.Catalog.Engines[engine].Epoch, Node: "n1", NodeEpoch: n.machine.Catalog.Nodes["n1"].Epoch,
	}}}})
}

// run lets time pass while control, unless silent, and the engine answer.
func (n *testNode) run(millis int64) {
	for end := n.now + millis; n.now < end; {
		n.now += testTick
		n.core.Tick(n.now)
		n.exchange()
	}
}

func (n *testNode) exchange() {
	for _, outgoing := range n.core.TakeEngineMessages() {
		n.answerEngine(outgoing)
	}
	for _, outgoing := range n.core.TakeMessages() {
		n.sent = append(n.sent, outgoing.Message)
		if n.silent || outgoing.Address != testControl {
			continue
		}
		n.answerControl(outgoing.Message)
	}
	n.events = append(n.events, n.core.TakeCallerEvents()...)
}

func (n *testNode) answerEngine(outgoing EngineOutgoing) {
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

func (n *testNode) answerControl(message protocol.Message) {
	if beat := message.Heartbeat; beat != nil {
		n.core.Receive(n.now, protocol.Message{From: testControl, HeartbeatReply: n.reply(beat, n.machine.DeltaSince(beat.Revision, "r"))})
	}
	if message.Propose != nil {
		n.core.Receive(n.now, protocol.Message{From: testControl, ProposeReply: &protocol.ProposeReply{
			ID: message.Propose.ID, Outcome: protocol.ProposeDone, Result: n.apply(message.Propose.Command),
		}})
	}
}

func (n *testNode) reply(beat *protocol.Heartbeat, delta state.Delta) *protocol.HeartbeatReply {
	pending := map[string]int{}
	if ledger := n.machine.Ledgers[testPool]; ledger != nil && ledger.Pending() > 0 {
		pending[testPool] = ledger.Pending()
	}
	return &protocol.HeartbeatReply{
		Sequence: beat.Sequence, Epoch: n.machine.Catalog.Nodes["n1"].Epoch, LeaseMillis: 3000, Delta: delta, Pending: pending,
		Peers: map[string]protocol.Summary{"n2": {Groups: []protocol.PoolSummary{{Group: "g", Free: 8}}}},
	}
}

// lastForward returns the newest request that the node has forwarded.
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

func (n *testNode) dropEngine() {
	n.apply(state.Command{SyncEngines: &state.SyncEngines{Removed: []string{"e1"}}})
	n.apply(state.Command{SyncEngines: &state.SyncEngines{Listed: []state.Engine{{ID: "e2", Region: "r", Group: "g", Slots: 8}}}})
	n.run(1000)
}

// TestForwardedPartsMayOvertakeEachOther: later parts of an answer wait for
// earlier ones, and copies do no harm.
func TestForwardedPartsMayOvertakeEachOther(t *testing.T) {
	n := newTestNode(t)
	n.dropEngine()
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

// TestPartsOfAnotherPeerAreIgnored: only the peer that has the request answers it.
func TestPartsOfAnotherPeerAreIgnored(t *testing.T) {
	n := newTestNode(t)
	n.dropEngine()
	id := n.submit(protocol.LiveRequest{})
	n.core.Receive(n.now, protocol.Message{From: "elsewhere", ForwardChunk: &protocol.ForwardChunk{
		ID: n.lastForward().ID, Version: 1, Tokens: []uint32{66}, Outcome: protocol.OutcomeAnswered,
	}})
	n.exchange()
	outcome, _, tokens := n.outcome(id)
	require.Zero(t, outcome)
	require.Empty(t, tokens)
}

// TestRefusedResendSaysWhatIsKnown: a refusal proves that a request which must
// not repeat ran nowhere only if all earlier sends were refused too.
func TestRefusedResendSaysWhatIsKnown(t *testing.T) {
	for _, unresolved := range []bool{false, true} {
		n := newTestNode(t)
		n.silent = true
		n.run(4000)
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

// TestOverlappingDeltaIsTakenIn: a delta from before the known revision comes
// with a lease, so what is new in it must be taken in.
func TestOverlappingDeltaIsTakenIn(t *testing.T) {
	n := newTestNode(t)
	early := n.core.Revision()
	n.apply(state.Command{PublishVersion: &state.PublishVersion{Model: "m", Version: 2}})
	n.run(1500)
	n.silent = true
	n.run(heartbeatMillis + testTick)
	n.apply(state.Command{PublishVersion: &state.PublishVersion{Model: "m", Version: 3}})
	n.core.Receive(n.now, protocol.Message{From: testControl, HeartbeatReply: n.reply(
		&protocol.Heartbeat{Sequence: n.core.beatSequence}, n.machine.DeltaSince(early, "r"))})
	require.Equal(t, n.machine.Revision, n.core.Revision())
	known := n.core.Revision()
	n.core.mergeDelta(state.Delta{From: early, To: early + 1, Changed: state.NewCatalog()})
	require.Equal(t, known, n.core.Revision(), "never back")
}

// TestDrainedNodeLingers: peers learn of the drain before the node is gone.
func TestDrainedNodeLingers(t *testing.T) {
	n := newTestNode(t)
	n.core.Drain(n.now)
	n.run(drainLingerMillis - 2*testTick)
	require.False(t, n.core.Drained())
	id := n.submit(protocol.LiveRequest{})
	outcome, reason, _ := n.outcome(id)
	require.Equal(t, protocol.OutcomeNotRun, outcome)
	require.Equal(t, protocol.ReasonDraining, reason)
	n.run(200)
	require.True(t, n.core.Drained())
}

// TestStrandedSamplesGoBack: samples that wait at a node whose engines have
// gone are given back, to be run elsewhere.
func TestStrandedSamplesGoBack(t *testing.T) {
	n := newTestNode(t)
	var prompts []state.Prompt
	for index := range uint32(4) {
		prompts = append(prompts, state.Prompt{Index: index, MaxTokens: 10})
	}
	n.apply(state.Command{SubmitStep: &state.SubmitStep{Pool: testPool, Step: 1, Prompts: prompts}})
	n.run(1500)
	require.Zero(t, n.machine.Ledgers[testPool].Pending(), "the node has taken the samples")
	n.dropEngine()
	for _, id := range n.core.sortedRequests() {
		n.core.receiveLost(n.core.requests[id].attempt)
	}
	n.run(2 * strandedMillis)
	require.Equal(t, 4, n.machine.Ledgers[testPool].Pending())
	require.Zero(t, n.core.InFlight())
}

// TestLostLeaseStopsNewWork: without a lease nothing governed starts.
func TestLostLeaseStopsNewWork(t *testing.T) {
	n := newTestNode(t)
	n.silent = true
	n.run(3500)
	require.False(t, n.core.Leased())
	id := n.submit(protocol.LiveRequest{})
	outcome, reason, _ := n.outcome(id)
	require.Equal(t, protocol.OutcomeNotRun, outcome)
	require.Equal(t, protocol.ReasonNoLease, reason)
}

// TestFullQueueRefusesAtOnce: the refusal comes with when to come back.
func TestFullQueueRefusesAtOnce(t *testing.T) {
	n := newTestNode(t)
	var last uint64
	for range 16 + 8 + 4 + 1 {
		last = n.submit(protocol.LiveRequest{})
	}
	outcome, reason, _ := n.outcome(last)
	require.Equal(t, protocol.OutcomeNotRun, outcome)
	require.Equal(t, protocol.ReasonQueueFull, reason)
	require.Positive(t, n.events[len(n.events)-1].RetryMillis)
}

// TestNotifyBringsTheNewsAtOnce: a notification of the leader, and of nobody
// else, makes the node ask for what has changed.
func TestNotifyBringsTheNewsAtOnce(t *testing.T) {
	n := newTestNode(t)
	n.run(heartbeatMillis / 2)
	n.apply(state.Command{PublishVersion: &state.PublishVersion{Model: "m", Version: 2}})
	n.now++
	n.core.Receive(n.now, protocol.Message{From: "elsewhere", Notify: &protocol.Notify{}})
	n.exchange()
	require.Less(t, n.core.Revision(), n.machine.Revision)
	n.core.Receive(n.now, protocol.Message{From: testControl, Notify: &protocol.Notify{}})
	n.exchange()
	require.Equal(t, n.machine.Revision, n.core.Revision())
}

// TestSamplesWaitForNewerWeights: a sample that the next publication would make
// too old before it can end does not start on an engine that is to swap.
func TestSamplesWaitForNewerWeights(t *testing.T) {
	n := newTestNode(t)
	pool := n.core.catalog.Pools[testPool].Spec
	target, sample := n.core.engines["e1"], &request{maxTokens: 500}
	tests := map[string]struct {
		version uint64
		seen    publication
		elapsed int64
		starts  bool
	}{
		"publications are far apart":  {1, publication{version: 2, last: 60_000}, 0, true},
		"publications are close":      {1, publication{version: 2, last: 4000}, 0, false},
		"publications come in bursts": {1, publication{version: 2, last: 60_000, earlier: 4000}, 0, false},
		"nothing is known of them":    {1, publication{version: 2}, 0, false},
		"the engine has the newest":   {2, publication{version: 2, last: 4000}, 0, true},
		"the swap takes too long":     {1, publication{version: 2, last: 4000}, swapPatienceMillis + 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target.version, target.tokenMillis = test.version, 10
			test.seen.seenAt = n.core.now - test.elapsed
			n.core.publications[pool.Model] = test.seen
			require.Equal(t, test.starts, n.core.mayEndInTime(sample, target, pool))
		})
	}
}
