package server

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/capacity"
	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/routing"
)

// orderTaker is a stand-in of whoever takes orders of backends.
type orderTaker struct {
	mutex sync.Mutex
	sends []ScaleSend
	// answer says what becomes of an order; without it, all are taken.
	answer func(send ScaleSend) DutyOutcome
}

func (o *orderTaker) SendUsage(context.Context, UsageSend) DutyOutcome { return DutyTaken }

func (o *orderTaker) SendScale(_ context.Context, send ScaleSend) DutyOutcome {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.sends = append(o.sends, send)
	if o.answer == nil {
		return DutyTaken
	}
	return o.answer(send)
}

func (o *orderTaker) taken() []ScaleSend {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return append([]ScaleSend(nil), o.sends...)
}

// loneDirectory runs a directory of one replica that serves. Reviews of its own order nothing, since
// it has no configuration.
func loneDirectory(t *testing.T, client DutyClient, change func(settings *config.Directory)) (*Directory, context.CancelFunc) {
	logger := zerolog.Nop()
	internal, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	settings := config.DefaultDirectory()
	settings.Name, settings.Zone = "d", "z"
	settings.InternalAddress = internal.Addr().String()
	settings.DataFolder = t.TempDir()
	settings.FirstStart, settings.ToleratedLosses = true, 0
	settings.Peers = []string{settings.InternalAddress}
	settings.DutyAddress, settings.Duties = "127.0.0.1:1", []string{config.DutyScale}
	if change != nil {
		change(&settings)
	}
	process := settings.Process
	d, err := NewDirectory(settings, NewSeeds(process, func() (config.Process, error) { return process, nil }, &logger), client, &logger)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = d.Run(ctx, internal)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
	require.Eventually(t, func() bool { return d.Status().Serving }, time.Minute, time.Millisecond)
	return d, func() {
		stop()
		<-ended
	}
}

func orderOf(count int) capacity.Order {
	return capacity.Order{Wish: capacity.Wish{Service: "s", Zone: "z", Count: count}, Before: 1, Number: 1}
}

// roundOf is a round that begins now.
func roundOf(d *Directory) scaleRound {
	return scaleRound{term: d.Status().Term, planned: clock.Now()}
}

// keptOrders returns what is kept of the service's orders.
func keptOrders(d *Directory) (orders []capacity.Order) {
	d.replica.Do(func() { orders = d.machine.Orders("s") })
	return orders
}

// TestOrderIsRecordedBeforeItIsSent: whoever holds the duty next finds it, whatever happens to this
// process meanwhile, and finds its answer.
func TestOrderIsRecordedBeforeItIsSent(t *testing.T) {
	taker := &orderTaker{}
	d, _ := loneDirectory(t, taker, nil)
	answers := map[DutyOutcome]capacity.Answer{
		DutyTaken: capacity.Taken, DutyExhausted: capacity.Exhausted, DutyRefused: capacity.Refused,
		DutyBusy: capacity.Open, DutyUnanswered: capacity.Open,
	}
	number := uint64(0)
	for outcome, answer := range answers {
		number++
		order := orderOf(3)
		order.Number = number
		taker.answer = func(send ScaleSend) DutyOutcome {
			require.Equal(t, []capacity.Order{order}, keptOrders(d))
			d.replica.Do(func() { require.Equal(t, "d", d.machine.Actions()["scale/s/z"].Holder) })
			require.Equal(t, ScaleSend{DutySend: send.DutySend, Wish: order.Wish}, send)
			require.Equal(t, d.Status().Term, send.Fence)
			require.Equal(t, "d", send.Holder)
			require.LessOrEqual(t, clock.Until(send.SendBy), duty.MaxStartDelay)
			return outcome
		}
		d.scale.give(roundOf(d), []capacity.Order{order})
		order.Answer = answer
		require.Equal(t, []capacity.Order{order}, keptOrders(d), outcome.String())
	}
	require.Len(t, taker.taken(), len(answers))
}

