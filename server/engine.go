package server

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/runner"
	"github.com/dillchute/dillchute/scheduler"
)

// EngineReport is the state of an engine, as reported by the engine. It may be out of date.
type EngineReport struct {
	// StartTime is when the engine started, in Unix milliseconds, or 0 if unknown.
	StartTime int64
	// Sequence is the number of orders that the engine has accepted.
	Sequence uint64
	Busy     bool
	Models   []directory.ModelVersion
}

// LoadAnswer is an engine's answer to a load order.
type LoadAnswer uint8

const (
	// LoadStarted means that the engine is loading the version.
	LoadStarted LoadAnswer = iota + 1
	// LoadHeld means that the engine already holds the version.
	LoadHeld
	// LoadConflict means that another load is in progress or the sequence did not match.
	LoadConflict
	// LoadRefused means that the engine does not accept the order.
	LoadRefused
	// LoadUnanswered means that the engine may execute the order, now or later.
	LoadUnanswered
)

// LoadRequest is an order to an engine to load a version.
type LoadRequest struct {
	Order scheduler.LoadOrder
	// Holder and Fence identify the sender. A higher fence invalidates orders with a lower one.
	Holder string
	Fence  uint64
	// Sequence is the expected number of orders that the engine has accepted.
	Sequence uint64
	// SendBy is the deadline for writing the request, by package clock.
	SendBy time.Time
}

// EngineClient runs samples on engines, sends them load orders and queries their state.
type EngineClient interface {
	runner.Engine
	Load(ctx context.Context, request LoadRequest) LoadAnswer
	Report(ctx context.Context, backend directory.Backend) (EngineReport, error)
}
