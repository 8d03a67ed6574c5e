package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/routing"
)

// OpenedStream is the start of a backend's streamed response.
type OpenedStream struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	// Body is set if the outcome is Answered, and must be closed.
	Body io.ReadCloser
	// Memory is the budget for the events that are read from the body, nil for no limit.
	Memory *intake.Budget
	// Broken is set on a lost stream whose connection the other side ended.
	Broken bool
}

// budget returns the budget for events.
func (s OpenedStream) budget() *intake.Budget {
	if s.Memory == nil {
		return intake.Unlimited()
	}
	return s.Memory
}

// StreamClient opens streams at backends. A forwarder's client must implement it for Stream to be
// called.
type StreamClient interface {
	// Open sends the request. lastEventID is the ID of the last event received, or "".
	Open(ctx context.Context, backend directory.Backend, request *Request, lastEventID string) OpenedStream
}

// Sink receives a stream's response.
type Sink interface {
	// Begin receives the status and header. It is called once, before Write.
	Begin(status int, header http.Header)
	// Write receives data that must be passed on immediately.
	Write(data []byte) (int, error)
}

// stallTimeout is how long a resumable stream may be idle before another backend is tried.
const stallTimeout = 1200 * time.Millisecond

// stream is one streamed request that is being forwarded.
type stream struct {
	forwarder  *Forwarder
	request    *Request
	route      routing.Route
	sink       Sink
	headerSent bool
	// lastEventID is the ID of the last event that was passed on, 0 for none.
	lastEventID uint64
	// unreached counts the attempts that did not reach a backend.
	unreached int
	result    Result
	quarantineCheck
}

// Stream forwards a request whose response is a stream of events. Events are passed on as they arrive.
// A resumable stream that breaks is continued at another backend after its last complete event,
// without sending the header again. If the result has no Response, the caller must be informed that
// the response is incomplete.
func (f *Forwarder) Stream(ctx context.Context, catalog *directory.Catalog, route routing.Route, request *Request, sink Sink) Result {
	ctx, cancel := context.WithTimeout(ctx, request.remaining())
	defer cancel()
	services := f.orderServices(route)
	s := &stream{forwarder: f, request: request, route: route, sink: sink, quarantineCheck: f.checkQuarantine(ctx, catalog, services, request)}
	tried := map[string]bool{}
	for s.result.Attempts-min(s.unreached, maxUnreachedAttempts) < max(route.Attempts, 1) && ctx.Err() == nil && request.remaining() > 0 {
		if !s.mayStart() {
			return s.finish(Quarantined)
		}
		backend, ok := f.chooseForAttempt(&s.quarantineCheck, catalog, services, tried)
		if !ok && route.Resumable && s.result.MayHaveRun {
			// A broken stream may be resumed at a backend that was tried before.
			clear(tried)
			backend, ok = f.chooseForAttempt(&s.quarantineCheck, catalog, services, tried)
		}
		if !ok {
			return s.finish(s.unsentReason())
		}
		tried[backend.ID] = true
		s.result.Attempts++
		if s.attempt(ctx, backend) {
			return s.result
		}
	}
	switch {
	case ctx.Err() != nil:
		return s.finish(cancellationReason(ctx))
	case request.remaining() <= 0:
		return s.finish(Expired)
	}
	return s.finish(Full)
}

func (s *stream) finish(reason Reason) Result {
	if reason != Expired && reason != Abandoned && s.result.MayHaveRun {
		reason = NoAnswer
	}
	s.result.Reason = reason
	return s.result
}

// attempt sends the request to one backend, and reports whether the request has ended.
func (s *stream) attempt(parent context.Context, backend directory.Backend) bool {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	started := time.Now()
	client, ok := s.forwarder.client.(StreamClient)
	if !ok {
		panic("forward: client does not implement StreamClient")
	}
	s.result.recordStart(backend.ID)
	opened := client.Open(ctx, backend, s.request, formatEventID(s.lastEventID))
	attempt := Attempt{Outcome: opened.Outcome, Response: Response{Status: opened.Status}, Broken: opened.Broken}
	if attempt.Outcome == Answered {
		attempt.Outcome = s.relay(cancel, opened)
		attempt.Broken = attempt.Outcome == Lost && ctx.Err() == nil
	}
	outcome := attempt.Outcome
	s.result.recordEnd(backend.ID, attempt)
	s.recordOutcome(outcome)
	s.forwarder.updateGuard(parent, s.verdict, backend, s.request, attempt)
	s.forwarder.recordAttempt(backend, Attempt{Outcome: outcome}, time.Since(started), parent.Err() != nil)
	if s.isSuspect() {
		s.forwarder.releaseSuspect(backend.ID)
	}
	switch outcome {
	case Answered, Lost:
		s.result.MayHaveRun = true
	case NotSent:
		s.unreached++
	}
	if outcome == Answered {
		s.result.Backend, s.result.Service = backend.ID, backend.Service
		return true
	}
	if isUnreachedSuspect(&s.quarantineCheck, outcome) {
		s.finish(Full)
		return true
	}
	if outcome == Lost && !s.route.Resumable {
		s.finish(NoAnswer)
		return true
	}
	return false
}

// relay copies the response to the sink as it arrives.
func (s *stream) relay(cancel context.CancelFunc, opened OpenedStream) Outcome {
	defer opened.Body.Close()
	isEventStream := opened.Status == http.StatusOK
	if s.headerSent && !isEventStream {
		return Lost
	}
	if !s.headerSent {
		s.sink.Begin(opened.Status, opened.Header)
		s.headerSent = true
	}
	if !isEventStream {
		if _, err := io.Copy(s.sink, opened.Body); err != nil {
			return Lost
		}
		s.result.Response = &Response{Status: opened.Status}
		return Answered
	}
	stallTimer := time.AfterFunc(stallTimeout, func() {
		if s.route.Resumable {
			cancel()
		}
	})
	defer stallTimer.Stop()
	reader := NewEventReader(opened.Body, opened.budget())
	defer reader.Release()
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			s.result.Response = &Response{Status: opened.Status}
			return Answered
		}
		if err != nil {
			return Lost
		}
		id, ok := event.ID()
		if s.route.Resumable && (!ok || id <= s.lastEventID) {
			// The stream could not be continued after this event.
			return Lost
		}
		stallTimer.Reset(stallTimeout)
		if _, err := s.sink.Write(event.Raw); err != nil {
			return Lost
		}
		s.lastEventID = id
	}
}

// formatEventID returns the ID as text, or "" for none.
func formatEventID(id uint64) string {
	if id == 0 {
		return ""
	}
	return strconv.FormatUint(id, 10)
}
