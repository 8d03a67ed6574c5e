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

// fakeDutyClient records the orders of backends that it receives.
type fakeDutyClient struct {
	mutex sync.Mutex
	sends []ScaleSend
	// answer returns the outcome of an order. If nil, all orders are accepted.
	answer func(send ScaleSend) DutyOutcome
}

func (f *fakeDutyClient) SendUsage(context.Context, UsageSend) DutyOutcome { return DutyAccepted }

func (f *fakeDutyClient) SendScale(_ context.Context, send ScaleSend) DutyOutcome {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sends = append(f.sends, send)
	if f.answer == nil {
		return DutyAccepted
	}
	return f.answer(send)
}

func (f *fakeDutyClient) sent() []ScaleSend {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]ScaleSend(nil), f.sends...)
}

// startSingleReplica starts a directory with one replica and waits until it serves. Its own reviews send no
// orders because it has no configuration.
func startSingleReplica(t *testing.T, client DutyClient, configure func(settings *config.Directory)) (*Directory, context.CancelFunc) {
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
	if configure != nil {
		configure(&settings)
	}
	process := settings.Process
	d, err := NewDirectory(settings, NewSeeds(process, func() (config.Process, error) { return process, nil }, &logger), client, &logger)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx, internal)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	require.Eventually(t, func() bool { return d.Status().Serving }, time.Minute, time.Millisecond)
	return d, func() {
		stop()
		<-done
	}
}

func newOrder(count int) capacity.Order {
	return capacity.Order{Wish: capacity.Target{Service: "s", Zone: "z", Count: count}, Before: 1, Number: 1}
}

// newRound returns a round planned now in the current term.
func newRound(d *Directory) scaleRound {
	return scaleRound{term: d.Status().Term, plannedAt: clock.Now()}
}

// recordedOrders returns the recorded orders of the service.
func recordedOrders(d *Directory) (orders []capacity.Order) {
	d.replica.Do(func() { orders = d.machine.Orders("s") })
	return orders
}

// TestOrderIsRecordedBeforeSending checks that an order and its answer are recorded, so that the next holder
// of the duty can continue from them.
func TestOrderIsRecordedBeforeSending(t *testing.T) {
	client := &fakeDutyClient{}
	d, _ := startSingleReplica(t, client, nil)
	answers := map[DutyOutcome]capacity.Answer{
		DutyAccepted: capacity.Accepted, DutyExhausted: capacity.Exhausted, DutyRefused: capacity.Refused,
		DutyBusy: capacity.Open, DutyUnanswered: capacity.Open,
	}
	number := uint64(0)
	for outcome, answer := range answers {
		number++
		order := newOrder(3)
		order.Number = number
		client.answer = func(send ScaleSend) DutyOutcome {
			require.Equal(t, []capacity.Order{order}, recordedOrders(d))
			d.replica.Do(func() { require.Equal(t, "d", d.machine.Actions()["scale/s/z"].Holder) })
			require.Equal(t, ScaleSend{DutySend: send.DutySend, Target: order.Wish}, send)
			require.Equal(t, d.Status().Term, send.Fence)
			require.Equal(t, "d", send.Holder)
			require.LessOrEqual(t, clock.Until(send.SendBy), duty.MaxStartDelay)
			return outcome
		}
		d.scale.sendOrders(newRound(d), []capacity.Order{order})
		order.Answer = answer
		require.Equal(t, []capacity.Order{order}, recordedOrders(d), outcome.String())
	}
	require.Len(t, client.sent(), len(answers))
}

// TestUnansweredOrderEndsRound checks that no order is sent after one without an answer.
func TestUnansweredOrderEndsRound(t *testing.T) {
	client := &fakeDutyClient{answer: func(ScaleSend) DutyOutcome { return DutyUnanswered }}
	d, _ := startSingleReplica(t, client, nil)
	second := newOrder(4)
	second.Wish.Zone = "y"
	d.scale.sendOrders(newRound(d), []capacity.Order{newOrder(3), second})
	require.Len(t, client.sent(), 1)
	require.Len(t, recordedOrders(d), 1)
}

// TestExpiredRoundSendsNothing checks that orders planned too long ago or in another term are not sent.
func TestExpiredRoundSendsNothing(t *testing.T) {
	client := &fakeDutyClient{}
	d, _ := startSingleReplica(t, client, nil)
	term := d.Status().Term
	d.scale.sendOrders(scaleRound{term: term, plannedAt: clock.Now().Add(-maxRoundAge)}, []capacity.Order{newOrder(3)})
	d.scale.sendOrders(scaleRound{term: term - 1, plannedAt: clock.Now()}, []capacity.Order{newOrder(3)})
	require.Empty(t, client.sent())
	require.Empty(t, recordedOrders(d))
}

// TestDemandIsRecordedWhileOrdersAreSent checks that new demand reaches the planners while orders are being
// sent, and that demand of services without scaling is dropped.
func TestDemandIsRecordedWhileOrdersAreSent(t *testing.T) {
	started, release := make(chan struct{}, 100), make(chan struct{})
	client := &fakeDutyClient{answer: func(ScaleSend) DutyOutcome {
		started <- struct{}{}
		<-release
		return DutyAccepted
	}}
	d, _ := startSingleReplica(t, client, nil)
	defer close(release)
	putScaledService(t, d)
	demandsRecorded := func() bool {
		d.scale.mutex.Lock()
		defer d.scale.mutex.Unlock()
		return len(d.scale.demands) == 0
	}
	require.Eventually(t, func() bool {
		d.heartbeats.recordReported(clock.Now(), []string{"e0", "e1"})
		_, err := d.call(t.Context(), *highDemand())
		require.NoError(t, err)
		return len(started) > 0
	}, time.Minute, 20*time.Millisecond)
	call := highDemand()
	call.Demands = append(call.Demands, capacity.Demand{Service: "other", Waiting: 1})
	_, err := d.call(t.Context(), *call)
	require.NoError(t, err)
	require.Eventually(t, demandsRecorded, time.Minute, time.Millisecond)
	require.True(t, d.scale.sending.Load())
}

