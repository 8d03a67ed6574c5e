package server

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/capacity"
	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/routing"
)

const (
	// scaleSubjectPrefix starts the duty subjects of scaling; there is one per service and zone.
	scaleSubjectPrefix = "scale/"
	// scaleRetryDelay is the delay after an order that was not accepted.
	scaleRetryDelay = 250 * time.Millisecond
	// recordAnswerTimeout limits the time to record an answer.
	recordAnswerTimeout = time.Second
	// maxRoundAge is how long after planning an order may be started. Later orders are planned again
	// with newer demand.
	maxRoundAge = time.Second
)

// ScaleSend is one attempt to send an order of backends.
type ScaleSend struct {
	DutySend
	Target capacity.Target
}

// scaleController orders backends for scalable services on the directory's leader.
type scaleController struct {
	settings config.Directory
	duties   *dutyCoordinator
	client   DutyClient
	metrics  directoryMetrics
	logger   *zerolog.Logger
	// sending is set while orders are being sent. Planning waits for their outcome.
	sending atomic.Bool

	mutex sync.Mutex
	// demands holds the demand received since the last review, by service.
	demands map[string]capacity.Demand
	// planners and plans are kept for the current leadership, by service.
	planners map[string]*capacity.Planner
	plans    map[string]capacity.Plan
}

// isEnabled reports whether scaling is configured.
func (c *scaleController) isEnabled() bool { return c.settings.IsScalingEnabled() && c.client != nil }

// reset drops the state of an earlier leadership.
func (c *scaleController) reset() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.demands, c.planners, c.plans = map[string]capacity.Demand{}, map[string]*capacity.Planner{}, map[string]capacity.Plan{}
}

// recordDemands stores the demand reported by the ledger's leader, if scaling is enabled.
func (c *scaleController) recordDemands(demands []capacity.Demand) {
	if !c.isEnabled() {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, demand := range demands {
		c.demands[demand.Service] = demand
	}
}

// review updates the plans and sends the due orders. It runs on the leader.
func (c *scaleController) review(catalog *directory.Catalog) {
	if !c.isEnabled() {
		return
	}
	c.removeUnscaled(catalog)
	if c.sending.Load() {
		c.recordPendingDemands(catalog)
		return
	}
	round := scaleRound{term: c.duties.replica.Status().Term, plannedAt: clock.Now()}
	var orders []capacity.Order
	for name, service := range catalog.Services {
		if service.Scale != nil {
			orders = append(orders, c.plan(catalog, name, service)...)
		}
	}
	if len(orders) == 0 || c.settings.HoldOrders {
		return
	}
	c.sending.Store(true)
	go func() {
		defer c.sending.Store(false)
		c.sendOrders(round, orders)
	}()
}

// scaleRound holds when and in which term a set of orders was planned.
type scaleRound struct {
	term      uint64
	plannedAt time.Time
}

// isExpired reports whether the round's remaining orders must no longer be sent.
func (r scaleRound) isExpired(term uint64) bool {
	return term != r.term || clock.Since(r.plannedAt) >= maxRoundAge
}

// removeUnscaled drops the state of services that are no longer scalable.
func (c *scaleController) removeUnscaled(catalog *directory.Catalog) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name := range c.planners {
		if catalog.Services[name].Scale == nil {
			delete(c.planners, name)
			delete(c.plans, name)
		}
	}
	maps.DeleteFunc(c.demands, func(name string, _ capacity.Demand) bool { return catalog.Services[name].Scale == nil })
}

// recordPendingDemands passes new demand to the planners while orders are being sent.
func (c *scaleController) recordPendingDemands(catalog *directory.Catalog) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, demand := range c.demands {
		if planner := c.planners[name]; planner != nil {
			planner.RecordDemand(nowMillis(), *catalog.Services[name].Scale, demand)
			delete(c.demands, name)
		}
	}
}

