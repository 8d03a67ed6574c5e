package scheduler

import (
	"net/http"
	"slices"

	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/quarantine"
)

// Text is what a sample has produced so far.
type Text struct {
	// Events holds the data of the events in order; the newest has ID Last.
	Events   []string
	Last     uint64
	Versions []uint64
	// Whole is set once the engine has ended the text.
	Complete bool
}

// AddVersion notes that the version made an event.
func (t *Text) AddVersion(version uint64) {
	if version != 0 && !slices.Contains(t.Versions, version) {
		t.Versions = append(t.Versions, version)
	}
}

// oldest returns the oldest version that made an event, 0 if there is none.
func (t *Text) oldest() uint64 {
	if len(t.Versions) == 0 {
		return 0
	}
	return slices.Min(t.Versions)
}

// TaskState is where a task stands.
type TaskState uint8

// The states of a task.
const (
	Waiting TaskState = iota
	Running
	// Scoring tasks have a whole text and wait for its score.
	Scoring
	// Finished tasks have a result that is committed or under way.
	Finished
)

// seen returns the number of events of the text, with those of the current run
// as far as they were observed.
func (task *Task) seen() uint64 { return task.Text.Last + uint64(task.observedEvents) }

// Subject tells the sample from others wherever it comes again. It is computed once.
func (task *Task) Subject() quarantine.Subject {
	if task.subject.Content == "" {
		task.subject = SubjectOf(task.Step.Host, task.Step.Tenant, task.Sample)
	}
	return task.subject
}

// SubjectOf returns what names a sample that goes to the host for the tenant.
func SubjectOf(host, tenant string, sample *ledger.Sample) quarantine.Subject {
	return quarantine.Content{
		ID: sample.ID, Tenant: tenant, Method: http.MethodPost, Host: host, Target: sample.Path, Body: sample.Body,
	}.Subject()
}

// Task is one sample on its way.
type Task struct {
	Step   *ledger.Step
	Sample *ledger.Sample
	State  TaskState
	Text   Text
	// Engine is the one that runs the task, or ran it last.
	Engine string
	// Failures counts failed runs and reward calls, under all leaders; Attempts all runs.
	Failures ledger.Failures
	Attempts int
	// Run counts the runs, so that the end of an earlier one is known as such.
	Run uint64
	// moving is set while the run is ended because its engine is slow, and moves
	// counts such ends.
	moving bool
	moves  int
	// fruitless counts the runs in a row that added nothing to a kept text.
	fruitless int
	// latestStart is when the task should start at the latest, as of the last time
	// that the waiting tasks were put in order; see queue.
	latestStart float64
	// rank is the task's place in the plan, and groupWork what its group was expected to take by it.
	rank      rank
	groupWork float64
	// lateBy is how much later than due the group is to be whole by the plan, in milliseconds.
	lateBy float64
	// KindSuspected is set by the caller while engines have ended under the sample's kind and nothing
	// of it was answered since.
	KindSuspected bool
	// needed is set on tasks of groups that the trainer waits for.
	needed bool
	// counted is set once the progress of the step has taken the task in as finished.
	counted bool
	// seenBefore is the number of events that the text had in an earlier step, and
	// lengthKnown is set if that was all of it.
	seenBefore  uint64
	lengthKnown bool
	// ahead is set on a run that no step has asked for yet; see Scheduler.Ahead.
	ahead bool
	// superseded is set on a run ahead that its step cannot use.
	superseded bool
	// takenOver is set on a task that was a run ahead of its step.
	takenOver bool
	// subject is what names the sample, once it was asked for.
	subject quarantine.Subject
	// startedAt is when the current run began, and from the event it began after.
	startedAt int64
	from      uint64
	// observedAt is when the current run was last observed, 0 if never, and
	// observedEvents the number of its events by then.
	observedAt     int64
	observedEvents int
}
