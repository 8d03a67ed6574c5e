package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dillchute/dillchute/ledger"
)

// A group that its trainer does not wait for comes again in a later step, which
// must wait for it. The later step allows no version as old as those that made
// its texts so far, so that they are made anew, and they are the longest ones.
// So a second run of such a sample begins ahead of that step, as soon as engines
// hold a version that will do and have room to spare. The step that asks for the
// sample again takes the run over where it stands.

const (
	// aheadMillis is how long a sample must be expected to take to be run ahead.
	aheadMillis = 1500
	// aheadRoom is the part of an engine's slots that stays free of runs ahead.
	aheadRoom = 0.25
	// returnSmoothing is the weight of the newest group that came again.
	returnSmoothing = 0.2
)

// noteReturns takes in the step's groups that come again, with the numbers of the
// last steps that had them.
func (m *modelState) noteReturns(step *ledger.Step, again map[string]int) {
	for _, group := range slices.Sorted(maps.Keys(again)) {
		m.noteReturn(step.Number - again[group])
	}
}

// noteReturn takes in after how many steps a group has come again.
func (m *modelState) noteReturn(steps int) {
	if m.returnSteps == 0 {
		m.returnSteps = float64(steps)
		return
	}
	m.returnSteps += returnSmoothing * (float64(steps) - m.returnSteps)
}

// oldestOnReturn returns the oldest version that a step will allow in which
// groups of this one come again, and whether that is known. The oldest version
// that a step allows is one above that of the step before it.
func (s *Scheduler) oldestOnReturn(step *ledger.Step) (uint64, bool) {
	steps := s.model(step.Model).returnSteps
	return step.OldestVersion + uint64(steps+0.5), steps > 0
}

// Ahead starts second runs of samples that will probably come again.
func (s *Scheduler) StartSpeculative(now int64, serviceOf ServicesFunc) []Assignment {
	var assignments []Assignment
	for _, state := range s.stepsInOrder() {
		oldest, known := s.oldestOnReturn(state.step)
		if !known || state.step.SingleVersion || state.progress.reported || s.model(state.step.Model).newest < oldest {
			continue
		}
		for _, task := range s.returning(state) {
			if assignment, ok := s.startAhead(now, task, oldest, serviceOf); ok {
				assignments = append(assignments, assignment)
			}
		}
	}
	return assignments
}

// groupEnd is a group with the time that it is expected to take still.
type groupEnd struct {
	name   string
	millis float64
}

// returning returns the long samples of the groups that will probably be whole
// too late for the trainer, the longest first.
func (s *Scheduler) returning(state *stepState) []*Task {
	late := s.lateGroups(state)
	var tasks []*Task
	for _, task := range state.tasks {
		if late[task.Sample.Group] && s.ahead[task.Sample.ID] == nil && task.remaining(0)*s.middlePace >= aheadMillis {
			tasks = append(tasks, task)
		}
	}
	slices.SortStableFunc(tasks, func(a, b *Task) int { return cmp.Compare(b.remaining(0), a.remaining(0)) })
	return tasks
}

// lateGroups returns the groups that are expected to be whole after the trainer
// has what it waits for.
func (s *Scheduler) lateGroups(state *stepState) map[string]bool {
	ends := map[string]float64{}
	for _, task := range state.tasks {
		if task.State != Finished {
			group := task.Sample.Group
			ends[group] = max(ends[group], task.remaining(task.seen())*s.middlePace)
		}
	}
	var groups []groupEnd
	for _, name := range slices.Sorted(maps.Keys(ends)) {
		if !state.progress.again[name] {
			groups = append(groups, groupEnd{name: name, millis: ends[name]})
		}
	}
	slices.SortStableFunc(groups, func(a, b groupEnd) int { return cmp.Compare(a.millis, b.millis) })
	inTime := max(state.progress.missing-len(state.progress.again), 0)
	late := map[string]bool{}
	for _, group := range groups[min(inTime, len(groups)):] {
		late[group.name] = true
	}
	return late
}

// startAhead begins a second run of the task under the version or a newer one, if
// an engine other than that of the first run has room to spare.
func (s *Scheduler) startAhead(now int64, task *Task, oldest uint64, serviceOf ServicesFunc) (Assignment, bool) {
	if fits(task.Text, &ledger.Step{OldestVersion: oldest}) {
		return Assignment{}, false
	}
	services, ok := serviceOf(task)
	if !ok {
		return Assignment{}, false
	}
	step := *task.Step
	step.OldestVersion = oldest
	second := &Task{Step: &step, Sample: task.Sample, ahead: true, seenBefore: task.seen()}
	best := s.spareEngine(now, second, task.Engine, services)
	if best == nil {
		return Assignment{}, false
	}
	s.ahead[task.Sample.ID] = second
	second.Run, second.Attempts = 1, 1
	s.occupy(now, best, second)
	return s.assignment(second, best.backend), true
}

// spareEngine returns the best engine with room to spare, or nil.
func (s *Scheduler) spareEngine(now int64, task *Task, except string, services []string) *engine {
	var best *engine
	bestCost := 0.0
	rivals := s.rivals(task)
	for _, known := range s.order {
		spare := float64(known.backend.Slots-len(known.running)) > aheadRoom*float64(known.backend.Slots)
		if known.backend.ID == except || !spare || known.backend.Silent || !s.mayRun(now, known, task, services) {
			continue
		}
		if cost := s.placeCost(known, task, rivals); best == nil || cost < bestCost {
			best, bestCost = known, cost
		}
	}
	return best
}

// TakenOver returns the tasks of a step that were runs ahead of it.
func (s *Scheduler) Promoted(step string) []*Task {
	var taken []*Task
	state := s.steps[step]
	if state == nil {
		return nil
	}
	for _, task := range state.tasks {
		if task.takenOver {
			taken = append(taken, task)
		}
	}
	return taken
}

// IsAhead tells whether the task runs ahead of the step that will ask for it.
func (task *Task) IsSpeculative() bool { return task.ahead }

// adopt returns the run ahead of the sample, as a task of the step that asks for
// the sample again, or nil if there is none that it can use.
func (s *Scheduler) adopt(step *ledger.Step, sample *ledger.Sample) *Task {
	task := s.ahead[sample.ID]
	if task == nil {
		return nil
	}
	if task.Step.Model != step.Model || task.Step.OldestVersion < step.OldestVersion || step.SingleVersion {
		task.superseded = true
		return nil
	}
	delete(s.ahead, sample.ID)
	task.Step, task.Sample, task.ahead, task.takenOver = step, sample, false, true
	return task
}

// endAhead takes in the end of a run ahead: what it has produced is kept for the
// step that will ask for the sample.
func (s *Scheduler) endAhead(task *Task, end RunEnd) {
	s.leave(task)
	task.State = Finished
	task.Text.Complete = end == Complete
	delete(s.ahead, task.Sample.ID)
	s.kept.keep(task.Step, task.Sample, task.Text)
	task.Text = Text{}
}

// UnwantedAhead returns the runs ahead that no step has asked for in time, or that
// the step which has cannot use. The caller ends them.
func (s *Scheduler) EndUnusedSpeculative() []*Task {
	var unwanted []*Task
	for _, id := range slices.Sorted(maps.Keys(s.ahead)) {
		task := s.ahead[id]
		model := s.model(task.Step.Model)
		if task.superseded || model.number > task.Step.Number+int(model.returnSteps+0.5) {
			s.endAhead(task, Broken)
			unwanted = append(unwanted, task)
		}
	}
	return unwanted
}
