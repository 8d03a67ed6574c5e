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
	// scaleSubject begins the names of the duty's subjects in the record of acts: one for each
	// service and zone.
	scaleSubject = "scale/"
	// scaleRetry is the pause after orders that were not all taken.
	scaleRetry = 250 * time.Millisecond
	// answerTimeout bounds the record of an answer.
	answerTimeout = time.Second
	// roundLimit is how long after a plan its orders are begun; later ones are planned anew, by what
	// was heard meanwhile.
	roundLimit = time.Second
)

// ScaleSend is one order of backends on its way.
type ScaleSend struct {
	DutySend
	Wish capacity.Wish
}

// scaleKeeper orders backends for the services that may be scaled, on the directory's leader.
type scaleKeeper struct {
	settings config.Directory
	duties   *dutyKeeper
	client   DutyClient
	metrics  directoryMetrics
	logger   *zerolog.Logger
	// sending is set while orders are under way: plans are made by what came of them.
	sending atomic.Bool

	mutex sync.Mutex
	// demands are those heard since the last review, by service.
	demands map[string]capacity.Demand
	// planners and plans are those of this leadership, by service.
	planners map[string]*capacity.Planner
	plans    map[string]capacity.Plan
}

// enabled tells whether backends are ordered at all.
func (k *scaleKeeper) enabled() bool { return k.settings.IsScalingEnabled() && k.client != nil }

// begin forgets what an earlier leadership has seen.
func (k *scaleKeeper) begin() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.demands, k.planners, k.plans = map[string]capacity.Demand{}, map[string]*capacity.Planner{}, map[string]capacity.Plan{}
}

// hear takes in what the ledger's leader needs, where backends are ordered.
func (k *scaleKeeper) hear(demands []capacity.Demand) {
	if !k.enabled() {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for _, demand := range demands {
		k.demands[demand.Service] = demand
	}
}

// review plans anew, and gives the orders that are due, on the leader.
func (k *scaleKeeper) review(catalog *directory.Catalog) {
	if !k.enabled() {
		return
	}
	k.forget(catalog)
	if k.sending.Load() {
		k.listen(catalog)
		return
	}
	round := scaleRound{term: k.duties.replica.Status().Term, planned: clock.Now()}
	var orders []capacity.Order
	for name, service := range catalog.Services {
		if service.Scale != nil {
			orders = append(orders, k.plan(catalog, name, service)...)
		}
	}
	if len(orders) == 0 || k.settings.HoldOrders {
		return
	}
	k.sending.Store(true)
	go func() {
		defer k.sending.Store(false)
		k.give(round, orders)
	}()
}

// scaleRound is when orders were planned, and in which term.
type scaleRound struct {
	term    uint64
	planned time.Time
}

// isOver tells whether the round's other orders are not to be given any more.
func (r scaleRound) isOver(term uint64) bool {
	return term != r.term || clock.Since(r.planned) >= roundLimit
}

// forget drops what is known of services that cannot be scaled any more.
func (k *scaleKeeper) forget(catalog *directory.Catalog) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for name := range k.planners {
		if catalog.Services[name].Scale == nil {
			delete(k.planners, name)
			delete(k.plans, name)
		}
	}
	maps.DeleteFunc(k.demands, func(name string, _ capacity.Demand) bool { return catalog.Services[name].Scale == nil })
}

// listen has the planners take in what is needed while orders are under way.
func (k *scaleKeeper) listen(catalog *directory.Catalog) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for name, demand := range k.demands {
		if planner := k.planners[name]; planner != nil {
			planner.RecordDemand(nowMillis(), *catalog.Services[name].Scale, demand)
			delete(k.demands, name)
		}
	}
}

// plan makes the service's plan.
func (k *scaleKeeper) plan(catalog *directory.Catalog, name string, service routing.Service) []capacity.Order {
	fleet := fleetOf(catalog, service, k.settings.ToleratedZones > 0)
	fleet.Orders = map[capacity.Pool]capacity.Order{}
	k.duties.replica.Do(func() {
		for _, order := range k.duties.machine.Orders(name) {
			fleet.Orders[order.Wish.Pool()] = order
			fleet.AddZone(order.Wish.Zone)
		}
	})
	k.mutex.Lock()
	defer k.mutex.Unlock()
	fleet.Demand, fleet.HasNewDemand = k.demands[name], false
	if _, heard := k.demands[name]; heard {
		fleet.HasNewDemand = true
		delete(k.demands, name)
	}
	planner := k.planners[name]
	if planner == nil {
		planner = capacity.NewPlanner()
		k.planners[name] = planner
	}
	plan := planner.Plan(nowMillis(), fleet)
	if before := k.plans[name]; before.Reason != plan.Reason || len(plan.Orders) > 0 && !k.settings.HoldOrders {
		event.CapacityPlanned.On(k.logger).Str("service", name).Str("reason", plan.Reason.String()).Uint("slots", uint64(plan.Slots)).
			Uint("engines", uint64(plan.Engines)).Uint("ready", uint64(plan.Ready())).Uint("orders", uint64(len(plan.Orders))).Send()
	}
	k.plans[name] = plan
	return plan.Orders
}

// fleetOf returns what the directory knows of the service.
func fleetOf(catalog *directory.Catalog, service routing.Service, bearsZone bool) capacity.Fleet {
	fleet := capacity.Fleet{Service: service.Name, Scale: *service.Scale, ToleratesZoneLoss: bearsZone}
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

// give sends the orders one after the other. The first one that is not answered ends it, and so does
// the round's end: the next review looks at what is due by then.
func (k *scaleKeeper) give(round scaleRound, orders []capacity.Order) {
	for _, order := range orders {
		if round.isOver(k.duties.replica.Status().Term) {
			return
		}
		outcome, err := k.send(order)
		event.ScalingOrderFinished.On(k.logger).Str("service", order.Wish.Service).Str("pool", order.Wish.Pool().String()).
			Uint("count", uint64(order.Wish.Count)).Uint("before", uint64(order.Before)).Str("outcome", outcome.String()).Err(err).Send()
		switch outcome {
		case DutyTaken:
			k.note(order, capacity.Taken)
		case DutyExhausted:
			k.note(order, capacity.Exhausted)
		case DutyRefused:
			k.note(order, capacity.Refused)
		default:
			time.Sleep(scaleRetry)
			return
		}
	}
}

// send sends an order after it was recorded.
func (k *scaleKeeper) send(order capacity.Order) (DutyOutcome, error) {
	subject := scaleSubject + order.Wish.Service + "/" + order.Wish.Zone
	if !k.duties.mayAct(subject) {
		return DutyBusy, nil
	}
	return k.duties.act(subject, []directory.Command{{Order: &order}}, func(ctx context.Context, send DutySend) DutyOutcome {
		outcome := k.client.SendScale(ctx, ScaleSend{DutySend: send, Wish: order.Wish})
		k.metrics.orders.WithLabelValues(outcome.String()).Inc()
		return outcome
	})
}

// note records the answer to an order. If that fails the order is given again, in the same way.
func (k *scaleKeeper) note(order capacity.Order, answer capacity.Answer) {
	order.Answer = answer
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	if _, err := k.duties.replica.Execute(ctx, directory.Command{Order: &order}.Encode()); err != nil {
		event.ScalingResultNotRecorded.On(k.logger).Str("service", order.Wish.Service).Str("pool", order.Wish.Pool().String()).Err(err).Send()
	}
}
