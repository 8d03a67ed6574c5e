package intake

import "sync/atomic"

// counters are the totals of a process.
type counters struct {
	refused             [refusalCount]atomic.Uint64
	evicted, idleClosed atomic.Uint64
}

// Status is a process's use of its budgets, and the totals since its start.
type Status struct {
	Connections, MaxConnections int
	MemoryBytes, MaxMemoryBytes int64
	// Refused counts the requests and connections refused for lack of room, HeadsTooLarge and HeadsLate those whose head
	// exceeded the limit or was not whole in time.
	Refused, HeadsTooLarge, HeadsLate uint64
	// Evicted counts the connections closed for a new one, Idle those closed after IdleTimeout.
	Evicted, Idle uint64
}

// Status returns the current status.
func (i *Intake) Status() Status {
	return Status{
		Connections: i.connections.open(), MaxConnections: i.connections.limit,
		MemoryBytes: i.Memory.Reserved(), MaxMemoryBytes: i.Memory.Limit(),
		Refused: i.counters.refused[refusalBusy].Load(), HeadsTooLarge: i.counters.refused[refusalHeadTooLarge].Load(),
		HeadsLate: i.counters.refused[refusalHeadTimeout].Load(), Evicted: i.counters.evicted.Load(), Idle: i.counters.idleClosed.Load(),
	}
}

// CountRefused counts a request that a handler has refused for lack of room.
func (i *Intake) CountRefused() { i.counters.refused[refusalBusy].Add(1) }
