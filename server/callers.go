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

// The headers of a live request.
const (
	// HeaderRequestID is the caller's identity of the request.
	HeaderRequestID = "Dillchute-Request-Id"
	// HeaderTimeout is the caller's patience in milliseconds.
	HeaderTimeout = "Dillchute-Timeout-Milliseconds"
	// HeaderPriority lowers the pool's priority; 0 to 9.
	HeaderPriority = "Dillchute-Priority"
	// HeaderNotRepeatable is "true" for a request that must run at most once.
	HeaderNotRepeatable = "Dillchute-Not-Repeatable"
	// HeaderIssuedAt is when the request was first sent, in milliseconds since
	// 1970; HeaderWindow for how many milliseconds it may be resent.
	HeaderIssuedAt = "Dillchute-Issued-At"
	HeaderWindow   = "Dillchute-Window-Milliseconds"
	// HeaderAttempt counts the sends of the request from 1.
	HeaderAttempt = "Dillchute-Attempt"
	// HeaderUnresolved is "true" if the caller does not know what became of an
	// earlier send: it was cut off, or answered as unknown.
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

// completionRequest is the part of the completions interface that is served.
// Model names a pool; sampling parameters that a pool does not offer are ignored.
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

// callerError is the body of a refusal or failure.
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
	box := eventloop.NewMailbox[node.CallerEvent]()
	id, ok := eventloop.Call(n.loop, func() uint64 {
		submitted := n.core.Submit(n.now(), live)
		n.callers[submitted] = box
		return submitted
	})
	if !ok {
		writeEnd(response, node.CallerEvent{Outcome: protocol.OutcomeNotRun, Reason: protocol.ReasonDraining})
		return
	}
	defer n.loop.Submit(func() {
		delete(n.callers, id)
		n.core.Cancel(n.now(), id)
	})
	answer := newAnswer(response, live, body.Stream)
	for {
		events, ok := box.Take(request.Context())
		if !ok {
			return
		}
		for _, received := range events {
			answer.add(received)
			if received.Outcome != 0 {
				answer.end(received)
				return
			}
		}
		answer.flush()
		if answer.broken {
			return
		}
	}
}

// parseCompletion returns the request, or what is wrong with it.
func parseCompletion(response http.ResponseWriter, request *http.Request) (completionRequest, protocol.LiveRequest, string) {
	var body completionRequest
	live := protocol.LiveRequest{Key: request.Header.Get(HeaderRequestID), Attempt: 1, PriorityCap: maxPriority}
	if kind := request.Header.Get("Content-Type"); !strings.HasPrefix(kind, "application/json") {
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
		into     *int64
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
		*field.into = value
	}
	live.PriorityCap, live.Attempt = uint8(priority), uint32(attempt)
	return parseNotRepeatable(header, live)
}

// maxClockAhead is how far a caller's clock may be ahead of the node's.
const maxClockAhead = time.Minute

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
	if live.IssuedAt > time.Now().Add(maxClockAhead).UnixMilli() {
		return HeaderIssuedAt + ": lies in the future"
	}
	return ""
}

// answer writes an answer as one JSON body or as server-sent events.
type answer struct {
	response http.ResponseWriter
	// controller sets the time that each write may take. A caller that does not
	// read would hold its stream and this request for good otherwise.
	controller   *http.ResponseController
	writeTimeout time.Duration
	// broken is set once a write has failed: the caller has gone or does not read.
	broken   bool
	id       string
	pool     string
	stream   bool
	started  bool
	tokens   int
	text     strings.Builder
	segments []state.Segment
}

// callerWriteTimeout is how long a caller may leave a part of its answer unread.
const callerWriteTimeout = 30 * time.Second

func newAnswer(response http.ResponseWriter, live protocol.LiveRequest, stream bool) *answer {
	return &answer{
		response: response, controller: http.NewResponseController(response), writeTimeout: callerWriteTimeout,
		id: live.Key, pool: live.Pool, stream: stream,
	}
}