// plan updates the service's plan and returns the due orders.
func (c *scaleController) plan(catalog *directory.Catalog, name string, service routing.Service) []capacity.Order {
	fleet := newFleet(catalog, service, c.settings.ToleratedZones > 0)
	fleet.Orders = map[capacity.Pool]capacity.Order{}
	c.duties.replica.Do(func() {
		for _, order := range c.duties.machine.Orders(name) {
			fleet.Orders[order.Wish.Pool()] = order
			fleet.AddZone(order.Wish.Zone)
		}
	})
	c.mutex.Lock()
	defer c.mutex.Unlock()
	fleet.Demand, fleet.HasNewDemand = c.demands[name], false
	if _, exists := c.demands[name]; exists {
		fleet.HasNewDemand = true
		delete(c.demands, name)
	}
	planner := c.planners[name]
	if planner == nil {
		planner = capacity.NewPlanner()
		c.planners[name] = planner
	}
	plan := planner.Plan(nowMillis(), fleet)
	if previous := c.plans[name]; previous.Reason != plan.Reason || len(plan.Orders) > 0 && !c.settings.HoldOrders {
		event.CapacityPlanned.On(c.logger).Str("service", name).Str("reason", plan.Reason.String()).Uint("slots", uint64(plan.Slots)).
			Uint("engines", uint64(plan.Engines)).Uint("ready", uint64(plan.Ready())).Uint("orders", uint64(len(plan.Orders))).Send()
	}
	c.plans[name] = plan
	return plan.Orders
}

// newFleet returns the service's backends and zones as recorded in the catalog.
func newFleet(catalog *directory.Catalog, service routing.Service, toleratesZoneLoss bool) capacity.Fleet {
	fleet := capacity.Fleet{Service: service.Name, Scale: *service.Scale, ToleratesZoneLoss: toleratesZoneLoss}
	for zone := range service.Scale.ZonePrices {
		fleet.AddZone(zone)
	}
	for _, backend := range catalog.Backends(service.Name) {
		fleet.AddZone(backend.Zone)
		fleet.Members = append(fleet.Members, capacity.Member{
			Pool:  capacity.Pool{Zone: backend.Zone, Reclaimable: backend.Reclaimable},
			Slots: backend.Slots, Draining: backend.Draining, Silent: backend.Silent,
		})
	}
	return fleet
}

// sendOrders sends the orders one by one. It stops at the first order without a definite answer and when
// the round expires; the next review plans the remaining ones again.
func (c *scaleController) sendOrders(round scaleRound, orders []capacity.Order) {
	for _, order := range orders {
		if round.isExpired(c.duties.replica.Status().Term) {
			return
		}
		outcome, err := c.sendOrder(order)
		event.ScalingOrderFinished.On(c.logger).Str("service", order.Wish.Service).Str("pool", order.Wish.Pool().String()).
			Uint("count", uint64(order.Wish.Count)).Uint("before", uint64(order.Before)).Str("outcome", outcome.String()).Err(err).Send()
		switch outcome {
		case DutyAccepted:
			c.recordAnswer(order, capacity.Accepted)
		case DutyExhausted:
			c.recordAnswer(order, capacity.Exhausted)
		case DutyRefused:
			c.recordAnswer(order, capacity.Refused)
		default:
			time.Sleep(scaleRetryDelay)
			return
		}
	}
}

// sendOrder records an order and then sends it.
func (c *scaleController) sendOrder(order capacity.Order) (DutyOutcome, error) {
	subject := scaleSubjectPrefix + order.Wish.Service + "/" + order.Wish.Zone
	if !c.duties.mayAct(subject) {
		return DutyBusy, nil
	}
	return c.duties.act(subject, []directory.Command{{Order: &order}}, func(ctx context.Context, send DutySend) DutyOutcome {
		outcome := c.client.SendScale(ctx, ScaleSend{DutySend: send, Target: order.Wish})
		c.metrics.orders.WithLabelValues(outcome.String()).Inc()
		return outcome
	})
}

// recordAnswer records the answer to an order. If that fails, the same order is sent again.
func (c *scaleController) recordAnswer(order capacity.Order, answer capacity.Answer) {
	order.Answer = answer
	ctx, cancel := context.WithTimeout(context.Background(), recordAnswerTimeout)
	defer cancel()
	if _, err := c.duties.replica.Execute(ctx, directory.Command{Order: &order}.Encode()); err != nil {
		event.ScalingResultNotRecorded.On(c.logger).Str("service", order.Wish.Service).Str("pool", order.Wish.Pool().String()).Err(err).Send()
	}
}
