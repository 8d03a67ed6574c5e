package scheduler

// Adopt has a waiting task go on with a run of an earlier leader, which has the text by
// now. It fails where the task does not wait, or the text would not do for its step.
func (s *Scheduler) Adopt(now int64, step, sample, engine string, text Text) (Assignment, bool) {
	known := s.engines[engine]
	task := s.waitingTask(step, sample)
	if known == nil || task == nil || len(text.Versions) > 0 && !fits(text, task.Step) {
		return Assignment{}, false
	}
	task.Text = text
	task.Run++
	task.Attempts++
	s.occupy(now, known, task)
	return s.assignment(task, known.backend), true
}

// waitingTask returns the task of the step's sample, or nil if there is none that waits.
func (s *Scheduler) waitingTask(step, sample string) *Task {
	state := s.steps[step]
	if state == nil {
		return nil
	}
	for _, task := range state.tasks {
		if task.Sample.ID == sample && task.State == Waiting {
			return task
		}
	}
	return nil
}
