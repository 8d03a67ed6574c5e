package node

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dillchute/dillchute/state"
)

// assign is the node's newest request for samples of a pool.
type assign struct {
	sequence uint64
	inFlight bool
	askedAt  int64
	// empty is set if the last answer held no sample.
	empty bool
}

const (
	// assignPauseMillis is the pause after an answer without samples, unless
	// control says that some wait.
	assignPauseMillis = 200
	// maxAssign bounds the samples asked for at once.
	maxAssign = 256
	// maxCompletionBatch bounds the results in one proposal.
	maxCompletionBatch = 256
)

// requestSamples asks control for as many samples as there are free slots.
func (c *Core) requestSamples() {
	if !c.Leased() || c.draining {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.catalog.Pools)) {
		if c.pendingHints[name] > 0 {
			c.requestPoolSamples(name, c.catalog.Pools[name].Spec.EngineGroup)
		}
	}
}

func (c *Core) requestPoolSamples(pool, group string) {
	asked := c.assigns[pool]
	if asked == nil {
		asked = &assign{}
		c.assigns[pool] = asked
	}
	paused := asked.empty && c.now-asked.askedAt < assignPauseMillis
	wanted := min(maxAssign, c.freeSlots(group, false)-c.group(group).queue.Len())
	if asked.inFlight || paused || wanted <= 0 {
		return
	}
	asked.sequence++
	asked.inFlight, asked.askedAt = true, c.now
	epoch := c.epoch
	command := state.Command{AssignSamples: &state.AssignSamples{
		Pool: pool, Node: c.config.ID, Epoch: epoch, Sequence: asked.sequence, Max: wanted,
	}}
	c.propose(command, func(result state.Result) { c.receiveSamples(pool, epoch, asked, result.Assign) })
}

func (c *Core) receiveSamples(pool string, epoch uint64, asked *assign, result *state.AssignResult) {
	if epoch != c.epoch {
		return
	}
	asked.inFlight = false
	asked.empty = len(result.Samples) == 0
	if asked.empty {
		delete(c.pendingHints, pool)
	}
	for _, assigned := range result.Samples {
		c.admitSample(pool, assigned)
	}
	c.pump()
	c.requestSamples()
}

func (c *Core) admitSample(pool string, assigned state.AssignedSample) {
	key := assigned.Key
	declared := c.catalog.Pools[pool]
	if declared == nil || c.draining {
		c.completions = append(c.completions, state.Completion{Pool: pool, Key: key, Failed: true})
		return
	}
	admitted := &request{
		id: c.nextID(), pool: pool, group: declared.Spec.EngineGroup, name: SampleName(pool, key),
		prompt: assigned.Prompt, maxTokens: assigned.MaxTokens, priority: declared.Spec.SamplePriority,
		enqueuedAt: c.now, sample: &key,
	}
	c.requests[admitted.id] = admitted
	c.enqueue(admitted)
}

// SampleName is the name under which engines record a sample.
func SampleName(pool string, key state.SampleKey) string {
	return fmt.Sprintf("%s/%d/%d", pool, key.Step, key.Index)
}

// requeueSample lets a sample wait for another attempt, which goes on from the
// tokens it has.
func (c *Core) requeueSample(request *request) {
	if c.draining {
		c.giveBack(request)
		return
	}
	c.enqueue(request)
}

// giveBack returns a sample to control, to be run elsewhere.
func (c *Core) giveBack(request *request) {
	c.counters.SamplesFailed++
	c.counters.TokensWasted += uint64(len(request.tokens))
	c.completions = append(c.completions, state.Completion{Pool: request.pool, Key: *request.sample, Failed: true})
	c.forget(request)
}

// strandedMillis is how long samples wait at a node that has no engine for them.
const strandedMillis = 2000

// returnStrandedSamples gives back samples that wait for engines which the node
// does not have any more; other nodes may have some.
func (c *Core) returnStrandedSamples() {
	c.noteServed()
	for _, id := range c.sortedRequests() {
		request := c.requests[id]
		if request.sample == nil || request.phase != phaseQueued {
			continue
		}
		if c.now-c.group(request.group).servedAt > strandedMillis {
			c.giveBack(request)
		}
	}
}

