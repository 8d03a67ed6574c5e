package node

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dillchute/dillchute/state"
)

// assignRequest is the node's last request for samples of a pool.
type assignRequest struct {
	sequence    uint64
	inFlight    bool
	requestedAt int64
	// empty is set if the last reply contained no samples.
	empty bool
}

const (
	// assignBackoffMillis is the minimum time between requests after a reply
	// without samples.
	assignBackoffMillis = 200
	// maxAssignSamples limits the samples per request.
	maxAssignSamples = 256
	// maxCompletionsPerBatch limits the results per proposal.
	maxCompletionsPerBatch = 256
)

// requestSamples requests samples from control for the free slots.
func (c *Core) requestSamples() {
	if !c.HasLease() || c.draining {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(c.catalog.Pools)) {
		if c.pendingSamples[name] > 0 {
			c.requestPoolSamples(name, c.catalog.Pools[name].Spec.EngineGroup)
		}
	}
}

func (c *Core) requestPoolSamples(pool, group string) {
	current := c.assignRequests[pool]
	if current == nil {
		current = &assignRequest{}
		c.assignRequests[pool] = current
	}
	inBackoff := current.empty && c.now-current.requestedAt < assignBackoffMillis
	maxSamples := min(maxAssignSamples, c.groupFreeSlots(group, false)-c.group(group).queue.Len())
	if current.inFlight || inBackoff || maxSamples <= 0 {
		return
	}
	current.sequence++
	current.inFlight, current.requestedAt = true, c.now
	epoch := c.epoch
	command := state.Command{AssignSamples: &state.AssignSamples{
		Pool: pool, Node: c.config.ID, Epoch: epoch, Sequence: current.sequence, Max: maxSamples,
	}}
	c.propose(command, func(result state.Result) { c.receiveSamples(pool, epoch, current, result.Assign) })
}

func (c *Core) receiveSamples(pool string, epoch uint64, current *assignRequest, result *state.AssignResult) {
	if epoch != c.epoch {
		return
	}
	current.inFlight = false
	current.empty = len(result.Samples) == 0
	if current.empty {
		delete(c.pendingSamples, pool)
	}
	for _, assigned := range result.Samples {
		c.admitSample(pool, assigned)
	}
	c.dispatchQueued()
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

// SampleName returns the request name that engines use for a sample.
func SampleName(pool string, key state.SampleKey) string {
	return fmt.Sprintf("%s/%d/%d", pool, key.Step, key.Index)
}

// requeueSample queues a sample for another attempt, which continues after its tokens,
// or returns it to control if the node is draining.
func (c *Core) requeueSample(request *request) {
	if c.draining {
		c.returnSample(request)
		return
	}
	c.enqueue(request)
}

// returnSample returns a sample to control, to be run by another node.
func (c *Core) returnSample(request *request) {
	c.counters.SamplesReturned++
	c.counters.TokensWasted += uint64(len(request.tokens))
	c.completions = append(c.completions, state.Completion{Pool: request.pool, Key: *request.sample, Failed: true})
	c.removeRequest(request)
}

// strandedTimeoutMillis is how long samples wait at a node that has no engine for them.
const strandedTimeoutMillis = 2000

// returnStrandedSamples returns queued samples that the node no longer has engines for.
func (c *Core) returnStrandedSamples() {
	c.recordServedGroups()
	for _, id := range c.sortedRequestIDs() {
		request := c.requests[id]
		if request.sample == nil || request.phase != phaseQueued {
			continue
		}
		if c.now-c.group(request.group).lastServedAt > strandedTimeoutMillis {
			c.returnSample(request)
		}
	}
}

func (c *Core) returnQueuedSamples() {
	for _, id := range c.sortedRequestIDs() {
		request := c.requests[id]
		if request.sample != nil && request.phase == phaseQueued {
			c.returnSample(request)
		}
	}
	c.sendCompletions()
}

// isStale reports whether a segment of the sample exceeds the pool's staleness limit.
func (c *Core) isStale(request *request) bool {
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

// dropStaleTokens discards the sample's tokens if they are stale.
func (c *Core) dropStaleTokens(request *request) {
	if c.isStale(request) {
		c.counters.TokensWasted += uint64(len(request.tokens))
		request.tokens, request.segments = nil, nil
	}
}

// cancelStaleAttempts cancels and requeues running samples whose tokens are stale.
func (c *Core) cancelStaleAttempts() {
	for _, id := range c.sortedRequestIDs() {
		request := c.requests[id]
		if request.phase == phaseRunning && c.isStale(request) {
			c.cancelAttempt(request)
			c.dropStaleTokens(request)
			c.requeueSample(request)
		}
	}
}

// preempt frees a slot for a live request by requeueing the running sample of lower
// priority that has the fewest tokens. It reports whether there was one.
func (c *Core) preempt(live *request) bool {
	var victim *request
	for _, id := range slices.Sorted(maps.Keys(c.engines)) {
		target := c.engines[id]
		if target.info.Group != live.group || !c.isUsable(target) {
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
		c.completeSample(request, 0)
		return
	}
	request.phase = phaseScoring
	c.scoreRequests = append(c.scoreRequests, ScoreRequest{
		Request: request.id, Pool: request.pool, Prompt: request.prompt, Tokens: request.tokens,
	})
}

// ReceiveScore records the reward of a result. The caller retries a score request
// until it has a reward.
func (c *Core) ReceiveScore(now int64, id uint64, reward float64) {
	c.now = now
	if request := c.requests[id]; request != nil && request.phase == phaseScoring {
		c.completeSample(request, reward)
	}
}

func (c *Core) completeSample(request *request, reward float64) {
	c.counters.SamplesCompleted++
	c.completions = append(c.completions, state.Completion{
		Pool: request.pool, Key: *request.sample, Segments: request.segments,
		Tokens: state.PackTokens(request.tokens), Reward: reward,
	})
	c.removeRequest(request)
	c.sendCompletions()
}

// sendCompletions proposes results one batch at a time, so that results that arrive
// while a batch is in flight share the next log entry.
func (c *Core) sendCompletions() {
	if c.completionsInFlight || len(c.completions) == 0 || c.epoch == 0 {
		return
	}
	count := min(len(c.completions), maxCompletionsPerBatch)
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
