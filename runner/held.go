package runner

import (
	"context"
	"slices"
	"sync"

	"github.com/dillchute/dillchute/scheduler"
)

// heldRun is a run whose stream this process holds for a leader.
type serverRun struct {
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
	reportedEvents     int
	unreportedVersions []uint64
	end                scheduler.RunEnd
	// gap is set once an event did not follow the one before.
	hasGap bool
}

// add takes in an event. A stream with a gap is ended: its rest is of no use.
func (r *serverRun) addEvent(event Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.hasGap = r.hasGap || event.ID != r.text.Last+1; r.hasGap {
		r.cancel()
		return
	}
	r.text.Events = append(r.text.Events, event.Data)
	r.text.Last = event.ID
	r.text.AddVersion(event.Version)
	if !slices.Contains(r.unreportedVersions, event.Version) {
		r.unreportedVersions = append(r.unreportedVersions, event.Version)
	}
	if r.owner != nil {
		wake(r.owner.changed)
	}
}

// finish takes in how the run has ended.
func (r *serverRun) recordEnd(end scheduler.RunEnd) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.hasGap && end == scheduler.Complete {
		end = scheduler.Broken
	}
	r.end = end
	if r.owner != nil {
		wake(r.owner.ended)
	}
}

// own has the run reported on the link, after what the link has told of it before.
func (r *serverRun) setOwner(link *serverLink) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owner, r.reportedEvents, r.unreportedVersions = link, 0, slices.Clone(r.text.Versions)
}

// takeReport returns what is new, and whether there is anything.
func (r *serverRun) takeReport(number uint64) (runReport, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	update := runReport{Run: number, End: r.end, Batch: r.takeBatch()}
	return update, len(update.Batch.Events) > 0 || update.End != 0
}

// takeHeld returns the run as a link that brings it back tells it. Its end is news.
func (r *serverRun) takeOrphanReport(number uint64) orphanReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.end != 0 {
		wake(r.owner.ended)
	}
	return orphanReport{Run: number, Step: r.step, Sample: r.sample, Engine: r.engine, Text: r.takeBatch()}
}

// takeBatch returns the events that were not reported.
func (r *serverRun) takeBatch() Batch {
	batch := Batch{First: uint64(r.reportedEvents) + 1, Events: slices.Clone(r.text.Events[r.reportedEvents:]), Versions: r.unreportedVersions}
	r.reportedEvents, r.unreportedVersions = len(r.text.Events), nil
	return batch
}
