package simulate

import (
	"github.com/dillchute/dillchute/bench/oracle"
	"maps"
	"slices"
)

// Timing names a time that is measured in each run, in virtual milliseconds.
type Timing string

// The timings.
const (
	// FailoverTime is from the loss of a leader until another one has
	// committed an entry of its own term.
	FailoverTime Timing = "failover"
	// InForceTime is from the answer to an accepted change until every node
	// acts on it or has lost its lease.
	InForceTime Timing = "in-force"
	// LeavingTime is from the mark of a leaving engine to the last attempt that
	// began on it.
	LeavingTime Timing = "leaving-engine"
)

// Timings lists all timings in the order in which they are printed.
var Timings = []Timing{FailoverTime, InForceTime, LeavingTime}

const (
	// timingPoll is the accuracy of the timings.
	timingPoll = 10
	// timingLimit ends the wait for what does not come about.
	timingLimit = 30_000
)

func (cl *cluster) measured(timing Timing, millis int64) {
	cl.timings[timing] = append(cl.timings[timing], millis)
}

// timeUntil measures the time until the condition holds. A condition that does
// not hold within the limit, as when a second fault hits, is not counted.
func (cl *cluster) timeUntil(timing Timing, holds func() bool) {
	began := cl.world.now
	var poll func()
	poll = func() {
		switch {
		case holds():
			cl.measured(timing, cl.world.now-began)
		case cl.world.now-began < timingLimit:
			cl.world.schedule(timingPoll, poll)
		}
	}
	cl.world.schedule(timingPoll, poll)
}

// timeFailover is called when the leader of the term is about to be lost.
func (cl *cluster) timeFailover(term uint64) {
	cl.timeUntil(FailoverTime, func() bool {
		for _, replica := range cl.controls {
			if !replica.alive || replica.frozen || !replica.leads() {
				continue
			}
			if raft := replica.core.Raft(); raft.Term() > term && raft.CommittedInTerm() {
				return true
			}
		}
		return false
	})
}

func (cl *cluster) timeInForce(revision uint64) {
	cl.timeUntil(InForceTime, func() bool {
		for _, checked := range cl.nodes {
			acts := checked.alive && !checked.frozen && checked.core.HasLease()
			if acts && checked.core.Revision() < revision {
				return false
			}
		}
		return true
	})
}

// timeLeaving takes the times of leaving engines from the history.
func (cl *cluster) timeLeaving(history []oracle.Event) {
	since, last := map[string]int64{}, map[string]int64{}
	for _, event := range history {
		switch {
		case event.Leaving != nil && event.Leaving.Leaving:
			since[event.Leaving.Engine], last[event.Leaving.Engine] = event.At, event.At
		case event.Leaving != nil:
			cl.endLeaving(event.Leaving.Engine, since, last)
		case event.Began != nil:
			if _, leaving := since[event.Began.Engine]; leaving {
				last[event.Began.Engine] = event.At
			}
		}
	}
	for _, engine := range slices.Sorted(maps.Keys(since)) {
		cl.endLeaving(engine, since, last)
	}
}

func (cl *cluster) endLeaving(engine string, since, last map[string]int64) {
	if began, ok := since[engine]; ok {
		cl.measured(LeavingTime, last[engine]-began)
		delete(since, engine)
	}
}
