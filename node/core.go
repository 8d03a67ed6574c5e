// Package node is the core of a node: it holds a lease from control, queues
// requests, dispatches them to the engines it owns, forwards to other owners,
// rolls out weights and reports results. It is a deterministic state machine;
// package server runs it in a process, package simulate in virtual time.
package node

import (
	"fmt"
	"math/rand/v2"

	"github.com/dillchute/dillchute/dispatch"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// Config holds what a Core needs to start.
type Config struct {
	ID      string
	Zone    string
	Region  string
	Address string
	// Incarnation differs between any two starts of the node.
	Incarnation uint64
	// Controls are the addresses of the control replicas.
	Controls []string
	// Seed determines the node's random choices.
	Seed uint64
	// Scoring says that results are scored before they are recorded.
	Scoring bool
}

// The node's own time limits, in milliseconds.
const (
	heartbeatMillis = 700
	probeMillis     = 1000
	// reportMaxAgeMillis is how old an engine's newest evidence may be for it
	// to get new work.
	reportMaxAgeMillis = 3000
	// chunkTimeoutMillis is how long a stream may be silent.
	chunkTimeoutMillis = 5000
	// proposeRetryMillis is the time after which a proposal is sent again.
	proposeRetryMillis = 500
	// orderTimeoutMillis is how long an order may stay without an answer.
	orderTimeoutMillis = 60000
	// blockedMillis keeps work from an engine that has just refused some.
	blockedMillis = 200
	// forwardKeepaliveMillis is the time between signs of life to the node
	// that forwarded a request; forwardTimeoutMillis ends its wait for one.
	forwardKeepaliveMillis = 1000
	forwardTimeoutMillis   = 3500
)

// EngineOutgoing is a message for an engine.
type EngineOutgoing struct {
	Engine  string
	Address string
	Message protocol.EngineMessage
}

// Outgoing is a message for another process of dillchute.
type Outgoing struct {
	Address string
	Message protocol.Message
}

// CallerEvent is a part of an answer, or its end, for a local caller.
type CallerEvent struct {
	Request uint64
	Tokens  []uint32
	Version uint64
	// Outcome is not 0 in the last event.
	Outcome protocol.Outcome
	Reason  protocol.Reason
	// RetryMillis tells when to come back, with an outcome other than answered.
	RetryMillis int64
}

// ScoreRequest asks a scoring service for the reward of a result.
type ScoreRequest struct {
	Request uint64
	Pool    string
	Prompt  string
	Tokens  []uint32
}

// Counters are the node's totals since its start.
type Counters struct {
	Answered, NotRun, Unknown       uint64
	SamplesCompleted, SamplesFailed uint64
	TokensGenerated, TokensWasted   uint64
	Retries, DroppedChunks          uint64
	Swaps, SwapFailures             uint64
}

// Core is one node. Its methods must not be called concurrently.
type Core struct {
	config Config
	random *rand.Rand
	now    int64

	// lease
	leader        int
	leaderAddress string
	beatSequence  uint64
	beatAt        int64
	beatSentAt    map[uint64]int64
	leaseEnd      int64
	epoch         uint64
	revision      uint64
	catalog       state.Catalog
	peers         map[string]protocol.Summary
	pendingHints  map[string]int
	draining      bool
	drainingSince int64
	// publications tell when versions of the models were seen.
	publications map[string]publication

	engines  map[string]*engine
	groups   map[string]*group
	requests map[uint64]*request
	attempts map[string]*request
	counter  uint64

	proposals map[uint64]*proposal
	assigns   map[string]*assign
	budgets   map[string]*dispatch.RetryBudget
	forwards  map[string]*dispatch.DuplicateFilter
	// inbound are requests that other nodes have forwarded here, outbound by
	// the number of their forwarding those forwarded from here.
	inbound  map[inboundKey]*request
	outbound map[uint64]*request

	completions         []state.Completion
	completionsInFlight bool

	outbox       []Outgoing
	engineOutbox []EngineOutgoing
	callerEvents []CallerEvent
	scores       []ScoreRequest
	counters     Counters
}

// New returns a node that knows nothing yet: it starts no work before a leader
// has granted it a lease and told it the newest catalog.
func New(config Config) *Core {
	return &Core{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
		publications: map[string]publication{},
		beatAt:       -heartbeatMillis, beatSentAt: map[uint64]int64{}, catalog: state.NewCatalog(),
		engines: map[string]*engine{}, groups: map[string]*group{},
		requests: map[uint64]*request{}, attempts: map[string]*request{},
		proposals: map[uint64]*proposal{}, assigns: map[string]*assign{},
		budgets: map[string]*dispatch.RetryBudget{}, forwards: map[string]*dispatch.DuplicateFilter{},
		inbound: map[inboundKey]*request{}, outbound: map[uint64]*request{},
		// Proposal and forwarding numbers of different incarnations differ.
		counter: config.Incarnation << incarnationShift,
	}
}

// incarnationShift leaves the lower bits of a number to counting.
const incarnationShift = 32

// Counters returns the node's totals.
func (c *Core) Counters() Counters { return c.counters }

// Leased tells whether the node may start new work.
func (c *Core) Leased() bool { return c.epoch != 0 && c.now < c.leaseEnd }

// Revision returns the catalog revision that the node acts on.
func (c *Core) Revision() uint64 { return c.revision }

// InFlight returns the number of requests that the node has not ended.
func (c *Core) InFlight() int { return len(c.requests) + len(c.completions) + len(c.proposals) }

func (c *Core) nextID() uint64 {
	c.counter++
	return c.counter
}

// Tick runs the node's periodic work; now is monotonic, in milliseconds.
func (c *Core) Tick(now int64) {
	c.now = now
	c.heartbeat()
	c.resendProposals()
	c.probeEngines()
	c.expireRequests()
	c.returnStrandedSamples()
	c.planSwaps()
	c.pump()
	c.requestSamples()
	c.sendCompletions()
}

// Receive takes in a message of another process of dillchute.
func (c *Core) Receive(now int64, message protocol.Message) {
	c.now = now
	switch {
	case message.HeartbeatReply != nil:
		c.receiveHeartbeatReply(message.From, message.HeartbeatReply)
	case message.Notify != nil:
		c.receiveNotify(message.From)
	case message.ProposeReply != nil:
		c.receiveProposeReply(message.ProposeReply)
	case message.Forward != nil:
		c.receiveForward(message.From, message.Forward)
	case message.ForwardChunk != nil:
		c.receiveForwardChunk(message.From, message.ForwardChunk)
	case message.ForwardCancel != nil:
		c.receiveForwardCancel(message.From, message.ForwardCancel)
	}
	c.pump()
}

// Drain makes the node take no new work, give its engines away and end what
// runs. The node may stop when Drained says so.
func (c *Core) Drain(now int64) {
	c.now = now
	c.draining, c.drainingSince = true, now
	c.beatAt = now - heartbeatMillis
	c.returnQueuedSamples()
	c.refuseQueuedLive()
}

// drainLingerMillis is how long a draining node goes on refusing: in that time
// every peer under a lease has learned not to forward to it. A forwarded
// request that finds nobody would end as unknown.
const drainLingerMillis = 4000

// Drained tells whether a draining node has nothing left to do.
func (c *Core) Drained() bool {
	return c.draining && c.InFlight() == 0 && c.now-c.drainingSince >= drainLingerMillis
}

// Leave tells the leader that the node has ended all its work.
func (c *Core) Leave(now int64) {
	c.now = now
	c.sendHeartbeat(true)
}

func (c *Core) send(address string, message protocol.Message) {
	message.From = c.config.Address
	c.outbox = append(c.outbox, Outgoing{Address: address, Message: message})
}

func (c *Core) sendEngine(target *engine, message protocol.EngineMessage) {
	c.engineOutbox = append(c.engineOutbox, EngineOutgoing{
		Engine: target.info.ID, Address: target.info.Address, Message: message,
	})
}

// TakeMessages returns the messages to other processes and forgets them.
func (c *Core) TakeMessages() []Outgoing {
	messages := c.outbox
	c.outbox = nil
	return messages
}

// TakeEngineMessages returns the messages to engines and forgets them.
func (c *Core) TakeEngineMessages() []EngineOutgoing {
	messages := c.engineOutbox
	c.engineOutbox = nil
	return messages
}

// TakeCallerEvents returns the events for local callers and forgets them.
func (c *Core) TakeCallerEvents() []CallerEvent {
	events := c.callerEvents
	c.callerEvents = nil
	return events
}

// TakeScoreRequests returns the results to be scored and forgets them.
func (c *Core) TakeScoreRequests() []ScoreRequest {
	scores := c.scores
	c.scores = nil
	return scores
}

func (c *Core) attemptName(request *request) string {
	return fmt.Sprintf("%s-%d-%d", c.config.ID, request.id, request.attemptSerial)
}
