package server

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

// EngineReport is what an engine says it holds, as of some time ago.
type EngineReport struct {
	// Born is when the engine started, in milliseconds since 1970, or 0 if it does not say.
	Born int64
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
	Order scheduler.LoadOrder
	// Holder and Fence name who orders; a higher fence voids lower ones.
	Holder string
	Fence  uint64
	// Sequence is the number of orders that the engine must have taken before.
	Sequence uint64
	// SendBy is until when the order may be written, by package clock.
	SendBy time.Time
}

// EngineClient speaks to engines.
type EngineClient interface {
	runner.Engine
	Load(ctx context.Context, request LoadRequest) LoadAnswer
	Report(ctx context.Context, backend directory.Backend) (EngineReport, error)
}
