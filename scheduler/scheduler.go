// Package scheduler decides which engine runs each sample, and which engines
// load which version of the weights. It is a pure state machine: the caller
// tells it what exists and what has happened, with the current time in
// milliseconds, and asks what to do.
package scheduler

import (
	"slices"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
)

const (
	// avoidMillis is how long an engine that failed is avoided, doubled with
	// each further failure in a row up to maxAvoidMillis.
	avoidMillis    = 300
	maxAvoidMillis = 3000
	// fullMillis is how long an engine that refused for lack of room is avoided.
	fullMillis = 100
	// groupSlack is how many more runs an engine may have than the least loaded
	// one to be preferred for holding the group's prompt.
	groupSlack = 2
	// paceSmoothing is the weight of the newest run in the usual pace.
	paceSmoothing = 0.02
)

// Text is what a sample has produced so far.
type Text struct {
	// Events holds the data of the events in order; the newest has ID Last.
	Events   []string
	Last     uint64
	Versions []uint64
	// Whole is set once the engine has ended the text.
	Whole bool
}

// AddVersion notes that the version made an event.
func (t *Text) AddVersion(version uint64) {
	if version != 0 && !slices.Contains(t.Versions, version) {
		t.Versions = append(t.Versions, version)
	}
}

// TaskState is where a task stands.
type TaskState uint8

// The states of a task.
const (
	Waiting TaskState = iota
	Running
	// Scoring tasks have a whole text and wait for its score.
	Scoring
	// Finished tasks have a result that is committed or under way.
	Finished
)

// Task is one sample on its way.
type Task struct {
	Step   *ledger.Step
	Sample *ledger.Sample
	State  TaskState
	Text   Text
	// Engine is the one that runs the task, or ran it last.
	Engine string
	// Failures counts failed runs; Attempts all runs.
	Failures int
	Attempts int
	// Run counts the runs, so that the end of an earlier one is known as such.
	Run uint64
	// moving is set while the run is ended because its engine is slow, and moves
	// counts such ends.
	moving bool
	moves  int
	// needed is set on tasks of groups that the trainer waits for.
	needed bool
	// startedAt is when the current run began, and from the event it began after.
	startedAt int64
	from      uint64
}

// engine is what is known of one engine.
type engine struct {
	backend  directory.Backend
	versions map[string]uint64
	running  map[*Task]bool
	// loading is the order under way, or nil.
	loading      *Order
	avoidedUntil int64
	failures     int
	// pace is the time between events of a run, in milliseconds, 0 if unknown.
	pace float64
	// observed and observedEvents are times and events of runs since pace was made.
	observed, observedEvents float64
}

// Scheduler decides for the steps of one group. Its methods must not be called
// concurrently.
type Scheduler struct {
	engines map[string]*engine
	// order lists the engines' IDs, sorted.
	order  []string
	steps  map[string]*stepState
	models map[string]*modelState
	// orderAfter is the time before which an engine gets no orders.
	orderAfter map[string]int64
	kept       *keptTexts
	// loadMillis is the usual time that a load takes, shortestLoad the shortest
	// lately, and tokenMillis the time of a predicted token in one slot.
	loadMillis, shortestLoad, tokenMillis float64
	// middlePace is the median of the engines' paces.
	middlePace float64
}

type stepState struct {
	step  *ledger.Step
	tasks []*Task
	// queue holds the tasks in the order in which they are started.
	queue []*Task
}

// New returns a scheduler that knows nothing.
func New() *Scheduler {
	return &Scheduler{
		engines: map[string]*engine{}, steps: map[string]*stepState{}, models: map[string]*modelState{},
		orderAfter: map[string]int64{}, kept: newKeptTexts(), loadMillis: defaultLoadMillis, shortestLoad: defaultLoadMillis, tokenMillis: defaultTokenMillis,
	}
}

// SyncEngines takes in the engines that exist and the newest versions. It
// returns the tasks that ran on engines which are gone; they wait again.
func (s *Scheduler) SyncEngines(now int64, backends []directory.Backend, newest map[string]uint64) []*Task {
	present := make(map[string]bool, len(backends))
	for _, backend := range backends {
		present[backend.ID] = true
		known := s.engines[backend.ID]
		if known == nil {
			known = &engine{versions: map[string]uint64{}, running: map[*Task]bool{}}
			s.engines[backend.ID] = known
		}
		known.backend = backend
		for _, held := range backend.Models {
			known.versions[held.Model] = max(known.versions[held.Model], held.Version)
		}
	}
	var stopped []*Task
	for id, known := range s.engines {
		if present[id] {
			continue
		}
		for task := range known.running {
			stopped = append(stopped, task)
		}
		delete(s.engines, id)
	}
	for model, version := range newest {
		s.model(model).noteNewest(now, version)
	}
	s.order = s.order[:0]
	for id := range s.engines {
		s.order = append(s.order, id)
	}
	slices.Sort(s.order)
	return stopped
}

