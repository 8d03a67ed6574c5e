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
	callTimeoutMillis = 3000
	retryPauseMillis  = 100
)

// pendingCall is a call that a replica has not answered yet.
type pendingCall struct {
	client      *clientProcess
	incarnation int
	attempt     uint64
}

// sendReply sends the reply to the client.
func (c *pendingCall) sendReply(from *controlProcess, reply control.Reply) {
	from.world.sendDatagram(from.process, c.client.process, func() { c.client.receive(c.attempt, reply) })
}

// clientProcess is a client of control, such as an operator or a trainer. It makes one call at a
// time and resends it, to the last known leader, until it is decided.
type clientProcess struct {
	*process
	cluster *cluster
	target  int
	attempt uint64
	prepare func() sender
	onDone  func(control.Reply)
}

// sender starts one attempt of a call at a replica.
type sender func(replica *controlProcess, id uint64)

// request makes a call. prepare is called for each attempt; onDone receives the final reply.
func (c *clientProcess) request(prepare func() sender, onDone func(control.Reply)) {
	c.prepare, c.onDone = prepare, onDone
	c.sendAttempt()
}

func (c *clientProcess) sendAttempt() {
	c.attempt++
	attempt, send := c.attempt, c.prepare()
	target := c.cluster.controls[c.target%len(c.cluster.controls)]
	c.world.sendDatagram(c.process, target.process, func() {
		target.submit(func() {
			target.nextID++
			target.pendingCalls[target.nextID] = &pendingCall{client: c, incarnation: c.incarnation, attempt: attempt}
			send(target, target.nextID)
		})
	})
	c.after(callTimeoutMillis, func() {
		if c.attempt == attempt {
			c.target++
			c.sendAttempt()
		}
	})
}

func (c *clientProcess) receive(attempt uint64, reply control.Reply) {
	if attempt != c.attempt || c.onDone == nil {
		return
	}
	if reply.Outcome != protocol.ProposeDone {
		c.attempt++
		c.followHint(reply.Leader)
		c.after(retryPauseMillis, c.sendAttempt)
		return
	}
	c.attempt++
	onDone := c.onDone
	c.onDone = nil
	onDone(reply)
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

// proposal returns a prepare function that proposes the same command in each attempt.
func proposal(command state.Command) func() sender {
	return func() sender {
		return func(replica *controlProcess, id uint64) { replica.core.Propose(replica.clock(), id, command) }
	}
}

// trainerProcess simulates a trainer. Its cursor, its finished steps and the counts of received
// samples survive restarts; the remaining state does not.
type trainerProcess struct {
	// waitingSince is the time at which the trainer began to wait for samples, or 0 if it is not waiting.
	waitingSince int64
	clientProcess
	pool         string
	model        string
	maxStaleness uint64
	samples      uint32
	maxTokens    uint32
	steps        uint64
	trainMillis  int64

	// The following fields survive restarts.
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
	t.markStarted()
	t.submitted, t.sequence = 0, 0
	t.session++
	t.advance()
}

// advance starts the next action: publish, submit, fetch, train or the final acknowledgement.
func (t *trainerProcess) advance() {
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
	done := &oracle.StepDone{Pool: t.pool, Step: step, TrainMillis: t.trainMillis}
	if t.waitingSince != 0 {
		done.WaitMillis = t.world.now - t.waitingSince
	}
	t.waitingSince = 0
	t.after(t.trainMillis, func() {
		t.done = step
		t.world.record(oracle.Event{StepDone: done})
		t.advance()
	})
}

func (t *trainerProcess) publish(version uint64) {
	command := state.Command{PublishVersion: &state.PublishVersion{Model: t.model, Version: version}}
	t.request(proposal(command), func(reply control.Reply) {
		t.published = version
		t.world.tracef("%s published %d", t.name, version)
		t.world.record(oracle.Event{Published: &oracle.Published{Model: t.model, Version: version}})
		t.advance()
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
			t.advance()
		default:
			// The pool may not be declared yet.
			t.after(retryPauseMillis, t.advance)
		}
	})
}

const fetchWaitMillis = 1500

func (t *trainerProcess) fetch() {
	var sentAt int64
	t.request(func() sender {
		// Each attempt is a new fetch with its own sequence number, which invalidates earlier replies.
		sentAt = t.world.now
		return t.newFetch(int(t.samples), fetchWaitMillis)
	}, func(reply control.Reply) { t.recordDeliveries(sentAt, reply) })
}

