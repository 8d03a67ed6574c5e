package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestOverload simulates surges with 54 gateways and four backends with six slots and 24 queue places
// each: 25 ms of work, a latency target of 150 ms, a deadline of 800 ms and one retry.
func TestOverload(t *testing.T) {
	for _, down := range []int{0, 2} {
		for _, tenants := range []int{0, 76} {
			for _, factor := range []float64{0.5, 0.8, 1, 1.5, 2, 4, 10} {
				s := overloadScenario(factor)
				s.tenants, s.downBackends = tenants, down
				s.surgeLoad *= float64(s.backends-down) / float64(s.backends)
				t.Run(fmt.Sprintf("down %d tenants %d x%g", down, tenants, factor), func(t *testing.T) {
					t.Parallel()
					checkOverload(t, s.run(), factor)
				})
			}
		}
	}
}

// minFairness is the smallest accepted smallTenantFairness by the number of backends that are down.
// Each gateway sees only a few requests of each tenant, which limits how fair it can be.
var minFairness = map[int]float64{0: 0.8, 2: 0.7}

func checkOverload(t *testing.T, m *model, factor float64) {
	t.Logf("servable %.0f, in target %d, in target after a retry %d, late %d, refused once %d, twice %d, %d attempts for %d requests, fairness %.2f, minimum %.2f, idle refusals %d, not admitted %d, last refusal %v after the surge",
		m.servable(), m.inTarget, m.retriedInTarget, m.late, m.refusedOnce, m.refusedTwice, m.attempts, m.offered, m.smallTenantFairness(), m.minFairness(), m.idleRefusals, m.notAdmitted, m.lastRefusedAt-calmDuration-m.surgeDuration)
	require.Zero(t, m.refusedBefore)
	if factor <= 0.8 {
		require.Zero(t, m.refusedOnce)
	}
	require.GreaterOrEqual(t, float64(m.inTarget+m.retriedInTarget), 0.9*m.servable())
	require.Less(t, float64(m.late), 0.03*float64(m.offered))
	if m.tenants > 0 {
		require.GreaterOrEqual(t, m.smallTenantFairness(), minFairness[m.downBackends])
	}
	require.LessOrEqual(t, m.lastRefusedAt, calmDuration+m.surgeDuration+time.Second)
}
