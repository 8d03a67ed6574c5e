package scheduler

import (
	"maps"
	"slices"
)

// groupWork is a group with the tokens that are expected of it.
type groupWork struct {
	name string
	work int
	// again is set on groups that an earlier step had.
	again bool
}

// queueOf returns the step's tasks in the order in which they are started. The
// trainer waits for some of the groups only: those with the least work that
// make up the number are needed, and the rest is started last. Among needed
// tasks the longest come first, since the tail decides when a step is whole.
func (s *Scheduler) queueOf(state *stepState) []*Task {
	needed := s.neededGroups(state)
	queue := slices.Clone(state.tasks)
	for _, task := range queue {
		task.needed = needed[task.Sample.Group]
	}
	slices.SortStableFunc(queue, func(a, b *Task) int {
		if a.needed != b.needed {
			if a.needed {
				return -1
			}
			return 1
		}
		return b.remaining() - a.remaining()
	})
	return queue
}

// remaining returns the expected number of tokens that are still to come. What
// has run for longer than predicted will run for some time more.
func (task *Task) remaining() int {
	return max(task.Sample.Predicted-int(task.Text.Last), 1)
}

// neededGroups returns the groups that make up the number that the trainer
// waits for: those that come again, then those with the least work.
func (s *Scheduler) neededGroups(state *stepState) map[string]bool {
	work := map[string]int{}
	for position := range state.step.Samples {
		work[state.step.Samples[position].Group] += 0
	}
	for _, task := range state.tasks {
		work[task.Sample.Group] += task.remaining()
	}
	groups := make([]groupWork, 0, len(work))
	for _, name := range slices.Sorted(maps.Keys(work)) {
		groups = append(groups, groupWork{
			name: name, work: work[name], again: s.kept.cameBefore(state.step, name),
		})
	}
	slices.SortStableFunc(groups, func(a, b groupWork) int {
		if a.again != b.again {
			if a.again {
				return -1
			}
			return 1
		}
		return a.work - b.work
	})
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
