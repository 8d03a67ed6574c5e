// Package scheduler assigns samples to engines and decides which engines load which model versions.
// It is a deterministic state machine without I/O: the caller passes in the engines, steps, events
// and the current time in milliseconds, and carries out the returned decisions.
package scheduler

import (
	"cmp"
	"slices"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
)

const (
	// failureBackoffMillis is how long an engine is avoided after a failure. It doubles with each
	// consecutive failure, up to maxFailureBackoffMillis.
	failureBackoffMillis    = 300
	maxFailureBackoffMillis = 3000
	// rejectionBackoffMillis is how long an engine is avoided after it rejected a run for lack of
	// capacity. It doubles with each consecutive rejection, up to maxRejectionBackoffMillis.
	rejectionBackoffMillis    = 100
	maxRejectionBackoffMillis = 800
	// maxAffinityCost is how much more than the cheapest engine an engine may cost and still be
	// preferred because it already runs the group and so holds its prompt. One unit is one run.
	maxAffinityCost = 2
	// tokenTimeSmoothing is the weight of the newest run in the moving average of the time per
	// token.
	tokenTimeSmoothing = 0.02
)

// engine is the scheduler's state of one engine.
type engine struct {
	backend  directory.Backend
	versions map[string]uint64
	running  map[*Task]bool
	// loading is the load in progress, or nil.
	loading      *LoadOrder
	avoidedUntil int64
	failures     int
	rejections   int
	// pace is the time between events of a run, in milliseconds, or 0 if unknown.
	pace float64
	// observed collects the observations since pace was last computed; recent holds those it was
	// computed from.
	observed, recent paceWindow
}

// Scheduler schedules the steps of one ledger group. Its methods must not be called concurrently.
type Scheduler struct {
	engines map[string]*engine
	// sortedEngines holds the engines ordered by ID.
	sortedEngines []*engine
	// freeEngines holds the engines with free slots, as of the last call to countFreeSlots.
	freeEngines []*engine
	steps       map[string]*stepState
	waiting     queue
	models      map[string]*modelState
	// loadsDeferredUntil holds, by engine name, the time before which the engine gets no load
	// orders.
	loadsDeferredUntil map[string]int64
	keptTexts          *keptTexts
	// registeredVersions holds the highest version of each model that an engine has registered.
	registeredVersions map[string]uint64
	// speculative holds the speculative runs that no step has claimed yet, by sample ID.
	speculative map[string]*Task
	// loadMillis is the average load time, shortestLoadMillis the shortest recent one, and
	// tokenMillis the average time per predicted token in one slot.
	loadMillis, shortestLoadMillis, tokenMillis float64
	// restoredPaces holds the paces that an earlier leader observed, by engine ID.
	restoredPaces map[string]float64
	// medianPace is the median of the engines' paces; fastPace is the pace of a fast engine.
	medianPace, fastPace float64
	// fleetSize is the number of existing engines, including those outside the working set.
	fleetSize int
	plan      plan
}

type stepState struct {
	step  *ledger.Step
	tasks []*Task
	// resubmitted maps each group that an earlier step also had to the number of the latest such
	// step.
	resubmitted map[string]int
	progress    *progress
}

// New returns an empty scheduler.
func New() *Scheduler {
	return &Scheduler{
		engines: map[string]*engine{}, steps: map[string]*stepState{}, models: map[string]*modelState{},
		loadsDeferredUntil: map[string]int64{}, keptTexts: newKeptTexts(), registeredVersions: map[string]uint64{}, speculative: map[string]*Task{}, loadMillis: defaultLoadMillis, shortestLoadMillis: defaultLoadMillis, tokenMillis: defaultTokenMillis,
		plan: plan{usage: map[trainerKey]float64{}},
	}
}

// SyncEngines updates the set of engines and the newest model versions. It returns the tasks that
// were running on removed engines; the caller ends their runs.
func (s *Scheduler) SyncEngines(now int64, backends []directory.Backend, newest map[string]uint64) []*Task {
	present := make(map[string]bool, len(backends))
	before := len(s.engines)
	for _, backend := range backends {
		present[backend.ID] = true
		e := s.engines[backend.ID]
		if e == nil {
			e = &engine{versions: map[string]uint64{}, running: map[*Task]bool{}, pace: s.restoredPaces[backend.ID]}
			s.engines[backend.ID] = e
		}
		e.backend = backend
		for _, held := range backend.Models {
			e.versions[held.Model] = max(e.versions[held.Model], held.Version)
			s.registeredVersions[held.Model] = max(s.registeredVersions[held.Model], held.Version)
		}
	}
	var stopped []*Task
	sameEngines := len(s.engines) == before && len(present) == before
	for id, e := range s.engines {
		if sameEngines {
			break
		}
		if present[id] {
			continue
		}
		for task := range e.running {
			stopped = append(stopped, task)
		}
		delete(s.engines, id)
	}
	for model, version := range newest {
		s.model(model).recordNewest(now, version)
	}
	if !sameEngines {
		s.sortEngines()
	}
	s.updateReferencePaces()
	return stopped
}

