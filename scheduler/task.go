package scheduler

import (
	"net/http"
	"slices"

	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/quarantine"
)

const (
	// MaxTextBytes and MaxTextEvents bound the text of a sample: an engine's stream may have no end. A longer text would not
	// fit a page of results.
	MaxTextBytes  = 1 << 20
	MaxTextEvents = 128 << 10
)

// Text is the output of a sample so far.
type Text struct {
	// Events holds the data of the events in order. Last is the ID of the newest event.
	Events   []string
	Last     uint64
	Versions []uint64
	// Complete is set once the engine has finished the text.
	Complete bool
}

// AddVersion adds the version to those that produced the text.
func (t *Text) AddVersion(version uint64) {
	if version != 0 && !slices.Contains(t.Versions, version) {
		t.Versions = append(t.Versions, version)
	}
}

// IsTooLong reports whether the text exceeds its limits, so that no result can have it.
func (t *Text) IsTooLong() bool {
	return t.Size() > MaxTextBytes || len(t.Events) > MaxTextEvents
}

// Size returns the size of all events in bytes.
func (t *Text) Size() int {
	size := 0
	for _, event := range t.Events {
		size += len(event)
	}
	return size
}

// oldest returns the oldest version that produced an event, or 0 if there is none.
func (t *Text) oldest() uint64 {
	if len(t.Versions) == 0 {
		return 0
	}
	return slices.Min(t.Versions)
}

// TaskState is the state of a task.
type TaskState uint8

// The states of a task.
const (
	Waiting TaskState = iota
	Running
	// Scoring tasks have a complete text and wait for its score.
	Scoring
	// Finished tasks have a result that is committed or being committed.
	Finished
)

// eventsSoFar returns the number of events of the text, including those observed in the current
// run.
func (task *Task) eventsSoFar() uint64 { return task.Text.Last + uint64(task.observedEvents) }

// Subject returns the identity of the sample for quarantine. It is computed once.
func (task *Task) Subject() quarantine.Subject {
	if task.subject.Content == "" {
		task.subject = SubjectOf(task.Step.Host, task.Step.Tenant, task.Sample)
	}
	return task.subject
}

// SubjectOf returns the identity of a sample that is sent to the host on behalf of the tenant.
func SubjectOf(host, tenant string, sample *ledger.Sample) quarantine.Subject {
	return quarantine.Content{
		ID: sample.ID, Tenant: tenant, Method: http.MethodPost, Host: host, Target: sample.Path, Body: sample.Body,
	}.Subject()
}

// Task is a sample of an open step and the state of its run.
type Task struct {
	Step   *ledger.Step
	Sample *ledger.Sample
	State  TaskState
	Text   Text
	// Engine is the ID of the engine that runs the task or ran it last.
	Engine string
	// Failures counts failed runs and reward calls under all leaders. Attempts counts the runs
	// under this leader.
	Failures ledger.Failures
	Attempts int
	// Run is the number of the current run; the end of an earlier run is recognized by its number.
	Run uint64
	// moving is set while the run is being ended to move the task to another engine; moves counts
	// such moves.
	moving bool
	moves  int
	// stalledRuns counts consecutive runs that added nothing to a text they continued.
	stalledRuns int
	// versionWaitSince is when the task began to wait for an engine with its text's version, or 0. It is reset when the
	// text grows or is discarded.
	versionWaitSince int64
	// latestStart is the latest time at which the task should start, as of the last sort of the
	// queue.
	latestStart float64
	// rank is the rank of the task's group in the plan, and groupWork the group's expected work.
	rank      rank
	groupWork float64
	// dueExtension is how much later than the step's due time the plan expects the group, in
	// milliseconds.
	dueExtension float64
	// crashes counts the engines that crashed while they ran the task under this leader, and retryAt is the earliest
	// time of its next run.
	crashes int
	retryAt int64
	// needed is set if the trainer waits for the task's group.
	needed bool
	// counted is set once the step's progress counts the task as finished.
	counted bool
	// earlierEvents is the number of events that the text had in an earlier step. lengthKnown is
	// set if that text was complete.
	earlierEvents uint64
	lengthKnown   bool
	// speculative is set on a run that no step has claimed yet; see Scheduler.StartSpeculative.
	speculative bool
	// unusable is set on a speculative run that the step which resubmitted the sample cannot use.
	unusable bool
	// promoted is set on a task that began as a speculative run.
	promoted bool
	subject  quarantine.Subject
	// registeredVersion is the version that the engine had registered when the current run started, or 0 if unknown.
	registeredVersion uint64
	// startedAt is when the current run started. startedAfter is the last event of the text at that
	// time.
	startedAt    int64
	startedAfter uint64
	// observedAt is when the current run was last observed, or 0 if never. observedEvents is the
	// number of its events at that time.
	observedAt     int64
	observedEvents int
}
