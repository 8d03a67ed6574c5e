package scheduler

import (
	"slices"

	"github.com/dillchute/dillchute/ledger"
)

// RunEnd is the outcome of a run.
type RunEnd uint8

// The outcomes of a run.
const (
	// Complete: the text is complete.
	Complete RunEnd = iota + 1
	// Broken: the stream ended early; the text so far can be continued.
	Broken
	// Rejected: the engine did not run the sample for lack of capacity.
	Rejected
	// Misdirected: another engine has the address.
	Misdirected
	// Unreachable: the engine cannot be reached.
	Unreachable
	// Failed: the engine failed to run the sample.
	Failed
	// Unprocessable: no engine can ever run the sample.
	Unprocessable
	// Interrupted: the process that held the stream was lost, which does not count as a failure of the
	// engine; the text so far can be continued.
	Interrupted
	// Crashed: the stream ended early because the engine exited; the text so far can be continued.
	Crashed
)

// RunEnded records the end of a run. It reports whether the run was the task's current one; if so,
// the task's state is updated.
func (s *Scheduler) RunEnded(now int64, task *Task, run uint64, end RunEnd) bool {
	if task.Run != run || task.State != Running {
		return false
	}
	if task.speculative {
		s.endSpeculativeRun(task, end)
		return true
	}
	s.release(task)
	e := s.engines[task.Engine]
	task.State = Waiting
	if task.Text.Last > task.startedAfter {
		task.versionWaitSince = 0
	}
	switch end {
	case Complete:
		e.resetBackoff()
		s.observeTokenTime(now, task)
		task.Text.Complete = true
		task.State = Scoring
		if !versionsAllowed(task.Text, task.Step) {
			s.restart(task)
		}
	case Failed:
		task.Failures.Runs++
		task.Text = Text{}
	case Unprocessable:
		task.State = Finished
	case Rejected:
		e.recordRejection(now)
	case Broken, Crashed, Unreachable, Misdirected:
		if end == Crashed {
			task.recordCrash(now)
		}
		if !task.moving {
			e.recordFailure(now)
		}
		if end == Broken || end == Crashed {
			s.countStalledRun(task)
		}
	}
	if task.State == Waiting {
		if task.Text.Last > 0 && !versionsAllowed(task.Text, task.Step) {
			s.restart(task)
		}
		s.requeue(task)
	}
	return true
}

const (
	// minCrashBackoffMillis is the delay of a sample after the second crash of an engine that ran it. The delay
	// doubles with each further one, maxCrashBackoffDoublings times at most. It limits what a sample can cost the
	// engines, and leaves it time to run well before its step is due.
	minCrashBackoffMillis    = 100
	maxCrashBackoffDoublings = 4
)

// recordCrash delays the task's next run after repeated crashes. A single crash does not delay it.
func (task *Task) recordCrash(now int64) {
	task.crashes++
	if task.crashes > 1 {
		backoff := int64(minCrashBackoffMillis) << min(task.crashes-2, maxCrashBackoffDoublings)
		task.retryAt = now + backoff
	}
}

// observeTokenTime updates the average time per token with a run that produced a complete text.
func (s *Scheduler) observeTokenTime(now int64, task *Task) {
	if task.startedAfter > 0 {
		return
	}
	tokenMillis := float64(now-task.startedAt) / float64(max(task.Sample.Predicted, 1))
	s.tokenMillis += tokenTimeSmoothing * (tokenMillis - s.tokenMillis)
}

// versionsAllowed reports whether the step allows the versions that produced the text.
func versionsAllowed(text Text, step *ledger.Step) bool {
	if len(text.Versions) == 0 || slices.Min(text.Versions) < step.OldestVersion {
		return false
	}
	return !step.SingleVersion || len(text.Versions) == 1
}

// maxStalledRuns is the number of consecutive runs without a new event after which a kept text is
// discarded and the sample starts over.
const maxStalledRuns = 4

// countStalledRun counts runs that add nothing to a kept text, since engines may be unable to
// continue it.
func (s *Scheduler) countStalledRun(task *Task) {
	if task.Text.Last > task.startedAfter || task.startedAfter == 0 {
		task.stalledRuns = 0
		return
	}
	task.stalledRuns++
	if task.stalledRuns >= maxStalledRuns {
		task.stalledRuns = 0
		s.restart(task)
	}
}

// restart discards the task's text, so that the task starts over.
func (s *Scheduler) restart(task *Task) {
	task.Text = Text{}
	task.State = Waiting
	task.versionWaitSince = 0
}

// requeue returns the task to the queue if its step is still open.
func (s *Scheduler) requeue(task *Task) {
	if s.steps[task.Step.ID] != nil {
		s.waiting.add(task)
	}
}

// Finish marks the task as finished. It reports whether this completes the groups that the trainer
// waits for.
func (s *Scheduler) Finish(task *Task) (stepComplete bool) {
	s.release(task)
	task.State = Finished
	state := s.steps[task.Step.ID]
	if state == nil || task.counted {
		return false
	}
	task.counted = true
	return state.progress.finishTask(task.Sample.Group)
}

func (e *engine) avoid(now, millis int64) {
	if e != nil {
		e.avoidedUntil = max(e.avoidedUntil, now+millis)
	}
}

// recordRejection backs off from an engine that rejected a run for lack of capacity. The backoff
// grows with consecutive rejections, since the engine may be loading weights on an order that this
// leader does not know of.
func (e *engine) recordRejection(now int64) {
	if e == nil {
		return
	}
	e.avoid(now, min(int64(rejectionBackoffMillis)<<min(e.rejections, 8), maxRejectionBackoffMillis))
	e.rejections++
}

func (e *engine) recordFailure(now int64) {
	if e == nil {
		return
	}
	e.avoid(now, min(int64(failureBackoffMillis)<<min(e.failures, 8), maxFailureBackoffMillis))
	e.failures++
}

func (e *engine) resetBackoff() {
	if e != nil {
		e.failures, e.rejections = 0, 0
	}
}