func (t *trainerProcess) newFetch(limit int, waitMillis int64) sender {
	t.sequence++
	command := &state.Fetch{
		Pool: t.pool, Session: t.session, Sequence: t.sequence, Cursor: t.cursor, HeldVersion: t.published, Max: limit,
	}
	return func(replica *controlProcess, id uint64) { replica.core.Fetch(replica.clock(), id, command, waitMillis) }
}

func (t *trainerProcess) recordDeliveries(sentAt int64, reply control.Reply) {
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
		t.world.tracef("%s received %d samples, cursor %d", t.name, len(reply.Result.Fetch.Deliveries), t.cursor)
	}
	t.advance()
}

// acknowledge sends a final fetch, whose cursor acknowledges the last samples.
func (t *trainerProcess) acknowledge() {
	t.request(func() sender { return t.newFetch(1, 0) }, func(control.Reply) { t.finished = true })
}

// operatorProcess changes the declarations repeatedly, concurrently with other operators.
type operatorProcess struct {
	clientProcess
	changes        int
	remaining      int
	maxPauseMillis int64
	// queueLimitOffset is added to MaxQueuedRequests, so that each operator's changes differ.
	queueLimitOffset int
	clientID         int
}

func (o *operatorProcess) start() {
	o.markStarted()
	o.scheduleChange()
}

func (o *operatorProcess) scheduleChange() {
	if o.remaining == 0 {
		return
	}
	o.remaining--
	o.after(o.world.randomBetween(o.maxPauseMillis/2, o.maxPauseMillis), o.readRevision)
}

// readRevision reads the newest revision and applies a change based on it.
func (o *operatorProcess) readRevision() {
	read := func() sender {
		return func(replica *controlProcess, id uint64) { replica.core.Read(replica.clock(), id) }
	}
	calledAt := o.world.now
	o.request(read, func(reply control.Reply) {
		o.recordOperation(calledAt, declarationCall{isRead: true}, declarationResult{revision: reply.View.Declared})
		o.applyChange(reply.View.Declared)
	})
}

func (o *operatorProcess) applyChange(base uint64) {
	o.changes++
	changeID := fmt.Sprintf("%s-%d", o.name, o.changes)
	pools := append([]state.PoolSpec(nil), o.cluster.pools...)
	for position := range pools {
		pools[position].MaxQueuedRequests += o.changes + o.queueLimitOffset
	}
	command := state.Command{Apply: &state.Apply{ChangeID: changeID, Base: base, Author: o.name, Pools: pools}}
	calledAt := o.world.now
	o.request(proposal(command), func(reply control.Reply) {
		result := reply.Result.Apply
		o.recordOperation(calledAt, declarationCall{base: base}, declarationResult{outcome: result.Outcome, revision: result.Revision})
		o.handleApplied(changeID, base, result, command)
	})
}

// recordOperation records a call for the linearizability check.
func (o *operatorProcess) recordOperation(calledAt int64, call declarationCall, result declarationResult) {
	o.cluster.operations = append(o.cluster.operations, porcupine.Operation{
		ClientId: o.clientID, Input: call, Call: calledAt, Output: result, Return: o.world.now,
	})
}

func (o *operatorProcess) handleApplied(changeID string, base uint64, result *state.ApplyResult, command state.Command) {
	accepted := result.Outcome == state.ApplyAccepted
	o.world.tracef("%s: change %s to revision %d: outcome %d, revision %d", o.name, changeID, base, result.Outcome, result.Revision)
	o.world.record(oracle.Event{Applied: &oracle.Applied{ChangeID: changeID, Base: base, Accepted: accepted, Revision: result.Revision}})
	if accepted {
		o.cluster.scheduleInForceCheck(result.Revision)
	}
	if !o.world.randomPercent(30) {
		o.scheduleChange()
		return
	}
	// Resend the change, as after a lost reply: the outcome must be the same.
	o.request(proposal(command), func(reply control.Reply) {
		resent := reply.Result.Apply
		if resent.Outcome != result.Outcome || resent.Revision != result.Revision {
			o.cluster.addViolation(oracle.ConfigurationInForce, "change %s: outcome %d, revision %d; resent: outcome %d, revision %d",
				changeID, result.Outcome, result.Revision, resent.Outcome, resent.Revision)
		}
		o.scheduleChange()
	})
}