// sortEngines rebuilds the list of engines ordered by ID.
func (s *Scheduler) sortEngines() {
	s.sortedEngines = s.sortedEngines[:0]
	for _, e := range s.engines {
		s.sortedEngines = append(s.sortedEngines, e)
	}
	slices.SortFunc(s.sortedEngines, func(a, b *engine) int { return cmp.Compare(a.backend.ID, b.backend.ID) })
}

// AddStep adds a step with the results recorded so far. It returns the tasks whose text an earlier
// step has already completed.
func (s *Scheduler) AddStep(entry *ledger.Entry) []*Task {
	step := entry.Step
	if s.steps[step.ID] != nil || entry.Ended {
		return nil
	}
	state := &stepState{step: step}
	var complete []*Task
	for position := range step.Samples {
		sample := &step.Samples[position]
		if entry.HasResult(sample.ID) {
			continue
		}
		task := s.promote(step, sample)
		if task == nil {
			task = &Task{Step: step, Sample: sample, Text: s.initialText(entry, sample)}
		}
		task.Failures = entry.Failures[sample.ID]
		task.earlierEvents, task.lengthKnown = s.keptTexts.knownLength(step, sample)
		state.tasks = append(state.tasks, task)
		if task.Text.Complete {
			task.State = Scoring
			complete = append(complete, task)
		}
	}
	state.resubmitted = s.keptTexts.resubmittedGroups(step)
	s.model(step.Model).recordResubmissions(step, state.resubmitted)
	s.keptTexts.recordGroups(step)
	needed := neededGroups(state)
	for _, task := range state.tasks {
		task.needed = needed[task.Sample.Group]
		if task.State == Waiting {
			s.waiting.add(task)
		}
	}
	state.progress = newStepProgress(state)
	s.steps[step.ID] = state
	s.plan.stale = true
	s.model(step.Model).recordStep(step)
	return complete
}

// RecordEndedStep records a step that ended before this scheduler started. Its incomplete groups
// may be resubmitted.
func (s *Scheduler) RecordEndedStep(step *ledger.Step) { s.keptTexts.recordGroups(step) }

// initialText returns the text from which the sample's first run continues: the text kept from an
// earlier step, or what an earlier leader has checkpointed.
func (s *Scheduler) initialText(entry *ledger.Entry, sample *ledger.Sample) Text {
	text, ok := s.keptTexts.usableText(entry.Step, sample)
	if ok && text.Complete {
		return text
	}
	partial := entry.Partials[sample.ID]
	saved := Text{Events: partial.Events, Last: uint64(len(partial.Events)), Versions: partial.Versions}
	if saved.Last > text.Last && versionsAllowed(saved, entry.Step) {
		return saved
	}
	return text
}

// StepIDs returns the IDs of the open steps.
func (s *Scheduler) StepIDs() []string {
	ids := make([]string, 0, len(s.steps))
	for id := range s.steps {
		ids = append(ids, id)
	}
	return ids
}

// EndStep removes a step and returns its tasks.
func (s *Scheduler) EndStep(id string) []*Task {
	state := s.steps[id]
	if state == nil {
		return nil
	}
	delete(s.steps, id)
	s.plan.stale = true
	for _, task := range state.tasks {
		s.release(task)
		task.State = Finished
		if !state.progress.delivered[task.Sample.Group] {
			s.keptTexts.keep(task.Step, task.Sample, task.Text)
		}
		task.Text = Text{}
	}
	return state.tasks
}

// KeepText keeps the text of a run whose step has ended, in case a later step resubmits the sample.
func (s *Scheduler) KeepText(task *Task, text Text) { s.keptTexts.keep(task.Step, task.Sample, text) }

// giveUpMargin is added to the time at which a sample may be given up. It allows for clock skew
// between this leader and the one that accepted the step.
const giveUpMargin = 5000

// OverdueTasks returns the unfinished tasks whose give-up time has passed.
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

// release frees the task's slot on its engine.
func (s *Scheduler) release(task *Task) {
	if e := s.engines[task.Engine]; e != nil {
		delete(e.running, task)
	}
}
