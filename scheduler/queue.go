package scheduler

import (
	"cmp"
	"slices"
)

const (
	// defaultPace is the assumed time between events, in milliseconds, until one is observed.
	defaultPace = 40
	// unneededDelayMillis is added to the latest start of a task that the trainer probably does not
	// wait for, and priorityDelayMillis for each level of the step's priority.
	unneededDelayMillis = 1500
	priorityDelayMillis = 10000
)

// queue holds the tasks that wait for an engine, ordered by latest start time. A step is complete
// only when its longest samples are, so a long sample of an earlier step comes before short samples
// of a later step.
type queue struct {
	tasks []*Task
}

func (q *queue) add(task *Task) { q.tasks = append(q.tasks, task) }

// sort orders the tasks, given the time between events in milliseconds.
func (q *queue) sort(pace float64) {
	for _, task := range q.tasks {
		task.latestStart = task.latestStartAt(pace)
	}
	slices.SortStableFunc(q.tasks, compareTasks)
}

// compareTasks orders tasks of chosen groups first, by latest start. The others follow by their
// group's work, so that their groups complete one after the other.
func compareTasks(a, b *Task) int {
	if a.rank != b.rank {
		return cmp.Compare(a.rank, b.rank)
	}
	if a.rank == rankChosen {
		return cmp.Compare(a.latestStart, b.latestStart)
	}
	return cmp.Or(cmp.Compare(a.groupWork, b.groupWork), cmp.Compare(a.latestStart, b.latestStart))
}

// startEach calls tryStart for each waiting task in order, and removes the tasks that were started or
// no longer wait.
func (q *queue) startEach(tryStart func(task *Task) (started bool)) {
	remaining := q.tasks[:0]
	for _, task := range q.tasks {
		if task.State == Waiting && !tryStart(task) {
			remaining = append(remaining, task)
		}
	}
	clear(q.tasks[len(remaining):])
	q.tasks = remaining
}

// latestStartAt returns when the task must start for its step to complete in time, given the time
// between events in milliseconds.
func (task *Task) latestStartAt(pace float64) float64 {
	latest := float64(task.Step.DueAt) + task.dueExtension - task.remainingEvents(task.Text.Last)*pace
	if !task.needed {
		latest += unneededDelayMillis
	}
	return latest + float64(task.Step.Priority)*priorityDelayMillis
}

// paceOrDefault returns the median pace, or defaultPace if none is known.
func (s *Scheduler) paceOrDefault() float64 {
	if s.medianPace == 0 {
		return defaultPace
	}
	return s.medianPace
}
