package scheduler

import "slices"

const (
	// slowRatio is how much slower than the middle one an engine must be to have
	// its samples moved, and usualRatio the most of one that takes them.
	slowRatio  = 2.0
	usualRatio = 1.4
	// minObserveMillis is the time of runs that must be observed to tell an
	// engine's pace, and how long a run must last before it is moved.
	minObserveMillis = 300
	// maxMoves bounds how often a sample is moved for its engine's pace.
	maxMoves = 3
	// paceMemory is the weight of what was observed before, at each update.
	paceMemory = 0.7
)

// paceWindow is the time of an engine's runs and the events they have had in it,
// of which the newest weigh the most.
type paceWindow struct {
	millis, events float64
}

// Observe takes in how many events a running task has had since its run began.
// The time in which its engine loads weights tells nothing of the pace.
func (s *Scheduler) Observe(now int64, task *Task, events int) {
	known := s.engines[task.Engine]
	if task.State != Running || known == nil {
		return
	}
	since, before := task.observedAt, task.observedEvents
	if since == 0 {
		since = task.startedAt
	}
	task.observedAt, task.observedEvents = now, events
	if s.Loading(task.Engine, task.Step.Model) {
		return
	}
	known.observed.millis += float64(now - since)
	known.observed.events += float64(events - before)
}

// UpdatePaces makes the engines' paces out of what was observed since the last call.
func (s *Scheduler) UpdatePaces() {
	for _, known := range s.engines {
		if known.observed.millis == 0 {
			continue
		}
		known.recent.millis = paceMemory*known.recent.millis + known.observed.millis
		known.recent.events = paceMemory*known.recent.events + known.observed.events
		known.observed = paceWindow{}
		if known.recent.millis >= minObserveMillis {
			known.pace = known.recent.millis / max(known.recent.events, 1)
		}
	}
	s.middlePace = s.medianPace()
}

func (s *Scheduler) medianPace() float64 {
	var paces []float64
	for _, known := range s.engines {
		if known.pace > 0 {
			paces = append(paces, known.pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// ratio returns how much slower than the middle one the engine is.
func (s *Scheduler) ratio(known *engine) float64 {
	if known.pace == 0 || s.middlePace == 0 {
		return 1
	}
	return known.pace / s.middlePace
}

// Move returns tasks that run on engines much slower than the others, and for
// which another engine has room. The caller ends their runs; they go on
// elsewhere after what they have.
func (s *Scheduler) Move(now int64, serviceOf ServiceOf) []*Task {
	var moves []*Task
	taken := map[*engine]int{}
	for _, id := range s.order {
		slow := s.engines[id]
		if s.ratio(slow) < slowRatio {
			continue
		}
		for task := range slow.running {
			if task.moves >= maxMoves || now-task.startedAt < minObserveMillis || task.moving {
				continue
			}
			if to := s.roomFor(now, task, serviceOf, taken); to != nil {
				taken[to]++
				task.moves++
				task.moving = true
				moves = append(moves, task)
			}
		}
	}
	return moves
}

// roomFor returns an engine of usual pace that could take the task.
func (s *Scheduler) roomFor(now int64, task *Task, serviceOf ServiceOf, taken map[*engine]int) *engine {
	services, ok := serviceOf(task)
	if !ok {
		return nil
	}
	for _, id := range s.order {
		known := s.engines[id]
		hasRoom := len(known.running)+taken[known] < known.backend.Slots
		if hasRoom && s.ratio(known) <= usualRatio && s.mayRun(now, known, task, services) {
			return known
		}
	}
	return nil
}
