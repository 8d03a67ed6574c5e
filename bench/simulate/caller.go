package simulate

import (
	"fmt"

	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/protocol"
)

const (
	callerTimeoutMillis = 8000
	callerWindowMillis  = 120_000
	maxSends            = 5
	callerMaxTokens     = 60
)

// callerProcess sends live requests of one pool to random nodes.
type callerProcess struct {
	*process
	cluster              *cluster
	pool                 string
	left                 int
	pauseMillis          int64
	notRepeatablePercent int
	count                int
	open                 int
}

func (c *callerProcess) start() {
	c.birth()
	c.after(c.world.between(0, c.pauseMillis), c.next)
}

func (c *callerProcess) next() {
	if c.left == 0 {
		return
	}
	c.left--
	c.count++
	c.open++
	key := fmt.Sprintf("%s-%d", c.name, c.count)
	c.send(key, 1, c.world.percent(c.notRepeatablePercent), c.wall(), false)
	c.after(c.world.between(1, 2*c.pauseMillis), c.next)
}

// call is one send of a request.
type call struct {
	caller  *callerProcess
	base    string
	sent    oracle.Sent
	issued  int64
	tokens  []uint32
	ended   bool
	broken  bool
	attempt uint32
	// unresolved is set if the outcome of an earlier send is not known.
	unresolved bool
}

func (c *callerProcess) send(base string, attempt uint32, notRepeatable bool, issued int64, unresolved bool) {
	sending := &call{caller: c, base: base, issued: issued, attempt: attempt, unresolved: unresolved, sent: oracle.Sent{
		Key: base, Attempt: attempt, Prompt: "live " + base, MaxTokens: callerMaxTokens, NotRepeatable: notRepeatable,
	}}
	if !notRepeatable {
		sending.sent.Key, sending.sent.Attempt = fmt.Sprintf("%s.%d", base, attempt), 1
	}
	sent := sending.sent
	c.world.record(oracle.Event{Sent: &sent})
	sending.connect()
	// A caller that hears nothing gives up a little after its patience.
	c.after(2*callerTimeoutMillis, func() { sending.end(protocol.OutcomeUnknown, "connection", 0) })
}

// connect sends the request over a connection, which delivers in order or breaks.
func (s *call) connect() {
	target := s.caller.cluster.nodes[s.caller.world.random.IntN(len(s.caller.cluster.nodes))]
	world := s.caller.world
	if !target.alive || world.cut(s.caller.process, target.process) {
		s.refused()
		return
	}
	life, lastAt := target.life, int64(0)
	live := protocol.LiveRequest{
		Key: s.sent.Key, Pool: s.caller.pool, Prompt: s.sent.Prompt, MaxTokens: s.sent.MaxTokens,
		NotRepeatable: s.sent.NotRepeatable, TimeoutMillis: callerTimeoutMillis, IssuedAt: s.issued,
		WindowMillis: callerWindowMillis, Attempt: s.sent.Attempt, Unresolved: s.unresolved, PriorityCap: 9,
	}
	world.schedule(world.delay(s.caller.process, target.process), func() {
		if !target.alive || target.life != life {
			s.refused()
			return
		}
		target.enter(func() {
			target.submit(live, func(event node.CallerEvent) {
				lastAt = max(lastAt, world.now+world.delay(target.process, s.caller.process))
				// What cannot be sent breaks the connection for good.
				s.broken = s.broken || world.cut(target.process, s.caller.process)
				if !s.broken {
					s.caller.after(lastAt-world.now, func() { s.receive(event) })
				}
			})
		})
	})
}

// refused ends a send for which no connection came about, so that the caller
// knows that nothing was sent this time.
func (s *call) refused() {
	outcome := protocol.OutcomeNotRun
	if s.unresolved {
		outcome = protocol.OutcomeUnknown
	}
	s.caller.after(s.caller.world.between(1, 500), func() { s.end(outcome, "connect", 0) })
}

func (s *call) receive(event node.CallerEvent) {
	if s.ended {
		return
	}
	s.tokens = append(s.tokens, event.Tokens...)
	if event.Outcome != 0 {
		s.end(event.Outcome, event.Reason, event.RetryAfterMillis)
	}
}

func (s *call) end(outcome protocol.Outcome, reason protocol.Reason, retryMillis int64) {
	if s.ended {
		return
	}
	s.ended = true
	c := s.caller
	c.world.note("%s ended %d %s", s.sent.Key, outcome, reason)
	c.world.record(oracle.Event{Ended: &oracle.Ended{
		Key: s.sent.Key, Attempt: s.sent.Attempt, Outcome: outcome, Reason: reason, Tokens: s.tokens,
	}})
	again := outcome == protocol.OutcomeNotRun || (outcome == protocol.OutcomeUnknown && s.sent.NotRepeatable)
	if !again || s.attempt >= maxSends {
		c.open--
		return
	}
	unresolved := s.unresolved || outcome == protocol.OutcomeUnknown
	c.after(max(retryMillis, 300), func() { c.send(s.base, s.attempt+1, s.sent.NotRepeatable, s.issued, unresolved) })
}
