package server

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/node"
	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
)

// Headers of a live request.
const (
	// HeaderRequestID is the caller's ID of the request.
	HeaderRequestID = "Dillchute-Request-Id"
	// HeaderTimeout is the request's timeout in milliseconds.
	HeaderTimeout = "Dillchute-Timeout-Milliseconds"
	// HeaderPriority caps the priority that the pool gives the request; 0 to 9.
	HeaderPriority = "Dillchute-Priority"
	// HeaderNotRepeatable is "true" for a request that must run at most once.
	HeaderNotRepeatable = "Dillchute-Not-Repeatable"
	// HeaderIssuedAt is when the request was first sent, in Unix milliseconds.
	// HeaderWindow is how long after that it may be resent, in milliseconds.
	HeaderIssuedAt = "Dillchute-Issued-At"
	HeaderWindow   = "Dillchute-Window-Milliseconds"
	// HeaderAttempt is the number of the attempt, from 1.
	HeaderAttempt = "Dillchute-Attempt"
	// HeaderUnresolved is "true" if the caller does not know the outcome of an
	// earlier attempt: it was interrupted, or its outcome was "unknown".
	HeaderUnresolved = "Dillchute-Unresolved"
)

const (
	maxCompletionBody    = 2 << 20
	maxCompletionTokens  = 1 << 17
	defaultMaxTokens     = 256
	defaultTimeoutMillis = 60_000
	maxTimeoutMillis     = 3_600_000
	maxWindowMillis      = 86_400_000
	maxPriority          = 9
)

