// Package node implements the core of a node. A node holds a lease from control,
// queues requests, dispatches them to the engines that it owns or forwards them to
// peers, rolls out weights and reports results. The core does no I/O and reads no
// clock; package server runs it in a process, package simulate in virtual time.
package node

import (
	"fmt"
	"math/rand/v2"

	"github.com/dillchute/dillchute/dispatch"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// Config configures a Core.
type Config struct {
	ID      string
	Zone    string
	Region  string
	Address string
	// Incarnation is unique to each start of the node.
	Incarnation uint64
	// Controls are the addresses of the control replicas.
	Controls []string
	// Seed seeds the random choice of peers.
	Seed uint64
	// Scoring is set if results are scored before they are recorded.
	Scoring bool
}

// Intervals and timeouts in milliseconds.
const (
	heartbeatIntervalMillis = 700
	probeIntervalMillis     = 1000
	// maxReportAgeMillis is the maximum age of an engine's last report for the
	// engine to receive new work.
	maxReportAgeMillis = 3000
	// chunkTimeoutMillis is the maximum time between two chunks of an attempt.
	chunkTimeoutMillis = 5000
	// proposalRetryMillis is the time after which a proposal is resent.
	proposalRetryMillis = 500
	// orderTimeoutMillis is the maximum time to wait for an order's result.
	orderTimeoutMillis = 60000
	// refusalBackoffMillis is how long an engine that refused an attempt gets no work.
	refusalBackoffMillis = 200
	// forwardKeepaliveIntervalMillis is the interval of keepalives to the node that
	// forwarded a request. After forwardTimeoutMillis without one, that node gives
	// up on the forwarded request.
	forwardKeepaliveIntervalMillis = 1000
	forwardTimeoutMillis           = 3500
)

// EngineOutgoing is a message for an engine.
type EngineOutgoing struct {
	Engine  string
	Address string
	Message protocol.EngineMessage
}

// Outgoing is a message for a control replica or another node.
type Outgoing struct {
	Address string
	Message protocol.Message
}

// CallerEvent is a part of an answer, or its outcome, for a local caller.
type CallerEvent struct {
	Request uint64
	Tokens  []uint32
	Version uint64
	// Outcome is set only in the last event.
	Outcome protocol.Outcome
	Reason  protocol.Reason
	// RetryAfterMillis is the suggested delay before a retry, unless answered.
	RetryAfterMillis int64
}

// ScoreRequest requests the reward of a result from a scoring service.
type ScoreRequest struct {
	Request uint64
	Pool    string
	Prompt  string
	Tokens  []uint32
}

// Counters holds the node's totals since its start.
type Counters struct {
	Answered, NotRun, Unknown         uint64
	SamplesCompleted, SamplesReturned uint64
	TokensGenerated, TokensWasted     uint64
	Retries, DroppedChunks            uint64
	Swaps, SwapFailures               uint64
}

// Core is one node. Its methods must not be called concurrently.
type Core struct {
	config Config
	random *rand.Rand
	now    int64

	// State of the lease and of what control distributes with it.
	controlIndex      int
	leaderAddress     string
	heartbeatSequence uint64
	lastHeartbeatAt   int64
	heartbeatSentAt   map[uint64]int64
	leaseEnd          int64
	epoch             uint64
	revision          uint64
	catalog           state.Catalog
	peers             map[string]protocol.Summary
	pendingSamples    map[string]int
	draining          bool
	drainingSince     int64
	// publications records, by model, when new versions were seen.
	publications map[string]publication

	engines  map[string]*engine
	groups   map[string]*group
	requests map[uint64]*request
	attempts map[string]*request
	lastID   uint64

	proposals      map[uint64]*proposal
	assignRequests map[string]*assignRequest
	retryBudgets   map[string]*dispatch.RetryBudget
	forwardFilters map[string]*dispatch.DuplicateFilter
	// inbound holds requests forwarded by other nodes; outbound holds requests
	// forwarded to other nodes, by forward ID.
	inbound  map[inboundKey]*request
	outbound map[uint64]*request

	completions         []state.Completion
	completionsInFlight bool

	outbox        []Outgoing
	engineOutbox  []EngineOutgoing
	callerEvents  []CallerEvent
	scoreRequests []ScoreRequest
	counters      Counters
}

// New returns a node without a lease. It starts no work until a leader has granted it
// a lease and sent the catalog.
func New(config Config) *Core {
	return &Core{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Incarnation)),
		publications:    map[string]publication{},
		lastHeartbeatAt: -heartbeatIntervalMillis, heartbeatSentAt: map[uint64]int64{}, catalog: state.NewCatalog(),
		engines: map[string]*engine{}, groups: map[string]*group{},
		requests: map[uint64]*request{}, attempts: map[string]*request{},
		proposals: map[uint64]*proposal{}, assignRequests: map[string]*assignRequest{},
		retryBudgets: map[string]*dispatch.RetryBudget{}, forwardFilters: map[string]*dispatch.DuplicateFilter{},
		inbound: map[inboundKey]*request{}, outbound: map[uint64]*request{},
		// Makes IDs unique across incarnations.
		lastID: config.Incarnation << incarnationShift,
	}
}

