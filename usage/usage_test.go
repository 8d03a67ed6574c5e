package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

const length = 5 * time.Second

// TestTotalsCountOnce: totals that come again, late or in another order change nothing, and
// a fixed window never changes.
func TestTotalsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sources := []string{"a/1", "a/2", "b/1"}
		tenants := []string{"north", "south"}
		highest := map[string]Counts{}
		var told []Totals
		for range rapid.IntRange(0, 20).Draw(t, "totals") {
			source := rapid.SampledFrom(sources).Draw(t, "source")
			if highest[source] == nil {
				highest[source] = Counts{}
			}
			highest[source][rapid.SampledFrom(tenants).Draw(t, "tenant")]++
			told = append(told, Totals{Source: source, Window: 7, Counts: copied(highest[source])})
		}
		var book Book
		for _, position := range rapid.Permutation(positions(len(told))).Draw(t, "order") {
			book.Count(told[position])
			if rapid.Bool().Draw(t, "again") {
				book.Count(told[position])
			}
		}
		book.Fix(7)
		book.Fix(7)
		for _, late := range told {
			book.Count(late)
		}
		want := Counts{}
		for _, counts := range highest {
			for tenant, count := range counts {
				want[tenant] += count
			}
		}
		report, ok := book.Next()
		require.True(t, ok)
		require.Equal(t, Report{Window: 7, Counts: want}, report)
		require.Empty(t, book.Open)
		book.Told(7)
		_, ok = book.Next()
		require.False(t, ok)
	})
}

func copied(counts Counts) Counts {
	result := Counts{}
	for tenant, count := range counts {
		result[tenant] = count
	}
	return result
}

func positions(count int) []int {
	list := make([]int, count)
	for position := range list {
		list[position] = position
	}
	return list
}

func TestWindowsAreDueOnce(t *testing.T) {
	var book Book
	require.Equal(t, []int64{9}, book.Due(53000, length, 3*time.Second), "what has passed before the first is nobody's")
	book.Fix(9)
	require.Empty(t, book.Due(57999, length, 3*time.Second))
	require.Equal(t, []int64{10, 11}, book.Due(63000, length, 3*time.Second))
	require.Len(t, book.Due(1000000, length, 3*time.Second), maxLag+1, "after a long time without a leader")
}

func TestCloneSharesNothingThatChanges(t *testing.T) {
	var book Book
	book.Count(Totals{Source: "a", Window: 3, Counts: Counts{"north": 1}})
	clone := book.Clone()
	book.Count(Totals{Source: "a", Window: 3, Counts: Counts{"north": 2}})
	book.Fix(3)
	clone.Fix(3)
	report, _ := clone.Next()
	require.Equal(t, Counts{"north": 1}, report.Counts)
}

// TestClockOutlivesWrongOnes: fewer than half of the clocks may jump either way.
func TestClockOutlivesWrongOnes(t *testing.T) {
	clock := NewClock(3)
	_, known := clock.Ahead(0)
	require.False(t, known)
	for position, machine := range []string{"a", "b", "c", "d", "e"} {
		clock.Note(machine, 100000+int64(position), 0)
	}
	clock.Note("a", 102400, 0)
	clock.Note("e", 97600, 0)
	ahead, known := clock.Ahead(gatherTime)
	require.True(t, known)
	require.Equal(t, int64(100002), ahead)
	_, known = clock.Ahead(readingAge + 1)
	require.False(t, known, "clocks that were read long ago")
}

// TestClockWaitsForOthers: a machine that has begun to lead does not go by its own clock, nor by
// the first few that it reads: they may be the wrong ones.
func TestClockWaitsForOthers(t *testing.T) {
	clock := NewClock(2)
	isKnown := func(steady int64) bool {
		_, known := clock.Ahead(steady)
		return known
	}
	clock.Note("own", 900000, 0)
	clock.Note("own", 902000, 2000)
	require.False(t, isKnown(2000), "too few")
	clock.Note("b", 102100, 2100)
	require.True(t, isKnown(2100))
	clock.Note("c", 110000, 10000)
	clock.Note("d", 910000, 10000)
	require.False(t, isKnown(10000), "after a time without any, the others have not told theirs yet")
	clock.Note("e", 110900, 10900)
	ahead, known := clock.Ahead(10000 + gatherTime)
	require.True(t, known)
	require.Equal(t, int64(100000), ahead)
}

// TestMeterSortsOnceTheTimeIsKnown: what began before the first answer is counted in the
// window in which it began, and what is not taken is told again.
func TestMeterSortsOnceTheTimeIsKnown(t *testing.T) {
	meter := NewMeter()
	_, _, news := meter.Totals("g")
	require.False(t, news)
	meter.Note("north", 1000)
	meter.Note("north", 4000)
	totals, mark, news := meter.Totals("g")
	require.True(t, news)
	require.Empty(t, totals, "the windows are not known yet")
	// True time 50,000 is steady time 4,500: the first began in window 9, the second too,
	// and one at 4,600 begins in window 10.
	meter.Taken(mark, 50000, 4500, 0, length)
	meter.Note("south", 4600)
	totals, mark, news = meter.Totals("g")
	require.True(t, news, "the first answer took nothing")
	require.ElementsMatch(t, []Totals{
		{Source: "g", Window: 9, Counts: Counts{"north": 2}}, {Source: "g", Window: 10, Counts: Counts{"south": 1}},
	}, totals)
	meter.Taken(mark, 50100, 4600, 9, length)
	_, _, news = meter.Totals("g")
	require.False(t, news)
	meter.Note("north", 100)
	meter.Totals("g")
	late, _ := meter.Lost()
	require.Equal(t, uint64(1), late, "window 9 is fixed")
}
