package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCrashesDelayASampleBriefly guards against a sound sample that is not placed again after crashes: each crash of
// an engine delays only the sample that it ran, by a bounded time, and the first one not at all.
func TestCrashesDelayASampleBriefly(t *testing.T) {
	const longestDelay = minCrashBackoffMillis << maxCrashBackoffDoublings
	s := New()
	all := engines(40, 1, "m")
	s.SyncEngines(0, all[:1], map[string]uint64{"m": 1})
	s.AddStep(newEntry("x", "m", 1, 1))
	servicesOf := func(*Task) ([]string, bool) { return []string{"engines"}, true }
	now, delays := int64(0), []int64{}
	for number := range 30 {
		s.SyncEngines(now, all[number:number+1], map[string]uint64{"m": 1})
		crashedAt := now
		assignments := s.Assign(now, servicesOf)
		for len(assignments) == 0 && now <= crashedAt+longestDelay {
			now += minCrashBackoffMillis / 2
			assignments = s.Assign(now, servicesOf)
		}
		require.Len(t, assignments, 1, "after %d crashes", number)
		delays = append(delays, now-crashedAt)
		s.RunEnded(now, assignments[0].Task, assignments[0].Run, Crashed)
	}
	require.Equal(t, []int64{0, 0, minCrashBackoffMillis, 2 * minCrashBackoffMillis}, delays[:4])
	require.Equal(t, int64(longestDelay), delays[29])
}