// TestFirstUnansweredOrderEndsTheRound: those after it are looked at again by then.
func TestFirstUnansweredOrderEndsTheRound(t *testing.T) {
	taker := &orderTaker{answer: func(ScaleSend) DutyOutcome { return DutyUnanswered }}
	d, _ := loneDirectory(t, taker, nil)
	second := orderOf(4)
	second.Wish.Zone = "y"
	d.scale.give(roundOf(d), []capacity.Order{orderOf(3), second})
	require.Len(t, taker.taken(), 1)
	require.Len(t, keptOrders(d), 1)
}

// TestRoundsEnd: orders that were planned long ago, or in another term, are planned anew.
func TestRoundsEnd(t *testing.T) {
	taker := &orderTaker{}
	d, _ := loneDirectory(t, taker, nil)
	term := d.Status().Term
	d.scale.give(scaleRound{term: term, planned: clock.Now().Add(-roundLimit)}, []capacity.Order{orderOf(3)})
	d.scale.give(scaleRound{term: term - 1, planned: clock.Now()}, []capacity.Order{orderOf(3)})
	require.Empty(t, taker.taken())
	require.Empty(t, keptOrders(d))
}

// TestDemandIsHeardWhileOrdersAreSent: it is not put aside until they are answered, and what is told
// of services that cannot be scaled is dropped.
func TestDemandIsHeardWhileOrdersAreSent(t *testing.T) {
	asked, release := make(chan struct{}, 100), make(chan struct{})
	taker := &orderTaker{answer: func(ScaleSend) DutyOutcome {
		asked <- struct{}{}
		<-release
		return DutyTaken
	}}
	d, _ := loneDirectory(t, taker, nil)
	defer close(release)
	scaledService(t, d)
	heard := func() bool {
		d.scale.mutex.Lock()
		defer d.scale.mutex.Unlock()
		return len(d.scale.demands) == 0
	}
	require.Eventually(t, func() bool {
		d.heartbeats.recordHeard(clock.Now(), []string{"e0", "e1"})
		_, err := d.call(t.Context(), *muchWork())
		require.NoError(t, err)
		return len(asked) > 0
	}, time.Minute, 20*time.Millisecond)
	call := muchWork()
	call.Demands = append(call.Demands, capacity.Demand{Service: "other", Waiting: 1})
	_, err := d.call(t.Context(), *call)
	require.NoError(t, err)
	require.Eventually(t, heard, time.Minute, time.Millisecond)
	require.True(t, d.scale.sending.Load())
}

// TestOrdersWaitForAnotherHolder: after another process has acted for a zone, its lease is waited
// for there and not elsewhere.
func TestOrdersWaitForAnotherHolder(t *testing.T) {
	taker := &orderTaker{}
	d, _ := loneDirectory(t, taker, func(settings *config.Directory) { settings.DutyLease = time.Hour })
	act := &duty.Action{Subject: scaleSubject + "s/z", Holder: "other", At: 1}
	_, err := d.execute(t.Context(), directory.Command{Act: act})
	require.NoError(t, err)
	d.scale.give(roundOf(d), []capacity.Order{orderOf(3)})
	require.Empty(t, taker.taken())
	require.Empty(t, keptOrders(d))
	elsewhere := orderOf(3)
	elsewhere.Wish.Zone = "y"
	d.scale.give(roundOf(d), []capacity.Order{elsewhere})
	require.Len(t, taker.taken(), 1)
}

// TestNothingIsSentWithoutARecord: a process that has lost the group, or stood still since it
// recorded, sends nothing.
func TestNothingIsSentWithoutARecord(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	taker := &orderTaker{}
	d, stop := loneDirectory(t, taker, nil)
	// The record is made, and its time is over by then.
	subject := scaleSubject + "s/z"
	outcome, err := d.duties.act(subject, []directory.Command{{Order: &capacity.Order{}}}, func(_ context.Context, send DutySend) DutyOutcome {
		source.Suspend(time.Minute)
		require.Negative(t, clock.Until(send.SendBy), "which whoever writes the call goes by")
		return DutyBusy
	})
	require.NoError(t, err)
	require.Equal(t, DutyBusy, outcome)
	stop()
	d.scale.give(roundOf(d), []capacity.Order{orderOf(3)})
	require.Empty(t, taker.taken())
}

