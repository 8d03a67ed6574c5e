package protocol

// EngineMessage is a message between a node and an engine that it owns. The runtime translates it to
// and from the engine's HTTP API. Exactly one pointer is set.
type EngineMessage struct {
	Start       *EngineStart
	Cancel      *EngineCancel
	Order       *EngineOrder
	Probe       *EngineProbe
	Chunk       *EngineChunk
	Refused     *EngineRefused
	Lost        *EngineLost
	OrderResult *EngineOrderResult
	Report      *EngineReport
}

// EngineStart starts an attempt of a request on an engine.
type EngineStart struct {
	// Attempt is unique among all attempts of all nodes.
	Attempt string `json:"attempt"`
	// Request identifies the request in the engine's logs.
	Request   string   `json:"request"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Prompt    string   `json:"prompt"`
	Resume    []uint32 `json:"resume,omitempty"`
	MaxTokens uint32   `json:"max_tokens"`
	Priority  uint8    `json:"priority"`
}

// EngineCancel cancels an attempt.
type EngineCancel struct {
	Attempt string `json:"attempt"`
}

// EngineOrder tells an engine to load a version of a model. The engine refuses an epoch below the
// highest that it has seen and, within an epoch, a sequence that does not increase.
type EngineOrder struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	// Model and Version are what to load. Version 0 loads nothing and only raises the engine's epoch.
	Model   string `json:"model,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// EngineProbe requests an EngineReport.
type EngineProbe struct{}

// EngineChunk carries consecutive tokens of an attempt.
type EngineChunk struct {
	Attempt string `json:"attempt"`
	// Index is the position of the chunk in the attempt, from 0.
	Index uint32 `json:"index"`
	Epoch uint64 `json:"epoch"`
	// Version is the version of the weights that generated the tokens, 0 if unknown.
	Version uint64   `json:"version"`
	Tokens  []uint32 `json:"tokens"`
	Done    bool     `json:"done,omitempty"`
}

// EngineRefused reports that the engine did not run the attempt.
type EngineRefused struct {
	Attempt string `json:"attempt"`
	Reason  string `json:"reason"`
}

// Reasons for refusing an attempt or an order.
const (
	RefusedFenced   = "fenced"
	RefusedFull     = "full"
	RefusedLeaving  = "leaving"
	RefusedUnloaded = "unloaded"
	// RefusedConnect is set by the runtime if it could not connect to the engine, so that no byte of the
	// request was sent.
	RefusedConnect = "connect"
)

// EngineLost reports that the attempt's stream ended before its last chunk.
type EngineLost struct {
	Attempt string
}

// EngineOrderResult is the result of an order.
type EngineOrderResult struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	// Done is false if the order was refused or failed. The engine's version is then unknown until its
	// next report.
	Done   bool   `json:"done"`
	Reason string `json:"reason,omitempty"`
}

// EngineReport is the state of an engine, as reported by the engine. It may be out of date.
type EngineReport struct {
	Engine string `json:"engine"`
	// Incarnation changes when the engine restarts.
	Incarnation uint64 `json:"incarnation"`
	// Epoch is the highest epoch that the engine has seen, Sequence that of the last order it accepted in
	// this epoch.
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	Model    string `json:"model"`
	// Version is 0 while no version is completely loaded.
	Version uint64 `json:"version"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
}
