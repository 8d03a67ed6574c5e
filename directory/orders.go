package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dillchute/dillchute/capacity"
)

// putOrder stores an order of backends or the answer to one. It ignores answers to older orders, and a
// different order with the current number, which comes from a delayed holder of the duty.
func (m *Machine) putOrder(order capacity.Order) {
	key := orderKey(order.Wish)
	current, exists := m.state.Orders[key]
	if order.Number < current.Number || exists && order.Number == current.Number && order.Wish != current.Wish {
		return
	}
	m.state.Orders[key] = order
}

func orderKey(target capacity.Target) string {
	return target.Service + " " + target.Pool().String()
}

// Orders returns the newest order of each of the service's pools, sorted by pool.
func (m *Machine) Orders(service string) []capacity.Order {
	var orders []capacity.Order
	for _, order := range m.state.Orders {
		if order.Wish.Service == service {
			orders = append(orders, order)
		}
	}
	slices.SortFunc(orders, func(a, b capacity.Order) int { return cmp.Compare(orderKey(a.Wish), orderKey(b.Wish)) })
	return orders
}

// removeObsoleteOrders drops the orders of services that no longer exist.
func (m *Machine) removeObsoleteOrders() {
	maps.DeleteFunc(m.state.Orders, func(_ string, order capacity.Order) bool {
		return m.state.Services[order.Wish.Service] == nil
	})
}
