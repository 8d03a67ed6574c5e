package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/dillchute/dillchute/ledger"
)

// If the open steps need more work than the engines can do by the due times, ordering by latest
// start alone makes all groups complete late, at about the same time. The plan therefore
// chooses groups that can complete in time together, and the others wait behind them. While all
// groups fit, all are chosen and the order does not change.

const (
	// minPlanIntervalMillis is the minimum time between two plans.
	minPlanIntervalMillis = 100
	// graceMillis is how long after its step's due time a group still counts as in time.
	graceMillis = 500
	// lateExtensionMillis is added to the due time of a late group that the trainer waits for,
	// since the trainer submits no further step meanwhile.
	lateExtensionMillis = 4000
	// minTimeFraction is the fraction of the expected time of a group's longest sample that must be
	// left for the group to count as achievable. It is below 1 because samples may be shorter than predicted.
	minTimeFraction = 0.3
	// plannedSlotFraction is the fraction of the slots' time that is planned. The rest allows for samples
	// that are longer than predicted and for the time between two runs in a slot.
	plannedSlotFraction = 0.6
	// startedWeight scales the work of a started or resubmitted group when choosing which group to
	// defer.
	startedWeight = 0.5
	// deferralUsageFraction is the fraction of the largest trainer's usage from which on a trainer's
	// groups may be deferred.
	deferralUsageFraction = 0.9
	// usageDecayMillis is the time over which past usage of engines decays.
	usageDecayMillis = 12000
)

// rank is the rank of a task's group in the plan. Lower ranks start first.
type rank uint8

const (
	// rankChosen groups can complete in time.
	rankChosen rank = iota
	// rankDeferred groups could complete in time, but not together with the chosen ones.
	rankDeferred
	// rankLate groups can no longer complete in time.
	rankLate
)

// trainerKey identifies a party among which engine time is shared: the tenant if there is one, the
// model otherwise.
type trainerKey struct{ tenant, model string }

func trainerOf(step *ledger.Step) trainerKey {
	if step.Tenant != "" {
		return trainerKey{tenant: step.Tenant}
	}
	return trainerKey{model: step.Model}
}

// groupPlan holds what the plan computes for an incomplete group.
type groupPlan struct {
	name    string
	trainer trainerKey
	tasks   []*Task
	// priority is the priority of the step, and dueAt the time by which the group must complete.
	priority int
	dueAt    float64
	// work is the expected slot time that the group still needs, runningWork the part of it in
	// tasks that already run, and longestMillis the time for its longest sample on a fast engine,
	// all in milliseconds.
	work, runningWork, longestMillis float64
	started, resubmitted             bool
	// dueExtension is how much later than its step's due time the group is expected, in
	// milliseconds.
	dueExtension float64
	rank         rank
}

// savings returns the weighted slot time that deferring the group frees.
func (g *groupPlan) savings() float64 {
	if g.started || g.resubmitted {
		return g.work * startedWeight
	}
	return g.work
}

// canMeetDue reports whether the group can complete in time if it starts now on fast engines.
func (g *groupPlan) canMeetDue(now int64) bool {
	return float64(now)+minTimeFraction*g.longestMillis <= g.dueAt
}

// plan is the state of the latest plan and of the trainers' usage.
type plan struct {
	// madeAt is when the plan was made. stale is set when the set of steps has changed since.
	madeAt int64
	stale  bool
	// usage is the decaying slot time that each trainer has used, in milliseconds.
	usage          map[trainerKey]float64
	usageUpdatedAt int64
	counts         PlanCounts
	// chosenWaiting is set while tasks of chosen groups wait because all slots are in use.
	chosenWaiting bool
}

// PlanCounts holds the number of groups that the latest plan chose, deferred for lack of slots, or
// found late.
type PlanCounts struct {
	Chosen, Deferred, Late int
}

// planGroups ranks the groups of the waiting tasks by whether they can complete in time. It does
// nothing while there is a free slot for every waiting task.
func (s *Scheduler) planGroups(now int64, freeSlots int) {
	s.updateUsage(now)
	if len(s.waiting.tasks) <= freeSlots {
		s.plan.counts = PlanCounts{}
		return
	}
	if !s.plan.stale && now-s.plan.madeAt < minPlanIntervalMillis {
		return
	}
	s.plan.madeAt, s.plan.stale = now, false
	var needed, others []*groupPlan
	for _, state := range s.stepsByUrgency() {
		stepNeeded, stepOthers := s.unfinishedGroups(now, state)
		needed = append(needed, stepNeeded...)
		others = append(others, stepOthers...)
	}
	selection := newGroupSelection(now, s.effectiveSlots(), s.plan.usage)
	for _, group := range others {
		selection.reservedWork += group.runningWork
	}
	selection.add(needed)
	selection.addLate(needed)
	selection.add(others)
	s.plan.counts = PlanCounts{}
	for _, group := range slices.Concat(needed, others) {
		s.rankTasks(group)
	}
}

