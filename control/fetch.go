package control

import (
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// pendingFetch is a trainer's fetch that waits for deliverable samples.
type pendingFetch struct {
	requester requester
	command   *state.Fetch
	deadline  int64
}

// Fetch replies to a trainer's fetch as soon as there is something to deliver or
// acknowledge, or with an empty result after waitMillis. Waiting adds no log entry.
func (c *Core) Fetch(clock Clock, id uint64, command *state.Fetch, waitMillis int64) {
	c.clock = clock
	if !c.isLeader() {
		c.reply(requester{id: id}, protocol.ProposeNotLeader, state.Result{})
		return
	}
	c.fetches = append(c.fetches, pendingFetch{
		requester: requester{id: id}, command: command, deadline: clock.Monotonic + waitMillis,
	})
	c.serveFetches()
}

func (c *Core) serveFetches() {
	kept := c.fetches[:0]
	for _, fetch := range c.fetches {
		ledger := c.machine.Ledgers[fetch.command.Pool]
		if ledger == nil || ledger.Deliverable(fetch.command.Cursor) {
			c.propose(state.Command{Fetch: fetch.command}, fetch.requester)
			continue
		}
		kept = append(kept, fetch)
	}
	c.fetches = kept
}

func (c *Core) expireFetches() {
	kept := c.fetches[:0]
	for _, fetch := range c.fetches {
		if c.clock.Monotonic < fetch.deadline {
			kept = append(kept, fetch)
			continue
		}
		result := &state.FetchResult{Valid: true}
		if pool := c.machine.Catalog.Pools[fetch.command.Pool]; pool != nil {
			result.Newest = c.machine.Catalog.Models[pool.Spec.Model].Newest()
		}
		c.reply(fetch.requester, protocol.ProposeDone, state.Result{Fetch: result})
	}
	c.fetches = kept
}
