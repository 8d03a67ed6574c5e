package scheduler

import (
	"cmp"
	"maps"
	"slices"
)

// groupWork is a group with its expected remaining events.
type groupWork struct {
	name string
	work float64
	// resubmitted is set if an earlier step also had the group.
	resubmitted bool
}

// overrunPredictionFraction is the expected remainder of a text near or beyond its predicted length,
// as a fraction of the prediction. Predictions are right in the median and off by a factor that varies
// widely (log-normal, about 0.5); this is the median of what is left.
const overrunPredictionFraction = 0.4

// overrunTextFraction is the minimum expected remainder of a text, as a fraction of its current length.
const overrunTextFraction = 0.15

// predictedEvents returns the expected number of events of the complete text. For a resubmitted
// sample it is the known length, or at least the number of events seen earlier.
func (task *Task) predictedEvents() float64 {
	if task.lengthKnown {
		return float64(task.earlierEvents)
	}
	tokens := float64(max(task.Sample.Predicted, 1))
	if maxTokens := task.Sample.MostTokens; maxTokens > 0 {
		tokens = min(tokens, float64(maxTokens))
	}
	return max(tokens/task.tokensPerEvent(), float64(task.earlierEvents), 1)
}

func (task *Task) tokensPerEvent() float64 { return float64(max(task.Step.EventTokens, 1)) }

// remainingEvents returns the expected number of events after the given one.
func (task *Task) remainingEvents(after uint64) float64 {
	predicted := task.predictedEvents()
	if task.lengthKnown {
		return max(predicted-float64(after), 1)
	}
	left := max(predicted-float64(after), overrunPredictionFraction*predicted, overrunTextFraction*float64(after))
	if maxTokens := task.Sample.MostTokens; maxTokens > 0 {
		left = min(left, float64(maxTokens)/task.tokensPerEvent()-float64(after))
	}
	return max(left, 1)
}

// neededGroups returns the groups that the trainer is expected to wait for: resubmitted groups,
// then those with the least work.
func neededGroups(state *stepState) map[string]bool {
	work := map[string]float64{}
	for position := range state.step.Samples {
		work[state.step.Samples[position].Group] += 0
	}
	for _, task := range state.tasks {
		work[task.Sample.Group] += task.remainingEvents(task.Text.Last)
	}
	groups := make([]groupWork, 0, len(work))
	for _, name := range slices.Sorted(maps.Keys(work)) {
		_, resubmitted := state.resubmitted[name]
		groups = append(groups, groupWork{name: name, work: work[name], resubmitted: resubmitted})
	}
	slices.SortStableFunc(groups, func(a, b groupWork) int {
		if a.resubmitted != b.resubmitted {
			if a.resubmitted {
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
