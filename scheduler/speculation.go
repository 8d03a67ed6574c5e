package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dillchute/dillchute/ledger"
)

// A group that a step did not wait for is resubmitted in a later step, which must wait for it. The
// later step does not allow the versions that produced the texts so far, so the samples, which tend
// to be the longest ones, have to run again. A speculative second run of such a sample therefore
// starts before that step, as soon as engines with spare slots hold a version that the step will
// allow. The step that resubmits the sample claims the run.

const (
	// minSpeculativeMillis is the minimum expected duration of samples that are run speculatively.
	minSpeculativeMillis = 1500
	// speculativeReserveFraction is the fraction of an engine's slots that speculative runs leave free.
	speculativeReserveFraction = 0.25
	// resubmissionSmoothing is the weight of the newest resubmission in the moving average.
	resubmissionSmoothing = 0.2
)

// recordResubmissions records the step's resubmitted groups, given the numbers of the latest steps
// that had them.
func (m *modelState) recordResubmissions(step *ledger.Step, groups map[string]int) {
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		m.recordResubmission(step.Number - groups[group])
	}
}

// recordResubmission records after how many steps a group was resubmitted.
func (m *modelState) recordResubmission(steps int) {
	if m.resubmissionSteps == 0 {
		m.resubmissionSteps = float64(steps)
		return
	}
	m.resubmissionSteps += resubmissionSmoothing * (float64(steps) - m.resubmissionSteps)
}

// oldestOnResubmission returns the oldest version allowed by the step that will resubmit groups of
// this one, and whether that is known. The oldest allowed version increases by one with each step.
func (s *Scheduler) oldestOnResubmission(step *ledger.Step) (uint64, bool) {
	steps := s.model(step.Model).resubmissionSteps
	return step.OldestVersion + uint64(steps+0.5), steps > 0
}

// StartSpeculative starts second runs of samples that will probably be resubmitted.
func (s *Scheduler) StartSpeculative(now int64, servicesOf ServicesFunc) []Assignment {
	var assignments []Assignment
	for _, state := range s.stepsByUrgency() {
		oldest, ok := s.oldestOnResubmission(state.step)
		if !ok || state.step.SingleVersion || state.progress.satisfied || s.model(state.step.Model).newest < oldest {
			continue
		}
		for _, task := range s.speculationCandidates(state) {
			if assignment, ok := s.startSpeculativeRun(now, task, oldest, servicesOf); ok {
				assignments = append(assignments, assignment)
			}
		}
	}
	return assignments
}

// groupEnd is a group with its expected remaining time.
type groupEnd struct {
	name   string
	millis float64
}

// speculationCandidates returns the long samples of the groups that will probably complete too late
// for the trainer, the longest first.
func (s *Scheduler) speculationCandidates(state *stepState) []*Task {
	late := s.lateGroups(state)
	var tasks []*Task
	for _, task := range state.tasks {
		if late[task.Sample.Group] && s.speculative[task.Sample.ID] == nil && task.remainingEvents(0)*s.medianPace >= minSpeculativeMillis {
			tasks = append(tasks, task)
		}
	}
	slices.SortStableFunc(tasks, func(a, b *Task) int { return cmp.Compare(b.remainingEvents(0), a.remainingEvents(0)) })
	return tasks
}

// lateGroups returns the groups that are expected to complete after the trainer has the groups that it
// waits for.
func (s *Scheduler) lateGroups(state *stepState) map[string]bool {
	ends := map[string]float64{}
	for _, task := range state.tasks {
		if task.State != Finished {
			group := task.Sample.Group
			ends[group] = max(ends[group], task.remainingEvents(task.eventsSoFar())*s.medianPace)
		}
	}
	var groups []groupEnd
	for _, name := range slices.Sorted(maps.Keys(ends)) {
		if !state.progress.resubmitted[name] {
			groups = append(groups, groupEnd{name: name, millis: ends[name]})
		}
	}
	slices.SortStableFunc(groups, func(a, b groupEnd) int { return cmp.Compare(a.millis, b.millis) })
	inTime := max(state.progress.missing-len(state.progress.resubmitted), 0)
	late := map[string]bool{}
	for _, group := range groups[min(inTime, len(groups)):] {
		late[group.name] = true
	}
	return late
}

