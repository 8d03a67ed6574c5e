package scheduler

import "slices"

const (
	// slowRatio is how much slower than the middle one an engine must be to have
	// its samples moved, and usualRatio the most of one that takes them.
	slowRatio  = 2.0
	usualRatio = 1.4
	// minObserveMillis is how long a run must last to tell its engine's pace.
	minObserveMillis = 300
	// maxMoves bounds how often a sample is moved for its engine's pace.
	maxMoves = 3
	// enginePaceSmoothing is the weight of the newest observation of an engine.
	enginePaceSmoothing = 0.5
)

// Observe takes in how many events a running task has had since its run began.
func (s *Scheduler) Observe(now int64, task *Task, events int) {
	known := s.engines[task.Engine]
	lasted := now - task.startedAt
	if task.State != Running || known == nil || lasted < minObserveMillis {
		return
	}
	known.observed += float64(lasted)
	known.observedEvents += float64(max(events, 1))
}

// UpdatePaces makes the engines' paces out of what was observed since the last call.
func (s *Scheduler) UpdatePaces() {
	for _, known := range s.engines {
		if known.observedEvents == 0 {
			continue
		}
		pace := known.observed / known.observedEvents
		if known.pace == 0 {
			known.pace = pace
		}
		known.pace += enginePaceSmoothing * (pace - known.pace)
		known.observed, known.observedEvents = 0, 0
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
