package scheduler

import (
	"slices"
	"strings"

	"github.com/dillchute/dillchute/directory"
)

// Assignment starts a run of a task on an engine.
type Assignment struct {
	Task    *Task
	Backend directory.Backend
	Run     uint64
	// ExpectedEvents is the expected number of further events. Pace is the engine's time between
	// events in milliseconds, or 0 if unknown.
	ExpectedEvents, Pace float64
	// SlackMillis is the time left until the task's latest start; it is negative if the task is
	// late.
	SlackMillis int64
}

// ServicesFunc returns the services that may run the task. It returns false if the task must not
// run now.
type ServicesFunc func(task *Task) (services []string, ok bool)

// Assign starts waiting tasks in the free slots, the most urgent first.
func (s *Scheduler) Assign(now int64, servicesOf ServicesFunc) []Assignment {
	s.updateWaitingModels()
	freeSlots := s.countFreeSlots(now)
	if freeSlots == 0 {
		s.updateChosenWaiting(true)
		return nil
	}
	s.planGroups(now, freeSlots)
	s.waiting.sort(s.paceOrDefault())
	pass := assignPass{
		scheduler: s, now: now, freeSlots: freeSlots, servicesOf: servicesOf, unplaceable: map[requirements]bool{},
		inTimeOnly: len(s.waiting.tasks) > freeSlots,
	}
	s.waiting.startEach(pass.tryStart)
	if pass.skippedLate {
		pass.inTimeOnly = false
		s.waiting.startEach(pass.tryStart)
	}
	s.updateChosenWaiting(len(pass.assignments) == freeSlots)
	return pass.assignments
}

// updateChosenWaiting records whether tasks of chosen groups wait because all slots are in use.
func (s *Scheduler) updateChosenWaiting(full bool) {
	s.plan.chosenWaiting = full && slices.ContainsFunc(s.waiting.tasks, func(task *Task) bool {
		return task.State == Waiting && task.rank == rankChosen
	})
}

// countFreeSlots returns the number of free slots on available engines and updates freeEngines.
func (s *Scheduler) countFreeSlots(now int64) int {
	slots := 0
	s.freeEngines = s.freeEngines[:0]
	for _, e := range s.sortedEngines {
		if !e.backend.Draining && now >= e.avoidedUntil && e.freeSlots() > 0 {
			slots += e.freeSlots()
			s.freeEngines = append(s.freeEngines, e)
		}
	}
	return slots
}

// freeSlots returns the number of runs that the engine can run in addition to its current ones.
func (e *engine) freeSlots() int { return max(e.backend.Slots, 1) - len(e.running) }

// newAssignment returns the assignment of the task's current run to the engine.
func (s *Scheduler) newAssignment(task *Task, backend directory.Backend) Assignment {
	return Assignment{
		Task: task, Backend: backend, Run: task.Run,
		ExpectedEvents: task.remainingEvents(task.Text.Last), Pace: s.engines[backend.ID].pace,
	}
}

func (s *Scheduler) stepsByUrgency() []*stepState {
	states := make([]*stepState, 0, len(s.steps))
	for _, state := range s.steps {
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b *stepState) int {
		if a.step.Priority != b.step.Priority {
			return a.step.Priority - b.step.Priority
		}
		if a.step.DueAt != b.step.DueAt {
			return int(a.step.DueAt - b.step.DueAt)
		}
		if a.step.ID < b.step.ID {
			return -1
		}
		return 1
	})
	return states
}

// requirements determines which engines may run a task. If none can run one task, none can run
// others with the same requirements until a slot becomes free.
type requirements struct {
	services string
	model    string
	// oldestVersion is the oldest version allowed. requiredVersion is the only version allowed if a
	// single-version text has already begun, or 0.
	oldestVersion, requiredVersion uint64
}

func requirementsOf(task *Task, services []string) requirements {
	return requirements{
		services: strings.Join(services, " "), model: task.Step.Model, oldestVersion: task.Step.OldestVersion,
		requiredVersion: task.requiredVersion(),
	}
}

// placement is the result of the search for an engine.
type placement uint8

const (
	// noEngine: no engine can run the task now.
	noEngine placement = iota
	// lateOnly: only engines on which the task would be late can run it.
	lateOnly
	// placed: the task was placed on an engine.
	placed
)

