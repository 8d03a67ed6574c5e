package dispatch

import (
	"sort"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

// TestQueueMatchesSortedList compares the queue with a sorted list.
func TestQueueMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue
		var model []Item
		next := uint64(0)
		first := func() Item {
			sort.SliceStable(model, func(i, j int) bool {
				a, b := model[i], model[j]
				return a.rank() < b.rank() || (a.rank() == b.rank() && a.ID < b.ID)
			})
			return model[0]
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				item := Item{
					ID: next, Priority: uint8(rapid.IntRange(0, 9).Draw(t, "priority")),
					EnqueuedAt: rapid.Int64Range(0, 20_000).Draw(t, "at"), Tokens: rapid.IntRange(0, 500).Draw(t, "tokens"),
				}
				queue.Push(item)
				model = append(model, item)
			},
			"pop": func(t *rapid.T) {
				if len(model) > 0 {
					require.Equal(t, first(), queue.Pop())
					model = model[1:]
				}
			},
			"remove": func(t *rapid.T) {
				id := rapid.Uint64Range(1, next+1).Draw(t, "id")
				wasPresent := false
				for index, item := range model {
					if item.ID == id {
						model, wasPresent = append(model[:index:index], model[index+1:]...), true
						break
					}
				}
				require.Equal(t, wasPresent, queue.Remove(id))
			},
			"": func(t *rapid.T) {
				tokens := 0
				for _, item := range model {
					tokens += item.Tokens
				}
				require.Equal(t, len(model), queue.Len())
				require.Equal(t, tokens, queue.Tokens())
				item, ok := queue.Peek()
				require.Equal(t, len(model) > 0, ok)
				if ok {
					require.Equal(t, first(), item)
				}
			},
		})
	})
}

func TestQueueAgesLowPriorityItems(t *testing.T) {
	var queue Queue
	queue.Push(Item{ID: 1, Priority: 1, EnqueuedAt: 0})
	queue.Push(Item{ID: 2, Priority: 2, EnqueuedAt: AgeingMillis - 1})
	queue.Push(Item{ID: 3, Priority: 2, EnqueuedAt: AgeingMillis + 1})
	require.Equal(t, uint64(2), queue.Pop().ID)
	require.Equal(t, uint64(1), queue.Pop().ID)
	require.Equal(t, uint64(3), queue.Pop().ID)
}

// TestRetryBudgetIsShareOfFirstAttempts verifies for any order of calls that retries stay within the
// earned share.
func TestRetryBudgetIsShareOfFirstAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var budget RetryBudget
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		earned, taken := 0, 0
		for _, isFirst := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "calls") {
			if isFirst {
				budget.RecordFirstAttempt(percent)
				earned += percent
			} else if budget.TakeRetry() {
				taken++
			}
			require.LessOrEqual(t, taken*100, earned)
		}
		for burst := 0; budget.TakeRetry(); burst++ {
			require.Less(t, burst, maxRetryCredit)
		}
	})
}

// TestDuplicateFilterAcceptsEachIDOnce verifies that duplicate IDs are never accepted and ascending ones
// always are.
func TestDuplicateFilterAcceptsEachIDOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var filter DuplicateFilter
		accepted := map[uint64]bool{}
		next := uint64(0)
		for _, jump := range rapid.SliceOfN(rapid.Uint64Range(0, 6000), 1, 300).Draw(t, "jumps") {
			if jump < 3000 {
				next++
				require.True(t, filter.Add(next))
				accepted[next] = true
				continue
			}
			late := uint64(max(1, int64(next)-int64(jump-3000)))
			if filter.Add(late) {
				require.False(t, accepted[late])
				accepted[late] = true
			}
			next = max(next, late)
		}
	})
}
