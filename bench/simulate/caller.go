package simulate

import (
	"fmt"

	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/protocol"
)

const (
	callerTimeoutMillis = 8000
	resendWindowMillis  = 120_000
	maxAttempts         = 5
	callerMaxTokens     = 60
)

// callerProcess simulates a client that sends live requests for one pool to random nodes.
type callerProcess struct {
	*process
	cluster              *cluster
	pool                 string
	remaining            int
	pauseMillis          int64
	notRepeatablePercent int
	sequence             int
	pending              int
}

func (c *callerProcess) start() {
	c.markStarted()
	c.after(c.world.randomBetween(0, c.pauseMillis), c.sendNext)
}

func (c *callerProcess) sendNext() {
	if c.remaining == 0 {
		return
	}
	c.remaining--
	c.sequence++
	c.pending++
	key := fmt.Sprintf("%s-%d", c.name, c.sequence)
	c.send(key, 1, c.world.randomPercent(c.notRepeatablePercent), c.wallClock(), false)
	c.after(c.world.randomBetween(1, 2*c.pauseMillis), c.sendNext)
}

// liveAttempt is one attempt to send a live request.
type liveAttempt struct {
	caller           *callerProcess
	baseKey          string
	sent             oracle.Sent
	issuedAt         int64
	tokens           []uint32
	ended            bool
	connectionBroken bool
	attempt          uint32
	// unresolved is set if the outcome of an earlier attempt is unknown.
	unresolved bool
}

func (c *callerProcess) send(baseKey string, attempt uint32, notRepeatable bool, issuedAt int64, unresolved bool) {
	a := &liveAttempt{caller: c, baseKey: baseKey, issuedAt: issuedAt, attempt: attempt, unresolved: unresolved, sent: oracle.Sent{
		Key: baseKey, Attempt: attempt, Prompt: "live " + baseKey, MaxTokens: callerMaxTokens, NotRepeatable: notRepeatable,
	}}
	if !notRepeatable {
		a.sent.Key, a.sent.Attempt = fmt.Sprintf("%s.%d", baseKey, attempt), 1
	}
	sent := a.sent
	c.world.record(oracle.Event{Sent: &sent})
	a.connect()
	// Without any response, the caller gives up after twice the request timeout.
	c.after(2*callerTimeoutMillis, func() { a.end(protocol.OutcomeUnknown, "connection", 0) })
}

// connect sends the request over a connection, which delivers messages in order or breaks.
func (a *liveAttempt) connect() {
	target := a.caller.cluster.nodes[a.caller.world.random.IntN(len(a.caller.cluster.nodes))]
	world := a.caller.world
	if !target.alive || world.blocked(a.caller.process, target.process) {
		a.connectFailed()
		return
	}
	incarnation, lastArrival := target.incarnation, int64(0)
	live := protocol.LiveRequest{
		Key: a.sent.Key, Pool: a.caller.pool, Prompt: a.sent.Prompt, MaxTokens: a.sent.MaxTokens,
		NotRepeatable: a.sent.NotRepeatable, TimeoutMillis: callerTimeoutMillis, IssuedAt: a.issuedAt,
		WindowMillis: resendWindowMillis, Attempt: a.sent.Attempt, Unresolved: a.unresolved, PriorityCap: 9,
	}
	world.schedule(world.messageDelay(a.caller.process, target.process), func() {
		if !target.alive || target.incarnation != incarnation {
			a.connectFailed()
			return
		}
		target.runOrDefer(func() {
			target.submitLive(live, func(event node.CallerEvent) {
				lastArrival = max(lastArrival, world.now+world.messageDelay(target.process, a.caller.process))
				// An event that cannot be delivered breaks the connection permanently.
				a.connectionBroken = a.connectionBroken || world.blocked(target.process, a.caller.process)
				if !a.connectionBroken {
					a.caller.after(lastArrival-world.now, func() { a.receive(event) })
				}
			})
		})
	})
}

// connectFailed ends an attempt whose connection could not be established: the caller knows that
// this attempt sent nothing.
func (a *liveAttempt) connectFailed() {
	outcome := protocol.OutcomeNotRun
	if a.unresolved {
		outcome = protocol.OutcomeUnknown
	}
	a.caller.after(a.caller.world.randomBetween(1, 500), func() { a.end(outcome, "connect", 0) })
}

func (a *liveAttempt) receive(event node.CallerEvent) {
	if a.ended {
		return
	}
	a.tokens = append(a.tokens, event.Tokens...)
	if event.Outcome != 0 {
		a.end(event.Outcome, event.Reason, event.RetryAfterMillis)
	}
}

func (a *liveAttempt) end(outcome protocol.Outcome, reason protocol.Reason, retryMillis int64) {
	if a.ended {
		return
	}
	a.ended = true
	c := a.caller
	c.world.tracef("%s ended %d %s", a.sent.Key, outcome, reason)
	c.world.record(oracle.Event{Ended: &oracle.Ended{
		Key: a.sent.Key, Attempt: a.sent.Attempt, Outcome: outcome, Reason: reason, Tokens: a.tokens,
	}})
	retry := outcome == protocol.OutcomeNotRun || (outcome == protocol.OutcomeUnknown && a.sent.NotRepeatable)
	if !retry || a.attempt >= maxAttempts {
		c.pending--
		return
	}
	unresolved := a.unresolved || outcome == protocol.OutcomeUnknown
	c.after(max(retryMillis, 300), func() { c.send(a.baseKey, a.attempt+1, a.sent.NotRepeatable, a.issuedAt, unresolved) })
}