// startSpeculativeRun starts a second run of the task under the given version or a newer one, if an
// engine other than that of the first run has spare slots.
func (s *Scheduler) startSpeculativeRun(now int64, task *Task, oldest uint64, servicesOf ServicesFunc) (Assignment, bool) {
	if versionsAllowed(task.Text, &ledger.Step{OldestVersion: oldest}) {
		return Assignment{}, false
	}
	services, ok := servicesOf(task)
	if !ok {
		return Assignment{}, false
	}
	step := *task.Step
	step.OldestVersion = oldest
	second := &Task{Step: &step, Sample: task.Sample, speculative: true, earlierEvents: task.eventsSoFar()}
	best := s.spareEngine(now, second, task.Engine, services)
	if best == nil {
		return Assignment{}, false
	}
	s.speculative[task.Sample.ID] = second
	second.Run, second.Attempts = 1, 1
	s.startRun(now, best, second)
	return s.newAssignment(second, best.backend), true
}

// spareEngine returns the cheapest engine with spare slots, or nil.
func (s *Scheduler) spareEngine(now int64, task *Task, excludedID string, services []string) *engine {
	var best *engine
	bestCost := 0.0
	competing := s.competingModels(task)
	for _, e := range s.sortedEngines {
		hasReserve := float64(e.backend.Slots-len(e.running)) > speculativeReserveFraction*float64(e.backend.Slots)
		if e.backend.ID == excludedID || !hasReserve || e.backend.Silent || !s.canRun(now, e, task, services) {
			continue
		}
		if cost := s.placeCost(e, task, competing); best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// Promoted returns the step's tasks that began as speculative runs.
func (s *Scheduler) Promoted(step string) []*Task {
	var promoted []*Task
	state := s.steps[step]
	if state == nil {
		return nil
	}
	for _, task := range state.tasks {
		if task.promoted {
			promoted = append(promoted, task)
		}
	}
	return promoted
}

// IsSpeculative reports whether no step has claimed the task's run yet.
func (task *Task) IsSpeculative() bool { return task.speculative }

// promote turns the speculative run of the sample into a task of the step that resubmits it. It
// returns nil if there is no run that the step can use.
func (s *Scheduler) promote(step *ledger.Step, sample *ledger.Sample) *Task {
	task := s.speculative[sample.ID]
	if task == nil {
		return nil
	}
	if task.Step.Model != step.Model || task.Step.OldestVersion < step.OldestVersion || step.SingleVersion {
		task.unusable = true
		return nil
	}
	delete(s.speculative, sample.ID)
	task.Step, task.Sample, task.speculative, task.promoted = step, sample, false, true
	return task
}

// endSpeculativeRun ends a speculative run and keeps its text for the step that will resubmit the
// sample.
func (s *Scheduler) endSpeculativeRun(task *Task, end RunEnd) {
	s.release(task)
	task.State = Finished
	task.Text.Complete = end == Complete
	delete(s.speculative, task.Sample.ID)
	s.keptTexts.keep(task.Step, task.Sample, task.Text)
	task.Text = Text{}
}

// EndUnusedSpeculative ends and returns the speculative runs that no step has claimed in time or
// that the resubmitting step cannot use. The caller cancels them.
func (s *Scheduler) EndUnusedSpeculative() []*Task {
	var unused []*Task
	for _, id := range slices.Sorted(maps.Keys(s.speculative)) {
		task := s.speculative[id]
		model := s.model(task.Step.Model)
		if task.unusable || model.stepNumber > task.Step.Number+int(model.resubmissionSteps+0.5) {
			s.endSpeculativeRun(task, Broken)
			unused = append(unused, task)
		}
	}
	return unused
}
