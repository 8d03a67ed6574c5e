package scheduler

import (
	"cmp"
	"slices"
)

const (
	// usualRatio is how much slower than the middle one an engine may be to count
	// as usual.
	usualRatio = 1.4
	// minObserveMillis is the time of runs that must be observed to tell an
	// engine's pace, and how long a run must last before it is moved.
	minObserveMillis = 300
	// maxMoves bounds how often a sample is moved for its engine's pace.
	maxMoves = 3
	// paceMemory is the weight of what was observed before, at each update.
	paceMemory = 0.7
	// fastDivisor tells the pace of a fast engine: that part of all are as fast.
	fastDivisor = 8
)

// paceWindow is the time of an engine's runs and the events they have had in it,
// of which the newest weigh the most.
type paceWindow struct {
	millis, events float64
}

// Observe takes in how many events a running task has had since its run began.
// The time in which its engine loads weights tells nothing of the pace.
func (s *Scheduler) ObserveRun(now int64, task *Task, events int) {
	known := s.engines[task.Engine]
	if task.State != Running || known == nil {
		return
	}
	since, before := task.observedAt, task.observedEvents
	if since == 0 {
		since = task.startedAt
	}
	task.observedAt, task.observedEvents = now, events
	if s.IsLoading(task.Engine, task.Step.Model) {
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
	s.updatePaces()
}

// Paces returns the paces that are known, in milliseconds between events, by the
// engines' IDs.
func (s *Scheduler) Paces() map[string]float64 {
	paces := map[string]float64{}
	for id, known := range s.engines {
		if known.pace > 0 {
			paces[id] = known.pace
		}
	}
	return paces
}

// TakePaces takes in the paces that an earlier leader has observed. They hold
// until the engines' runs show others.
func (s *Scheduler) RestorePaces(paces map[string]float64) {
	s.earlierPaces = paces
}

// updatePaces finds the pace of the middle engine and that of a fast one.
func (s *Scheduler) updatePaces() {
	paces := s.sortedPaces()
	s.middlePace, s.fastPace = 0, 0
	if len(paces) > 0 {
		s.middlePace = paces[(len(paces)-1)/2]
		s.fastPace = paces[(len(paces)-1)/fastDivisor]
	}
}

func (s *Scheduler) sortedPaces() []float64 {
	var paces []float64
	for _, known := range s.engines {
		if known.pace > 0 {
			paces = append(paces, known.pace)
		}
	}
	slices.Sort(paces)
	return paces
}

// ratio returns how much slower than the middle one the engine is.
func (s *Scheduler) ratio(known *engine) float64 {
	if known.pace == 0 || s.middlePace == 0 {
		return 1
	}
	return known.pace / s.middlePace
}

const (
	// leavingMillis is how much longer samples may take on an engine that leaves to
	// be left there, and leavingCost what is added for the others: their runs will
	// be cut.
	leavingMillis = 1000
	leavingCost   = 3000
)

// expectedMillis returns how long the task is expected to take still on the
// engine after the given event.
func (s *Scheduler) expectedMillis(known *engine, task *Task, after uint64) float64 {
	expected := task.remaining(after) * s.ratio(known) * s.middlePace
	if known.backend.Draining && expected > leavingMillis {
		expected += leavingCost
	}
	return expected
}

const (
	// moveMillis is what a move costs a sample: another engine must read what there
	// is of it.
	moveMillis = 150
	// minGainMillis is what a move must gain beyond that.
	minGainMillis = 300
)

// Move is a task that is to go on on another engine.
type Move struct {
	Task *Task
	// From is its engine and To the best other one now; FromPace and ToPace are their
	// times between events in milliseconds, 0 if unknown.
	From, To         string
	FromPace, ToPace float64
	// Expected is the number of events that are expected to come.
	ExpectedEvents float64
}

// wantedMove is a task that could gain by a move, with the time that it is
// expected to take where it runs.
type wantedMove struct {
	task   *Task
	millis float64
}

// Move returns tasks that would be done much earlier on another engine that has
// room, since theirs is slow or leaves. The caller ends their runs; they go on
// elsewhere after what they have.
func (s *Scheduler) ChooseMoves(now int64, serviceOf ServicesFunc) []Move {
	taken := map[*engine]int{}
	var moves []Move
	for _, wanted := range s.wantedMoves(now) {
		task := wanted.task
		to := s.betterEngine(now, task, serviceOf, taken)
		if to == nil {
			continue
		}
		taken[to]++
		task.moves++
		task.moving = true
		moves = append(moves, Move{
			Task: task, From: task.Engine, To: to.backend.ID, FromPace: s.engines[task.Engine].pace, ToPace: to.pace,
			ExpectedEvents: task.remaining(task.seen()),
		})
	}
	return moves
}

// wantedMoves returns the tasks that could gain by a move, the longest first.
func (s *Scheduler) wantedMoves(now int64) []wantedMove {
	var wanted []wantedMove
	for _, known := range s.order {
		for task := range known.running {
			if task.ahead || task.moves >= maxMoves || task.moving || now-task.startedAt < minObserveMillis {
				continue
			}
			after := task.seen()
			expected := s.expectedMillis(known, task, after)
			gain := expected - task.remaining(after)*s.middlePace
			if gain >= moveMillis+minGainMillis {
				wanted = append(wanted, wantedMove{task: task, millis: expected})
			}
		}
	}
	slices.SortStableFunc(wanted, func(a, b wantedMove) int {
		return cmp.Or(cmp.Compare(b.millis, a.millis), cmp.Compare(a.task.Sample.ID, b.task.Sample.ID))
	})
	return wanted
}

// betterEngine returns the engine on which the task would be done the earliest,
// if that is much earlier than where it runs.
func (s *Scheduler) betterEngine(now int64, task *Task, serviceOf ServicesFunc, taken map[*engine]int) *engine {
	services, ok := serviceOf(task)
	if !ok {
		return nil
	}
	after := task.seen()
	least := s.expectedMillis(s.engines[task.Engine], task, after) - moveMillis - minGainMillis
	var best *engine
	for _, known := range s.order {
		if known.backend.ID == task.Engine || known.backend.Silent || len(known.running)+taken[known] >= known.backend.Slots ||
			!s.mayRun(now, known, task, services) {
			continue
		}
		if expected := s.expectedMillis(known, task, after); expected < least {
			best, least = known, expected
		}
	}
	return best
}
