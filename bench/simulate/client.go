package simulate

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/control"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

const (
	callMillis  = 3000
	pauseMillis = 100
)

// rpc is one call under way at one replica.
type rpc struct {
	client *clientProcess
	life   int
	number uint64
}

// answer sends the reply back to the client.
func (r *rpc) answer(from *controlProcess, reply control.Reply) {
	from.world.datagram(from.process, r.client.process, func() { r.client.receive(r.number, reply) })
}

// clientProcess is an operator, automation, or a trainer: it makes one call at
// a time and resends it, to the leader as far as it knows, until it is decided.
type clientProcess struct {
	*process
	cluster *cluster
	target  int
	number  uint64
	prepare func() sender
	done    func(control.Reply)
}

// sender starts one try of a call at a replica.
type sender func(at *controlProcess, id uint64)

// request makes a call: prepare is asked for each try, done gets the decision.
func (c *clientProcess) request(prepare func() sender, done func(control.Reply)) {
	c.prepare, c.done = prepare, done
	c.try()
}

func (c *clientProcess) try() {
	c.number++
	number, send := c.number, c.prepare()
	target := c.cluster.controls[c.target%len(c.cluster.controls)]
	c.world.datagram(c.process, target.process, func() {
		target.call(func() {
			target.nextID++
			target.calls[target.nextID] = &rpc{client: c, life: c.life, number: number}
			send(target, target.nextID)
		})
	})
	c.after(callMillis, func() {
		if c.number == number {
			c.target++
			c.try()
		}
	})
}

func (c *clientProcess) receive(number uint64, reply control.Reply) {
	if number != c.number || c.done == nil {
		return
	}
	if reply.Outcome != protocol.ProposeDone {
		c.number++
		c.followHint(reply.Leader)
		c.after(pauseMillis, c.try)
		return
	}
	c.number++
	done := c.done
	c.done = nil
	done(reply)
}

func (c *clientProcess) followHint(leader string) {
	for position, replica := range c.cluster.controls {
		if leader == replica.address {
			c.target = position
			return
		}
	}
	c.target++
}

// proposal makes a call that commits the command, with the same content in
// each try.
func proposal(command state.Command) func() sender {
	return func() sender {
		return func(at *controlProcess, id uint64) { at.core.Propose(at.clock(), id, command) }
	}
}

// trainerProcess trains steps as the stand-in does. What it has taken over, its
// cursor and its steps survive its restarts; the rest does not.
type trainerProcess struct {
	// waitingSince is when the trainer began to wait for the next step, 0 if it does not.
	waitingSince int64
	clientProcess
	pool      string
	model     string
	bound     uint64
	samples   uint32
	maxTokens uint32
	steps     uint64
	train     int64

	// The following are on the trainer's own disk.
	cursor    uint64
	published uint64
	done      uint64
	received  map[uint64]uint32

	submitted uint64
	session   uint64
	sequence  uint64
	finished  bool
}

func (t *trainerProcess) start() {
	t.birth()
	t.submitted, t.sequence = 0, 0
	t.session++
	t.next()
}

// next does the next thing: publish, submit, fetch or train.
func (t *trainerProcess) next() {
	step := t.done + 1
	switch {
	case step > t.steps:
		t.acknowledge()
	case t.published < step:
		t.publish(step)
	case t.submitted < min(step+1, t.steps):
		t.submit(max(t.submitted+1, step))
	case t.received[step] < t.samples:
		if t.waitingSince == 0 {
			t.waitingSince = t.world.now
		}
		t.fetch()
	default:
		t.trainStep(step)
	}
}

func (t *trainerProcess) trainStep(step uint64) {
	done := &oracle.StepDone{Pool: t.pool, Step: step, TrainMillis: t.train}
	if t.waitingSince != 0 {
		done.WaitMillis = t.world.now - t.waitingSince
	}
	t.waitingSince = 0
	t.after(t.train, func() {
		t.done = step
		t.world.record(oracle.Event{StepDone: done})
		t.next()
	})
}

func (t *trainerProcess) publish(version uint64) {
	command := state.Command{PublishVersion: &state.PublishVersion{Model: t.model, Version: version}}
	t.request(proposal(command), func(reply control.Reply) {
		t.published = version
		t.world.note("%s published %d", t.name, version)
		t.world.record(oracle.Event{Published: &oracle.Published{Model: t.model, Version: version}})
		t.next()
	})
}

func (t *trainerProcess) submit(step uint64) {
	command := &state.SubmitStep{Pool: t.pool, Step: step}
	submitted := &oracle.Submitted{Pool: t.pool, Step: step}
	for index := range t.samples {
		prompt := fmt.Sprintf("%s step %d sample %d", t.pool, step, index)
		command.Prompts = append(command.Prompts, state.Prompt{Index: index, Prompt: prompt, MaxTokens: t.maxTokens})
		submitted.Prompts = append(submitted.Prompts, oracle.Prompt{Index: index, Prompt: prompt, MaxTokens: t.maxTokens})
	}
	t.request(proposal(state.Command{SubmitStep: command}), func(reply control.Reply) {
		switch reply.Result.Submit.Outcome {
		case state.SubmitAccepted, state.SubmitDuplicate:
			t.submitted = step
			t.world.record(oracle.Event{Submitted: submitted})
			t.next()
		default:
			// The pool is not declared yet.
			t.after(pauseMillis, t.next)
		}
	})
}