// completionRequest holds the supported parameters of the completions API.
// Model names a pool; other parameters are ignored.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type completionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type completionSegment struct {
	Version    uint64 `json:"version"`
	FirstToken int    `json:"first_token"`
	Count      int    `json:"count"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type completionResponse struct {
	ID       string              `json:"id"`
	Object   string              `json:"object"`
	Model    string              `json:"model"`
	Choices  []completionChoice  `json:"choices"`
	Usage    *completionUsage    `json:"usage,omitempty"`
	Segments []completionSegment `json:"segments,omitempty"`
}

// callerError is the response body of a refused or failed request.
type callerError struct {
	Error callerErrorDetail `json:"error"`
}

type callerErrorDetail struct {
	// Outcome is "invalid", "not_run" or "unknown".
	Outcome                string `json:"outcome"`
	Reason                 string `json:"reason"`
	Message                string `json:"message"`
	RetryAfterMilliseconds int64  `json:"retry_after_milliseconds,omitempty"`
}

func (n *Node) callerRoutes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/completions", n.complete).Methods(http.MethodPost)
	router.HandleFunc("/healthz", func(response http.ResponseWriter, _ *http.Request) {
		response.WriteHeader(http.StatusOK)
	})
	return router
}

func (n *Node) complete(response http.ResponseWriter, request *http.Request) {
	body, live, problem := parseCompletion(response, request)
	if problem != "" {
		writeError(response, http.StatusBadRequest, callerErrorDetail{Outcome: "invalid", Reason: "invalid_request", Message: problem})
		return
	}
	mailbox := eventloop.NewMailbox[node.CallerEvent]()
	id, ok := eventloop.Call(n.loop, func() uint64 {
		submitted := n.core.Submit(n.now(), live)
		n.callers[submitted] = mailbox
		return submitted
	})
	if !ok {
		writeFailure(response, node.CallerEvent{Outcome: protocol.OutcomeNotRun, Reason: protocol.ReasonDraining})
		return
	}
	defer n.loop.Submit(func() {
		delete(n.callers, id)
		n.core.Cancel(n.now(), id)
	})
	writer := newCompletionWriter(response, live, body.Stream)
	for {
		events, ok := mailbox.Take(request.Context())
		if !ok {
			return
		}
		for _, callerEvent := range events {
			writer.write(callerEvent)
			if callerEvent.Outcome != 0 {
				writer.finish(callerEvent)
				return
			}
		}
		writer.flush()
		if writer.failed {
			return
		}
	}
}

// parseCompletion parses a completion request. The string describes why the
// request is invalid; it is empty for a valid one.
func parseCompletion(response http.ResponseWriter, request *http.Request) (completionRequest, protocol.LiveRequest, string) {
	var body completionRequest
	live := protocol.LiveRequest{Key: request.Header.Get(HeaderRequestID), Attempt: 1, PriorityCap: maxPriority}
	if contentType := request.Header.Get("Content-Type"); !strings.HasPrefix(contentType, "application/json") {
		return body, live, "Content-Type: must be application/json"
	}
	decoder := json.NewDecoder(http.MaxBytesReader(response, request.Body, maxCompletionBody))
	if err := decoder.Decode(&body); err != nil {
		return body, live, "body: " + err.Error()
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	if body.Model == "" {
		return body, live, "model: must name a pool"
	}
	if body.MaxTokens < 1 || body.MaxTokens > maxCompletionTokens {
		return body, live, fmt.Sprintf("max_tokens: must be 1 to %d", maxCompletionTokens)
	}
	live.Pool, live.Prompt, live.MaxTokens = body.Model, body.Prompt, uint32(body.MaxTokens)
	return body, live, parseHeaders(request.Header, &live)
}

func parseHeaders(header http.Header, live *protocol.LiveRequest) string {
	priority, attempt := int64(maxPriority), int64(1)
	live.TimeoutMillis = defaultTimeoutMillis
	fields := []struct {
		name     string
		target   *int64
		min, max int64
	}{
		{HeaderTimeout, &live.TimeoutMillis, 1, maxTimeoutMillis},
		{HeaderPriority, &priority, 0, maxPriority},
		{HeaderIssuedAt, &live.IssuedAt, 1, math.MaxInt64 - maxWindowMillis},
		{HeaderWindow, &live.WindowMillis, 1, maxWindowMillis},
		{HeaderAttempt, &attempt, 1, math.MaxInt32},
	}
	for _, field := range fields {
		text := header.Get(field.name)
		if text == "" {
			continue
		}
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil || value < field.min || value > field.max {
			return fmt.Sprintf("%s: must be %d to %d", field.name, field.min, field.max)
		}
		*field.target = value
	}
	live.PriorityCap, live.Attempt = uint8(priority), uint32(attempt)
	return parseNotRepeatable(header, live)
}

// maxClockSkew is how far a caller's clock may be ahead of the node's.
const maxClockSkew = time.Minute

func parseNotRepeatable(header http.Header, live *protocol.LiveRequest) string {
	switch header.Get(HeaderNotRepeatable) {
	case "", "false":
		return ""
	case "true":
		live.NotRepeatable = true
	default:
		return HeaderNotRepeatable + ": must be true or false"
	}
	if unresolved := header.Get(HeaderUnresolved); unresolved != "" && unresolved != "true" && unresolved != "false" {
		return HeaderUnresolved + ": must be true or false"
	}
	live.Unresolved = header.Get(HeaderUnresolved) == "true"
	if live.Key == "" || live.IssuedAt == 0 || live.WindowMillis == 0 {
		return fmt.Sprintf("a request that must not repeat needs %s, %s and %s", HeaderRequestID, HeaderIssuedAt, HeaderWindow)
	}
	if live.IssuedAt > time.Now().Add(maxClockSkew).UnixMilli() {
		return HeaderIssuedAt + ": lies in the future"
	}
	return ""
}

// completionWriter writes a completion as one JSON body or as server-sent events.
type completionWriter struct {
	response http.ResponseWriter
	// controller sets the deadline of each write, so that a caller that does not
	// read cannot hold its stream and its request forever.
	controller   *http.ResponseController
	writeTimeout time.Duration
	// failed is set when a write fails: the caller disconnected or does not read.
	failed   bool
	id       string
	pool     string
	stream   bool
	started  bool
	tokens   int
	text     strings.Builder
	segments []state.Segment
}

// callerWriteTimeout bounds each write to a caller.
const callerWriteTimeout = 30 * time.Second

func newCompletionWriter(response http.ResponseWriter, live protocol.LiveRequest, stream bool) *completionWriter {
	return &completionWriter{
		response: response, controller: http.NewResponseController(response), writeTimeout: callerWriteTimeout,
		id: live.Key, pool: live.Pool, stream: stream,
	}
}

func (w *completionWriter) write(callerEvent node.CallerEvent) {
	if len(callerEvent.Tokens) == 0 {
		return
	}
	last := len(w.segments) - 1
	if last >= 0 && w.segments[last].Version == callerEvent.Version {
		w.segments[last].Count += uint32(len(callerEvent.Tokens))
	} else {
		w.segments = append(w.segments, state.Segment{
			Version: callerEvent.Version, First: uint32(w.tokens), Count: uint32(len(callerEvent.Tokens)),
		})
	}
	w.tokens += len(callerEvent.Tokens)
	text := TokenText(callerEvent.Tokens)
	if !w.stream {
		w.text.WriteString(text)
		return
	}
	w.writeEvent(completionResponse{
		ID: w.id, Object: "text_completion", Model: w.pool, Choices: []completionChoice{{Text: text}},
	})
}

// TokenText returns the text of tokens in the format of the test bench's engines.
func TokenText(tokens []uint32) string {
	var text strings.Builder
	for _, token := range tokens {
		fmt.Fprintf(&text, "%08x ", token)
	}
	return text.String()
}

func (w *completionWriter) writeEvent(data any) {
	if !w.started {
		w.started = true
		w.response.Header().Set("Content-Type", "text/event-stream")
		w.response.WriteHeader(http.StatusOK)
	}
	encoded, err := json.Marshal(data)
	if err != nil {
		panic("server: encode event: " + err.Error())
	}
	w.extendWriteDeadline()
	_, err = fmt.Fprintf(w.response, "data: %s\n\n", encoded)
	w.recordError(err)
}

// extendWriteDeadline sets the deadline of the next write. It does nothing if
// the response writer does not support deadlines, as in tests.
func (w *completionWriter) extendWriteDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.writeTimeout))
}

func (w *completionWriter) recordError(err error) { w.failed = w.failed || err != nil }

func (w *completionWriter) flush() {
	if w.started {
		w.extendWriteDeadline()
		w.recordError(w.controller.Flush())
	}
}

func (w *completionWriter) finish(callerEvent node.CallerEvent) {
	w.extendWriteDeadline()
	if callerEvent.Outcome != protocol.OutcomeAnswered {
		if w.started {
			w.writeEvent(callerError{Error: errorDetail(callerEvent)})
			return
		}
		writeFailure(w.response, callerEvent)
		return
	}
	final := completionResponse{
		ID: w.id, Object: "text_completion", Model: w.pool,
		Choices:  []completionChoice{{Text: w.text.String(), FinishReason: "stop"}},
		Usage:    &completionUsage{CompletionTokens: w.tokens},
		Segments: segmentsToJSON(w.segments),
	}
	if w.stream {
		w.writeEvent(final)
		fmt.Fprint(w.response, "data: [DONE]\n\n")
		return
	}
	writeJSON(w.response, http.StatusOK, final)
}

func segmentsToJSON(segments []state.Segment) []completionSegment {
	converted := make([]completionSegment, 0, len(segments))
	for _, segment := range segments {
		converted = append(converted, completionSegment{
			Version: segment.Version, FirstToken: int(segment.First), Count: int(segment.Count),
		})
	}
	return converted
}

func errorDetail(callerEvent node.CallerEvent) callerErrorDetail {
	message := "the request did not run anywhere"
	if callerEvent.Outcome == protocol.OutcomeUnknown {
		message = "the request may have run, wholly or in part"
	}
	return callerErrorDetail{
		Outcome: callerEvent.Outcome.String(), Reason: string(callerEvent.Reason), Message: message,
		RetryAfterMilliseconds: callerEvent.RetryAfterMillis,
	}
}

// writeFailure writes the error response of a request that failed, with the
// suggested retry delay.
func writeFailure(response http.ResponseWriter, callerEvent node.CallerEvent) {
	status := http.StatusServiceUnavailable
	switch {
	case callerEvent.Reason == protocol.ReasonUnknownPool:
		status = http.StatusNotFound
	case callerEvent.Reason == protocol.ReasonIdentityReused:
		status = http.StatusConflict
	case callerEvent.Reason == protocol.ReasonQueueFull:
		status = http.StatusTooManyRequests
	case callerEvent.Reason == protocol.ReasonDeadline:
		status = http.StatusGatewayTimeout
	case callerEvent.Outcome == protocol.OutcomeUnknown:
		status = http.StatusBadGateway
	}
	writeError(response, status, errorDetail(callerEvent))
}

const millisPerSecond = 1000

func writeError(response http.ResponseWriter, status int, detail callerErrorDetail) {
	if detail.RetryAfterMilliseconds > 0 {
		seconds := (detail.RetryAfterMilliseconds + millisPerSecond - 1) / millisPerSecond
		response.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(response, status, callerError{Error: detail})
}

func writeJSON(response http.ResponseWriter, status int, body any) {
	response.Header().Set("Content-Type", "application/json")
	response.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(response).Encode(body)
}