// place chooses an engine for the task and starts a run on it. With inTimeOnly it skips engines
// that are too slow for the task to be in time.
func (s *Scheduler) place(now int64, task *Task, services []string, inTimeOnly bool) (directory.Backend, placement) {
	result := noEngine
	var cheapest, groupEngine *engine
	cheapestCost, groupCost := 0.0, 0.0
	competing := s.competingModels(task)
	for _, e := range s.freeEngines {
		if !s.canRun(now, e, task, services) {
			continue
		}
		if inTimeOnly && s.isLateOn(now, e, task) {
			result = lateOnly
			continue
		}
		cost := s.placeCost(e, task, competing)
		if cheapest == nil || cost < cheapestCost {
			cheapest, cheapestCost = e, cost
		}
		if e.runsGroup(task) && (groupEngine == nil || cost < groupCost) {
			groupEngine, groupCost = e, cost
		}
	}
	if cheapest == nil {
		return directory.Backend{}, result
	}
	if groupEngine != nil && groupCost <= cheapestCost+maxAffinityCost {
		cheapest = groupEngine
	}
	s.startRun(now, cheapest, task)
	return cheapest.backend, placed
}

// startRun assigns a slot of the engine to the task and resets the state of its run.
func (s *Scheduler) startRun(now int64, e *engine, task *Task) {
	e.running[task] = true
	task.State, task.Engine = Running, e.backend.ID
	task.startedAt, task.startedAfter, task.moving = now, task.Text.Last, false
	task.registeredVersion = e.registeredVersion(task.Step.Model)
	task.observedAt, task.observedEvents = 0, 0
}

const (
	// failedCost is added for the engine that last failed the task, and silentCost for one that
	// sends no heartbeats.
	failedCost = 1000
	silentCost = 100
	// contentionCost is added for each other model with waiting samples that the engine could
	// serve, so that samples prefer engines which the other models cannot use.
	contentionCost = 1.5
	// slowCost is multiplied by the engine's slowdown beyond maxNormalSlowdown. It far outweighs
	// the number of runs.
	slowCost = 20
	// millisPerRun is the extra time compared to an engine of median pace that costs as much as one
	// more run on the engine. Long samples thus prefer fast engines and short ones prefer idle
	// engines.
	millisPerRun = 50
)

// competingModels returns the other models with waiting samples.
func (s *Scheduler) competingModels(task *Task) []*modelState {
	var models []*modelState
	for name, model := range s.models {
		if name != task.Step.Model && model.hasWaiting {
			models = append(models, model)
		}
	}
	return models
}

// placeCost returns the cost of running the task on the engine; the cheapest engine is chosen.
func (s *Scheduler) placeCost(e *engine, task *Task, competing []*modelState) float64 {
	cost := float64(len(e.running)) + slowCost*max(s.slowdown(e)-maxNormalSlowdown, 0)
	cost += task.remainingEvents(task.Text.Last) * (s.slowdown(e) - 1) * s.medianPace / millisPerRun
	if task.Attempts > 0 && e.backend.ID == task.Engine {
		cost += failedCost
	}
	if e.backend.Silent {
		cost += silentCost
	}
	for _, model := range competing {
		if e.versions[model.name]+model.allowedLag >= model.newest {
			cost += contentionCost
		}
	}
	return cost
}

// updateWaitingModels records which models have waiting samples.
func (s *Scheduler) updateWaitingModels() {
	for _, model := range s.models {
		model.hasWaiting = false
	}
	for _, task := range s.waiting.tasks {
		if task.State == Waiting {
			s.model(task.Step.Model).hasWaiting = true
		}
	}
}

func (e *engine) runsGroup(task *Task) bool {
	for other := range e.running {
		if other.Step == task.Step && other.Sample.Group == task.Sample.Group {
			return true
		}
	}
	return false
}

// canRun reports whether the engine can run the task now, after the text that the task has.
func (s *Scheduler) canRun(now int64, e *engine, task *Task, services []string) bool {
	return s.canStart(now, e, task, services) && e.canContinue(task)
}

// canStart reports whether the engine can run the task now if it starts over.
func (s *Scheduler) canStart(now int64, e *engine, task *Task, services []string) bool {
	switch {
	case e.freeSlots() <= 0:
		return false
	case e.backend.Draining || now < e.avoidedUntil:
		return false
	case !slices.Contains(services, e.backend.Service):
		return false
	case e.isLoading(task.Step.Model):
		return false
	}
	return e.versions[task.Step.Model] >= task.Step.OldestVersion
}

// canContinue reports whether the engine's version may continue the task's text.
func (e *engine) canContinue(task *Task) bool {
	required := task.requiredVersion()
	return required == 0 || required == e.versions[task.Step.Model]
}
