package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// groupWork is a group with the events that are expected of it.
type groupWork struct {
	name string
	work float64
	// again is set on groups that an earlier step had.
	again bool
}

// overrunShare is the part of a prediction that is expected to come still of a
// text that is about as long as predicted, or longer. Predictions are right in
// the median and off by a factor that varies widely (log-normal, about 0.5), of
// which this is the median of what is left.
const overrunShare = 0.4

// overdueShare is the part of what is there of a text that is expected to come
// still, however far it is beyond its prediction.
const overdueShare = 0.15

// predicted returns the expected number of events of the whole text. A sample
// that comes again has the length that it had, or more than was seen of it.
func (task *Task) predicted() float64 {
	if task.lengthKnown {
		return float64(task.seenBefore)
	}
	tokens := float64(max(task.Sample.Predicted, 1))
	if most := task.Sample.MostTokens; most > 0 {
		tokens = min(tokens, float64(most))
	}
	return max(tokens/task.eventTokens(), float64(task.seenBefore), 1)
}

func (task *Task) eventTokens() float64 { return float64(max(task.Step.EventTokens, 1)) }

// remaining returns the expected number of events that are still to come after
// the given number.
func (task *Task) remaining(after uint64) float64 {
	predicted := task.predicted()
	if task.lengthKnown {
		return max(predicted-float64(after), 1)
	}
	left := max(predicted-float64(after), overrunShare*predicted, overdueShare*float64(after))
	if most := task.Sample.MostTokens; most > 0 {
		left = min(left, float64(most)/task.eventTokens()-float64(after))
	}
	return max(left, 1)
}

// neededGroups returns the groups that make up the number that the trainer
// waits for: those that come again, then those with the least work.
func neededGroups(state *stepState) map[string]bool {
	work := map[string]float64{}
	for position := range state.step.Samples {
		work[state.step.Samples[position].Group] += 0
	}
	for _, task := range state.tasks {
		work[task.Sample.Group] += task.remaining(task.Text.Last)
	}
	groups := make([]groupWork, 0, len(work))
	for _, name := range slices.Sorted(maps.Keys(work)) {
		_, again := state.again[name]
		groups = append(groups, groupWork{name: name, work: work[name], again: again})
	}
	slices.SortStableFunc(groups, func(a, b groupWork) int {
		if a.again != b.again {
			if a.again {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.work, b.work)
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
