package runner

import (
	"context"
	"slices"
	"sync"

	"github.com/dillchute/dillchute/scheduler"
)

// heldRun is a run whose stream this process holds for a leader.
type heldRun struct {
	// step, sample and engine are IDs.
	step, sample, engine string
	cancel               context.CancelFunc

	mutex sync.Mutex
	// owner is the link that the run is reported on, or nil.
	owner *serverLink
	// text is all that there is of the sample's text.
	text scheduler.Text
	// reported is the number of events of it that the owner has told, and newVersions are
	// those of the weights that made the others.
	reported    int
	newVersions []uint64
	end         scheduler.RunEnd
	// gap is set once an event did not follow the one before.
	gap bool
}

// add takes in an event. A stream with a gap is ended: its rest is of no use.
func (r *heldRun) add(event Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.gap = r.gap || event.ID != r.text.Last+1; r.gap {
		r.cancel()
		return
	}
	r.text.Events = append(r.text.Events, event.Data)
	r.text.Last = event.ID
	r.text.AddVersion(event.Version)
	if !slices.Contains(r.newVersions, event.Version) {
		r.newVersions = append(r.newVersions, event.Version)
	}
	if r.owner != nil {
		wake(r.owner.changed)
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
	if r.owner != nil {
		wake(r.owner.ended)
	}
}

// own has the run reported on the link, after what the link has told of it before.
func (r *heldRun) own(link *serverLink) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owner, r.reported, r.newVersions = link, 0, slices.Clone(r.text.Versions)
}

// takeReport returns what is new, and whether there is anything.
func (r *heldRun) takeReport(number uint64) (runReport, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	news := runReport{Run: number, End: r.end, Batch: r.takeBatch()}
	return news, len(news.Batch.Events) > 0 || news.End != 0
}

// takeHeld returns the run as a link that brings it back tells it. Its end is news.
func (r *heldRun) takeHeld(number uint64) heldReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.end != 0 {
		wake(r.owner.ended)
	}
	return heldReport{Run: number, Step: r.step, Sample: r.sample, Engine: r.engine, Text: r.takeBatch()}
}

// takeBatch returns the events that were not reported.
func (r *heldRun) takeBatch() Batch {
	batch := Batch{First: uint64(r.reported) + 1, Events: slices.Clone(r.text.Events[r.reported:]), Versions: r.newVersions}
	r.reported, r.newVersions = len(r.text.Events), nil
	return batch
}
