package scheduler

// assigning is one look through the waiting tasks, or two where more wait than find room: a slot
// of a slow engine goes first to a task that is in time there, so that a long one of a chosen
// group gets the next slot of another engine instead of being late; but no slot stays free.
type assigning struct {
	scheduler *Scheduler
	now       int64
	room      int
	serviceOf ServicesFunc
	// unplaced holds what no engine may run now.
	unplaced map[demand]bool
	// inTimeOnly is set while tasks take no slot in which they would be late.
	inTimeOnly bool
	// held is set once a task was held back for that.
	held        bool
	assignments []Assignment
}

// offer starts the task if there is an engine for it.
func (a *assigning) offer(task *Task) (taken bool) {
	if len(a.assignments) == a.room {
		return false
	}
	s := a.scheduler
	services, ok := a.serviceOf(task)
	wanted := demandOf(task, services)
	if !ok || a.unplaced[wanted] || s.triesKind(task) {
		return false
	}
	backend, found := s.place(a.now, task, services, a.inTimeOnly)
	if found != placed {
		a.unplaced[wanted] = found == noEngine
		a.held = a.held || found == onlyLate
		return false
	}
	task.Run++
	task.Attempts++
	assignment := s.assignment(task, backend)
	assignment.SlackMillis = int64(task.latestStart) - a.now
	a.assignments = append(a.assignments, assignment)
	return true
}

// isLateOn tells whether the task would be late if it began now on this engine, but not on a fast
// one.
func (s *Scheduler) isLateOn(now int64, known *engine, task *Task) bool {
	if task.rank != rankChosen || known.pace <= s.fastPace {
		return false
	}
	left := dueOf(task.Step) - float64(now)
	events := task.remaining(task.Text.Last)
	return events*known.pace > left && events*s.fastPace <= left
}
