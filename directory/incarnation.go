package directory

import "strconv"

// Incarnation is one life of a backend. A backend may start again under the name that it had; it
// then holds and knows nothing of before, so that it is another one for whoever remembers what
// the earlier one held, ran or answered.
type Incarnation struct {
	// Name is what the backend calls itself.
	Name string
	// Born is when it started, in milliseconds since 1970 by its own clock, or 0 if it does not
	// say: such a backend takes another name at each start.
	StartTime int64
}

// birthSeparator stands between name and birth in an ID. Names come out of paths, of which they
// are one part, so none holds it.
const startTimeSeparator = "/"

// ID returns what names the incarnation among all backends.
func (i Incarnation) ID() string {
	if i.StartTime == 0 {
		return i.Name
	}
	return i.Name + startTimeSeparator + strconv.FormatInt(i.StartTime, 10)
}

// follows tells whether the incarnation is a later life under the name than one born at the time.
// One that does not say when it was born is no later than any.
func (i Incarnation) startedAfter(startTime int64) bool { return i.StartTime > startTime }

// WithIncarnation returns the backend as that incarnation.
func (b Backend) WithIncarnation(incarnation Incarnation) Backend {
	b.ID, b.Born = incarnation.ID(), incarnation.StartTime
	if incarnation.StartTime != 0 {
		b.Name = incarnation.Name
	}
	return b
}

// Incarnation returns which life of which backend this is.
func (b Backend) Incarnation() Incarnation { return Incarnation{Name: b.NameOrID(), StartTime: b.Born} }

// NameOrID returns what the backend calls itself, by which requests to it name it.
func (b Backend) NameOrID() string {
	if b.Name == "" {
		return b.ID
	}
	return b.Name
}

// departures remember the backends that have left, so that a late heartbeat does not bring one
// back. A zero departures remembers none and must not be added to.
type removals struct {
	// at holds the directory's revision at which a name's newest life left.
	revisions map[string]uint64
	// born holds that life's birth, where it is known.
	startTimes map[string]int64
}

// has tells whether the incarnation has left, or is an earlier life than one that has.
func (d removals) contains(incarnation Incarnation) bool {
	_, removed := d.revisions[incarnation.Name]
	return removed && !incarnation.startedAfter(d.startTimes[incarnation.Name])
}

// note takes in that the incarnation has left, which had not.
func (d removals) record(incarnation Incarnation, revision uint64) {
	d.revisions[incarnation.Name] = revision
	if incarnation.StartTime != 0 {
		d.startTimes[incarnation.Name] = incarnation.StartTime
	}
}

// drop forgets whatever has left under the name.
func (d removals) forget(name string) {
	delete(d.revisions, name)
	delete(d.startTimes, name)
}

// forget drops the names whose newest life left before the revision.
func (d removals) forgetBefore(revision uint64) {
	for name, removedAt := range d.revisions {
		if removedAt < revision {
			d.forget(name)
		}
	}
}
