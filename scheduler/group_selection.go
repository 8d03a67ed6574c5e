package scheduler

import (
	"cmp"
	"container/heap"
	"slices"
)

// groupSelection selects groups that can complete in time together. Groups are added in order of
// their due times. When the selected groups need more slot time than there is until a due time, the
// selection defers the group that frees the most, among the trainers with the largest usage.
type groupSelection struct {
	now   int64
	slots float64
	// reservedWork is the slot time that running tasks of unselected groups still take.
	reservedWork float64
	// workByDue holds the work of the chosen groups, ordered by due time.
	workByDue []dueWork
	shares    map[trainerKey]*trainerShare
}

// dueWork is the slot time that the chosen groups with one due time need.
type dueWork struct{ at, work float64 }

// trainerShare is the slot time that a trainer has used or is planned to use, with its chosen
// groups that can still be deferred.
type trainerShare struct {
	millis float64
	chosen deferralHeap
}

func newGroupSelection(now int64, slots float64, usage map[trainerKey]float64) *groupSelection {
	c := &groupSelection{now: now, slots: slots * plannedSlotFraction, shares: map[trainerKey]*trainerShare{}}
	for trainer, millis := range usage {
		c.shares[trainer] = &trainerShare{millis: millis}
	}
	return c
}

// add ranks the groups, keeping those that were chosen before.
func (c *groupSelection) add(groups []*groupPlan) {
	c.lockChosen()
	sorted := slices.Clone(groups)
	slices.SortStableFunc(sorted, func(a, b *groupPlan) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.dueAt, b.dueAt))
	})
	for _, group := range sorted {
		if !group.canMeetDue(c.now) {
			group.rank = rankLate
			continue
		}
		c.choose(group)
		for !c.fits(group.dueAt) && c.deferGroup() {
		}
	}
}

// addLate ranks the late groups again with an extended due time, because a trainer waits for them.
func (c *groupSelection) addLate(groups []*groupPlan) {
	var late []*groupPlan
	for _, group := range groups {
		if group.rank == rankLate {
			group.dueAt += lateExtensionMillis
			group.dueExtension = lateExtensionMillis
			late = append(late, group)
		}
	}
	c.add(late)
	for _, group := range late {
		if group.rank != rankChosen {
			group.rank = rankLate
		}
	}
}

// lockChosen keeps the groups chosen so far from being deferred.
func (c *groupSelection) lockChosen() {
	for _, share := range c.shares {
		share.chosen = nil
	}
}

func (c *groupSelection) choose(group *groupPlan) {
	share := c.shares[group.trainer]
	if share == nil {
		share = &trainerShare{}
		c.shares[group.trainer] = share
	}
	group.rank = rankChosen
	c.addWork(group.dueAt, group.work)
	share.millis += group.work
	heap.Push(&share.chosen, group)
}

// addWork adds work with the given due time.
func (c *groupSelection) addWork(due, work float64) {
	position, found := slices.BinarySearchFunc(c.workByDue, due, func(a dueWork, at float64) int { return cmp.Compare(a.at, at) })
	if !found {
		c.workByDue = slices.Insert(c.workByDue, position, dueWork{at: due})
	}
	c.workByDue[position].work += work
}

// fits reports whether, for all due times starting at from, the work due by then fits into the
// available slot time.
func (c *groupSelection) fits(from float64) bool {
	work := c.reservedWork
	for _, entry := range c.workByDue {
		work += entry.work
		if entry.at >= from && work > c.slots*(entry.at-float64(c.now)) {
			return false
		}
	}
	return true
}

// deferGroup defers one chosen group. It returns false if there is none.
func (c *groupSelection) deferGroup() bool {
	largest := 0.0
	for _, share := range c.shares {
		if len(share.chosen) > 0 {
			largest = max(largest, share.millis)
		}
	}
	var next *trainerShare
	for _, share := range c.shares {
		if len(share.chosen) == 0 || share.millis < deferralUsageFraction*largest {
			continue
		}
		if next == nil || deferredBefore(share.chosen[0], next.chosen[0]) {
			next = share
		}
	}
	if next == nil {
		return false
	}
	group, _ := heap.Pop(&next.chosen).(*groupPlan)
	group.rank = rankDeferred
	c.addWork(group.dueAt, -group.work)
	c.reservedWork += group.runningWork
	next.millis -= group.work - group.runningWork
	return true
}

// deferralHeap holds groups, with the one to defer next at the top.
type deferralHeap []*groupPlan

// deferredBefore reports whether a is deferred before b.
func deferredBefore(a, b *groupPlan) bool {
	return cmp.Or(-cmp.Compare(a.priority, b.priority), compareTrueFirst(!a.resubmitted, !b.resubmitted), -cmp.Compare(a.savings(), b.savings()), cmp.Compare(a.name, b.name)) < 0
}

func (h deferralHeap) Len() int           { return len(h) }
func (h deferralHeap) Less(i, j int) bool { return deferredBefore(h[i], h[j]) }
func (h deferralHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deferralHeap) Push(group any) { *h = append(*h, group.(*groupPlan)) }

// Pop implements heap.Interface.
func (h *deferralHeap) Pop() any {
	last := len(*h) - 1
	group := (*h)[last]
	*h = (*h)[:last]
	return group
}
