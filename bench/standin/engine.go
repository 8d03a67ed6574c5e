package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/dillchute/dillchute/bench/model"
	"github.com/dillchute/dillchute/bench/oracle"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/protocol"
)

// Engine is a process that serves one model engine.
type Engine struct {
	Name                string        `required:"" help:"Name of the engine."`
	Address             string        `required:"" help:"IP address and port to listen on."`
	Model               string        `required:"" help:"Model that the engine serves."`
	Slots               int           `default:"16" help:"Streams batched at once."`
	StepMillis          float64       `default:"12" help:"Time of a step without streams, in milliseconds."`
	StepMillisPerStream float64       `default:"0.5" help:"Further time of a step for each stream, in milliseconds."`
	ChunkTokens         int           `default:"16" help:"Tokens in a chunk."`
	SwapMillis          int64         `default:"300" help:"Time from having fetched weights to using them, in milliseconds."`
	SwapFailPercent     int           `default:"0" help:"Share of loads that fail partway."`
	WeightStore         string        `required:"" help:"URL of the weight store."`
	Record              string        `help:"File to append the record to."`
	Tick                time.Duration `default:"10ms" help:"Time between steps of the model."`

	loop           *eventloop.Loop
	engine         *model.Engine
	recorder       *Recorder
	start          time.Time
	mailboxes      map[string]*eventloop.Mailbox[protocol.EngineMessage]
	lastConnection int
}

// Run listens on the address and serves until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	return e.Serve(ctx, listener)
}

// Serve serves until the context ends, then refuses new streams, waits for running ones, and stops.
func (e *Engine) Serve(ctx context.Context, listener net.Listener) error {
	recorder, err := NewRecorder(e.Record)
	if err != nil {
		return err
	}
	e.recorder, e.loop, e.start = recorder, eventloop.New(), time.Now()
	e.mailboxes = map[string]*eventloop.Mailbox[protocol.EngineMessage]{}
	e.engine = model.NewEngine(model.Config{
		Name: e.Name, Incarnation: uint64(e.start.UnixMilli()), Model: e.Model, Slots: e.Slots, StepMillis: e.StepMillis,
		StepMillisPerStream: e.StepMillisPerStream, ChunkTokens: e.ChunkTokens, SwapMillis: e.SwapMillis,
	})
	serveCtx, stop := context.WithCancel(context.Background())
	go func() {
		<-ctx.Done()
		e.drain()
		stop()
	}()
	go func() {
		// The loop ends with the context and flush never fails.
		_ = e.loop.Run(serveCtx, e.Tick, func() { e.engine.Tick(e.now()) }, e.flush)
	}()
	return serveListener(serveCtx, listener, e.routes())
}

// drain marks the engine as leaving and waits for its streams to end.
func (e *Engine) drain() {
	e.recorder.Record(oracle.Event{Leaving: &oracle.Leaving{Engine: e.Name, Leaving: true}})
	for {
		running, ok := eventloop.Call(e.loop, func() int {
			e.engine.SetLeaving(true)
			return e.engine.Running()
		})
		if !ok || running == 0 {
			return
		}
		time.Sleep(e.Tick)
	}
}

func (e *Engine) now() int64 { return time.Since(e.start).Milliseconds() }

func (e *Engine) flush() error {
	for _, record := range e.engine.TakeRecords() {
		if record.Began {
			e.recorder.Record(oracle.Event{Began: &oracle.Began{Engine: e.Name, Attempt: record.Attempt, Request: record.Request}})
			continue
		}
		e.recorder.Record(oracle.Event{Generated: &oracle.Generated{
			Engine: e.Name, Request: record.Request,
			Segment: oracle.Segment{Version: record.Version, First: record.First, Count: record.Count},
		}})
	}
	for _, reply := range e.engine.TakeReplies() {
		if box := e.mailboxes[reply.To]; box != nil {
			box.Put(reply.Message)
		}
	}
	for _, fetch := range e.engine.TakeFetches() {
		go e.fetchWeights(fetch)
	}
	return nil
}

func (e *Engine) fetchWeights(fetch model.FetchWeights) {
	query := url.Values{"model": {fetch.Model}, "version": {strconv.FormatUint(fetch.Version, 10)}}
	response, err := http.Get(e.WeightStore + "/v1/weights?" + query.Encode())
	ok := err == nil && response.StatusCode == http.StatusOK && rand.IntN(100) >= e.SwapFailPercent
	if err == nil {
		response.Body.Close()
	}
	e.loop.Submit(func() { e.engine.WeightsFetched(e.now(), ok) })
}

func (e *Engine) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/generate", e.generate).Methods(http.MethodPost)
	router.HandleFunc("/v1/orders", e.order).Methods(http.MethodPost)
	router.HandleFunc("/v1/status", e.status).Methods(http.MethodGet)
	return router
}

// send passes a message to the model over a new connection. It returns the mailbox of replies and a
// function that closes the connection.
func (e *Engine) send(message protocol.EngineMessage) (*eventloop.Mailbox[protocol.EngineMessage], func()) {
	box := eventloop.NewMailbox[protocol.EngineMessage]()
	var connection string
	e.loop.Submit(func() {
		e.lastConnection++
		connection = strconv.Itoa(e.lastConnection)
		e.mailboxes[connection] = box
		e.engine.Receive(e.now(), connection, message)
	})
	return box, func() {
		e.loop.Submit(func() {
			delete(e.mailboxes, connection)
			e.engine.Disconnect(connection)
		})
	}
}

func (e *Engine) generate(response http.ResponseWriter, request *http.Request) {
	var start protocol.EngineStart
	if !readJSON(response, request, &start) {
		return
	}
	box, end := e.send(protocol.EngineMessage{Start: &start})
	defer end()
	started := false
	for {
		messages, ok := box.Take(request.Context())
		if !ok {
			return
		}
		for _, message := range messages {
			if message.Refused != nil {
				writeJSON(response, http.StatusServiceUnavailable, message.Refused)
				return
			}
			if message.Lost != nil {
				// Aborting the response without a last chunk signals that the stream broke.
				panic(http.ErrAbortHandler)
			}
			if !started {
				response.Header().Set("Content-Type", "text/event-stream")
				started = true
			}
			writeEvent(response, message.Chunk)
			if message.Chunk.Done {
				return
			}
		}
		response.(http.Flusher).Flush()
	}
}

func writeEvent(response http.ResponseWriter, chunk *protocol.EngineChunk) {
	data, err := json.Marshal(chunk)
	if err != nil {
		panic("standin: encode chunk: " + err.Error())
	}
	fmt.Fprintf(response, "data: %s\n\n", data)
}

func (e *Engine) order(response http.ResponseWriter, request *http.Request) {
	var order protocol.EngineOrder
	if !readJSON(response, request, &order) {
		return
	}
	box, end := e.send(protocol.EngineMessage{Order: &order})
	defer end()
	if messages, ok := box.Take(request.Context()); ok {
		writeJSON(response, http.StatusOK, messages[0].OrderResult)
	}
}

func (e *Engine) status(response http.ResponseWriter, request *http.Request) {
	box, end := e.send(protocol.EngineMessage{Probe: &protocol.EngineProbe{}})
	defer end()
	if messages, ok := box.Take(request.Context()); ok {
		writeJSON(response, http.StatusOK, messages[0].Report)
	}
}