// AddStep takes in a step whose results so far are listed. It returns the tasks
// whose text is whole already: an earlier step has left it.
func (s *Scheduler) AddStep(entry *ledger.Entry) []*Task {
	step := entry.Step
	if s.steps[step.ID] != nil || entry.Ended {
		return nil
	}
	state := &stepState{step: step}
	var whole []*Task
	for position := range step.Samples {
		sample := &step.Samples[position]
		if entry.Listed(sample.ID) {
			continue
		}
		task := &Task{Step: step, Sample: sample}
		state.tasks = append(state.tasks, task)
		if text, ok := s.kept.take(step, sample); ok {
			task.Text = text
			if text.Whole {
				task.State = Scoring
				whole = append(whole, task)
			}
		}
	}
	s.kept.note(step)
	state.queue = s.queueOf(state)
	s.steps[step.ID] = state
	s.model(step.Model).noteStep(step)
	return whole
}

// Has tells whether the step is known.
func (s *Scheduler) Has(step string) bool { return s.steps[step] != nil }

// Steps returns the IDs of the steps that are known.
func (s *Scheduler) Steps() []string {
	ids := make([]string, 0, len(s.steps))
	for id := range s.steps {
		ids = append(ids, id)
	}
	return ids
}

// EndStep forgets a step and returns its tasks.
func (s *Scheduler) EndStep(id string) []*Task {
	state := s.steps[id]
	if state == nil {
		return nil
	}
	delete(s.steps, id)
	for _, task := range state.tasks {
		s.leave(task)
		task.State = Finished
		s.kept.keep(task.Step, task.Sample, task.Text)
	}
	return state.tasks
}

// Keep takes in how far a run had come whose step has ended meanwhile: the
// sample may come again in a later step.
func (s *Scheduler) Keep(task *Task, text Text) { s.kept.keep(task.Step, task.Sample, text) }

// Overdue returns the tasks that may be given up by now and have no result.
func (s *Scheduler) Overdue(now int64) []*Task {
	var overdue []*Task
	for _, state := range s.steps {
		if state.step.GiveUpAt == 0 || now < state.step.GiveUpAt {
			continue
		}
		for _, task := range state.tasks {
			if task.State != Finished {
				overdue = append(overdue, task)
			}
		}
	}
	return overdue
}

// leave takes the task off its engine.
func (s *Scheduler) leave(task *Task) {
	if known := s.engines[task.Engine]; known != nil {
		delete(known.running, task)
	}
}

// Assignment is a task to be run on an engine.
type Assignment struct {
	Task    *Task
	Backend directory.Backend
	Run     uint64
	// moving is set while the run is ended because its engine is slow, and moves
	// counts such ends.
	moving bool
	moves  int
	// needed is set on tasks of groups that the trainer waits for.
	needed bool
	// startedAt is when the current run began, and from the event it began after.
	startedAt int64
	from      uint64
}

// ServiceOf tells the services that may run a sample, and whether a route leads there.
type ServiceOf func(task *Task) (services []string, ok bool)

// Assign starts as many waiting tasks as there is room for: first those that
// the trainers wait for. More urgent and then earlier steps come first, and in a
// step the order of its queue.
func (s *Scheduler) Assign(now int64, serviceOf ServiceOf) []Assignment {
	s.noteWaiting()
	steps := s.stepsInOrder()
	var assignments []Assignment
	for _, needed := range []bool{true, false} {
		for _, state := range steps {
			assignments = append(assignments, s.assignStep(now, state, needed, serviceOf)...)
		}
	}
	return assignments
}

