package server

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/gorilla/mux"
)

// CapacityPath is the path of the capacity status on the metrics address of the directory's leader.
const CapacityPath = "/capacity"

// PoolStatus is the state of one pool of a service.
type PoolStatus struct {
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	Reclaimable bool   `json:"reclaimable"`
	// Reason explains the wanted count. Held means that orders are planned but not sent.
	Reason   string `json:"reason"`
	Held     bool   `json:"held"`
	Paused   bool   `json:"paused"`
	Wanted   int    `json:"wanted"`
	Ordered  int    `json:"ordered"`
	Booting  int    `json:"booting"`
	Ready    int    `json:"ready"`
	Draining int    `json:"draining"`
	Silent   int    `json:"silent"`
}

// addStatusRoute adds a route that serves the state of all pools on the leader.
func (c *scaleController) addStatusRoute(router *mux.Router) {
	router.HandleFunc(CapacityPath, func(response http.ResponseWriter, _ *http.Request) {
		if !c.duties.replica.Status().Serving {
			http.Error(response, "this replica is not the leader", http.StatusServiceUnavailable)
			return
		}
		response.Header().Set("Content-Type", "application/json")
		// A write error means that the client has disconnected.
		_ = json.NewEncoder(response).Encode(c.status())
	}).Methods(http.MethodGet)
}

// status returns the state of all pools, sorted by service, zone and kind.
func (c *scaleController) status() []PoolStatus {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pools := []PoolStatus{}
	for _, name := range slices.Sorted(maps.Keys(c.plans)) {
		plan := c.plans[name]
		for pool, state := range plan.Pools {
			pools = append(pools, PoolStatus{
				Service: name, Zone: pool.Zone, Reclaimable: pool.Reclaimable, Reason: plan.Reason.String(),
				Held: c.settings.HoldOrders, Paused: state.Paused, Wanted: state.Wanted, Ordered: state.Ordered,
				Booting: state.Booting, Ready: state.Ready, Draining: state.Draining, Silent: state.Silent,
			})
		}
	}
	slices.SortStableFunc(pools, func(a, b PoolStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(boolToUint(a.Reclaimable), boolToUint(b.Reclaimable)))
	})
	return pools
}
