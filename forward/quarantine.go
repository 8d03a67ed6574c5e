package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/quarantine"
)

// CrashChecker is a Client that can check whether a backend's process has crashed.
type CrashChecker interface {
	// HasCrashed reports whether nothing listens at the backend's address. It returns false if that
	// cannot be determined before the context ends.
	HasCrashed(ctx context.Context, backend directory.Backend) bool
}

// crashCheckTimeout bounds the check whether a backend has crashed. Its machine has just closed a
// connection, so the check takes one round trip; a retry waits for it, so that the crash is known
// before the request is sent again.
const crashCheckTimeout = 100 * time.Millisecond

// quarantineCheck decides whether a request may be sent to another backend, given the crashes that it
// is suspected of.
type quarantineCheck struct {
	guard   *quarantine.Guard
	content quarantine.Content
	// verdict is the result of the latest check.
	verdict quarantine.Verdict
	// hasTrial is set if the request is quarantined and this process was granted its trial; trialSent
	// is set once the trial was sent.
	hasTrial, trialSent bool
	// quarantined is set once the request was rejected as quarantined, and postponed once it was a
	// suspect and too many backends were unavailable to send it.
	quarantined, postponed bool
}

// checkQuarantine checks a new request, and requests its trial if it is quarantined and a trial is
// offered.
func (f *Forwarder) checkQuarantine(ctx context.Context, catalog *directory.Catalog, services []string, request *Request) quarantineCheck {
	c := quarantineCheck{guard: f.guard, content: request.Content()}
	c.verdict = c.guard.CheckContent(c.content)
	if c.verdict.Quarantined && c.verdict.TrialOffered && !f.PostponesSuspects(catalog, services) {
		c.hasTrial = c.guard.TakeTrial(ctx, c.verdict.Fingerprint)
	}
	return c
}

// isSuspect reports whether the latest check found the request to be a suspect.
func (c *quarantineCheck) isSuspect() bool { return c.verdict.IsSuspect() }

// isUnreachedSuspect reports whether a suspect could not be sent to a backend. The backend may have
// crashed under another suspect without a report yet, so the request is not retried immediately.
func isUnreachedSuspect(c *quarantineCheck, outcome Outcome) bool {
	return outcome == NotSent && c.isSuspect()
}

// mayStart checks the request again and reports whether it may be sent to another backend.
func (c *quarantineCheck) mayStart() bool {
	c.verdict = c.guard.CheckContent(c.content)
	mayStart := !c.verdict.Quarantined
	if c.hasTrial {
		mayStart = !c.trialSent
		c.trialSent = true
	}
	c.quarantined = c.quarantined || !mayStart
	return mayStart
}

// recordOutcome records the outcome of an attempt: a trial that did not run may be sent again.
func (c *quarantineCheck) recordOutcome(outcome Outcome) {
	if outcome == NotSent || outcome == Refused || outcome == Misdirected {
		c.trialSent = false
	}
}

// mayHedge reports whether the request may run at two backends at a time. A request that has crashed a
// backend must not be hedged, since it could crash both.
func (c *quarantineCheck) mayHedge() bool {
	verdict := c.guard.CheckContent(c.content)
	return !c.hasTrial && verdict.KnownCrashes == 0 && verdict.KnownKindCrashes == 0
}

// unsentReason returns why a request was not sent at all.
func (c *quarantineCheck) unsentReason() Reason {
	switch {
	case c.quarantined:
		return Quarantined
	case c.postponed:
		return Postponed
	}
	return NoBackend
}

// updateGuard records a response or a crash with the quarantine guard. The verdict is that of the
// check before the attempt.
func (f *Forwarder) updateGuard(ctx context.Context, verdict quarantine.Verdict, backend directory.Backend, request *Request, attempt Attempt) {
	switch {
	case attempt.Outcome == Answered && attempt.Response.Status < http.StatusInternalServerError:
		if !f.guard.IsIdle() {
			f.guard.RecordResponse(request.Content().Subject())
		}
	case attempt.Outcome == Lost && attempt.Broken && f.HasCrashed(ctx, backend):
		f.guard.RecordCrash(request.Content().Subject(), backend.ID, verdict)
	}
}

// HasCrashed reports whether the backend, which has broken a connection, has crashed.
func (f *Forwarder) HasCrashed(ctx context.Context, backend directory.Backend) bool {
	checker, ok := f.client.(CrashChecker)
	if !ok {
		return false
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	return checker.HasCrashed(limited, backend)
}
