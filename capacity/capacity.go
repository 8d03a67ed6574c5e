// Package capacity plans how many backends each service runs in each zone. It does no I/O and reads no
// clock: the caller passes in the registered backends, the demand and the current time.
package capacity

// Demand is the outstanding work of a service's open steps, as reported by the ledger's leader.
type Demand struct {
	Service string `cbor:"1,keyasint"`
	// Running and Waiting count the samples that are assigned to an engine and those still queued.
	Running int `cbor:"2,keyasint"`
	Waiting int `cbor:"3,keyasint"`
	// Work is the remaining work of the open samples, grouped by due time.
	Work []Work `cbor:"4,keyasint,omitempty"`
}

// Work is an amount of work with a common due time.
type Work struct {
	// DueMillis is the time until the work is due; negative if it is overdue.
	DueMillis int64 `cbor:"1,keyasint"`
	// SlotMillis is how long the work takes in one slot of an engine of median speed.
	SlotMillis float64 `cbor:"2,keyasint"`
}

// Target is the target number of backends of one kind for a service in a zone. The zone's limits apply
// to the sum of both kinds.
type Target struct {
	Service     string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Reclaimable bool   `cbor:"3,keyasint,omitempty"`
	Count       int    `cbor:"4,keyasint"`
}

// Pool returns the pool that the target applies to.
func (t Target) Pool() Pool { return Pool{Zone: t.Zone, Reclaimable: t.Reclaimable} }

// Pool identifies a service's backends of one kind in one zone.
type Pool struct {
	Zone        string
	Reclaimable bool
}

// String returns the pool's name for logs and for the directory's keys of orders.
func (p Pool) String() string {
	if p.Reclaimable {
		return p.Zone + " reclaimable"
	}
	return p.Zone
}

// Kind returns the pool's kind as shown in metrics.
func (p Pool) Kind() string {
	if p.Reclaimable {
		return "reclaimable"
	}
	return "lasting"
}

// Order is a request to the platform to set a pool's number of backends. It is recorded before it is
// sent, so that the next leader can continue from it.
type Order struct {
	// Wish is the ordered target. Golden tests of other builds compare the field by this name.
	Wish Target `cbor:"1,keyasint"`
	// Before is the pool's target count before this order. Held is the highest count that earlier
	// orders may have reached: one without an answer may have been carried out, or may yet be.
	Before int `cbor:"2,keyasint"`
	Held   int `cbor:"5,keyasint,omitempty"`
	// Number increases with each order of the pool.
	Number uint64 `cbor:"3,keyasint"`
	Answer Answer `cbor:"4,keyasint,omitempty"`
}

// Count returns the target count in force: that of this order, or the previous one if the platform
// rejected it.
func (o Order) Count() int {
	if o.wasRejected() {
		return o.Before
	}
	return o.Wish.Count
}

func (o Order) wasRejected() bool { return o.Answer == Exhausted || o.Answer == Refused }

// MaxCount returns the highest number of backends that this order and earlier ones may produce.
func (o Order) MaxCount() int {
	switch o.Answer {
	case Accepted:
		return o.Wish.Count
	case Open:
		return max(o.Wish.Count, o.Held)
	}
	return max(o.Before, o.Held)
}

// Answer is the platform's answer to an order.
type Answer uint8

const (
	// Open means that no answer was received: the order may have been carried out, or may yet be.
	Open Answer = iota
	// Accepted means that the platform accepted the order.
	Accepted
	// Exhausted means that the platform has no capacity for the pool at present.
	Exhausted
	// Refused means that the order will never be carried out.
	Refused
)

// String returns the answer's name for logs.
func (a Answer) String() string {
	names := [...]string{"open", "taken", "exhausted", "refused"}
	if int(a) >= len(names) {
		// Recorded by a newer build.
		return "unknown"
	}
	return names[a]
}
