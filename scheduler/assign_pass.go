package scheduler

// assignPass assigns free slots to the waiting tasks. If there are more tasks than slots, a first
// pass gives a slow engine's slot only to tasks that would be in time on it, so that a long task
// waits for a faster engine instead of being late. A second pass then fills the remaining slots.
type assignPass struct {
	scheduler  *Scheduler
	now        int64
	freeSlots  int
	servicesOf ServicesFunc
	// unplaceable holds the requirements that no engine can meet now.
	unplaceable map[requirements]bool
	// inTimeOnly is set if tasks skip slots in which they would be late.
	inTimeOnly bool
	// skippedLate is set once a task was skipped for that reason.
	skippedLate bool
	assignments []Assignment
}

// tryStart starts the task if an engine can run it.
func (a *assignPass) tryStart(task *Task) (started bool) {
	if len(a.assignments) == a.freeSlots {
		return false
	}
	if a.now < task.retryAt {
		return false
	}
	s := a.scheduler
	services, ok := a.servicesOf(task)
	if !ok {
		return false
	}
	s.discardStranded(a.now, task, services)
	required := requirementsOf(task, services)
	if a.unplaceable[required] {
		return false
	}
	backend, result := s.place(a.now, task, services, a.inTimeOnly)
	if result != placed {
		a.unplaceable[required] = result == noEngine
		a.skippedLate = a.skippedLate || result == lateOnly
		return false
	}
	task.Run++
	task.Attempts++
	assignment := s.newAssignment(task, backend)
	assignment.SlackMillis = int64(task.latestStart) - a.now
	a.assignments = append(a.assignments, assignment)
	return true
}

// isLateOn reports whether the task would be late if it started now on the engine, but in time on a
// fast engine.
func (s *Scheduler) isLateOn(now int64, e *engine, task *Task) bool {
	if task.rank != rankChosen || e.pace <= s.fastPace {
		return false
	}
	left := deadlineOf(task.Step) - float64(now)
	events := task.remainingEvents(task.Text.Last)
	return events*e.pace > left && events*s.fastPace <= left
}
