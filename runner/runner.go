// Package runner spreads the runs of samples over the stores of a deployment. The
// leader of the ledger decides which engine runs a sample; another store, the run's
// runner, holds the stream of the engine and reports what comes to the leader, many
// events at once. A leader that held hundreds of streams itself would spend its
// processor on them, and be late with its heartbeats to the other replicas; and with it
// all of its streams would be lost.
//
// Pool is the leader's side and Server the runner's. Between them stands a link: one
// HTTP request, whose body carries commands and whose answer carries reports. Either
// side ends a link that has been silent for too long.
//
// Runs outlive their link for a short time. The next link brings them back, so that a
// new leader goes on with what an earlier one has begun. Links carry the term of their
// leader: a runner serves the newest term that it has seen, by one link at a time.
package runner

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// Request is a sample to be run, or continued after a text, on an engine.
type Request struct {
	Backend directory.Backend
	// Step is the ID of the sample's step, and Host the host of its route.
	Step, Host string
	// Tenant is the name of the step's tenant, "" where there are none.
	Tenant string
	Sample *ledger.Sample
	// Text is what there is of the sample's text; without events the run begins anew.
	Text scheduler.Text
	// Known and KindKnown are the numbers of crashes of the sample and of its kind that the leader
	// knew of; see quarantine.Verdict.
	KnownCrashes, KnownKindCrashes int
	// DecidedAt is when the leader decided on the run.
	DecidedAt time.Time
}

// Event is one whole event of an engine's stream.
type Event struct {
	ID   uint64
	Data string
	// Version of the weights that made it.
	Version uint64
}

// Engine speaks to engines.
type Engine interface {
	// Run streams the sample's events to the function until the run ends.
	Run(ctx context.Context, request Request, onEvent func(Event)) scheduler.RunEnd
}

// Batch is a part of a run's text: events that follow each other.
type Batch struct {
	// First is the ID of the first event.
	First uint64 `cbor:"1,keyasint,omitempty"`
	// Events holds their data.
	Events []string `cbor:"2,keyasint,omitempty"`
	// Versions are those of the weights that made the events, 0 for unknown.
	Versions []uint64 `cbor:"3,keyasint,omitempty"`
}