// incarnationShift is the number of low bits of an ID that are used as a counter.
const incarnationShift = 32

// Counters returns the node's totals.
func (c *Core) Counters() Counters { return c.counters }

// HasLease reports whether the node holds a valid lease.
func (c *Core) HasLease() bool { return c.epoch != 0 && c.now < c.leaseEnd }

// Revision returns the revision of the node's catalog.
func (c *Core) Revision() uint64 { return c.revision }

// InFlight returns the number of unfinished requests, completions and proposals.
func (c *Core) InFlight() int { return len(c.requests) + len(c.completions) + len(c.proposals) }

func (c *Core) nextID() uint64 {
	c.lastID++
	return c.lastID
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
	c.dispatchQueued()
	c.requestSamples()
	c.sendCompletions()
}

// Receive handles a message from a control replica or another node.
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
	c.dispatchQueued()
}

// Drain makes the node refuse new work, give up its engines and finish running
// requests. The process may exit once Drained returns true.
func (c *Core) Drain(now int64) {
	c.now = now
	c.draining, c.drainingSince = true, now
	c.lastHeartbeatAt = now - heartbeatIntervalMillis
	c.returnQueuedSamples()
	c.refuseQueuedLive()
}

// drainLingerMillis is the minimum time that a draining node keeps refusing requests.
// It is long enough for every peer with a lease to learn of the drain; requests
// forwarded to a stopped node would end as unknown.
const drainLingerMillis = 4000

// Drained reports whether the node has finished draining.
func (c *Core) Drained() bool {
	return c.draining && c.InFlight() == 0 && c.now-c.drainingSince >= drainLingerMillis
}

// Leave notifies the leader that the node has finished all work and is stopping.
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

// TakeMessages returns and clears the messages to control replicas and nodes.
func (c *Core) TakeMessages() []Outgoing {
	messages := c.outbox
	c.outbox = nil
	return messages
}

// TakeEngineMessages returns and clears the messages to engines.
func (c *Core) TakeEngineMessages() []EngineOutgoing {
	messages := c.engineOutbox
	c.engineOutbox = nil
	return messages
}

// TakeCallerEvents returns and clears the events for local callers.
func (c *Core) TakeCallerEvents() []CallerEvent {
	events := c.callerEvents
	c.callerEvents = nil
	return events
}

// TakeScoreRequests returns and clears the results to be scored.
func (c *Core) TakeScoreRequests() []ScoreRequest {
	scores := c.scoreRequests
	c.scoreRequests = nil
	return scores
}

func (c *Core) attemptName(request *request) string {
	return fmt.Sprintf("%s-%d-%d", c.config.ID, request.id, request.attemptSerial)
}
