package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
)

// EndChecker is a Client that can tell whether a backend's process has ended.
type EndChecker interface {
	// HasEnded tells whether nobody listens at the backend's address, as far as it can be found
	// out until the context ends.
	HasEnded(ctx context.Context, backend directory.Backend) bool
}

// endCheckTimeout bounds the question whether a backend has ended. Who asks has just had a
// connection broken by its machine, so an answer takes one round trip; a request that is to be
// repeated waits for it, so that the repetition knows of the crash.
const endCheckTimeout = 100 * time.Millisecond

// clearance tells whether a request may be sent to one more backend, as far as backends that
// ended under it are concerned.
type clearance struct {
	guard   *quarantine.Guard
	content quarantine.Content
	// verdict is the newest.
	verdict quarantine.Verdict
	// trial is set on a request that is held back and may be sent once, and sent once it was.
	trial, sent bool
	// refused is set once the request was held back, and postponed once too many backends were
	// away for a suspect to be sent.
	refused, postponed bool
}

// clear judges a request that has come. The trial of one that is held back is asked for.
func (f *Forwarder) clear(ctx context.Context, catalog *directory.Catalog, services []string, request *Request) clearance {
	c := clearance{guard: f.guard, content: request.Content()}
	c.verdict = c.guard.CheckContent(c.content)
	if c.verdict.Quarantined && c.verdict.TrialOffered && !f.Spares(catalog, services) {
		c.trial = c.guard.TakeTrial(ctx, c.verdict.Fingerprint)
	}
	return c
}

// isSuspect tells whether the request may run at few backends only, as it was judged last.
func (c *clearance) isSuspect() bool { return c.verdict.IsSuspect() }

// hasLeft tells whether a suspect has met a backend that cannot be reached: it may have ended
// under another suspect that nobody has told of yet, so that no other one is asked at once.
func hasLeft(c *clearance, outcome Outcome) bool { return outcome == NotSent && c.isSuspect() }

// mayStart judges the request anew, and tells whether it may be sent to one more backend.
func (c *clearance) mayStart() bool {
	c.verdict = c.guard.CheckContent(c.content)
	mayStart := !c.verdict.Quarantined
	if c.trial {
		mayStart = !c.sent
		c.sent = true
	}
	c.refused = c.refused || !mayStart
	return mayStart
}

// noteEnd takes in the end of an attempt: the trial of a request that did not run goes on.
func (c *clearance) noteEnd(outcome Outcome) {
	if outcome == NotSent || outcome == Refused || outcome == Misdirected {
		c.sent = false
	}
}

// mayHedge tells whether the request may run at two backends side by side: one under which a
// backend has ended could end both.
func (c *clearance) mayHedge() bool {
	verdict := c.guard.CheckContent(c.content)
	return !c.trial && verdict.KnownCrashes == 0 && verdict.KnownKindCrashes == 0
}

// unsent returns why a request was not sent at all.
func (c *clearance) unsent() Reason {
	switch {
	case c.refused:
		return Quarantined
	case c.postponed:
		return Postponed
	}
	return NoBackend
}

// learn takes in what an attempt tells of its request, which was judged so before it.
func (f *Forwarder) learn(ctx context.Context, verdict quarantine.Verdict, backend directory.Backend, request *Request, attempt Attempt) {
	switch {
	case attempt.Outcome == Answered && attempt.Response.Status < http.StatusInternalServerError:
		if !f.guard.IsIdle() {
			f.guard.RecordResponse(request.Content().Subject())
		}
	case attempt.Outcome == Lost && attempt.Broken && f.HasEnded(ctx, backend):
		f.guard.RecordCrash(request.Content().Subject(), backend.ID, verdict)
	}
}

// HasEnded tells whether the backend, which has broken a connection, has ended.
func (f *Forwarder) HasEnded(ctx context.Context, backend directory.Backend) bool {
	checker, ok := f.client.(EndChecker)
	if !ok {
		return false
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), endCheckTimeout)
	defer cancel()
	return checker.HasEnded(limited, backend)
}
