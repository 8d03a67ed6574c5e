package scheduler

import (
	"slices"

	"github.com/dillchute/dillchute/ledger"
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
	Misdirected
	// Unreachable: the engine cannot be reached.
	Unreachable
	// Failed: the engine ran the sample and failed.
	Failed
	// Impossible: the sample can never be done.
	Unprocessable
	// Interrupted: the process that held the stream was lost, which tells nothing of
	// the engine; what came may be continued.
	Interrupted
	// Crashed: the stream broke off since the engine has ended; what came may be continued.
	Crashed
)

// RunEnded takes in the end of a run. It tells whether the run was the task's
// current one; if so the task's state says what comes next.
func (s *Scheduler) RunEnded(now int64, task *Task, run uint64, end RunEnd) bool {
	if task.Run != run || task.State != Running {
		return false
	}
	if task.ahead {
		s.endAhead(task, end)
		return true
	}
	s.leave(task)
	known := s.engines[task.Engine]
	task.State = Waiting
	switch end {
	case Complete:
		known.recover()
		s.observePace(now, task)
		task.Text.Complete = true
		task.State = Scoring
		if !fits(task.Text, task.Step) {
			s.restart(task)
		}
	case Failed:
		task.Failures.Runs++
		task.Text = Text{}
	case Unprocessable:
		task.State = Finished
	case Rejected:
		known.reject(now)
	case Broken, Crashed, Unreachable, Misdirected:
		if !task.moving {
			known.fail(now)
		}
		if end == Broken || end == Crashed {
			s.noteBroken(task)
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

// fits tells whether the text was made under versions that the step allows.
func fits(text Text, step *ledger.Step) bool {
	if len(text.Versions) == 0 || slices.Min(text.Versions) < step.OldestVersion {
		return false
	}
	return !step.SingleVersion || len(text.Versions) == 1
}

// maxFruitless bounds the runs in a row that broke off without a further event,
// after which a text that was to be continued is begun anew.
const maxFruitless = 4

// noteBroken counts runs that add nothing to a kept text: an engine may be unable
// to continue it.
func (s *Scheduler) noteBroken(task *Task) {
	if task.Text.Last > task.from || task.from == 0 {
		task.fruitless = 0
		return
	}
	task.fruitless++
	if task.fruitless >= maxFruitless {
		task.fruitless = 0
		s.restart(task)
	}
}

func (s *Scheduler) restart(task *Task) {
	task.Text = Text{}
	task.State = Waiting
}

// requeue has the task wait for another run.
func (s *Scheduler) requeue(task *Task) {
	if s.steps[task.Step.ID] != nil {
		s.waiting.add(task)
	}
}

// Finish marks a task as done. It tells whether the trainer has the whole groups
// that it waits for by that.
func (s *Scheduler) Finish(task *Task) (stepWhole bool) {
	s.leave(task)
	task.State = Finished
	state := s.steps[task.Step.ID]
	if state == nil || task.counted {
		return false
	}
	task.counted = true
	return state.progress.finish(task.Sample.Group)
}

func (e *engine) avoid(now, millis int64) {
	if e != nil {
		e.avoidedUntil = max(e.avoidedUntil, now+millis)
	}
}

// reject takes in that the engine refused a run for lack of room. One that goes on
// refusing is asked less and less often: it may load by an order that was late.
func (e *engine) reject(now int64) {
	if e == nil {
		return
	}
	e.avoid(now, min(int64(fullMillis)<<min(e.rejections, 8), maxFullMillis))
	e.rejections++
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
		e.failures, e.rejections = 0, 0
	}
}