// TestOrdersWaitForLeaseOfOtherHolder checks that an action of another holder blocks orders for its zone
// until its lease has expired, and does not block other zones.
func TestOrdersWaitForLeaseOfOtherHolder(t *testing.T) {
	client := &fakeDutyClient{}
	d, _ := startSingleReplica(t, client, func(settings *config.Directory) { settings.DutyLease = time.Hour })
	action := &duty.Action{Subject: scaleSubjectPrefix + "s/z", Holder: "other", At: 1}
	_, err := d.execute(t.Context(), directory.Command{Act: action})
	require.NoError(t, err)
	d.scale.sendOrders(newRound(d), []capacity.Order{newOrder(3)})
	require.Empty(t, client.sent())
	require.Empty(t, recordedOrders(d))
	otherZone := newOrder(3)
	otherZone.Wish.Zone = "y"
	d.scale.sendOrders(newRound(d), []capacity.Order{otherZone})
	require.Len(t, client.sent(), 1)
}

// TestNoOrderIsSentWithoutRecord checks that nothing is sent after the process lost its quorum, or if it
// stalled after recording the action.
func TestNoOrderIsSentWithoutRecord(t *testing.T) {
	source := &clock.Suspendable{}
	defer clock.Use(source)()
	client := &fakeDutyClient{}
	d, stop := startSingleReplica(t, client, nil)
	// The action is recorded, but the suspension exceeds the time limit for sending.
	subject := scaleSubjectPrefix + "s/z"
	outcome, err := d.duties.act(subject, []directory.Command{{Order: &capacity.Order{}}}, func(_ context.Context, send DutySend) DutyOutcome {
		source.Suspend(time.Minute)
		require.Negative(t, clock.Until(send.SendBy), "SendBy must have passed after the suspension")
		return DutyBusy
	})
	require.NoError(t, err)
	require.Equal(t, DutyBusy, outcome)
	stop()
	d.scale.sendOrders(newRound(d), []capacity.Order{newOrder(3)})
	require.Empty(t, client.sent())
}

// putScaledService registers a scalable service with two engines.
func putScaledService(t *testing.T, d *Directory) {
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

// highDemand returns a call that reports far more demand than two engines can serve.
func highDemand() *directoryCall {
	return &directoryCall{Demands: []capacity.Demand{{
		Service: "s", Running: 4, Waiting: 400, Work: []capacity.Work{{DueMillis: 7000, SlotMillis: 400000}},
	}}}
}

// TestDemandCausesOneOrder checks that reported demand leads to exactly one order, and to none if HoldOrders
// is set, although the order is planned.
func TestDemandCausesOneOrder(t *testing.T) {
	for _, hold := range []bool{false, true} {
		client := &fakeDutyClient{}
		d, _ := startSingleReplica(t, client, func(settings *config.Directory) { settings.HoldOrders = hold })
		putScaledService(t, d)
		currentReason := func() capacity.Reason {
			d.heartbeats.recordReported(clock.Now(), []string{"e0", "e1"})
			_, err := d.call(t.Context(), *highDemand())
			require.NoError(t, err)
			d.scale.mutex.Lock()
			defer d.scale.mutex.Unlock()
			plan := d.scale.plans["s"]
			if len(plan.Orders) > 0 || plan.Pools[capacity.Pool{Zone: "z"}].Ordered == 6 {
				return plan.Reason
			}
			return capacity.Unknown
		}
		require.Eventually(t, func() bool { return currentReason() == capacity.Late }, time.Minute, 20*time.Millisecond)
		if hold {
			require.Empty(t, client.sent())
			continue
		}
		require.Eventually(t, func() bool {
			orders := recordedOrders(d)
			return len(orders) == 1 && orders[0].Answer == capacity.Accepted
		}, time.Minute, time.Millisecond)
		require.Equal(t, capacity.Target{Service: "s", Zone: "z", Count: 6}, client.sent()[0].Target)
		require.Len(t, client.sent(), 1)
	}
}

// TestScalingDisabledWithoutDuty checks that nothing is planned if the scaling duty is not configured.
func TestScalingDisabledWithoutDuty(t *testing.T) {
	d, _ := startSingleReplica(t, &fakeDutyClient{}, func(settings *config.Directory) { settings.Duties = []string{config.DutyUsage} })
	putScaledService(t, d)
	_, err := d.call(t.Context(), *highDemand())
	require.NoError(t, err)
	d.scale.review(d.view.Load())
	require.Empty(t, d.scale.plans)
	require.Empty(t, d.scale.demands)
}

// TestFleetIncludesZonesWithOrders checks that the zones of a fleet include those added for orders, without
// duplicates.
func TestFleetIncludesZonesWithOrders(t *testing.T) {
	fleet := newFleet(directory.NewCatalog(), routing.Service{Name: "s", Scale: &routing.Scale{Most: 3, ZonePrices: map[string]float64{"a": 1}}}, false)
	require.Equal(t, []string{"a"}, fleet.Zones)
	fleet.AddZone("b")
	fleet.AddZone("a")
	require.Equal(t, []string{"a", "b"}, fleet.Zones)
}
