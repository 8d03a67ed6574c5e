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

// Where the open steps ask for more than the engines can do by the due times, the order of the
// latest starts has all groups finish at once, and late. So a plan chooses groups that can be
// whole in time together, and only the others wait behind them. It is made of the same samples
// and the same expected work, so that it chooses all groups, and changes nothing, while all fit.

const (
	// planMillis is the least time between two plans.
	planMillis = 100
	// lateMillis is how long after the due time of its step a group still counts as in time.
	lateMillis = 500
	// afterDueMillis is how long after the due time of its step a late group should be whole: its
	// trainer waits for it, and asks for no further step meanwhile.
	afterDueMillis = 4000
	// possibleShare is the part of its longest sample's expected time that must be left for a group
	// to count as possible: samples may be shorter than predicted, and a group that counts as late
	// waits.
	possibleShare = 0.3
	// plannedRoom is the part of the slots' time that is planned. The rest makes up for samples
	// that are longer than predicted, and for the time between two runs in a slot.
	plannedRoom = 0.6
	// begunWeight is the weight of the work of a group that has begun, against that of one that has
	// not, when a group must be put back.
	begunWeight = 0.5
	// shareTolerance is the part of the largest trainer's share from which on a trainer's groups
	// may be put back: those of a trainer with less are not.
	shareTolerance = 0.9
	// shareMillis is the time in which a trainer's use of the engines fades out of its share.
	shareMillis = 12000
)

// rank is a task's place in the plan. Tasks of a lower rank start first.
type rank uint8

const (
	// rankChosen groups can be whole in time.
	rankChosen rank = iota
	// rankPutBack groups could be whole in time, but not beside those that are chosen.
	rankPutBack
	// rankLate groups can be whole in time no more.
	rankLate
)

// trainerKey names whom the engines' room is shared among: tenants where there are any, models
// otherwise.
type trainerKey struct{ tenant, model string }

func trainerOf(step *ledger.Step) trainerKey {
	if step.Tenant != "" {
		return trainerKey{tenant: step.Tenant}
	}
	return trainerKey{model: step.Model}
}

// groupPlan is a group that is not whole, as the plan sees it.
type groupPlan struct {
	name    string
	trainer trainerKey
	tasks   []*Task
	// priority is that of the step, and dueAt when it must be whole.
	priority int
	dueAt    float64
	// work is the time of slots that it is expected to take still, running the part of it that
	// has a slot, and longest what its longest sample takes, in milliseconds.
	work, running, longest float64
	begun, again           bool
	// lateBy is how much later than its step's due time it is to be whole.
	lateBy float64
	rank   rank
}

// cost is what putting the group back would save.
func (g *groupPlan) cost() float64 {
	if g.begun || g.again {
		return g.work * begunWeight
	}
	return g.work
}

// isPossible tells whether the group can be whole in time if it begins now on fast engines.
func (g *groupPlan) isPossible(now int64) bool {
	return float64(now)+possibleShare*g.longest <= g.dueAt
}

// plan is what was chosen last, and the shares of trainers.
type plan struct {
	// madeAt is when it was made, and stale is set once the steps are others.
	madeAt int64
	stale  bool
	// used is the time of slots that each trainer has had lately, in milliseconds.
	used   map[trainerKey]float64
	usedAt int64
	counts PlanCounts
	// chosenWait is set while tasks of chosen groups wait.
	chosenWait bool
}

// PlanCounts tells of the newest plan how many groups are chosen, are put back for lack of room,
// and are late.
type PlanCounts struct {
	Chosen, Deferred, Late int
}

// planGroups ranks the waiting tasks by what can be whole in time. Nothing is ranked while all
// of them find room.
func (s *Scheduler) planGroups(now int64, room int) {
	s.noteUse(now)
	if len(s.waiting.tasks) <= room {
		s.plan.counts = PlanCounts{}
		return
	}
	if !s.plan.stale && now-s.plan.madeAt < planMillis {
		return
	}
	s.plan.madeAt, s.plan.stale = now, false
	var candidates, others []*groupPlan
	for _, state := range s.stepsInOrder() {
		needed, rest := s.groupsOf(now, state)
		candidates = append(candidates, needed...)
		others = append(others, rest...)
	}
	choice := newChoice(now, s.slotsAtMiddlePace(), s.plan.used)
	for _, group := range others {
		choice.committed += group.running
	}
	choice.take(candidates)
	choice.takeLate(candidates)
	choice.take(others)
	s.plan.counts = PlanCounts{}
	for _, group := range slices.Concat(candidates, others) {
		s.rankTasks(group)
	}
}

