package scheduler

import (
	"slices"
)

// RunEnd is how a run ended.
type RunEnd uint8

// The ends of a run.
const (
	// Complete: the text is whole.
	Complete RunEnd = iota + 1
	// Broken: the stream broke off; what came may be continued.
	Broken
	// Rejected: the engine did not run the sample for lack of room.
	Rejected
	// Elsewhere: another engine has the address.
	Elsewhere
	// Unreachable: the engine cannot be reached.
	Unreachable
	// Failed: the engine ran the sample and failed.
	Failed
	// Impossible: the sample can never be done.
	Impossible
)

// RunEnded takes in the end of a run. It tells whether the run was the task's
// current one; if so the task's state says what comes next.
func (s *Scheduler) RunEnded(now int64, task *Task, run uint64, end RunEnd) bool {
	if task.Run != run || task.State != Running {
		return false
	}
	s.leave(task)
	known := s.engines[task.Engine]
	task.State = Waiting
	switch end {
	case Complete:
		known.recover()
		s.observePace(now, task)
		task.Text.Whole = true
		task.State = Scoring
		if !s.usable(task) {
			s.restart(task)
		}
	case Failed:
		task.Failures++
		task.Text = Text{}
	case Impossible:
		task.State = Finished
	case Rejected:
		known.avoid(now, fullMillis)
	case Broken, Unreachable, Elsewhere:
		if !task.moving {
			known.fail(now)
		}
	}
	if task.State == Waiting {
		s.requeue(task)
	}
	return true
}

// observePace takes in how long a whole run took.
func (s *Scheduler) observePace(now int64, task *Task) {
	if task.from > 0 {
		return
	}
	pace := float64(now-task.startedAt) / float64(max(task.Sample.Predicted, 1))
	s.tokenMillis += paceSmoothing * (pace - s.tokenMillis)
}

// usable tells whether the text was made under versions that the step allows.
func (s *Scheduler) usable(task *Task) bool {
	if task.Step.SingleVersion && len(task.Text.Versions) > 1 {
		return false
	}
	for _, version := range task.Text.Versions {
		if version < task.Step.OldestVersion {
			return false
		}
	}
	return len(task.Text.Versions) > 0
}

func (s *Scheduler) restart(task *Task) {
	task.Text = Text{}
	task.State = Waiting
}

// requeue puts the task at the front of its step's queue: it has been waited
// for the longest.
func (s *Scheduler) requeue(task *Task) {
	if state := s.steps[task.Step.ID]; state != nil {
		state.queue = slices.Insert(state.queue, 0, task)
	}
}

// Requeue has a task that was scored in vain, or whose engine is gone, run again.
func (s *Scheduler) Requeue(task *Task) {
	if task.State == Finished {
		return
	}
	s.leave(task)
	task.Run++
	task.State = Waiting
	s.requeue(task)
}

// Finish marks a task as done.
func (s *Scheduler) Finish(task *Task) {
	s.leave(task)
	task.State = Finished
}

func (e *engine) avoid(now, millis int64) {
	if e != nil {
		e.avoidedUntil = max(e.avoidedUntil, now+millis)
	}
}

func (e *engine) fail(now int64) {
	if e == nil {
		return
	}
	e.avoid(now, min(int64(avoidMillis)<<min(e.failures, 8), maxAvoidMillis))
	e.failures++
}

func (e *engine) recover() {
	if e != nil {
		e.failures = 0
	}
}