// rankTasks copies the group's rank to its tasks and updates the counts.
func (s *Scheduler) rankTasks(group *groupPlan) {
	switch group.rank {
	case rankChosen:
		s.plan.counts.Chosen++
	case rankDeferred:
		s.plan.counts.Deferred++
	case rankLate:
		s.plan.counts.Late++
	}
	for _, task := range group.tasks {
		task.rank, task.groupWork, task.dueExtension = group.rank, group.work, group.dueExtension
	}
}

// unfinishedGroups returns the step's groups with unfinished texts: those that its trainer is
// expected to wait for, and the others. Resubmitted groups are needed first, then those with the
// least work.
func (s *Scheduler) unfinishedGroups(now int64, state *stepState) (needed, others []*groupPlan) {
	byName := map[string]*groupPlan{}
	pace, fastPace := s.paceOrDefault(), cmp.Or(s.fastPace, defaultPace)
	for _, task := range state.tasks {
		if task.State != Waiting && task.State != Running {
			continue
		}
		group := byName[task.Sample.Group]
		if group == nil {
			_, resubmitted := state.resubmitted[task.Sample.Group]
			group = &groupPlan{
				name: task.Sample.Group, trainer: trainerOf(state.step), priority: state.step.Priority,
				dueAt: deadlineOf(state.step), resubmitted: resubmitted,
			}
			byName[group.name] = group
		}
		group.add(task, pace, fastPace)
	}
	groups := make([]*groupPlan, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		groups = append(groups, byName[name])
	}
	slices.SortStableFunc(groups, func(a, b *groupPlan) int {
		return cmp.Or(compareTrueFirst(a.resubmitted, b.resubmitted), compareTrueFirst(a.canMeetDue(now), b.canMeetDue(now)), cmp.Compare(a.savings(), b.savings()))
	})
	missing := s.missingGroups(state, byName)
	return groups[:min(missing, len(groups))], groups[min(missing, len(groups)):]
}

// missingGroups returns how many of the groups with unfinished texts the trainer waits for.
func (s *Scheduler) missingGroups(state *stepState, unfinishedTexts map[string]*groupPlan) int {
	if state.progress.satisfied {
		return 0
	}
	missing := max(state.progress.missing, len(state.progress.resubmitted))
	for name, count := range state.progress.unfinished {
		if count > 0 && unfinishedTexts[name] == nil {
			missing--
		}
	}
	return max(missing, 0)
}

// deadlineOf returns the time until which the step's groups count as in time, or infinity if the
// step has no due time.
func deadlineOf(step *ledger.Step) float64 {
	if step.DueAt <= step.SubmittedAt {
		return math.Inf(1)
	}
	return float64(step.DueAt + graceMillis)
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// add adds the task's expected work.
func (g *groupPlan) add(task *Task, pace, fastPace float64) {
	events := task.remainingEvents(task.eventsSoFar())
	millis := events * pace
	g.tasks = append(g.tasks, task)
	g.work += millis
	g.longestMillis = max(g.longestMillis, events*fastPace)
	if task.State == Running {
		g.runningWork += millis
	}
	if task.State == Running || task.Text.Last > 0 {
		g.started = true
	}
}

// effectiveSlots returns the number of slots on available engines, weighted by their pace relative
// to the median.
func (s *Scheduler) effectiveSlots() float64 {
	slots := 0.0
	for _, e := range s.sortedEngines {
		if !e.backend.Draining && !e.backend.Silent {
			slots += float64(max(e.backend.Slots, 1)) / s.slowdown(e)
		}
	}
	return slots
}

// updateUsage adds the slot time that trainers have used since the last call.
func (s *Scheduler) updateUsage(now int64) {
	elapsed := float64(now - s.plan.usageUpdatedAt)
	if elapsed < minPlanIntervalMillis {
		return
	}
	s.plan.usageUpdatedAt = now
	remaining := max(1-elapsed/usageDecayMillis, 0)
	for trainer, used := range s.plan.usage {
		if s.plan.usage[trainer] = used * remaining; used < 1 {
			delete(s.plan.usage, trainer)
		}
	}
	elapsed = min(elapsed, usageDecayMillis)
	for _, e := range s.sortedEngines {
		for task := range e.running {
			s.plan.usage[trainerOf(task.Step)] += elapsed
		}
	}
}

// FormatShares returns each trainer's share of recent slot time, formatted for logs.
func (s *Scheduler) FormatShares() string {
	total := 0.0
	shares := map[string]float64{}
	for trainer, used := range s.plan.usage {
		shares[cmp.Or(trainer.tenant, trainer.model)] += used
		total += used
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		fmt.Fprintf(&text, "%s=%.2f ", name, shares[name]/total)
	}
	return strings.TrimSpace(text.String())
}

// PlanCounts returns the group counts of the latest plan.
func (s *Scheduler) PlanCounts() PlanCounts { return s.plan.counts }
