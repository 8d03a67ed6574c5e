package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/routing"
)

// Opened is the beginning of a backend's streamed answer.
type Opened struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	// Body is set if the outcome is Answered, and must be closed.
	Body io.ReadCloser
	// Broken is set on a lost stream whose connection the other side ended.
	Broken bool
}

// StreamClient opens streams at backends. The client of a forwarder that is asked
// for streams must be one.
type StreamClient interface {
	// Open sends the request; after is the last event that is kept, or "".
	Open(ctx context.Context, backend directory.Backend, request *Request, after string) Opened
}

// Sink takes a stream's answer.
type Sink interface {
	// Begin takes the status and header, once, before anything else.
	Begin(status int, header http.Header)
	// Write takes bytes that are to be passed on at once.
	Write(data []byte) (int, error)
}

// stallTimeout is how long a stream that may be resumed may stand still before
// another backend is asked.
const stallTimeout = 1200 * time.Millisecond

// stream is one streamed request on its way.
type stream struct {
	forwarder *Forwarder
	request   *Request
	route     routing.Route
	sink      Sink
	begun     bool
	last      string
	// unreached counts the attempts that reached no backend.
	unreached int
	result    Result
	clearance
}

// Stream passes a request on whose answer is a stream of events. Events are
// passed on as they arrive. A stream that may be resumed goes on at another
// backend after its last whole event, under the head of its first one. If the
// result has no Response, the caller must be told that the answer is not whole.
func (f *Forwarder) Stream(ctx context.Context, catalog *directory.Catalog, route routing.Route, request *Request, sink Sink) Result {
	ctx, cancel := context.WithTimeout(ctx, request.remaining())
	defer cancel()
	services := f.order(route)
	s := &stream{forwarder: f, request: request, route: route, sink: sink, clearance: f.clear(ctx, catalog, services, request)}
	tried := map[string]bool{}
	for s.result.Attempts-min(s.unreached, mostUnreached) < max(route.Attempts, 1) && ctx.Err() == nil && request.remaining() > 0 {
		if !s.mayStart() {
			return s.end(Quarantined)
		}
		backend, ok := f.pick(&s.clearance, catalog, services, tried)
		if !ok && route.Resumable && s.result.MayHaveRun {
			// A stream that broke off may go on where it was before.
			clear(tried)
			backend, ok = f.pick(&s.clearance, catalog, services, tried)
		}
		if !ok {
			return s.end(s.unsent())
		}
		tried[backend.ID] = true
		s.result.Attempts++
		if s.attempt(ctx, backend) {
			return s.result
		}
	}
	switch {
	case ctx.Err() != nil:
		return s.end(reasonOf(ctx))
	case request.remaining() <= 0:
		return s.end(Expired)
	}
	return s.end(Full)
}

func (s *stream) end(reason Reason) Result {
	if reason != Expired && reason != Abandoned && s.result.MayHaveRun {
		reason = NoAnswer
	}
	s.result.Reason = reason
	return s.result
}

// attempt asks one backend, and tells whether the request has ended.
func (s *stream) attempt(parent context.Context, backend directory.Backend) bool {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	started := time.Now()
	client, ok := s.forwarder.client.(StreamClient)
	if !ok {
		panic("forward: the client must be able to open streams")
	}
	s.result.recordBegin(backend.ID)
	opened := client.Open(ctx, backend, s.request, s.last)
	ended := Attempt{Outcome: opened.Outcome, Response: Response{Status: opened.Status}, Broken: opened.Broken}
	if ended.Outcome == Answered {
		ended.Outcome = s.pass(cancel, opened)
		ended.Broken = ended.Outcome == Lost && ctx.Err() == nil
	}
	outcome := ended.Outcome
	s.result.recordEnd(backend.ID, ended)
	s.noteEnd(outcome)
	s.forwarder.learn(parent, s.verdict, backend, s.request, ended)
	s.forwarder.note(backend, Attempt{Outcome: outcome}, time.Since(started), parent.Err() != nil)
	if s.isSuspect() {
		s.forwarder.endSuspect(backend.ID)
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
	if hasLeft(&s.clearance, outcome) {
		s.end(Full)
		return true
	}
	if outcome == Lost && !s.route.Resumable {
		s.end(NoAnswer)
		return true
	}
	return false
}

// pass hands the answer on as it comes.
func (s *stream) pass(cancel context.CancelFunc, opened Opened) Outcome {
	defer opened.Body.Close()
	isStream := opened.Status == http.StatusOK
	if s.begun && !isStream {
		return Lost
	}
	if !s.begun {
		s.sink.Begin(opened.Status, opened.Header)
		s.begun = true
	}
	if !isStream {
		if _, err := io.Copy(s.sink, opened.Body); err != nil {
			return Lost
		}
		s.result.Response = &Response{Status: opened.Status}
		return Answered
	}
	stall := time.AfterFunc(stallTimeout, func() {
		if s.route.Resumable {
			cancel()
		}
	})
	defer stall.Stop()
	reader := NewEventReader(opened.Body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			s.result.Response = &Response{Status: opened.Status}
			return Answered
		}
		if err != nil {
			return Lost
		}
		stall.Reset(stallTimeout)
		if _, err := s.sink.Write(event.Raw); err != nil {
			return Lost
		}
		if id := event.ID(); id != "" {
			s.last = id
		}
	}
}
