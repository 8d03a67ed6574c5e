package model

import (
	"sort"

	"github.com/dillchute/dillchute/protocol"
)

// Config describes an engine.
type Config struct {
	Name        string
	Incarnation uint64
	Model       string
	Slots       int
	// A step takes StepMillis plus StepMillisPerStream for each running stream.
	StepMillis          float64
	StepMillisPerStream float64
	// ChunkTokens is the number of tokens in a chunk.
	ChunkTokens int
	// SwapMillis is the time to load weights after they have been fetched.
	SwapMillis int64
}

// Reply is a message to the peer of the connection To.
type Reply struct {
	To      string
	Message protocol.EngineMessage
}

// FetchWeights is a request to the weight store.
type FetchWeights struct {
	Model   string
	Version uint64
}

// Record is an observation for the oracle: that an attempt began, or that a range of tokens was
// generated under one version.
type Record struct {
	Attempt string
	Request string
	Began   bool
	First   uint32
	Count   uint32
	Version uint64
}

type stream struct {
	to             string
	start          protocol.EngineStart
	generated      uint32
	answerLength   uint32
	nextChunk      uint32
	pending        []uint32
	pendingVersion uint64
	progress       float64
}

type swap struct {
	to      string
	order   protocol.EngineOrder
	fetched bool
	readyAt int64
}

// Engine simulates one engine. Its methods must not be called concurrently.
type Engine struct {
	config   Config
	now      int64
	epoch    uint64
	sequence uint64
	version  uint64
	leaving  bool
	streams  map[string]*stream
	swap     *swap
	replies  []Reply
	fetches  []FetchWeights
	records  []Record
}

// NewEngine returns an engine at epoch 0 without weights.
func NewEngine(config Config) *Engine {
	return &Engine{config: config, streams: map[string]*stream{}}
}

// SetLeaving sets whether the engine is leaving. A leaving engine refuses new streams.
func (e *Engine) SetLeaving(leaving bool) { e.leaving = leaving }

// TakeRecords returns the records since the last call.
func (e *Engine) TakeRecords() []Record {
	records := e.records
	e.records = nil
	return records
}

// TakeReplies returns and clears the messages to send.
func (e *Engine) TakeReplies() []Reply {
	replies := e.replies
	e.replies = nil
	return replies
}

// TakeFetches returns and clears the requests to the weight store.
func (e *Engine) TakeFetches() []FetchWeights {
	fetches := e.fetches
	e.fetches = nil
	return fetches
}

func (e *Engine) reply(to string, message protocol.EngineMessage) {
	e.replies = append(e.replies, Reply{To: to, Message: message})
}

// Receive processes a message that arrived over the connection from.
func (e *Engine) Receive(now int64, from string, message protocol.EngineMessage) {
	e.advance(now)
	switch {
	case message.Start != nil:
		e.receiveStart(from, message.Start)
	case message.Cancel != nil:
		delete(e.streams, message.Cancel.Attempt)
	case message.Order != nil:
		e.receiveOrder(from, message.Order)
	case message.Probe != nil:
		e.reply(from, protocol.EngineMessage{Report: &protocol.EngineReport{
			Engine: e.config.Name, Incarnation: e.config.Incarnation, Epoch: e.epoch, Sequence: e.sequence,
			Model: e.config.Model, Version: e.loadedVersion(), Slots: e.config.Slots,
			Running: len(e.streams), Leaving: e.leaving,
		}})
	}
}

func (e *Engine) loadedVersion() uint64 {
	if e.swap != nil {
		return 0
	}
	return e.version
}

func (e *Engine) receiveStart(from string, start *protocol.EngineStart) {
	if reason := e.refusalReason(start); reason != "" {
		e.reply(from, protocol.EngineMessage{Refused: &protocol.EngineRefused{Attempt: start.Attempt, Reason: reason}})
		return
	}
	e.advanceEpoch(start.Epoch)
	e.records = append(e.records, Record{Attempt: start.Attempt, Request: start.Request, Began: true})
	e.streams[start.Attempt] = &stream{
		to: from, start: *start, generated: uint32(len(start.Resume)),
		answerLength: Length(start.Prompt, start.MaxTokens),
	}
}

func (e *Engine) refusalReason(start *protocol.EngineStart) string {
	switch {
	case start.Epoch < e.epoch:
		return protocol.RefusedFenced
	case e.leaving:
		return protocol.RefusedLeaving
	case e.version == 0 || start.Model != e.config.Model:
		return protocol.RefusedUnloaded
	case len(e.streams) >= e.config.Slots:
		return protocol.RefusedFull
	}
	return ""
}

func (e *Engine) advanceEpoch(epoch uint64) {
	if epoch > e.epoch {
		e.epoch, e.sequence = epoch, 0
	}
}