// assignStep starts the step's tasks that are needed, or those that are not.
func (s *Scheduler) assignStep(now int64, state *stepState, needed bool, serviceOf ServiceOf) []Assignment {
	var assignments []Assignment
	kept := state.queue[:0]
	for _, task := range state.queue {
		if task.State != Waiting {
			continue
		}
		if task.needed != needed {
			kept = append(kept, task)
			continue
		}
		backend, ok := s.place(now, task, serviceOf)
		if !ok {
			kept = append(kept, task)
			continue
		}
		task.Run++
		task.Attempts++
		assignments = append(assignments, Assignment{Task: task, Backend: backend, Run: task.Run})
	}
	state.queue = kept
	return assignments
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

// place chooses an engine for the task and counts it there.
func (s *Scheduler) place(now int64, task *Task, serviceOf ServiceOf) (directory.Backend, bool) {
	services, ok := serviceOf(task)
	if !ok {
		return directory.Backend{}, false
	}
	var least, mate *engine
	leastCost := 0.0
	for _, id := range s.order {
		known := s.engines[id]
		if !s.mayRun(now, known, task, services) {
			continue
		}
		if cost := s.placeCost(known, task); least == nil || cost < leastCost {
			least, leastCost = known, cost
		}
		if known.runsGroup(task) && (mate == nil || len(known.running) < len(mate.running)) {
			mate = known
		}
	}
	if least == nil {
		return directory.Backend{}, false
	}
	if mate != nil && len(mate.running) <= len(least.running)+groupSlack {
		least = mate
	}
	least.running[task] = true
	task.State, task.Engine = Running, least.backend.ID
	task.startedAt, task.from, task.moving = now, task.Text.Last, false
	return least.backend, true
}

const (
	// failedCost is added for the engine that has just failed the task, and
	// silentCost for one that sends no heartbeats.
	failedCost = 1000
	silentCost = 100
	// contentionCost is added for each other model with waiting samples that
	// the engine could serve as well: what can run elsewhere leaves it to them.
	contentionCost = 1.5
)

// placeCost rates an engine that may run the task; the lowest is chosen.
func (s *Scheduler) placeCost(known *engine, task *Task) float64 {
	cost := float64(len(known.running)+1) * s.ratio(known)
	if task.Attempts > 0 && known.backend.ID == task.Engine {
		cost += failedCost
	}
	if known.backend.Silent {
		cost += silentCost
	}
	for name, model := range s.models {
		if name != task.Step.Model && model.waiting && known.versions[name]+model.lag >= model.newest {
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
	for _, state := range s.steps {
		if len(state.queue) > 0 {
			s.model(state.step.Model).waiting = true
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
	version := known.versions[task.Step.Model]
	switch {
	case !slices.Contains(services, known.backend.Service):
		return false
	case known.backend.Draining || now < known.avoidedUntil:
		return false
	case known.loading != nil && known.loading.Model == task.Step.Model:
		return false
	case len(known.running) >= max(known.backend.Slots, 1):
		return false
	case version < task.Step.OldestVersion:
		return false
	}
	return !task.Step.SingleVersion || len(task.Text.Versions) == 0 || task.Text.Versions[0] == version
}

// RunEnd is how a run ended.
type RunEnd uint8

// The ends of a run.
const (
	// Complete: the text is whole.
	Complete RunEnd = iota + 1
	// Broken: the stream broke off; what came may be continued.
	Broken
	// Rejected: the engine did not run the sample for lack of room.
	Rejected
	// Elsewhere: another engine has the address.
	Elsewhere
	// Unreachable: the engine cannot be reached.
	Unreachable
	// Failed: the engine ran the sample and failed.
	Failed
	// Impossible: the sample can never be done.
	Impossible
)

// RunEnded takes in the end of a run. It tells whether the run was the task's
// current one; if so the task's state says what comes next.
func (s *Scheduler) RunEnded(now int64, task *Task, run uint64, end RunEnd) bool {
	if task.Run != run || task.State != Running {
		return false
	}
	s.leave(task)
	known := s.engines[task.Engine]
	task.State = Waiting
	switch end {
	case Complete:
		known.recover()
		s.observePace(now, task)
		task.Text.Whole = true
		task.State = Scoring
		if !s.usable(task) {
			s.restart(task)
		}
	case Failed:
		task.Failures++
		task.Text = Text{}
	case Impossible:
		task.State = Finished
	case Rejected:
		known.avoid(now, fullMillis)
	case Broken, Unreachable, Elsewhere:
		if !task.moving {
			known.fail(now)
		}
	}
	if task.State == Waiting {
		s.requeue(task)
	}
	return true
}

// observePace takes in how long a whole run took.
func (s *Scheduler) observePace(now int64, task *Task) {
	if task.from > 0 {
		return
	}
	pace := float64(now-task.startedAt) / float64(max(task.Sample.Predicted, 1))
	s.tokenMillis += paceSmoothing * (pace - s.tokenMillis)
}

// usable tells whether the text was made under versions that the step allows.
func (s *Scheduler) usable(task *Task) bool {
	if task.Step.SingleVersion && len(task.Text.Versions) > 1 {
		return false
	}
	for _, version := range task.Text.Versions {
		if version < task.Step.OldestVersion {
			return false
		}
	}
	return len(task.Text.Versions) > 0
}

func (s *Scheduler) restart(task *Task) {
	task.Text = Text{}
	task.State = Waiting
}

// requeue puts the task at the front of its step's queue: it has been waited
// for the longest.
func (s *Scheduler) requeue(task *Task) {
	if state := s.steps[task.Step.ID]; state != nil {
		state.queue = slices.Insert(state.queue, 0, task)
	}
}

// Requeue has a task that was scored in vain, or whose engine is gone, run again.
func (s *Scheduler) Requeue(task *Task) {
	if task.State == Finished {
		return
	}
	s.leave(task)
	task.Run++
	task.State = Waiting
	s.requeue(task)
}

// Finish marks a task as done.
func (s *Scheduler) Finish(task *Task) {
	s.leave(task)
	task.State = Finished
}

func (e *engine) avoid(now, millis int64) {
	if e != nil {
		e.avoidedUntil = max(e.avoidedUntil, now+millis)
	}
}

func (e *engine) fail(now int64) {
	if e == nil {
		return
	}
	e.avoid(now, min(int64(avoidMillis)<<min(e.failures, 8), maxAvoidMillis))
	e.failures++
}

func (e *engine) recover() {
	if e != nil {
		e.failures = 0
	}
}
