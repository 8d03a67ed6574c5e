package directory

import "strconv"

// Incarnation is one run of a backend process under its name. A restarted backend keeps its name but
// none of its state, so anything known of its loaded models, requests or responses no longer applies.
type Incarnation struct {
	Name string
	// StartTime is in Unix milliseconds on the backend's clock. It is 0 for a backend that does not
	// report it and uses a new name at each start.
	StartTime int64
}

// startTimeSeparator separates name and start time in an ID. Names are single path segments, so they
// cannot contain it.
const startTimeSeparator = "/"

// ID returns the ID of the incarnation, which is unique among all backends.
func (i Incarnation) ID() string {
	if i.StartTime == 0 {
		return i.Name
	}
	return i.Name + startTimeSeparator + strconv.FormatInt(i.StartTime, 10)
}

// startedAfter reports whether the incarnation started after the time. One without a start time did
// not.
func (i Incarnation) startedAfter(startTime int64) bool { return i.StartTime > startTime }

// WithIncarnation returns the backend with the ID, name and start time of the incarnation.
func (b Backend) WithIncarnation(incarnation Incarnation) Backend {
	b.ID, b.Born = incarnation.ID(), incarnation.StartTime
	if incarnation.StartTime != 0 {
		b.Name = incarnation.Name
	}
	return b
}

// Incarnation returns the incarnation that the backend is.
func (b Backend) Incarnation() Incarnation { return Incarnation{Name: b.NameOrID(), StartTime: b.Born} }

// NameOrID returns the name of the backend, which is its ID if Name is empty.
func (b Backend) NameOrID() string {
	if b.Name == "" {
		return b.ID
	}
	return b.Name
}

// removals records the removed backends, so that a late heartbeat does not register one again. The
// zero value is empty and read-only.
type removals struct {
	// revisions holds, by name, the revision at which the newest incarnation was removed.
	revisions map[string]uint64
	// startTimes holds the start time of that incarnation, if known.
	startTimes map[string]int64
}

// contains reports whether the incarnation, or a later one of the same name, was removed.
func (r removals) contains(incarnation Incarnation) bool {
	_, removed := r.revisions[incarnation.Name]
	return removed && !incarnation.startedAfter(r.startTimes[incarnation.Name])
}

// record adds an incarnation that is not contained yet.
func (r removals) record(incarnation Incarnation, revision uint64) {
	r.revisions[incarnation.Name] = revision
	if incarnation.StartTime != 0 {
		r.startTimes[incarnation.Name] = incarnation.StartTime
	}
}

// forget drops the removals of the name.
func (r removals) forget(name string) {
	delete(r.revisions, name)
	delete(r.startTimes, name)
}

// forgetBefore drops the removals before the revision.
func (r removals) forgetBefore(revision uint64) {
	for name, removedAt := range r.revisions {
		if removedAt < revision {
			r.forget(name)
		}
	}
}
