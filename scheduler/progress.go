package scheduler

// progress tracks how much of a step is complete. The trainer waits for a number of complete
// groups, which must include the resubmitted ones.
type progress struct {
	// unfinished holds the number of unfinished tasks of each group.
	unfinished map[string]int
	// resubmitted holds the incomplete groups that an earlier step also had.
	resubmitted map[string]bool
	// missing is the number of groups that still have to complete.
	missing int
	// delivered holds the groups that were complete when the trainer had what it waits for. All
	// others may be resubmitted in a later step.
	delivered map[string]bool
	// satisfied is set once the trainer has what it waits for.
	satisfied bool
}

// newProgress returns the progress of a step with the given groups and unfinished tasks.
func newProgress(wanted int, groups map[string]bool, resubmitted map[string]int, tasks []*Task) *progress {
	if wanted <= 0 || wanted > len(groups) {
		wanted = len(groups)
	}
	p := &progress{unfinished: map[string]int{}, resubmitted: map[string]bool{}, delivered: map[string]bool{}, missing: wanted}
	for _, task := range tasks {
		p.unfinished[task.Sample.Group]++
	}
	for group := range groups {
		if p.unfinished[group] == 0 {
			p.missing--
			p.delivered[group] = true
		} else if _, ok := resubmitted[group]; ok {
			p.resubmitted[group] = true
		}
	}
	return p
}

// newStepProgress returns the progress of a step that is being added.
func newStepProgress(state *stepState) *progress {
	groups := map[string]bool{}
	for position := range state.step.Samples {
		groups[state.step.Samples[position].Group] = true
	}
	return newProgress(state.step.Wanted, groups, state.resubmitted, state.tasks)
}

// finishTask counts a finished task of the group. It reports whether the trainer now has what it
// waits for.
func (p *progress) finishTask(group string) bool {
	p.unfinished[group]--
	if p.unfinished[group] > 0 {
		return false
	}
	if p.satisfied {
		return false
	}
	p.missing--
	p.delivered[group] = true
	delete(p.resubmitted, group)
	if p.missing > 0 || len(p.resubmitted) > 0 {
		return false
	}
	p.satisfied = true
	return true
}
