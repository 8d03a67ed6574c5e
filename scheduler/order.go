package scheduler

import (
	"maps"
	"slices"
)

// groupWork is a group with the tokens that are expected of it.
type groupWork struct {
	name string
	work int
}

// queueOf returns the step's tasks in the order in which they are started. The
// trainer waits for some of the groups only: those with the least work that
// make up the number are needed, and the rest is started last. Among needed
// tasks the longest come first, since the tail decides when a step is whole.
func (s *Scheduler) queueOf(state *stepState) []*Task {
	needed := state.neededGroups()
	queue := slices.Clone(state.tasks)
	slices.SortStableFunc(queue, func(a, b *Task) int {
		if needed[a.Sample.Group] != needed[b.Sample.Group] {
			if needed[a.Sample.Group] {
				return -1
			}
			return 1
		}
		return b.Sample.Predicted - a.Sample.Predicted
	})
	return queue
}

// neededGroups returns the groups that make up the number that the trainer waits for.
func (state *stepState) neededGroups() map[string]bool {
	work := map[string]int{}
	for position := range state.step.Samples {
		sample := &state.step.Samples[position]
		work[sample.Group] += max(sample.Predicted, 1)
	}
	groups := make([]groupWork, 0, len(work))
	for _, name := range slices.Sorted(maps.Keys(work)) {
		groups = append(groups, groupWork{name: name, work: work[name]})
	}
	slices.SortStableFunc(groups, func(a, b groupWork) int { return a.work - b.work })
	wanted := state.step.Wanted
	if wanted <= 0 || wanted > len(groups) {
		wanted = len(groups)
	}
	needed := make(map[string]bool, wanted)
	for _, group := range groups[:wanted] {
		needed[group.name] = true
	}
	return needed
}
