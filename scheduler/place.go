package scheduler

import (
	"slices"
	"strings"

	"github.com/dillchute/dillchute/directory"
)

// Assignment is a task to be run on an engine.
type Assignment struct {
	Task    *Task
	Backend directory.Backend
	Run     uint64
	// Expected is the number of events that are expected to come, and Pace the
	// engine's time between events in milliseconds, 0 if unknown.
	ExpectedEvents, Pace float64
	// Spare is how much later the run could have begun, in milliseconds, for its step
	// to be whole when due, by which waiting tasks are ordered; negative if it is late.
	SlackMillis int64
}

// ServiceOf tells the services that may run a sample, and whether a route leads there.
type ServicesFunc func(task *Task) (services []string, ok bool)

// Assign starts as many waiting tasks as there is room for, the most urgent first.
func (s *Scheduler) Assign(now int64, serviceOf ServicesFunc) []Assignment {
	s.noteWaiting()
	room := s.room(now)
	if room == 0 {
		s.noteScarcity(true)
		return nil
	}
	s.planGroups(now, room)
	s.waiting.sort(s.paceOrDefault())
	pass := assigning{
		scheduler: s, now: now, room: room, serviceOf: serviceOf, unplaced: map[demand]bool{},
		inTimeOnly: len(s.waiting.tasks) > room,
	}
	s.waiting.take(pass.offer)
	if pass.held {
		pass.inTimeOnly = false
		s.waiting.take(pass.offer)
	}
	s.noteScarcity(len(pass.assignments) == room)
	return pass.assignments
}

// noteScarcity finds out whether tasks of chosen groups wait since the engines are full.
func (s *Scheduler) noteScarcity(full bool) {
	s.plan.chosenWait = full && slices.ContainsFunc(s.waiting.tasks, func(task *Task) bool {
		return task.State == Waiting && task.rank == rankChosen
	})
}

// triesKind tells whether the task's kind is suspected and a sample of it runs already: they run
// one at a time, so that each knows what the one before has done, until one of them is whole.
func (s *Scheduler) triesKind(task *Task) bool {
	if !task.KindSuspected {
		return false
	}
	kind := task.Subject().Kind
	for _, known := range s.engines {
		for other := range known.running {
			if other.KindSuspected && other.Subject().Kind == kind {
				return true
			}
		}
	}
	return false
}

// room returns the number of slots in which runs could begin, and notes the engines that have them.
func (s *Scheduler) room(now int64) int {
	room := 0
	s.free = s.free[:0]
	for _, known := range s.order {
		if !known.backend.Draining && now >= known.avoidedUntil && known.freeSlots() > 0 {
			room += known.freeSlots()
			s.free = append(s.free, known)
		}
	}
	return room
}

// freeSlots returns the number of further runs that the engine has room for.
func (e *engine) freeSlots() int { return max(e.backend.Slots, 1) - len(e.running) }

// assignment returns the task's current run with what it was decided by.
func (s *Scheduler) assignment(task *Task, backend directory.Backend) Assignment {
	return Assignment{
		Task: task, Backend: backend, Run: task.Run,
		ExpectedEvents: task.remaining(task.Text.Last), Pace: s.engines[backend.ID].pace,
	}
}