// scaledService registers two engines of a service that may be scaled.
func scaledService(t *testing.T, d *Directory) {
	service := routing.Service{Name: "s", Models: []string{"m"}, Scale: &routing.Scale{Least: 1, Most: 6, BootMillis: 1000}}
	_, err := d.execute(t.Context(), directory.Command{PutConfiguration: &directory.PutConfiguration{
		Configuration: routing.Configuration{Version: 1, Services: []routing.Service{service}},
	}})
	require.NoError(t, err)
	for _, id := range []string{"e0", "e1"} {
		_, err := d.execute(t.Context(), directory.Command{PutBackend: &directory.Backend{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 2}})
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return len(d.view.Load().Backends("s")) == 2 }, time.Minute, time.Millisecond)
}

// muchWork is what far more than two engines need.
func muchWork() *directoryCall {
	return &directoryCall{Demands: []capacity.Demand{{
		Service: "s", Running: 4, Waiting: 400, Work: []capacity.Work{{DueMillis: 7000, SlotMillis: 400000}},
	}}}
}

// TestDemandBringsOrders: what the ledger's leader tells makes the directory's leader order, once.
// Held orders are planned and not given.
func TestDemandBringsOrders(t *testing.T) {
	for _, hold := range []bool{false, true} {
		taker := &orderTaker{}
		d, _ := loneDirectory(t, taker, func(settings *config.Directory) { settings.HoldOrders = hold })
		scaledService(t, d)
		reason := func() capacity.Reason {
			d.heartbeats.recordHeard(clock.Now(), []string{"e0", "e1"})
			_, err := d.call(t.Context(), *muchWork())
			require.NoError(t, err)
			d.scale.mutex.Lock()
			defer d.scale.mutex.Unlock()
			plan := d.scale.plans["s"]
			if len(plan.Orders) > 0 || plan.Pools[capacity.Pool{Zone: "z"}].Ordered == 6 {
				return plan.Reason
			}
			return capacity.Unknown
		}
		require.Eventually(t, func() bool { return reason() == capacity.Late }, time.Minute, 20*time.Millisecond)
		if hold {
			require.Empty(t, taker.taken())
			continue
		}
		require.Eventually(t, func() bool {
			orders := keptOrders(d)
			return len(orders) == 1 && orders[0].Answer == capacity.Taken
		}, time.Minute, time.Millisecond)
		require.Equal(t, capacity.Wish{Service: "s", Zone: "z", Count: 6}, taker.taken()[0].Wish)
		require.Len(t, taker.taken(), 1)
	}
}

// TestNoDutyNoOrders: where the duty is not named nothing is planned.
func TestNoDutyNoOrders(t *testing.T) {
	d, _ := loneDirectory(t, &orderTaker{}, func(settings *config.Directory) { settings.Duties = []string{config.DutyUsage} })
	scaledService(t, d)
	_, err := d.call(t.Context(), *muchWork())
	require.NoError(t, err)
	d.scale.review(d.view.Load())
	require.Empty(t, d.scale.plans)
	require.Empty(t, d.scale.demands)
}

// TestZoneOutlivesItsBackends: a zone that no price names is planned for as long as it has an order,
// also once its last backend is gone.
func TestZoneOutlivesItsBackends(t *testing.T) {
	fleet := fleetOf(directory.NewCatalog(), routing.Service{Name: "s", Scale: &routing.Scale{Most: 3, ZonePrices: map[string]float64{"a": 1}}}, false)
	require.Equal(t, []string{"a"}, fleet.Zones)
	fleet.AddZone("b")
	fleet.AddZone("a")
	require.Equal(t, []string{"a", "b"}, fleet.Zones)
}
