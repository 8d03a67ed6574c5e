// Package runner distributes the runs of samples over the stores of a deployment. The leader of the
// ledger assigns a sample to an engine. Another store, the runner, reads the engine's stream and reports
// its events to the leader in batches. This keeps the load of the streams away from the leader, whose
// heartbeats must not be delayed, and lets runs survive a change of leader. Pool is the leader's side and
// Server the runner's.
package runner

import (
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// Request is a request to run a sample on an engine, from the start or after a partial text.
type Request struct {
	Backend directory.Backend
	// Step is the ID of the sample's step, Host the host name of its route.
	Step, Host string
	// Tenant is the step's tenant, empty in a deployment without tenants.
	Tenant string
	Sample *ledger.Sample
	// Text is the partial text that the run continues.
	Text scheduler.Text
	// KnownCrashes and KnownKindCrashes are the crashes of the sample and of its kind that the leader
	// knows of; see quarantine.Verdict.
	KnownCrashes, KnownKindCrashes int
	// DecidedAt is when the leader decided to start the run.
	DecidedAt time.Time
}

// Event is one complete event of an engine's stream.
type Event struct {
	ID   uint64
	Data string
	// Version is the version of the weights that generated the event.
	Version uint64
}

// isValid reports whether the event can be part of a result, which is a text in UTF-8 that names its versions.
func (e Event) isValid() bool { return e.Version > 0 && utf8.ValidString(e.Data) }

// Engine runs samples on engines.
type Engine interface {
	// Run passes the sample's events to onEvent until the run ends.
	Run(ctx context.Context, request Request, onEvent func(Event)) scheduler.RunEnd
}

// Batch holds consecutive events of a run.
type Batch struct {
	// First is the ID of the first event.
	First uint64 `cbor:"1,keyasint,omitempty"`
	// Events holds the data of the events.
	Events []string `cbor:"2,keyasint,omitempty"`
	// Versions lists the versions of the weights that generated the events.
	Versions []uint64 `cbor:"3,keyasint,omitempty"`
}

// isValid reports whether the events can be part of a result. A runner of an earlier build may report texts that are
// not valid UTF-8, and an unknown version as 0.
func (b Batch) isValid() bool {
	if len(b.Events) > 0 && len(b.Versions) == 0 || slices.Contains(b.Versions, 0) {
		return false
	}
	return !slices.ContainsFunc(b.Events, func(text string) bool { return !utf8.ValidString(text) })
}
