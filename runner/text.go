package runner

import (
	"context"
	"slices"
	"sync"

	"github.com/dillchute/dillchute/scheduler"
)

// heldRun is a run whose stream this process holds for a leader.
type heldRun struct {
	number uint64
	cancel context.CancelFunc

	mutex sync.Mutex
	// last is the ID of the newest event.
	last uint64
	// unreported is what no report has told yet.
	unreported Batch
	end        scheduler.RunEnd
	// gap is set once an event did not follow the one before.
	gap bool
}

// add takes in an event. A stream with a gap is ended: its rest is of no use.
func (r *heldRun) add(event Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.gap = r.gap || event.ID != r.last+1; r.gap {
		r.cancel()
		return
	}
	if len(r.unreported.Events) == 0 {
		r.unreported.First = event.ID
	}
	r.last = event.ID
	r.unreported.Events = append(r.unreported.Events, event.Data)
	if !slices.Contains(r.unreported.Versions, event.Version) {
		r.unreported.Versions = append(r.unreported.Versions, event.Version)
	}
}

// finish takes in how the run has ended.
func (r *heldRun) finish(end scheduler.RunEnd) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.gap && end == scheduler.Complete {
		end = scheduler.Broken
	}
	r.end = end
}

// takeReport returns what is new, and whether there is anything.
func (r *heldRun) takeReport() (runReport, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	taken := runReport{Run: r.number, Batch: r.unreported, End: r.end}
	r.unreported = Batch{}
	return taken, len(taken.Batch.Events) > 0 || taken.End != 0
}