func (c *Core) returnQueuedSamples() {
	for _, id := range c.sortedRequests() {
		request := c.requests[id]
		if request.sample != nil && request.phase == phaseQueued {
			c.giveBack(request)
		}
	}
	c.sendCompletions()
}

// stale tells whether the sample's oldest segment is over the pool's bound by now.
func (c *Core) stale(request *request) bool {
	pool := c.catalog.Pools[request.pool]
	if request.sample == nil || pool == nil || len(request.segments) == 0 {
		return false
	}
	newest := c.catalog.Models[pool.Spec.Model].Newest()
	for _, segment := range request.segments {
		if segment.Version+pool.Spec.MaxStalenessVersions < newest {
			return true
		}
	}
	return false
}

// dropStalePrefix forgets tokens that would make the result too old to deliver.
func (c *Core) dropStalePrefix(request *request) {
	if c.stale(request) {
		c.counters.TokensWasted += uint64(len(request.tokens))
		request.tokens, request.segments = nil, nil
	}
}

// dropStaleRuns ends attempts whose result cannot be delivered any more.
func (c *Core) dropStaleRuns() {
	for _, id := range c.sortedRequests() {
		request := c.requests[id]
		if request.phase == phaseRunning && c.stale(request) {
			c.cancelAttempt(request)
			c.dropStalePrefix(request)
			c.requeueSample(request)
		}
	}
}

// preempt makes room for a live request that finds no free slot: the sample
// with the fewest tokens waits again and goes on later from what it has. It
// tells whether there was one.
func (c *Core) preempt(live *request) bool {
	var victim *request
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		target := c.engines[id]
		if target.info.Group != live.group || !c.usable(target) {
			continue
		}
		for _, attempt := range slices.Sorted(maps.Keys(target.running)) {
			running := target.running[attempt]
			if running.sample == nil || running.priority >= live.priority {
				continue
			}
			if victim == nil || len(running.tokens) < len(victim.tokens) {
				victim = running
			}
		}
	}
	if victim == nil {
		return false
	}
	c.cancelAttempt(victim)
	c.requeueSample(victim)
	return true
}

func (c *Core) finishSample(request *request) {
	if !c.config.Scoring {
		c.complete(request, 0)
		return
	}
	request.phase = phaseScoring
	c.scores = append(c.scores, ScoreRequest{
		Request: request.id, Pool: request.pool, Prompt: request.prompt, Tokens: request.tokens,
	})
}

// ReceiveScore takes in the reward of a result. The runtime repeats a score
// request until it has an answer.
func (c *Core) ReceiveScore(now int64, id uint64, reward float64) {
	c.now = now
	if request := c.requests[id]; request != nil && request.phase == phaseScoring {
		c.complete(request, reward)
	}
}

func (c *Core) complete(request *request, reward float64) {
	c.counters.SamplesCompleted++
	c.completions = append(c.completions, state.Completion{
		Pool: request.pool, Key: *request.sample, Segments: request.segments,
		Tokens: state.PackTokens(request.tokens), Reward: reward,
	})
	c.forget(request)
	c.sendCompletions()
}

// sendCompletions records results, one batch at a time, so that results which
// come while one is under way share the next log entry.
func (c *Core) sendCompletions() {
	if c.completionsInFlight || len(c.completions) == 0 || c.epoch == 0 {
		return
	}
	count := min(len(c.completions), maxCompletionBatch)
	batch := c.completions[:count:count]
	c.completions = c.completions[count:]
	c.completionsInFlight = true
	command := state.Command{CompleteSamples: &state.CompleteSamples{
		Node: c.config.ID, Epoch: c.epoch, Completions: batch,
	}}
	c.propose(command, func(state.Result) {
		c.completionsInFlight = false
		c.sendCompletions()
	})
}
