package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

const windowLength = 5 * time.Second

// TestRepeatedTotalsCountOnce verifies that repeated, reordered and late totals do not change the
// counts of a fixed window.
func TestRepeatedTotalsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := []string{"a/1", "a/2", "b/1"}
		tenants := []string{"north", "south"}
		highest := map[string]Counts{}
		var sent []Totals
		for range rapid.IntRange(0, 20).Draw(t, "totals") {
			source := rapid.SampledFrom(sources).Draw(t, "source")
			if highest[source] == nil {
				highest[source] = Counts{}
			}
			highest[source][rapid.SampledFrom(tenants).Draw(t, "tenant")]++
			sent = append(sent, Totals{Source: source, Window: 7, Counts: cloneCounts(highest[source])})
		}
		var store WindowStore
		for _, index := range rapid.Permutation(indices(len(sent))).Draw(t, "order") {
			store.Add(sent[index])
			if rapid.Bool().Draw(t, "again") {
				store.Add(sent[index])
			}
		}
		store.Fix(7)
		store.Fix(7)
		for _, totals := range sent {
			store.Add(totals)
		}
		want := Counts{}
		for _, counts := range highest {
			for tenant, count := range counts {
				want[tenant] += count
			}
		}
		report, ok := store.NextReport()
		require.True(t, ok)
		require.Equal(t, Report{Window: 7, Counts: want}, report)
		require.Empty(t, store.Open)
		store.RemoveReport(7)
		_, ok = store.NextReport()
		require.False(t, ok)
	})
}

func cloneCounts(counts Counts) Counts {
	result := Counts{}
	for tenant, count := range counts {
		result[tenant] = count
	}
	return result
}

func indices(count int) []int {
	result := make([]int, count)
	for index := range result {
		result[index] = index
	}
	return result
}

func TestDueWindows(t *testing.T) {
	var store WindowStore
	require.Equal(t, []int64{9}, store.DueWindows(53000, windowLength, 3*time.Second), "only the newest window is due first")
	store.Fix(9)
	require.Empty(t, store.DueWindows(57999, windowLength, 3*time.Second))
	require.Equal(t, []int64{10, 11}, store.DueWindows(63000, windowLength, 3*time.Second))
	require.Len(t, store.DueWindows(1000000, windowLength, 3*time.Second), maxCatchUpWindows+1, "after a long time without a leader")
}

func TestCloneIsIndependent(t *testing.T) {
	var store WindowStore
	store.Add(Totals{Source: "a", Window: 3, Counts: Counts{"north": 1}})
	clone := store.Clone()
	store.Add(Totals{Source: "a", Window: 3, Counts: Counts{"north": 2}})
	store.Fix(3)
	clone.Fix(3)
	report, _ := clone.NextReport()
	require.Equal(t, Counts{"north": 1}, report.Counts)
}

// TestClockToleratesWrongMinority guards against clocks that jump in either direction.
func TestClockToleratesWrongMinority(t *testing.T) {
	clock := NewClock(3)
	_, known := clock.Offset(0)
	require.False(t, known)
	for index, machine := range []string{"a", "b", "c", "d", "e"} {
		clock.AddReading(machine, 100000+int64(index), 0)
	}
	clock.AddReading("a", 102400, 0)
	clock.AddReading("e", 97600, 0)
	offset, known := clock.Offset(initialReadingPeriod)
	require.True(t, known)
	require.Equal(t, int64(100002), offset)
	_, known = clock.Offset(maxReadingAge + 1)
	require.False(t, known, "all readings are too old")
}

// TestClockWaitsForEnoughReadings verifies that a new leader uses neither its own clock alone nor the
// first readings, which may be wrong.
func TestClockWaitsForEnoughReadings(t *testing.T) {
	clock := NewClock(2)
	isKnown := func(monotonic int64) bool {
		_, known := clock.Offset(monotonic)
		return known
	}
	clock.AddReading("own", 900000, 0)
	clock.AddReading("own", 902000, 2000)
	require.False(t, isKnown(2000), "readings of too few machines")
	clock.AddReading("b", 102100, 2100)
	require.True(t, isKnown(2100))
	clock.AddReading("c", 110000, 10000)
	clock.AddReading("d", 910000, 10000)
	require.False(t, isKnown(10000), "the initial reading period starts again after a gap")
	clock.AddReading("e", 110900, 10900)
	offset, known := clock.Offset(10000 + initialReadingPeriod)
	require.True(t, known)
	require.Equal(t, int64(100000), offset)
}

// TestMeterAssignsWindowsOnceTimeIsKnown verifies that requests recorded before the first
// acknowledgement count in the window of their start, and that unacknowledged totals are sent again.
func TestMeterAssignsWindowsOnceTimeIsKnown(t *testing.T) {
	meter := NewMeter()
	_, _, changed := meter.Totals("g")
	require.False(t, changed)
	meter.Record("north", 1000)
	meter.Record("north", 4000)
	totals, mark, changed := meter.Totals("g")
	require.True(t, changed)
	require.Empty(t, totals, "the windows are not known yet")
	// True time 50,000 is monotonic time 4,500: requests at 1,000 and 4,000 are in window 9, and one at
	// 4,600 is in window 10.
	meter.Acknowledge(mark, 50000, 4500, 0, windowLength)
	meter.Record("south", 4600)
	totals, mark, changed = meter.Totals("g")
	require.True(t, changed, "the first acknowledgement covers no totals")
	require.ElementsMatch(t, []Totals{
		{Source: "g", Window: 9, Counts: Counts{"north": 2}}, {Source: "g", Window: 10, Counts: Counts{"south": 1}},
	}, totals)
	meter.Acknowledge(mark, 50100, 4600, 9, windowLength)
	_, _, changed = meter.Totals("g")
	require.False(t, changed)
	meter.Record("north", 100)
	meter.Totals("g")
	late, _ := meter.Lost()
	require.Equal(t, uint64(1), late, "window 9 is fixed")
}
