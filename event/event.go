// Package event is the catalogue of numbered log events. docs/EVENTS.md lists
// the same numbers; a test keeps the two in agreement.
package event

import "github.com/rs/zerolog"

// Event is one kind of log event.
type Event struct {
	// Number identifies the event for good; it is never given to another.
	Number int
	Level  zerolog.Level
	// Text is the event's message.
	Text string
}

// The events.
var (
	ControlStarted      = Event{1001, zerolog.InfoLevel, "control replica started"}
	ControlStopping     = Event{1002, zerolog.InfoLevel, "control replica is stopping"}
	LeadershipGained    = Event{1003, zerolog.InfoLevel, "this replica leads"}
	LeadershipLost      = Event{1004, zerolog.WarnLevel, "this replica leads no more"}
	SnapshotSaved       = Event{1005, zerolog.InfoLevel, "snapshot saved"}
	StorageFailed       = Event{1006, zerolog.ErrorLevel, "storage failed; the replica stops"}
	ApplyFailed         = Event{1007, zerolog.ErrorLevel, "a log entry cannot be applied; the replica stops"}
	PlatformUnreachable = Event{1008, zerolog.WarnLevel, "the platform's list cannot be read"}
	JoinRequested       = Event{1009, zerolog.InfoLevel, "asking to join the group as a learner"}

	NodeStarted       = Event{2001, zerolog.InfoLevel, "node started"}
	NodeDraining      = Event{2002, zerolog.InfoLevel, "node is draining"}
	NodeStopped       = Event{2003, zerolog.InfoLevel, "node stopped"}
	LeaseGained       = Event{2004, zerolog.InfoLevel, "lease gained"}
	LeaseLost         = Event{2005, zerolog.WarnLevel, "lease lost; no new governed work starts"}
	DrainTimedOut     = Event{2006, zerolog.WarnLevel, "requests were still in flight at the end of the drain time"}
	ScorerUnreachable = Event{2007, zerolog.WarnLevel, "the scoring service cannot be reached"}

	PeerUnreachable = Event{3001, zerolog.WarnLevel, "a peer cannot be reached; messages to it are dropped"}
	PeerReachable   = Event{3002, zerolog.InfoLevel, "a peer can be reached again"}
	MalformedStream = Event{3003, zerolog.WarnLevel, "a stream of messages was malformed and has been closed"}

	HTTPServerFailed = Event{4001, zerolog.ErrorLevel, "an HTTP server failed"}
)

// All lists the events in the order of their numbers.
var All = []Event{
	ControlStarted, ControlStopping, LeadershipGained, LeadershipLost, SnapshotSaved,
	StorageFailed, ApplyFailed, PlatformUnreachable, JoinRequested,
	NodeStarted, NodeDraining, NodeStopped, LeaseGained, LeaseLost, DrainTimedOut, ScorerUnreachable,
	PeerUnreachable, PeerReachable, MalformedStream,
	HTTPServerFailed,
}

// On returns a log line for the event, to which fields can be added; Send ends it.
func (e Event) On(logger *zerolog.Logger) *Line {
	return &Line{entry: logger.WithLevel(e.Level).Int("event", e.Number), text: e.Text}
}

// Line is a log line under construction.
type Line struct {
	entry *zerolog.Event
	text  string
}

// Str adds a string field.
func (l *Line) Str(key, value string) *Line {
	l.entry.Str(key, value)
	return l
}

// Uint adds a number field.
func (l *Line) Uint(key string, value uint64) *Line {
	l.entry.Uint64(key, value)
	return l
}

// Err adds an error field.
func (l *Line) Err(err error) *Line {
	l.entry.Err(err)
	return l
}

// Send writes the line.
func (l *Line) Send() { l.entry.Msg(l.text) }
