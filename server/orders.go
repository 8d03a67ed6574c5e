package server

import (
	"sync"
	"time"

	"github.com/dillchute/dillchute/ledger"
)

// processStart is the origin of the time that decisions are made by.
var processStart = time.Now()

// nowMillis returns the time in milliseconds since 1970 as it was at the start of
// the process, counted on by the steady clock: a step of the time of day does not
// move it.
func nowMillis() int64 {
	return processStart.UnixMilli() + time.Since(processStart).Milliseconds()
}

// orderWatch remembers when this replica learnt of each engine's newest order. A
// replica learns of an order after it was recorded, so a lease that is counted
// from then ends no earlier than the holder's, whatever the clocks say.
type orderWatch struct {
	mutex sync.Mutex
	seen  map[string]seenOrder
}

type seenOrder struct {
	order ledger.Order
	at    int64
}

func newOrderWatch() *orderWatch { return &orderWatch{seen: map[string]seenOrder{}} }

// note takes in the newest orders.
func (w *orderWatch) note(now int64, orders map[string]ledger.Order) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for id, order := range orders {
		if w.seen[id].order != order {
			w.seen[id] = seenOrder{order: order, at: now}
		}
	}
	for id := range w.seen {
		if _, ok := orders[id]; !ok {
			delete(w.seen, id)
		}
	}
}

// heldByOthers returns when this replica learnt of the engines' orders that
// another process gave.
func (w *orderWatch) heldByOthers(holder string) map[string]int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	held := map[string]int64{}
	for id, seen := range w.seen {
		if seen.order.Holder != holder {
			held[id] = seen.at
		}
	}
	return held
}
