package server

import (
	"context"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/ledger"
	"github.com/dillchute/dillchute/scheduler"
)

// RunRequest is a sample to be run, or continued after an event, on an engine.
type RunRequest struct {
	Backend directory.Backend
	Host    string
	Sample  *ledger.Sample
	// After is the ID of the last event that is kept; 0 begins anew.
	After uint64
}

// RunEvent is one whole event of an engine's stream.
type RunEvent struct {
	ID   uint64
	Data string
	// Version of the weights that made it.
	Version uint64
}

// EngineReport is what an engine says it holds, as of some time ago.
type EngineReport struct {
	// Sequence counts the orders that the engine has taken.
	Sequence uint64
	Busy     bool
	Models   []directory.ModelVersion
}

// LoadAnswer is an engine's answer to an order.
type LoadAnswer uint8

// The answers.
const (
	// LoadStarted: the engine loads.
	LoadStarted LoadAnswer = iota + 1
	// LoadHeld: the engine holds the version.
	LoadHeld
	// LoadConflict: another order is under way, or the sequence was another.
	LoadConflict
	// LoadRefused: the engine does not take the order.
	LoadRefused
	// LoadUnanswered: the engine may carry the order out, now or later.
	LoadUnanswered
)

// LoadRequest orders an engine to load a version.
type LoadRequest struct {
	Order scheduler.Order
	// Holder and Fence name who orders; a higher fence voids lower ones.
	Holder string
	Fence  uint64
	// Sequence is the number of orders that the engine must have taken before.
	Sequence uint64
}

// EngineClient speaks to engines.
type EngineClient interface {
	// Run streams the sample's events to the function until the run ends.
	Run(ctx context.Context, request RunRequest, each func(RunEvent)) scheduler.RunEnd
	Load(ctx context.Context, request LoadRequest) LoadAnswer
	Report(ctx context.Context, backend directory.Backend) (EngineReport, error)
}
