// Package scheduler decides which engine runs each sample, and which engines
// load which version of the weights. It is a pure state machine: the caller
// tells it what exists and what has happened, with the current time in
// milliseconds, and asks what to do.
package scheduler

import (
	"cmp"
	"slices"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
)

const (
	// avoidMillis is how long an engine that failed is avoided, doubled with
	// each further failure in a row up to maxAvoidMillis.
	avoidMillis    = 300
	maxAvoidMillis = 3000
	// fullMillis is how long an engine that refused for lack of room is avoided,
	// doubled with each further refusal in a row up to maxFullMillis.
	fullMillis    = 100
	maxFullMillis = 800
	// groupSlack is how much more than the cheapest engine, in runs, one may cost
	// to be preferred for holding the group's prompt.
	groupSlack = 2
	// paceSmoothing is the weight of the newest run in the usual pace.
	paceSmoothing = 0.02
)

// engine is what is known of one engine.
type engine struct {
	backend  directory.Backend
	versions map[string]uint64
	running  map[*Task]bool
	// loading is the order under way, or nil.
	loading      *LoadOrder
	avoidedUntil int64
	failures     int
	rejections   int
	// pace is the time between events of a run, in milliseconds, 0 if unknown.
	pace float64
	// observed is what runs have shown since pace was made, and recent what it was
	// made of.
	observed, recent paceWindow
}

// Scheduler decides for the steps of one group. Its methods must not be called
// concurrently.
type Scheduler struct {
	engines map[string]*engine
	// order lists the engines by their IDs.
	order []*engine
	// free lists those with room for runs, as of the last look.
	free  []*engine
	steps map[string]*stepState
	// waiting holds the tasks that wait for an engine.
	waiting queue
	models  map[string]*modelState
	// orderAfter is the time before which an engine gets no orders.
	orderAfter map[string]int64
	kept       *keptTexts
	// ahead holds the runs that no step has asked for yet, by their samples' IDs.
	ahead map[string]*Task
	// loadMillis is the usual time that a load takes, shortestLoad the shortest
	// lately, and tokenMillis the time of a predicted token in one slot.
	loadMillis, shortestLoad, tokenMillis float64
	// earlierPaces are those that an earlier leader has observed.
	earlierPaces map[string]float64
	// middlePace is the median of the engines' paces, and fastPace that of a fast engine.
	middlePace, fastPace float64
	// fleet is the number of engines that there are, of which those that are known are used.
	fleet int
	plan  plan
}

type stepState struct {
	step  *ledger.Step
	tasks []*Task
	// again holds the groups that an earlier step had, with the number of the last one.
	again map[string]int
	// progress follows what the trainer waits for.
	progress *progress
}

// New returns a scheduler that knows nothing.
func New() *Scheduler {
	return &Scheduler{
		engines: map[string]*engine{}, steps: map[string]*stepState{}, models: map[string]*modelState{},
		orderAfter: map[string]int64{}, kept: newKeptTexts(), ahead: map[string]*Task{}, loadMillis: defaultLoadMillis, shortestLoad: defaultLoadMillis, tokenMillis: defaultTokenMillis,
		plan: plan{used: map[trainerKey]float64{}},
	}
}

// SyncEngines takes in the engines that exist and the newest versions. It
// returns the tasks that run on engines which are gone: the caller ends their runs.
func (s *Scheduler) SyncEngines(now int64, backends []directory.Backend, newest map[string]uint64) []*Task {
	present := make(map[string]bool, len(backends))
	before := len(s.engines)
	for _, backend := range backends {
		present[backend.ID] = true
		known := s.engines[backend.ID]
		if known == nil {
			known = &engine{versions: map[string]uint64{}, running: map[*Task]bool{}, pace: s.earlierPaces[backend.ID]}
			s.engines[backend.ID] = known
		}
		known.backend = backend
		for _, held := range backend.Models {
			known.versions[held.Model] = max(known.versions[held.Model], held.Version)
		}
	}
	var stopped []*Task
	sameEngines := len(s.engines) == before && len(present) == before
	for id, known := range s.engines {
		if sameEngines {
			break
		}
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
	if !sameEngines {
		s.list()
	}
	s.updatePaces()
	return stopped
}

// list puts the engines in the order of their IDs.
func (s *Scheduler) list() {
	s.order = s.order[:0]
	for _, known := range s.engines {
		s.order = append(s.order, known)
	}
	slices.SortFunc(s.order, func(a, b *engine) int { return cmp.Compare(a.backend.ID, b.backend.ID) })
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
		task := s.adopt(step, sample)
		if task == nil {
			task = &Task{Step: step, Sample: sample, Text: s.firstText(entry, sample)}
		}
		task.Failures = entry.Failures[sample.ID]
		task.seenBefore, task.lengthKnown = s.kept.length(step, sample)
		state.tasks = append(state.tasks, task)
		if task.Text.Complete {
			task.State = Scoring
			whole = append(whole, task)
		}
	}
	state.again = s.kept.comingAgain(step)
	s.model(step.Model).noteReturns(step, state.again)
	s.kept.note(step)
	needed := neededGroups(state)
	for _, task := range state.tasks {
		task.needed = needed[task.Sample.Group]
		if task.State == Waiting {
			s.waiting.add(task)
		}
	}
	state.progress = progressOf(state)
	s.steps[step.ID] = state
	s.plan.stale = true
	s.model(step.Model).noteStep(step)
	return whole
}

// NoteEnded takes in a step that had ended before this scheduler began: groups of
// it that were not whole by then may come again.
func (s *Scheduler) RecordEndedStep(step *ledger.Step) { s.kept.note(step) }

// firstText returns what there is of a sample's text: what an earlier step has
// left, or what an earlier leader has kept of its run.
func (s *Scheduler) firstText(entry *ledger.Entry, sample *ledger.Sample) Text {
	text, ok := s.kept.take(entry.Step, sample)
	if ok && text.Complete {
		return text
	}
	partial := entry.Partials[sample.ID]
	saved := Text{Events: partial.Events, Last: uint64(len(partial.Events)), Versions: partial.Versions}
	if saved.Last > text.Last && fits(saved, entry.Step) {
		return saved
	}
	return text
}

// Steps returns the IDs of the steps that are known.
func (s *Scheduler) StepIDs() []string {
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
	s.plan.stale = true
	for _, task := range state.tasks {
		s.leave(task)
		task.State = Finished
		if !state.progress.taken[task.Sample.Group] {
			s.kept.keep(task.Step, task.Sample, task.Text)
		}
		task.Text = Text{}
	}
	return state.tasks
}

// Keep takes in how far a run had come whose step has ended meanwhile: the
// sample may come again in a later step.
func (s *Scheduler) KeepText(task *Task, text Text) { s.kept.keep(task.Step, task.Sample, text) }

// giveUpMargin is added to the time at which a sample may be given up: the clock
// of the leader that took the step in may have been behind this one.
const giveUpMargin = 5000

// Overdue returns the tasks that may be given up by now and have no result.
func (s *Scheduler) OverdueTasks(now int64) []*Task {
	var overdue []*Task
	for _, state := range s.steps {
		if state.step.GiveUpAt == 0 || now < state.step.GiveUpAt+giveUpMargin {
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