// rankTasks tells the group's tasks where they stand.
func (s *Scheduler) rankTasks(group *groupPlan) {
	switch group.rank {
	case rankChosen:
		s.plan.counts.Chosen++
	case rankPutBack:
		s.plan.counts.Deferred++
	case rankLate:
		s.plan.counts.Late++
	}
	for _, task := range group.tasks {
		task.rank, task.groupWork, task.lateBy = group.rank, group.work, group.lateBy
	}
}

// groupsOf returns the step's groups that are not whole: those that its trainer waits for, and
// the others. It waits for those that come again, then those with the least work.
func (s *Scheduler) groupsOf(now int64, state *stepState) (needed, others []*groupPlan) {
	byName := map[string]*groupPlan{}
	pace, fastPace := s.paceOrDefault(), cmp.Or(s.fastPace, defaultPace)
	for _, task := range state.tasks {
		if task.State != Waiting && task.State != Running {
			continue
		}
		group := byName[task.Sample.Group]
		if group == nil {
			_, again := state.again[task.Sample.Group]
			group = &groupPlan{
				name: task.Sample.Group, trainer: trainerOf(state.step), priority: state.step.Priority,
				dueAt: dueOf(state.step), again: again,
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
		return cmp.Or(compareFirst(a.again, b.again), compareFirst(a.isPossible(now), b.isPossible(now)), cmp.Compare(a.cost(), b.cost()))
	})
	missing := s.missing(state, byName)
	return groups[:min(missing, len(groups))], groups[min(missing, len(groups)):]
}

// missing returns how many of the groups with unfinished texts the trainer waits for.
func (s *Scheduler) missing(state *stepState, unfinished map[string]*groupPlan) int {
	if state.progress.reported {
		return 0
	}
	missing := max(state.progress.missing, len(state.progress.again))
	for name, open := range state.progress.open {
		if open > 0 && unfinished[name] == nil {
			missing--
		}
	}
	return max(missing, 0)
}

// dueOf returns until when the step's groups count as in time; a step may have no due time.
func dueOf(step *ledger.Step) float64 {
	if step.DueAt <= step.SubmittedAt {
		return math.Inf(1)
	}
	return float64(step.DueAt + lateMillis)
}

func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// add counts the task's expected work.
func (g *groupPlan) add(task *Task, pace, fastPace float64) {
	events := task.remaining(task.seen())
	millis := events * pace
	g.tasks = append(g.tasks, task)
	g.work += millis
	g.longest = max(g.longest, events*fastPace)
	if task.State == Running {
		g.running += millis
	}
	if task.State == Running || task.Text.Last > 0 {
		g.begun = true
	}
}

// slotsAtMiddlePace returns the slots of the engines that may run samples, those of slower
// engines counting for less.
func (s *Scheduler) slotsAtMiddlePace() float64 {
	slots := 0.0
	for _, known := range s.order {
		if !known.backend.Draining && !known.backend.Silent {
			slots += float64(max(known.backend.Slots, 1)) / s.ratio(known)
		}
	}
	return slots
}

// noteUse takes in the time of slots that trainers have had since the last call.
func (s *Scheduler) noteUse(now int64) {
	elapsed := float64(now - s.plan.usedAt)
	if elapsed < planMillis {
		return
	}
	s.plan.usedAt = now
	fading := max(1-elapsed/shareMillis, 0)
	for trainer, used := range s.plan.used {
		if s.plan.used[trainer] = used * fading; used < 1 {
			delete(s.plan.used, trainer)
		}
	}
	elapsed = min(elapsed, shareMillis)
	for _, known := range s.order {
		for task := range known.running {
			s.plan.used[trainerOf(task.Step)] += elapsed
		}
	}
}

// Shares tells for logs which part of the engines' time each trainer has had lately.
func (s *Scheduler) FormatShares() string {
	total := 0.0
	shares := map[string]float64{}
	for trainer, used := range s.plan.used {
		shares[cmp.Or(trainer.tenant, trainer.model)] += used
		total += used
	}
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		fmt.Fprintf(&text, "%s=%.2f ", name, shares[name]/total)
	}
	return strings.TrimSpace(text.String())
}

// PlanCounts returns how the newest plan has ranked the groups that are not whole.
func (s *Scheduler) PlanCounts() PlanCounts { return s.plan.counts }
