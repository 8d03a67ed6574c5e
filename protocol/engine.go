package protocol

// EngineMessage is what a node and an engine it owns say to each other. The
// runtime carries it over the engine's own HTTP interface. Exactly one pointer is set.
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

// EngineStart asks an engine to run one attempt.
type EngineStart struct {
	// Attempt is unique among all attempts of all nodes.
	Attempt string `json:"attempt"`
	// Request names the request in the engine's records.
	Request   string   `json:"request"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Prompt    string   `json:"prompt"`
	Resume    []uint32 `json:"resume,omitempty"`
	MaxTokens uint32   `json:"max_tokens"`
	Priority  uint8    `json:"priority"`
}

// EngineCancel asks an engine to end an attempt.
type EngineCancel struct {
	Attempt string `json:"attempt"`
}

// EngineOrder is a fenced order. The engine refuses an epoch below the highest
// it has seen and, within an epoch, a sequence that is not above the last.
type EngineOrder struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	// Model and Version are what to load; version 0 only raises the fence.
	Model   string `json:"model,omitempty"`
	Version uint64 `json:"version,omitempty"`
}

// EngineProbe asks an engine for a report.
type EngineProbe struct{}

// EngineChunk is a part of an attempt's tokens.
type EngineChunk struct {
	Attempt string `json:"attempt"`
	// Index counts the attempt's chunks from 0.
	Index uint32 `json:"index"`
	Epoch uint64 `json:"epoch"`
	// Version is the one that generated the tokens; 0 is no stamp.
	Version uint64   `json:"version"`
	Tokens  []uint32 `json:"tokens"`
	Done    bool     `json:"done,omitempty"`
}

// EngineRefused tells that the engine did not run the attempt.
type EngineRefused struct {
	Attempt string `json:"attempt"`
	Reason  string `json:"reason"`
}

// The reasons for which an engine refuses an attempt or an order.
const (
	RefusedFenced   = "fenced"
	RefusedFull     = "full"
	RefusedLeaving  = "leaving"
	RefusedUnloaded = "unloaded"
	// RefusedConnect is the runtime's own: no connection came about, so no
	// byte of the request reached the engine.
	RefusedConnect = "connect"
)

// EngineLost tells that the attempt's stream ended without its last chunk.
type EngineLost struct {
	Attempt string
}

// EngineOrderResult tells how an order ended.
type EngineOrderResult struct {
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	// Done is false if the order was refused or failed partway: the engine's
	// version is then unknown until its next report.
	Done   bool   `json:"done"`
	Reason string `json:"reason,omitempty"`
}

// EngineReport is an engine's word about itself, somewhat out of date.
type EngineReport struct {
	Engine string `json:"engine"`
	// Incarnation changes when the engine restarts.
	Incarnation uint64 `json:"incarnation"`
	// Epoch is the highest the engine has seen; Sequence the last order it
	// took up under it.
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	Model    string `json:"model"`
	// Version is 0 while none is wholly loaded.
	Version uint64 `json:"version"`
	Slots   int    `json:"slots"`
	Running int    `json:"running"`
	Leaving bool   `json:"leaving"`
}
