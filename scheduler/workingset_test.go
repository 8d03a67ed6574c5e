package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/directory"
)

// makeFleet returns engines ordered by ID.
func makeFleet(count int) []*directory.Backend {
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

// TestWorkingSetSizeDependsOnWork checks that the number of selected engines depends on the samples
// and not on the size of the fleet, and that all engines of a small service are used.
func TestWorkingSetSizeDependsOnWork(t *testing.T) {
	const samples = 848
	var sizes []int
	for _, engines := range []int{1000, 8000, 16000} {
		sizes = append(sizes, len(NewWorkingSet(nil).Choose(makeFleet(engines), samples)))
	}
	require.Equal(t, []int{213, 213, 213}, sizes)
	require.Len(t, NewWorkingSet(nil).Choose(makeFleet(minWorkingSet), samples), minWorkingSet)
	require.Len(t, NewWorkingSet(nil).Choose(makeFleet(150), 10*samples), 150)
	require.Len(t, NewWorkingSet(nil).Choose(makeFleet(8000), 0), minWorkingSet)
}

// TestWorkingSetIsStable checks that selected engines stay selected, draining and silent ones are
// supplemented, and removed ones are dropped.
func TestWorkingSetIsStable(t *testing.T) {
	fleet := makeFleet(8000)
	w := NewWorkingSet(nil)
	first := idsOf(w.Choose(fleet, 0))
	require.True(t, slices.IsSorted(first))
	grown := idsOf(w.Choose(fleet, 848))
	require.Subset(t, grown, first)
	require.Equal(t, grown, idsOf(w.Choose(fleet, 848)))

	byID := func(id string) int {
		return slices.IndexFunc(fleet, func(b *directory.Backend) bool { return b.ID == id })
	}
	draining, silent, removed := grown[0], grown[1], grown[2]
	fleet[byID(draining)] = &directory.Backend{ID: draining, Service: "engines", Slots: 6, Draining: true}
	fleet[byID(silent)] = &directory.Backend{ID: silent, Service: "engines", Slots: 6, Silent: true}
	fleet = slices.Delete(fleet, byID(removed), byID(removed)+1)
	next := idsOf(w.Choose(fleet, 848))
	require.Len(t, next, len(grown)+2, "three engines are replaced and one of them is gone")
	require.NotContains(t, next, removed)
	require.Subset(t, next, []string{draining, silent})
	require.NotContains(t, slices.Collect(maps.Keys(w.selected)), removed)
}

// TestNextLeaderUsesTheSameEngines checks that a new leader prefers engines with orders of the
// earlier leader and engines with newer weights, and keeps those that run samples.
func TestNextLeaderUsesTheSameEngines(t *testing.T) {
	fleet := makeFleet(8000)
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

// BenchmarkWorkingSetUnchanged measures Choose when nothing has changed.
func BenchmarkWorkingSetUnchanged(b *testing.B) {
	for _, engines := range []int{1000, 10000, 20000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet, w := makeFleet(engines), NewWorkingSet(nil)
			for b.Loop() {
				w.Choose(fleet, 848)
			}
		})
	}
}

// BenchmarkStepInLargeFleet measures adding a step, starting its samples and ending it, in fleets
// of several sizes.
func BenchmarkStepInLargeFleet(b *testing.B) {
	for _, engines := range []int{1000, 10000, 20000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			fleet, w, s := makeFleet(engines), NewWorkingSet(nil), New()
			for b.Loop() {
				s.AddStep(newEntry("step", "m", 1, 106))
				s.SetFleetSize(engines)
				s.SyncEngines(0, w.Choose(fleet, s.ConcurrentSamples()), map[string]uint64{"m": 1})
				s.LoadOrders(0)
				s.Assign(0, anywhere)
				s.EndStep("step")
			}
		})
	}
}