func (e *Engine) receiveOrder(from string, order *protocol.EngineOrder) {
	stale := order.Epoch < e.epoch || (order.Epoch == e.epoch && order.Sequence <= e.sequence)
	if stale || (order.Version != 0 && e.swap != nil) {
		e.replyOrderResult(from, order, false, protocol.RefusedFenced)
		return
	}
	e.advanceEpoch(order.Epoch)
	e.sequence = order.Sequence
	if order.Version == 0 {
		e.replyOrderResult(from, order, true, "")
		return
	}
	e.swap = &swap{to: from, order: *order}
	e.fetches = append(e.fetches, FetchWeights{Model: order.Model, Version: order.Version})
}

func (e *Engine) replyOrderResult(to string, order *protocol.EngineOrder, done bool, reason string) {
	e.reply(to, protocol.EngineMessage{OrderResult: &protocol.EngineOrderResult{
		Epoch: order.Epoch, Sequence: order.Sequence, Done: done, Reason: reason,
	}})
}

// WeightsFetched handles the weight store's response to a fetch.
func (e *Engine) WeightsFetched(now int64, ok bool) {
	e.advance(now)
	if e.swap == nil {
		return
	}
	if !ok {
		e.FailSwap(now)
		return
	}
	e.swap.fetched, e.swap.readyAt = true, now+e.config.SwapMillis
}

// FailSwap aborts a load. The engine then has no weights, and all its streams end.
func (e *Engine) FailSwap(now int64) {
	e.now = now
	if e.swap == nil {
		return
	}
	e.replyOrderResult(e.swap.to, &e.swap.order, false, "load failed")
	e.swap, e.version = nil, 0
	for _, attempt := range e.sortedAttempts() {
		e.reply(e.streams[attempt].to, protocol.EngineMessage{Lost: &protocol.EngineLost{Attempt: attempt}})
	}
	e.streams = map[string]*stream{}
}

// Disconnect ends the streams of a closed connection.
func (e *Engine) Disconnect(to string) {
	for _, attempt := range e.sortedAttempts() {
		if e.streams[attempt].to == to {
			delete(e.streams, attempt)
		}
	}
}

// Running returns the number of running streams.
func (e *Engine) Running() int { return len(e.streams) }

// Swapping reports whether weights are being loaded.
func (e *Engine) Swapping() bool { return e.swap != nil }

// Tick advances the engine to the given time.
func (e *Engine) Tick(now int64) { e.advance(now) }

func (e *Engine) advance(now int64) {
	elapsed := now - e.now
	e.now = now
	if e.swap != nil {
		if e.swap.fetched && now >= e.swap.readyAt {
			e.version = e.swap.order.Version
			e.replyOrderResult(e.swap.to, &e.swap.order, true, "")
			e.swap = nil
		}
		return
	}
	if elapsed <= 0 || len(e.streams) == 0 {
		return
	}
	step := e.config.StepMillis + e.config.StepMillisPerStream*float64(len(e.streams))
	for _, attempt := range e.sortedAttempts() {
		e.generate(attempt, e.streams[attempt], float64(elapsed)/step)
	}
}

func (e *Engine) generate(attempt string, s *stream, steps float64) {
	s.progress += steps
	for s.progress >= 1 && s.generated < s.answerLength {
		s.progress--
		if s.pendingVersion != e.version {
			e.sendChunk(attempt, s, false)
			s.pendingVersion = e.version
		}
		s.pending = append(s.pending, Token(s.start.Prompt, s.generated))
		s.generated++
		if len(s.pending) >= e.config.ChunkTokens {
			e.sendChunk(attempt, s, false)
		}
	}
	if s.generated >= s.answerLength {
		s.pendingVersion = max(s.pendingVersion, 1)
		e.sendChunk(attempt, s, true)
		delete(e.streams, attempt)
	}
}

func (e *Engine) sendChunk(attempt string, s *stream, done bool) {
	if len(s.pending) == 0 && !done {
		return
	}
	count := uint32(len(s.pending))
	e.records = append(e.records, Record{
		Attempt: attempt, Request: s.start.Request,
		First: s.generated - count, Count: count, Version: s.pendingVersion,
	})
	e.reply(s.to, protocol.EngineMessage{Chunk: &protocol.EngineChunk{
		Attempt: attempt, Index: s.nextChunk, Epoch: s.start.Epoch,
		Version: s.pendingVersion, Tokens: s.pending, Done: done,
	}})
	s.nextChunk++
	s.pending = nil
}

func (e *Engine) sortedAttempts() []string {
	attempts := make([]string, 0, len(e.streams))
	for attempt := range e.streams {
		attempts = append(attempts, attempt)
	}
	sort.Strings(attempts)
	return attempts
}
