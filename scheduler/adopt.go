package scheduler

// Adopt continues a run of an earlier leader as the current run of a waiting task. The text is the
// run's output so far. It returns false if the engine is unknown, the task is not waiting, or its
// step does not allow the text's versions.
func (s *Scheduler) Adopt(now int64, step, sample, engine string, text Text) (Assignment, bool) {
	e := s.engines[engine]
	task := s.waitingTask(step, sample)
	if e == nil || task == nil || len(text.Versions) > 0 && !versionsAllowed(text, task.Step) {
		return Assignment{}, false
	}
	task.Text = text
	task.Run++
	task.Attempts++
	s.startRun(now, e, task)
	// The run may have begun before the engine registered its version.
	task.registeredVersion = 0
	return s.newAssignment(task, e.backend), true
}

// waitingTask returns the waiting task of the step's sample, or nil.
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