func (s *Scheduler) stepsInOrder() []*stepState {
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

// demand is what decides whether an engine may run a task. Where there is none for one
// task there is none for others with the same demand, until room is made.
type demand struct {
	services string
	model    string
	// oldest is the oldest version that will do, and only the one that must be held
	// where a text has begun that allows one alone, or 0.
	oldest, only uint64
}

func demandOf(task *Task, services []string) demand {
	wanted := demand{services: strings.Join(services, " "), model: task.Step.Model, oldest: task.Step.OldestVersion}
	if task.Step.SingleVersion && len(task.Text.Versions) > 0 {
		wanted.only = task.Text.Versions[0]
	}
	return wanted
}

// placing is what became of the search for an engine.
type placing uint8

const (
	// noEngine may run the task now.
	noEngine placing = iota
	// onlyLate engines may, on which it would be late.
	onlyLate
	// placed on an engine.
	placed
)

// place chooses an engine for the task and counts it there. With inTimeOnly it passes over engines
// that are too slow for the task to be in time.
func (s *Scheduler) place(now int64, task *Task, services []string, inTimeOnly bool) (directory.Backend, placing) {
	found := noEngine
	var least, mate *engine
	leastCost, mateCost := 0.0, 0.0
	rivals := s.rivals(task)
	for _, known := range s.free {
		if !s.mayRun(now, known, task, services) {
			continue
		}
		if inTimeOnly && s.isLateOn(now, known, task) {
			found = onlyLate
			continue
		}
		cost := s.placeCost(known, task, rivals)
		if least == nil || cost < leastCost {
			least, leastCost = known, cost
		}
		if known.runsGroup(task) && (mate == nil || cost < mateCost) {
			mate, mateCost = known, cost
		}
	}
	if least == nil {
		return directory.Backend{}, found
	}
	if mate != nil && mateCost <= leastCost+groupSlack {
		least = mate
	}
	s.occupy(now, least, task)
	return least.backend, placed
}

// occupy counts the task on the engine.
func (s *Scheduler) occupy(now int64, known *engine, task *Task) {
	known.running[task] = true
	task.State, task.Engine = Running, known.backend.ID
	task.startedAt, task.from, task.moving = now, task.Text.Last, false
	task.observedAt, task.observedEvents = 0, 0
}

const (
	// failedCost is added for the engine that has just failed the task, and
	// silentCost for one that sends no heartbeats.
	failedCost = 1000
	silentCost = 100
	// contentionCost is added for each other model with waiting samples that
	// the engine could serve as well: what can run elsewhere leaves it to them.
	contentionCost = 1.5
	// slowCost is added for each time that an engine is slower than the middle
	// one, beyond what is usual: how many samples run there matters far less.
	slowCost = 20
	// runMillis is how much longer than on the engine of middle pace a sample may
	// take, in milliseconds, to weigh as much as one more run on the engine: long
	// samples go to the fastest engines, and short ones to the emptiest.
	runMillis = 50
)

// rivals returns the other models with samples that wait.
func (s *Scheduler) rivals(task *Task) []*modelState {
	var rivals []*modelState
	for name, model := range s.models {
		if name != task.Step.Model && model.waiting {
			rivals = append(rivals, model)
		}
	}
	return rivals
}

// placeCost rates an engine that may run the task, beside the rivals; the lowest is chosen.
func (s *Scheduler) placeCost(known *engine, task *Task, rivals []*modelState) float64 {
	cost := float64(len(known.running)) + slowCost*max(s.ratio(known)-usualRatio, 0)
	cost += task.remaining(task.Text.Last) * (s.ratio(known) - 1) * s.middlePace / runMillis
	if task.Attempts > 0 && known.backend.ID == task.Engine {
		cost += failedCost
	}
	if known.backend.Silent {
		cost += silentCost
	}
	for _, model := range rivals {
		if known.versions[model.name]+model.lag >= model.newest {
			cost += contentionCost
		}
	}
	return cost
}

// noteWaiting finds out which models have samples that wait.
func (s *Scheduler) noteWaiting() {
	for _, model := range s.models {
		model.waiting = false
	}
	for _, task := range s.waiting.tasks {
		if task.State == Waiting {
			s.model(task.Step.Model).waiting = true
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

func (s *Scheduler) mayRun(now int64, known *engine, task *Task, services []string) bool {
	switch {
	case known.freeSlots() <= 0:
		return false
	case known.backend.Draining || now < known.avoidedUntil:
		return false
	case !slices.Contains(services, known.backend.Service):
		return false
	case known.loads(task.Step.Model):
		return false
	}
	version := known.versions[task.Step.Model]
	if version < task.Step.OldestVersion {
		return false
	}
	return !task.Step.SingleVersion || len(task.Text.Versions) == 0 || task.Text.Versions[0] == version
}
