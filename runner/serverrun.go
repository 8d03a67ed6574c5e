package runner

import (
	"context"
	"slices"
	"sync"

	"github.com/dillchute/dillchute/scheduler"
)

// serverRun is a run whose engine stream this process reads for the leader.
type serverRun struct {
	// step, sample and engine are IDs.
	step, sample, engine string
	cancel               context.CancelFunc

	mutex sync.Mutex
	// owner is the link on which the run is reported, nil while it is orphaned.
	owner *serverLink
	// text is the sample's text so far, including the text that the run continues.
	text scheduler.Text
	// textBytes is the size of the text's events.
	textBytes int
	// reportedEvents is the number of events that were reported on the owner. unreportedVersions lists
	// the versions of the weights that generated the others.
	reportedEvents     int
	unreportedVersions []uint64
	end                scheduler.RunEnd
	// isBroken is set once an event is invalid, its ID does not follow that of the previous event, or the text is too long.
	isBroken bool
}

// addEvent appends an event to the text. It cancels the run if the event is invalid, if events are missing before it, or if
// the text is too long with it, which the leader sees by the text.
func (r *serverRun) addEvent(event Event) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isBroken = r.isBroken || event.ID != r.text.Last+1 || !event.isValid(); r.isBroken {
		r.cancel()
		return
	}
	r.text.Events = append(r.text.Events, event.Data)
	r.textBytes += len(event.Data)
	if r.textBytes > scheduler.MaxTextBytes || len(r.text.Events) > scheduler.MaxTextEvents {
		r.isBroken = true
		r.cancel()
	}
	r.text.Last = event.ID
	r.text.AddVersion(event.Version)
	if !slices.Contains(r.unreportedVersions, event.Version) {
		r.unreportedVersions = append(r.unreportedVersions, event.Version)
	}
	if r.owner != nil {
		wake(r.owner.changed)
	}
}

// recordEnd records how the run ended.
func (r *serverRun) recordEnd(end scheduler.RunEnd) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isBroken && end == scheduler.Complete {
		end = scheduler.Broken
	}
	r.end = end
	if r.owner != nil {
		wake(r.owner.ended)
	}
}

// setOwner sets the link on which the run is reported and marks its whole text as unreported.
func (r *serverRun) setOwner(link *serverLink) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owner, r.reportedEvents, r.unreportedVersions = link, 0, slices.Clone(r.text.Versions)
}

// takeReport returns the changes since the last report and whether there are any.
func (r *serverRun) takeReport(number uint64) (runReport, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	update := runReport{Run: number, End: r.end, Batch: r.takeBatch()}
	return update, len(update.Batch.Events) > 0 || update.End != 0
}

// takeOrphanReport returns the run's entry in the first report of a link. If the run has ended, it
// requests another report, since this entry does not contain the end.
func (r *serverRun) takeOrphanReport(number uint64) orphanReport {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.end != 0 {
		wake(r.owner.ended)
	}
	return orphanReport{Run: number, Step: r.step, Sample: r.sample, Engine: r.engine, Text: r.takeBatch()}
}

// takeBatch returns the unreported events and marks them as reported.
func (r *serverRun) takeBatch() Batch {
	batch := Batch{First: uint64(r.reportedEvents) + 1, Events: slices.Clone(r.text.Events[r.reportedEvents:]), Versions: r.unreportedVersions}
	r.reportedEvents, r.unreportedVersions = len(r.text.Events), nil
	return batch
}
