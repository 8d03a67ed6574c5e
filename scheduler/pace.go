package scheduler

import (
	"cmp"
	"slices"
)

const (
	// maxNormalSlowdown is the slowdown relative to the median engine up to which an engine counts
	// as normal.
	maxNormalSlowdown = 1.4
	// minObservationMillis is the run time that must be observed to determine an engine's pace, and
	// the minimum duration of a run before it is moved.
	minObservationMillis = 300
	// maxMoves is how often a sample may be moved.
	maxMoves = 3
	// paceDecay is the weight of earlier observations at each update.
	paceDecay = 0.7
	// fastPaceDivisor defines fastPace: one in fastPaceDivisor engines is at least that fast.
	fastPaceDivisor = 8
)

// paceWindow holds run time and the number of events in that time, weighted towards the newest.
type paceWindow struct {
	millis, events float64
}

// ObserveRun records how many events the task's current run has produced so far. Time in which the
// engine loads weights is not counted.
func (s *Scheduler) ObserveRun(now int64, task *Task, events int) {
	e := s.engines[task.Engine]
	if task.State != Running || e == nil {
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
	e.observed.millis += float64(now - since)
	e.observed.events += float64(events - before)
}

// UpdatePaces computes the engines' paces from the observations since the last call.
func (s *Scheduler) UpdatePaces() {
	for _, e := range s.engines {
		if e.observed.millis == 0 {
			continue
		}
		e.recent.millis = paceDecay*e.recent.millis + e.observed.millis
		e.recent.events = paceDecay*e.recent.events + e.observed.events
		e.observed = paceWindow{}
		if e.recent.millis >= minObservationMillis {
			e.pace = e.recent.millis / max(e.recent.events, 1)
		}
	}
	s.updateReferencePaces()
}

// Paces returns the known paces, in milliseconds between events, by engine ID.
func (s *Scheduler) Paces() map[string]float64 {
	paces := map[string]float64{}
	for id, e := range s.engines {
		if e.pace > 0 {
			paces[id] = e.pace
		}
	}
	return paces
}

// RestorePaces sets the initial paces of engines to those that an earlier leader observed.
func (s *Scheduler) RestorePaces(paces map[string]float64) {
	s.restoredPaces = paces
}

// updateReferencePaces computes the median pace and the pace of a fast engine.
func (s *Scheduler) updateReferencePaces() {
	paces := s.sortedPaces()
	s.medianPace, s.fastPace = 0, 0
	if len(paces) > 0 {
		s.medianPace = paces[(len(paces)-1)/2]
		s.fastPace = paces[(len(paces)-1)/fastPaceDivisor]
	}
}

func (s *Scheduler) sortedPaces() []float64 {
	var paces []float64
	for _, e := range s.engines {
		if e.pace > 0 {
			paces = append(paces, e.pace)
		}
	}
	slices.Sort(paces)
	return paces
}

// slowdown returns the engine's pace relative to the median.
func (s *Scheduler) slowdown(e *engine) float64 {
	if e.pace == 0 || s.medianPace == 0 {
		return 1
	}
	return e.pace / s.medianPace
}

const (
	// drainingGraceMillis is the expected remaining time up to which a sample stays on a draining
	// engine. drainingCostMillis is added to longer ones, since their runs will be interrupted.
	drainingGraceMillis = 1000
	drainingCostMillis  = 3000
)

// expectedMillis returns the task's expected remaining time on the engine after the given event.
func (s *Scheduler) expectedMillis(e *engine, task *Task, after uint64) float64 {
	expected := task.remainingEvents(after) * s.slowdown(e) * s.medianPace
	if e.backend.Draining && expected > drainingGraceMillis {
		expected += drainingCostMillis
	}
	return expected
}

const (
	// moveCostMillis is the time a move costs, as the other engine must process the text so far.
	moveCostMillis = 150
	// minMoveGainMillis is the minimum time that a move must save beyond its cost.
	minMoveGainMillis = 300
)

// Move is a task that should continue on another engine.
type Move struct {
	Task *Task
	// From is the task's engine, and To the best other engine at present. FromPace and ToPace are
	// their times between events in milliseconds, or 0 if unknown.
	From, To         string
	FromPace, ToPace float64
	ExpectedEvents   float64
}

// moveCandidate is a task that could gain from a move, with its expected remaining time on its
// engine.
type moveCandidate struct {
	task   *Task
	millis float64
}

// ChooseMoves returns tasks that would finish much earlier on another engine with a free slot,
// because their engine is slow or draining. The caller ends their runs; the tasks then continue
// elsewhere.
func (s *Scheduler) ChooseMoves(now int64, servicesOf ServicesFunc) []Move {
	reserved := map[*engine]int{}
	var moves []Move
	for _, candidate := range s.moveCandidates(now) {
		task := candidate.task
		to := s.fasterEngine(now, task, servicesOf, reserved)
		if to == nil {
			continue
		}
		reserved[to]++
		task.moves++
		task.moving = true
		moves = append(moves, Move{
			Task: task, From: task.Engine, To: to.backend.ID, FromPace: s.engines[task.Engine].pace, ToPace: to.pace,
			ExpectedEvents: task.remainingEvents(task.eventsSoFar()),
		})
	}
	return moves
}

// moveCandidates returns the tasks that could gain from a move, the longest first.
func (s *Scheduler) moveCandidates(now int64) []moveCandidate {
	var candidates []moveCandidate
	for _, e := range s.sortedEngines {
		for task := range e.running {
			if task.speculative || task.moves >= maxMoves || task.moving || now-task.startedAt < minObservationMillis {
				continue
			}
			after := task.eventsSoFar()
			expected := s.expectedMillis(e, task, after)
			gain := expected - task.remainingEvents(after)*s.medianPace
			if gain >= moveCostMillis+minMoveGainMillis {
				candidates = append(candidates, moveCandidate{task: task, millis: expected})
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b moveCandidate) int {
		return cmp.Or(cmp.Compare(b.millis, a.millis), cmp.Compare(a.task.Sample.ID, b.task.Sample.ID))
	})
	return candidates
}

// fasterEngine returns the engine on which the task would finish earliest, or nil if none is fast
// enough to justify a move.
func (s *Scheduler) fasterEngine(now int64, task *Task, servicesOf ServicesFunc, reserved map[*engine]int) *engine {
	services, ok := servicesOf(task)
	if !ok {
		return nil
	}
	after := task.eventsSoFar()
	earliest := s.expectedMillis(s.engines[task.Engine], task, after) - moveCostMillis - minMoveGainMillis
	var best *engine
	for _, e := range s.sortedEngines {
		if e.backend.ID == task.Engine || e.backend.Silent || len(e.running)+reserved[e] >= e.backend.Slots ||
			!s.canRun(now, e, task, services) || !s.canTakeOver(e, task) {
			continue
		}
		if expected := s.expectedMillis(e, task, after); expected < earliest {
			best, earliest = e, expected
		}
	}
	return best
}
