package server

import (
	"github.com/prometheus/client_golang/prometheus"
)

// collect emits the current plans by service, zone and kind if this replica is the leader.
func (c *scaleController) collect(emit chan<- prometheus.Metric) {
	if !c.duties.replica.Status().Serving {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, plan := range c.plans {
		gauge(emit, "capacity_slots_needed", "Slots that a service's samples need.", plan.Slots, "service", name)
		gauge(emit, "capacity_backends_needed", "Backends that a service needs.", float64(plan.Engines), "service", name, "reason", plan.Reason.String())
		for pool, state := range plan.Pools {
			for _, count := range []struct {
				state string
				value int
			}{
				{"wanted", state.Wanted}, {"ordered", state.Ordered}, {"booting", state.Booting},
				{"ready", state.Ready}, {"draining", state.Draining}, {"silent", state.Silent},
			} {
				gauge(emit, "capacity_backends", "Backends of a service that may be scaled, by zone, kind and state.", float64(count.value),
					"service", name, "zone", pool.Zone, "kind", pool.Kind(), "state", count.state)
			}
		}
	}
}
