// Package intake bounds what the clients of a process can make it hold: connections, request heads and bodies, what they
// decode to, and answers that are not read. Each client, which is one connection, has limits, and the process has budgets
// for all of them. A client that exceeds a limit is refused or closed. When a budget is used up, the connection that has
// waited longest for a whole request is closed, or the newest request is refused.
package intake

import (
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// memoryDivisor sets the part of a process's memory, 1/memoryDivisor, that is the budget for its clients' data.
	memoryDivisor = 3
	// replicationDivisor sets that for messages between replicas.
	replicationDivisor = 6
	// defaultMemoryBytes is each budget of a process without a memory limit.
	defaultMemoryBytes = 512 << 20
	// connectionMemoryDivisor sets the part of a process's memory for connections, of which each may take connectionBytes:
	// its buffers, stacks, and what needs no reservation.
	connectionMemoryDivisor = 4
	connectionBytes         = 32 << 10
	// reservedDescriptors are kept for files, and outgoingDivisor sets the part of the others, 1/outgoingDivisor, that is
	// kept for connections to other processes.
	reservedDescriptors = 100
	outgoingDivisor     = 2
	// minConnections and maxConnections bound the number of connections in any process.
	minConnections = 32
	maxConnections = 1 << 16
	mebibyte       = 1 << 20
)

// Capacity is what a process has for its clients.
type Capacity struct {
	// MemoryBytes is the budget for the data of all clients.
	MemoryBytes int64
	// ReplicationBytes is the budget for messages between replicas, so that these arrive while clients use up theirs.
	ReplicationBytes int64
	// Connections is the maximum number of their open connections.
	Connections int
}

// NewCapacity returns the capacity of a process with the memory limit in MiB, or 0 for none, and the limit on open
// descriptors, or 0 for that of the operating system.
func NewCapacity(memoryLimit, descriptorLimit int) Capacity {
	if descriptorLimit == 0 {
		descriptorLimit = systemDescriptorLimit()
	}
	capacity := Capacity{MemoryBytes: defaultMemoryBytes, ReplicationBytes: defaultMemoryBytes, Connections: (descriptorLimit - reservedDescriptors) / outgoingDivisor}
	if memoryLimit > 0 {
		memoryBytes := memoryLimit * mebibyte
		capacity.MemoryBytes, capacity.ReplicationBytes = int64(memoryBytes/memoryDivisor), int64(memoryBytes/replicationDivisor)
		capacity.Connections = min(capacity.Connections, memoryBytes/connectionMemoryDivisor/connectionBytes)
	}
	capacity.Connections = min(max(capacity.Connections, minConnections), maxConnections)
	return capacity
}

// systemDescriptorLimit returns the operating system's limit on the open descriptors of this process.
func systemDescriptorLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > 2*maxConnections {
		return 2 * maxConnections
	}
	return int(limit.Cur)
}

// Limits are those of one client.
type Limits struct {
	// HeaderBytes bounds the head of a request.
	HeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a head to its end.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time without a request, and without progress of a body or an answer.
	IdleTimeout time.Duration
}

// DefaultLimits apply where nothing else is configured.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: http.DefaultMaxHeaderBytes, HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
}

// Intake holds the budgets of a process.
type Intake struct {
	// Memory is the budget for the data of all clients.
	Memory *Budget
	// Replication is the budget for messages between replicas.
	Replication *Budget
	connections *connections
	counters    counters
	// lingering bounds the refused connections that are still open.
	lingering chan struct{}
}

// maxLingering bounds the refused connections that are open until their clients have read the refusal.
const maxLingering = 16

// New returns the budgets of a process with the capacity.
func New(capacity Capacity) *Intake {
	return &Intake{
		Memory: NewBudget(capacity.MemoryBytes), Replication: NewBudget(capacity.ReplicationBytes), connections: newConnections(capacity.Connections),
		lingering: make(chan struct{}, maxLingering),
	}
}
