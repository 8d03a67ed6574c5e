package directory

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/capacity"
	"github.com/dillchute/dillchute/routing"
)

// TestNewestOrderIsKept: the newest order of each pool is kept, also in snapshots, and answers to older
// orders are ignored.
func TestNewestOrderIsKept(t *testing.T) {
	m := NewMachine()
	services := []routing.Service{{Name: "s"}, {Name: "t"}}
	apply(t, m, Command{PutConfiguration: &PutConfiguration{Configuration: routing.Configuration{Version: 1, Services: services}}})
	revision := m.Revision()
	order := func(service, zone string, reclaimable bool, count int, number uint64, answer capacity.Answer) capacity.Order {
		target := capacity.Target{Service: service, Zone: zone, Reclaimable: reclaimable, Count: count}
		recorded := capacity.Order{Wish: target, Number: number, Before: 2, Answer: answer}
		apply(t, m, Command{Order: &recorded})
		return recorded
	}
	order("s", "a", false, 3, 1, capacity.Open)
	answered := order("s", "a", false, 3, 1, capacity.Accepted)
	reclaimableOrder := order("s", "a", true, 5, 1, capacity.Exhausted)
	order("s", "b", false, 4, 1, capacity.Open)
	newer := order("s", "b", false, 6, 2, capacity.Open)
	order("s", "b", false, 4, 1, capacity.Accepted)
	other := order("t", "a", false, 9, 1, capacity.Accepted)

	var snapshot bytes.Buffer
	require.NoError(t, m.Snapshot()(&snapshot))
	restored := NewMachine()
	require.NoError(t, restored.Restore(&snapshot))
	for _, machine := range []*Machine{m, restored} {
		require.Equal(t, []capacity.Order{answered, reclaimableOrder, newer}, machine.Orders("s"))
		require.Equal(t, []capacity.Order{other}, machine.Orders("t"))
		require.Equal(t, revision, machine.Revision(), "orders are not sent to watchers")
	}
	require.Equal(t, 3, answered.Count())
	require.Equal(t, 2, reclaimableOrder.Count(), "the order was rejected")

	apply(t, m, Command{PutConfiguration: &PutConfiguration{Configuration: routing.Configuration{Version: 2, Services: services[:1]}}})
	require.Len(t, m.Orders("s"), 3)
	require.Empty(t, m.Orders("t"), "the service was removed")
}

// TestOrdersWithSameNumber: a different target with the current number comes from a delayed holder and is
// ignored; the same target carries the answer.
func TestOrdersWithSameNumber(t *testing.T) {
	m := NewMachine()
	order := func(count int, answer capacity.Answer) {
		target := capacity.Target{Service: "s", Zone: "a", Count: count}
		apply(t, m, Command{Order: &capacity.Order{Wish: target, Number: 4, Answer: answer}})
	}
	order(6, capacity.Open)
	order(2, capacity.Open)
	require.Equal(t, 6, m.Orders("s")[0].Wish.Count)
	order(6, capacity.Accepted)
	order(2, capacity.Open)
	require.Equal(t, 6, m.Orders("s")[0].Wish.Count)
	require.Equal(t, capacity.Accepted, m.Orders("s")[0].Answer)
}

// TestSnapshotWithoutOrders: a snapshot without orders, as earlier builds wrote it, is read.
func TestSnapshotWithoutOrders(t *testing.T) {
	var snapshot bytes.Buffer
	require.NoError(t, NewMachine().Snapshot()(&snapshot))
	var keys map[int]any
	require.NoError(t, cbor.Unmarshal(snapshot.Bytes(), &keys))
	require.NotContains(t, keys, 20)
	m := NewMachine()
	require.NoError(t, m.Restore(&snapshot))
	apply(t, m, Command{Order: &capacity.Order{Wish: capacity.Target{Service: "s"}, Number: 1}})
	require.Len(t, m.Orders("s"), 1)
}
