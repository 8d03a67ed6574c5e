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

func checkOverload(t *testing.T, sim *simulation, factor float64) {
	t.Logf("servable %.0f, in target %d, in target after a retry %d, late %d, refused once %d, twice %d, %d attempts for %d requests, fairness %.2f, minimum %.2f, idle refusals %d, not admitted %d, last refusal %v after the surge",
		sim.servable(), sim.inTarget, sim.retriedInTarget, sim.late, sim.refusedOnce, sim.refusedTwice, sim.attempts, sim.offered, sim.smallTenantFairness(), sim.minFairness(), sim.idleRefusals, sim.notAdmitted, sim.lastRefusedAt-calmDuration-sim.surgeDuration)
	require.Zero(t, sim.refusedBefore)
	if factor <= 0.8 {
		require.Zero(t, sim.refusedOnce)
	}
	require.GreaterOrEqual(t, float64(sim.inTarget+sim.retriedInTarget), 0.9*sim.servable())
	require.Less(t, float64(sim.late), 0.03*float64(sim.offered))
	if sim.tenants > 0 {
		require.GreaterOrEqual(t, sim.smallTenantFairness(), minFairness[sim.downBackends])
	}
	require.LessOrEqual(t, sim.lastRefusedAt, calmDuration+sim.surgeDuration+time.Second)
}
