package scheduler

// progress follows how much of a step is done. The trainer waits for a number
// of whole groups, among which must be those that an earlier step had.
type progress struct {
	// open holds the number of unfinished tasks of each group.
	open map[string]int
	// again holds the groups that an earlier step had and that are not whole.
	again map[string]bool
	// missing is the number of groups that must become whole still.
	missing int
	// taken holds the groups that were whole by the time the trainer had what it
	// waits for. All others may come again in a later step.
	taken map[string]bool
	// reported is set once the trainer has what it waits for.
	reported bool
}

// newProgress returns the progress of a step whose groups, among them those that
// come again, have the given unfinished tasks.
func newProgress(wanted int, groups map[string]bool, again map[string]int, tasks []*Task) *progress {
	if wanted <= 0 || wanted > len(groups) {
		wanted = len(groups)
	}
	p := &progress{open: map[string]int{}, again: map[string]bool{}, taken: map[string]bool{}, missing: wanted}
	for _, task := range tasks {
		p.open[task.Sample.Group]++
	}
	for group := range groups {
		if p.open[group] == 0 {
			p.missing--
			p.taken[group] = true
		} else if _, ok := again[group]; ok {
			p.again[group] = true
		}
	}
	return p
}

// progressOf returns the progress of a step that is taken in.
func progressOf(state *stepState) *progress {
	groups := map[string]bool{}
	for position := range state.step.Samples {
		groups[state.step.Samples[position].Group] = true
	}
	return newProgress(state.step.Wanted, groups, state.again, state.tasks)
}

// finish takes in that a task of the group is finished, and tells whether the
// trainer has what it waits for by that.
func (p *progress) finish(group string) bool {
	p.open[group]--
	if p.open[group] > 0 {
		return false
	}
	if p.reported {
		return false
	}
	p.missing--
	p.taken[group] = true
	delete(p.again, group)
	if p.missing > 0 || len(p.again) > 0 {
		return false
	}
	p.reported = true
	return true
}
