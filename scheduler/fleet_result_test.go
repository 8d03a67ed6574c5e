package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// fleetResult counts the groups that trainers wait for, for the steps whose deadline has passed.
type fleetResult struct {
	requested, inTime, late int
	// workInTime is the work of each trainer's groups that completed in time.
	workInTime map[string]float64
	groups     map[string]int
	// steps is the number of each trainer's steps.
	steps map[string]int
}

func (f *fleetSimulation) result(from int64) fleetResult {
	r := fleetResult{workInTime: map[string]float64{}, groups: map[string]int{}, steps: map[string]int{}}
	for _, trainer := range f.trainers {
		wanted := int(math.Ceil(fleetWantedFraction * float64(trainer.load.groups)))
		for at := trainer.stepTime(0); at+fleetDeadlineMillis <= f.now; at += fleetIntervalMillis {
			if at >= from {
				r.requested += wanted
			}
		}
		for _, step := range trainer.steps {
			if step.submittedAt+fleetDeadlineMillis > f.now || step.submittedAt < from {
				continue
			}
			inTime, late := f.countGroups(step, &r)
			inTime = min(inTime, step.wanted)
			r.inTime += inTime
			r.late += min(late, step.wanted-inTime)
			r.groups[trainer.load.name] += inTime
			r.steps[trainer.load.name]++
		}
	}
	return r
}

func (f *fleetSimulation) countGroups(step *fleetStep, r *fleetResult) (inTime, late int) {
	for _, group := range step.groups {
		switch {
		case group.unfinished > 0:
		case group.completedAt <= step.submittedAt+fleetDueMillis+fleetGraceMillis:
			inTime++
			r.workInTime[step.trainer.load.name] += group.work
		default:
			late++
		}
	}
	return inTime, late
}

func (trainer *fleetTrainer) stepTime(number int) int64 {
	return trainer.nextAt%fleetIntervalMillis + int64(number)*fleetIntervalMillis
}

// String implements fmt.Stringer.
func (r fleetResult) String() string {
	return fmt.Sprintf("requested %d, in time %d, late %d: %v", r.requested, r.inTime, r.late, r.groups)
}

// fairBound returns how many groups could complete in time if no slot time were lost and each
// trainer spent its fair share on the groups with the least predicted work. It also returns the
// fair shares.
func (f *fleetSimulation) fairBound(from int64) (bound int, shares map[string]float64) {
	works := map[string][]*fleetGroup{}
	demand := map[string]float64{}
	until := int64(0)
	for _, trainer := range f.trainers {
		for _, step := range trainer.steps {
			if step.submittedAt+fleetDeadlineMillis > f.now || step.submittedAt < from {
				continue
			}
			until = max(until, step.submittedAt+fleetIntervalMillis)
			for _, group := range step.smallestGroups() {
				demand[trainer.load.name] += group.work
				works[trainer.load.name] = append(works[trainer.load.name], group)
			}
		}
	}
	shares = fairShares(demand, f.effectiveSlots()*float64(until-from))
	for name, groups := range works {
		slices.SortFunc(groups, comparePredicted)
		remaining := shares[name]
		for _, group := range groups {
			remaining -= group.work
			if remaining < 0 {
				break
			}
			bound++
		}
	}
	return bound, shares
}

// smallestFairShare returns the smallest fraction of its fair share that any trainer had over three
// steps.
func (f *fleetSimulation) smallestFairShare() float64 {
	const steps = 3
	smallest := math.Inf(1)
	for first := steps; first+steps < len(f.servedMillis); first++ {
		demand, served := map[string]float64{}, map[string]float64{}
		for interval := first; interval < first+steps; interval++ {
			for _, trainer := range f.trainers {
				demand[trainer.load.name] += trainer.requiredWork(interval)
				served[trainer.load.name] += f.servedMillis[interval][trainer.load.name]
			}
		}
		for name, share := range fairShares(demand, f.effectiveSlots()*steps*fleetIntervalMillis) {
			if share > 0 {
				smallest = min(smallest, served[name]/share)
			}
		}
	}
	return smallest
}

// requiredWork returns the work of the groups that the trainer's step of the interval waits for.
func (trainer *fleetTrainer) requiredWork(interval int) float64 {
	work := 0.0
	for _, step := range trainer.steps {
		if int(step.submittedAt/fleetIntervalMillis) == interval {
			for _, group := range step.smallestGroups() {
				work += group.work
			}
		}
	}
	return work
}

// smallestGroups returns as many groups as the trainer waits for, those with the least predicted
// work.
func (step *fleetStep) smallestGroups() []*fleetGroup {
	var groups []*fleetGroup
	for _, group := range step.groups {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, comparePredicted)
	return groups[:step.wanted]
}

func comparePredicted(a, b *fleetGroup) int {
	return cmp.Or(cmp.Compare(a.predicted, b.predicted), cmp.Compare(a.work, b.work))
}

// fairShares divides the capacity by max-min fairness: equal shares, with the unused part of a
// share going to the others.
func fairShares(demand map[string]float64, capacity float64) map[string]float64 {
	names := make([]string, 0, len(demand))
	for name := range demand {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(demand[a], demand[b]) })
	shares := map[string]float64{}
	for position, name := range names {
		shares[name] = min(demand[name], capacity/float64(len(names)-position))
		capacity -= shares[name]
	}
	return shares
}