const fetchWaitMillis = 1500

func (t *trainerProcess) fetch() {
	var sentAt int64
	t.request(func() sender {
		// Each try is a fetch of its own, so that answers to earlier ones are void.
		sentAt = t.world.now
		return t.fetcher(int(t.samples), fetchWaitMillis)
	}, func(reply control.Reply) { t.take(sentAt, reply) })
}

func (t *trainerProcess) fetcher(limit int, waitMillis int64) sender {
	t.sequence++
	command := &state.Fetch{
		Pool: t.pool, Session: t.session, Sequence: t.sequence, Cursor: t.cursor, HeldVersion: t.published, Max: limit,
	}
	return func(at *controlProcess, id uint64) { at.core.Fetch(at.clock(), id, command, waitMillis) }
}

func (t *trainerProcess) take(sentAt int64, reply control.Reply) {
	if reply.Result.Fetch.Valid {
		for _, delivery := range reply.Result.Fetch.Deliveries {
			completion := delivery.Completion
			t.cursor = delivery.Number
			t.received[completion.Key.Step]++
			delivered := &oracle.Delivered{
				Pool: t.pool, Number: delivery.Number, Step: completion.Key.Step, Index: completion.Key.Index,
				Tokens: state.UnpackTokens(completion.Tokens), FetchedAt: sentAt,
			}
			for _, segment := range completion.Segments {
				delivered.Segments = append(delivered.Segments, oracle.Segment{
					Version: segment.Version, First: segment.First, Count: segment.Count,
				})
			}
			t.world.record(oracle.Event{Delivered: delivered})
		}
		t.world.note("%s took %d samples to cursor %d", t.name, len(reply.Result.Fetch.Deliveries), t.cursor)
	}
	t.next()
}

// acknowledge tells control about the last samples.
func (t *trainerProcess) acknowledge() {
	t.request(func() sender { return t.fetcher(1, 0) }, func(control.Reply) { t.finished = true })
}

// operatorProcess changes the declarations again and again, and races others.
type operatorProcess struct {
	clientProcess
	count int
	left  int
	pause int64
	// toggle changes a field that does no harm.
	toggle int
	number int
}

func (o *operatorProcess) start() {
	o.birth()
	o.next()
}

func (o *operatorProcess) next() {
	if o.left == 0 {
		return
	}
	o.left--
	o.after(o.world.between(o.pause/2, o.pause), o.read)
}

// read learns the newest revision, on which the change will build.
func (o *operatorProcess) read() {
	read := func() sender {
		return func(at *controlProcess, id uint64) { at.core.Read(at.clock(), id) }
	}
	calledAt := o.world.now
	o.request(read, func(reply control.Reply) {
		o.observe(calledAt, declarationCall{isRead: true}, declarationAnswer{revision: reply.View.Declared})
		o.apply(reply.View.Declared)
	})
}

func (o *operatorProcess) apply(base uint64) {
	o.count++
	identity := fmt.Sprintf("%s-%d", o.name, o.count)
	pools := append([]state.PoolSpec(nil), o.cluster.pools...)
	for position := range pools {
		pools[position].MaxQueuedRequests += o.count + o.toggle
	}
	command := state.Command{Apply: &state.Apply{ChangeID: identity, Base: base, Author: o.name, Pools: pools}}
	calledAt := o.world.now
	o.request(proposal(command), func(reply control.Reply) {
		result := reply.Result.Apply
		o.observe(calledAt, declarationCall{base: base}, declarationAnswer{outcome: result.Outcome, revision: result.Revision})
		o.applied(identity, base, result, command)
	})
}

// observe keeps a call for the check of linearizability.
func (o *operatorProcess) observe(calledAt int64, call declarationCall, answer declarationAnswer) {
	o.cluster.operations = append(o.cluster.operations, porcupine.Operation{
		ClientId: o.number, Input: call, Call: calledAt, Output: answer, Return: o.world.now,
	})
}

func (o *operatorProcess) applied(identity string, base uint64, result *state.ApplyResult, command state.Command) {
	accepted := result.Outcome == state.ApplyAccepted
	o.world.note("%s: change %s on %d: outcome %d, revision %d", o.name, identity, base, result.Outcome, result.Revision)
	o.world.record(oracle.Event{Applied: &oracle.Applied{ChangeID: identity, Base: base, Accepted: accepted, Revision: result.Revision}})
	if accepted {
		o.cluster.expectInForce(result.Revision)
	}
	if !o.world.percent(30) {
		o.next()
		return
	}
	// Resend, as after a lost answer: the outcome must be the same.
	o.request(proposal(command), func(reply control.Reply) {
		again := reply.Result.Apply
		if again.Outcome != result.Outcome || again.Revision != result.Revision {
			o.cluster.violate(oracle.InForce, "change %s: outcome %d, revision %d; resent: outcome %d, revision %d",
				identity, result.Outcome, result.Revision, again.Outcome, again.Revision)
		}
		o.next()
	})
}
