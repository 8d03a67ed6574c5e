package server

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/routing"
)

// newCallerServer returns the server of the gateway's callers.
func (g *Gateway) newCallerServer(callers http.Handler) *intake.Server {
	options := intake.ServerOptions{Weight: mainWeight, Limits: func() intake.Limits { return clientLimits(g.watcher.Catalog().Limits) }}
	return g.intake.NewServer(g.closeConnections(callers), options)
}

// Intake returns the budgets for callers.
func (g *Gateway) Intake() *intake.Intake { return g.intake }

// clientLimits returns the limits that the configuration sets for each client, with defaults for those that it does not set.
func clientLimits(configured routing.Limits) intake.Limits {
	limits := intake.DefaultLimits()
	if configured.HeaderBytes > 0 {
		limits.HeaderBytes = configured.HeaderBytes
	}
	if configured.HeaderReadMillis > 0 {
		limits.HeaderTimeout = time.Duration(min(configured.HeaderReadMillis, maxLimitMillis)) * time.Millisecond
	}
	if configured.IdleTimeoutMillis > 0 {
		limits.IdleTimeout = time.Duration(min(configured.IdleTimeoutMillis, maxLimitMillis)) * time.Millisecond
	}
	return limits
}

// pageCopies is how often the texts of a page are held while it is written: encoded, with room for signs that are escaped.
const pageCopies = 2

// freePageBytes of each page need no reservation.
const freePageBytes = 32 << 10

// ReservePage reserves, until the scope ends, the memory to write results to a caller.
func (g *Gateway) ReservePage(scope *intake.Scope, results []ledger.Result) error {
	size := 0
	for _, result := range results {
		size += len(result.Text)
	}
	memory := g.intake.Memory.NewReservation(freePageBytes)
	if err := memory.Resize(int64(pageCopies * size)); err != nil {
		g.intake.CountRefused()
		return err
	}
	scope.Add(memory)
	return nil
}

// maxLimitMillis is the highest time limit in force, whatever the configuration says.
const maxLimitMillis = 24 * 60 * 60 * 1000

// collectIntake emits what the clients use of the process's budgets.
func collectIntake(emit chan<- prometheus.Metric, status intake.Status) {
	gauge(emit, "client_connections", "Open connections of clients.", float64(status.Connections))
	gauge(emit, "client_connections_limit", "The budget of connections of clients.", float64(status.MaxConnections))
	gauge(emit, "client_memory_bytes", "Memory reserved for the data of clients.", float64(status.MemoryBytes))
	gauge(emit, "client_memory_limit_bytes", "The budget of memory for the data of clients.", float64(status.MaxMemoryBytes))
	const name, help = "client_refusals_total", "Requests and connections of clients refused or closed, by cause."
	counter(emit, name, help, status.Refused, "cause", "no_room")
	counter(emit, name, help, status.HeadsTooLarge, "cause", "head_too_large")
	counter(emit, name, help, status.HeadsLate, "cause", "head_late")
	counter(emit, name, help, status.Evicted, "cause", "evicted")
	counter(emit, name, help, status.Idle, "cause", "idle")
}
