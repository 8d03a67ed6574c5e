package simulate

import (
	"github.com/dillchute/dillchute/bench/oracle"
	"maps"
	"slices"
)

// Timing names a duration that runs measure, in virtual milliseconds.
type Timing string

// The timings.
const (
	// FailoverTime is the time from the loss of a leader until a new one has committed an entry of
	// its own term.
	FailoverTime Timing = "failover"
	// InForceTime is the time from the reply to an accepted change until every node uses it or has
	// lost its lease.
	InForceTime Timing = "in-force"
	// LeavingTime is the time from marking an engine as leaving until the last attempt began on it.
	LeavingTime Timing = "leaving-engine"
)

// Timings lists all timings in the order in which they are printed.
var Timings = []Timing{FailoverTime, InForceTime, LeavingTime}

const (
	// timingPollMillis is the poll interval, which bounds the accuracy of the timings.
	timingPollMillis = 10
	// timingLimitMillis is the time after which a measurement is abandoned.
	timingLimitMillis = 30_000
)

func (cl *cluster) recordTiming(timing Timing, millis int64) {
	cl.timings[timing] = append(cl.timings[timing], millis)
}

// measureUntil records the time until the condition holds. Nothing is recorded if that takes longer
// than timingLimitMillis, for example because of a second fault.
func (cl *cluster) measureUntil(timing Timing, holds func() bool) {
	startedAt := cl.world.now
	var poll func()
	poll = func() {
		switch {
		case holds():
			cl.recordTiming(timing, cl.world.now-startedAt)
		case cl.world.now-startedAt < timingLimitMillis:
			cl.world.schedule(timingPollMillis, poll)
		}
	}
	cl.world.schedule(timingPollMillis, poll)
}

// measureFailover measures the failover from the leader of the term, which is about to be lost.
func (cl *cluster) measureFailover(term uint64) {
	cl.measureUntil(FailoverTime, func() bool {
		for _, replica := range cl.controls {
			if !replica.alive || replica.frozen || !replica.isLeader() {
				continue
			}
			if raft := replica.core.Raft(); raft.Term() > term && raft.CommittedInTerm() {
				return true
			}
		}
		return false
	})
}

func (cl *cluster) measureInForce(revision uint64) {
	cl.measureUntil(InForceTime, func() bool {
		for _, target := range cl.nodes {
			active := target.alive && !target.frozen && target.core.HasLease()
			if active && target.core.Revision() < revision {
				return false
			}
		}
		return true
	})
}

// measureLeaving computes the LeavingTime measurements from the history.
func (cl *cluster) measureLeaving(history []oracle.Event) {
	since, last := map[string]int64{}, map[string]int64{}
	for _, event := range history {
		switch {
		case event.Leaving != nil && event.Leaving.Leaving:
			since[event.Leaving.Engine], last[event.Leaving.Engine] = event.At, event.At
		case event.Leaving != nil:
			cl.recordLeaving(event.Leaving.Engine, since, last)
		case event.Began != nil:
			if _, leaving := since[event.Began.Engine]; leaving {
				last[event.Began.Engine] = event.At
			}
		}
	}
	for _, engine := range slices.Sorted(maps.Keys(since)) {
		cl.recordLeaving(engine, since, last)
	}
}

func (cl *cluster) recordLeaving(engine string, since, last map[string]int64) {
	if markedAt, ok := since[engine]; ok {
		cl.recordTiming(LeavingTime, last[engine]-markedAt)
		delete(since, engine)
	}
}
