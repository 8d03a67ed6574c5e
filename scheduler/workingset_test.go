package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
)

// fleetOf returns as many engines as a fleet has, ordered by ID.
func fleetOf(count int) []*directory.Backend {
	var fleet []*directory.Backend
	for number := range count {
		fleet = append(fleet, &directory.Backend{
			ID: fmt.Sprintf("e%05d", number), Service: "engines", Slots: 6, Models: []directory.ModelVersion{{Model: "m", Version: 1}},
		})
	}
	return fleet
}

func idsOf(backends []directory.Backend) []string {
	var ids []string
	for _, backend := range backends {
		ids = append(ids, backend.ID)
	}
	return ids
}

// TestWorkingSetFollowsTheWork: the engines that are used are as many as the samples need, whatever
// the fleet; of few engines all are.
func TestWorkingSetFollowsTheWork(t *testing.T) {
	const samples = 848
	var sizes []int
	for _, engines := range []int{1000, 8000, 16000} {
		sizes = append(sizes, len(NewWorkingSet(nil).Choose(fleetOf(engines), samples)))
	}
	require.Equal(t, []int{213, 213, 213}, sizes)
	require.Len(t, NewWorkingSet(nil).Choose(fleetOf(minWorkingSet), samples), minWorkingSet)
	require.Len(t, NewWorkingSet(nil).Choose(fleetOf(150), 10*samples), 150)
	require.Len(t, NewWorkingSet(nil).Choose(fleetOf(8000), 0), minWorkingSet)
}

// TestWorkingSetStays: engines that are used are used further, those that drain or are silent
// are made up for, and those that are gone are forgotten.
func TestWorkingSetStays(t *testing.T) {
	fleet := fleetOf(8000)
	w := NewWorkingSet(nil)
	first := idsOf(w.Choose(fleet, 0))
	require.True(t, slices.IsSorted(first))
	grown := idsOf(w.Choose(fleet, 848))
	require.Subset(t, grown, first)
	require.Equal(t, grown, idsOf(w.Choose(fleet, 848)))

	byID := func(id string) int {
		return slices.IndexFunc(fleet, func(b *directory.Backend) bool { return b.ID == id })
	}
	leaving, silent, gone := grown[0], grown[1], grown[2]
	fleet[byID(leaving)] = &directory.Backend{ID: leaving, Service: "engines", Slots: 6, Draining: true}
	fleet[byID(silent)] = &directory.Backend{ID: silent, Service: "engines", Slots: 6, Silent: true}
	fleet = slices.Delete(fleet, byID(gone), byID(gone)+1)
	next := idsOf(w.Choose(fleet, 848))
	require.Len(t, next, len(grown)+2, "three others for three, of which one is gone")
	require.NotContains(t, next, gone)
	require.Subset(t, next, []string{leaving, silent})
	require.NotContains(t, slices.Collect(maps.Keys(w.selected)), gone)
}

// TestNextLeaderUsesTheSameEngines: a leader that takes over uses the engines that the one before
// has ordered, and those that hold newer weights, and goes on with those that run samples.
func TestNextLeaderUsesTheSameEngines(t *testing.T) {
	fleet := fleetOf(8000)
	ordered := map[string]bool{}
	for number := range 100 {
		ordered[fleet[number*79].ID] = true
	}
	var newer []string
	for number := range 20 {
		fleet[number*79+1].Models[0].Version = 9
		newer = append(newer, fleet[number*79+1].ID)
	}
	w := NewWorkingSet(ordered)
	w.Include([]string{"e07999", "of another service"})
	used := idsOf(w.Choose(fleet, 0))
	require.Subset(t, used, slices.Collect(maps.Keys(ordered)))
	require.Subset(t, used, newer)
	require.Contains(t, used, "e07999")
	require.Len(t, used, minWorkingSet)
}

// BenchmarkWorkingSetUnchanged looks for the engines that are used where nothing has changed.
func BenchmarkWorkingSetUnchanged(b *testing.B) {
	for _, engines := range []int{1000, 10000, 20000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet, w := fleetOf(engines), NewWorkingSet(nil)
			for b.Loop() {
				w.Choose(fleet, 848)
			}
		})
	}
}

// BenchmarkStepBeforeFleet takes in a step, starts its samples and ends it, before fleets of
// several sizes.
func BenchmarkStepBeforeFleet(b *testing.B) {
	for _, engines := range []int{1000, 10000, 20000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet, w, s := fleetOf(engines), NewWorkingSet(nil), New()
			for b.Loop() {
				s.AddStep(entry("step", "m", 1, 106))
				s.SetFleetSize(engines)
				s.SyncEngines(0, w.Choose(fleet, s.ConcurrentSamples()), map[string]uint64{"m": 1})
				s.LoadOrders(0)
				s.Assign(0, anywhere)
				s.EndStep("step")
			}
		})
	}
}