func (a *answer) add(received node.CallerEvent) {
	if len(received.Tokens) == 0 {
		return
	}
	last := len(a.segments) - 1
	if last >= 0 && a.segments[last].Version == received.Version {
		a.segments[last].Count += uint32(len(received.Tokens))
	} else {
		a.segments = append(a.segments, state.Segment{
			Version: received.Version, First: uint32(a.tokens), Count: uint32(len(received.Tokens)),
		})
	}
	a.tokens += len(received.Tokens)
	text := TokenText(received.Tokens)
	if !a.stream {
		a.text.WriteString(text)
		return
	}
	a.event(completionResponse{
		ID: a.id, Object: "text_completion", Model: a.pool, Choices: []completionChoice{{Text: text}},
	})
}

// TokenText is the text of tokens as engines of the test bench write them.
func TokenText(tokens []uint32) string {
	var text strings.Builder
	for _, token := range tokens {
		fmt.Fprintf(&text, "%08x ", token)
	}
	return text.String()
}

func (a *answer) event(data any) {
	if !a.started {
		a.started = true
		a.response.Header().Set("Content-Type", "text/event-stream")
		a.response.WriteHeader(http.StatusOK)
	}
	encoded, err := json.Marshal(data)
	if err != nil {
		panic("server: an event must encode: " + err.Error())
	}
	a.allowWrite()
	_, err = fmt.Fprintf(a.response, "data: %s\n\n", encoded)
	a.note(err)
}

// allowWrite begins the time for the next write. A response that knows no
// deadlines, as in tests, goes without.
func (a *answer) allowWrite() {
	_ = a.controller.SetWriteDeadline(time.Now().Add(a.writeTimeout))
}

func (a *answer) note(err error) { a.broken = a.broken || err != nil }

func (a *answer) flush() {
	if a.started {
		a.allowWrite()
		a.note(a.controller.Flush())
	}
}

func (a *answer) end(received node.CallerEvent) {
	a.allowWrite()
	if received.Outcome != protocol.OutcomeAnswered {
		if a.started {
			a.event(callerError{Error: detailOf(received)})
			return
		}
		writeEnd(a.response, received)
		return
	}
	final := completionResponse{
		ID: a.id, Object: "text_completion", Model: a.pool,
		Choices:  []completionChoice{{Text: a.text.String(), FinishReason: "stop"}},
		Usage:    &completionUsage{CompletionTokens: a.tokens},
		Segments: segmentsToJSON(a.segments),
	}
	if a.stream {
		a.event(final)
		fmt.Fprint(a.response, "data: [DONE]\n\n")
		return
	}
	writeJSON(a.response, http.StatusOK, final)
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

func detailOf(received node.CallerEvent) callerErrorDetail {
	message := "the request did not run anywhere"
	if received.Outcome == protocol.OutcomeUnknown {
		message = "the request may have run, wholly or in part"
	}
	return callerErrorDetail{
		Outcome: received.Outcome.String(), Reason: string(received.Reason), Message: message,
		RetryAfterMilliseconds: received.RetryAfterMillis,
	}
}

// writeEnd answers a request that was not answered, with when to come back.
func writeEnd(response http.ResponseWriter, received node.CallerEvent) {
	status := http.StatusServiceUnavailable
	switch {
	case received.Reason == protocol.ReasonUnknownPool:
		status = http.StatusNotFound
	case received.Reason == protocol.ReasonIdentityReused:
		status = http.StatusConflict
	case received.Reason == protocol.ReasonQueueFull:
		status = http.StatusTooManyRequests
	case received.Reason == protocol.ReasonDeadline:
		status = http.StatusGatewayTimeout
	case received.Outcome == protocol.OutcomeUnknown:
		status = http.StatusBadGateway
	}
	writeError(response, status, detailOf(received))
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
	// The caller may have gone; there is nobody to tell then.
	_ = json.NewEncoder(response).Encode(body)
}
