package quarantine

import (
	"context"
	"maps"
	"sync"
	"time"
)

const (
	// localTTL is how long a process applies crashes that it observed itself. The shared record
	// normally includes them within milliseconds after they were reported.
	localTTL = 5 * time.Second
	// maxObservations bounds each list of observations that a process keeps. Further ones are dropped: a
	// process that sees so many crashes at once sees more than requests that crash their backends.
	maxObservations = 1000
)

// Verdict is the result of checking a request before it is sent.
type Verdict struct {
	Subject Subject
	// Fingerprint identifies the suspect for which a trial can be requested: the kind if it is
	// quarantined, and the content otherwise.
	Fingerprint Fingerprint
	// KnownCrashes and KnownKindCrashes are the numbers of counted crashes of the content and of
	// its kind.
	KnownCrashes, KnownKindCrashes int
	// Quarantined is set if the request must not be sent, and TrialOffered if a trial may be taken.
	Quarantined, TrialOffered bool
	// KindSuspected is set if different contents of the kind have crashed backends.
	KindSuspected bool
}

// IsSuspect reports whether the request or others of its kind have crashed backends without a
// response since.
func (v Verdict) IsSuspect() bool { return v.KnownCrashes > 0 || v.KindSuspected }

// Report holds observations of a process that are not yet in the shared record.
type Report struct {
	Crashes []Crash
	// Answered lists suspects that received a response.
	Answered []Fingerprint
}

// IsEmpty reports whether there is nothing to report.
func (r Report) IsEmpty() bool { return len(r.Crashes) == 0 && len(r.Answered) == 0 }

// localSuspect is a suspect that includes crashes observed by this process.
type localSuspect struct {
	suspect Suspect
	// expiresAt is when the entry is dropped. It is extended while the crash could not be reported.
	expiresAt time.Time
}

// SharedRecord gives access to the replicated suspects. Either function may be nil.
type SharedRecord struct {
	// Suspects returns the latest suspects that the process has received. Callers must not change them.
	Suspects func() map[Fingerprint]Suspect
	// TakeTrial requests a trial and reports whether it was granted to this process.
	TakeTrial func(ctx context.Context, fingerprint Fingerprint) bool
}

// Guard decides which requests a process may send, based on the shared record and on crashes that the
// process observed itself. It is safe for concurrent use.
type Guard struct {
	sharedRecord SharedRecord
	now          func() time.Time
	// ReportReady is signalled when there are observations to report.
	ReportReady chan struct{}

	mutex sync.Mutex
	local map[Fingerprint]localSuspect
	// permits holds the contents that may be sent once although they are quarantined.
	permits map[Fingerprint]bool
	// crashedBackends maps backends that this process has seen crash to the expiry of the entry.
	crashedBackends map[string]time.Time
	pending         Report
}

// NewGuard returns a guard that uses the shared record and the clock.
func NewGuard(sharedRecord SharedRecord, now func() time.Time) *Guard {
	return &Guard{
		sharedRecord: sharedRecord, now: now, ReportReady: make(chan struct{}, 1),
		local: map[Fingerprint]localSuspect{}, permits: map[Fingerprint]bool{}, crashedBackends: map[string]time.Time{},
	}
}

func (g *Guard) sharedSuspects() map[Fingerprint]Suspect {
	if g.sharedRecord.Suspects == nil {
		return nil
	}
	return g.sharedRecord.Suspects()
}

// TakeTrial requests a trial and reports whether it was granted to this process.
func (g *Guard) TakeTrial(ctx context.Context, fingerprint Fingerprint) bool {
	return g.sharedRecord.TakeTrial != nil && g.sharedRecord.TakeTrial(ctx, fingerprint)
}

// IsIdle reports whether there are no suspects, so that no request needs to be checked.
func (g *Guard) IsIdle() bool {
	if len(g.sharedSuspects()) > 0 {
		return false
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := g.now()
	maps.DeleteFunc(g.local, func(_ Fingerprint, local localSuspect) bool { return now.After(local.expiresAt) })
	return len(g.local) == 0
}

// CheckContent checks a request. It computes the fingerprints only if there are suspects.
func (g *Guard) CheckContent(content Content) Verdict {
	if g.IsIdle() {
		return Verdict{}
	}
	return g.CheckSubject(content.Subject())
}

// CheckSubject checks a request by its content and its kind. While the kind is quarantined, the request
// can only be sent as a trial of the kind.
func (g *Guard) CheckSubject(subject Subject) Verdict {
	kind := g.CheckFingerprint(subject.Kind)
	verdict := g.CheckFingerprint(subject.Content)
	verdict.Subject, verdict.KnownKindCrashes, verdict.KindSuspected = subject, kind.KnownCrashes, kind.KindSuspected
	if kind.Quarantined && !g.hasPermit(subject.Content) {
		verdict.Quarantined, verdict.Fingerprint, verdict.TrialOffered = true, kind.Fingerprint, kind.TrialOffered
	}
	return verdict
}

func (g *Guard) hasPermit(content Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.permits[content]
}

// CheckFingerprint checks a content or a kind alone.
func (g *Guard) CheckFingerprint(fingerprint Fingerprint) Verdict {
	shared := g.sharedSuspects()[fingerprint]
	g.mutex.Lock()
	defer g.mutex.Unlock()
	local := g.lookupLocal(fingerprint)
	return Verdict{
		Fingerprint: fingerprint, KnownCrashes: max(shared.Crashes, local.Crashes), TrialOffered: shared.Offered,
		Quarantined:   (shared.IsQuarantined() || local.IsQuarantined()) && !g.permits[fingerprint],
		KindSuspected: shared.isSuspectedKind() || local.isSuspectedKind(),
	}
}

// lookupLocal returns the local suspect, or a zero value after it expired. The mutex must be held.
func (g *Guard) lookupLocal(fingerprint Fingerprint) Suspect {
	local, ok := g.local[fingerprint]
	if ok && g.now().After(local.expiresAt) {
		delete(g.local, fingerprint)
		return Suspect{}
	}
	return local.suspect
}

// RecordCrash records for the content and the kind that the backend crashed while it ran the request.
// The verdict is the result of the check before the request was sent.
func (g *Guard) RecordCrash(subject Subject, backend string, verdict Verdict) {
	g.RecordFingerprintCrash(subject.Content, backend, verdict.KnownCrashes)
	g.addCrash(Crash{Fingerprint: subject.Kind, Backend: backend, Known: verdict.KnownKindCrashes, Of: subject.Content})
}

// RecordResponse records that a backend responded to the request, which clears its content and kind.
func (g *Guard) RecordResponse(subject Subject) {
	g.RecordFingerprintResponse(subject.Content)
	g.RecordFingerprintResponse(subject.Kind)
}

// RecordFingerprintCrash records a crash for one fingerprint, given how many of its crashes the sender
// knew. It returns the number of crashes now counted by this process.
func (g *Guard) RecordFingerprintCrash(fingerprint Fingerprint, backend string, known int) int {
	return g.addCrash(Crash{Fingerprint: fingerprint, Backend: backend, Known: known})
}

func (g *Guard) addCrash(crash Crash) int {
	crash.Exact = true
	fingerprint := crash.Fingerprint
	shared := g.sharedSuspects()[fingerprint]
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.addCrashedBackend(crash.Backend)
	base := g.local[fingerprint].suspect
	if shared.Crashes > base.Crashes {
		base = shared
	}
	next, changed := base.WithCrash(crash)
	if !changed || len(g.pending.Crashes) >= maxObservations {
		return next.Crashes
	}
	g.local[fingerprint] = localSuspect{suspect: next, expiresAt: g.now().Add(localTTL)}
	g.pending.Crashes = append(g.pending.Crashes, crash)
	g.signalReport()
	return next.Crashes
}

// addCrashedBackend records the crashed backend. The mutex must be held.
func (g *Guard) addCrashedBackend(backend string) {
	now := g.now()
	maps.DeleteFunc(g.crashedBackends, func(_ string, expiresAt time.Time) bool { return now.After(expiresAt) })
	if len(g.crashedBackends) < maxObservations {
		g.crashedBackends[backend] = now.Add(localTTL)
	}
}

// RecentlyCrashedBackends returns the backends that this process recently saw crash, or nil.
func (g *Guard) RecentlyCrashedBackends() map[string]bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if len(g.crashedBackends) == 0 {
		return nil
	}
	now := g.now()
	recent := make(map[string]bool, len(g.crashedBackends))
	for backend, expiresAt := range g.crashedBackends {
		if !now.After(expiresAt) {
			recent[backend] = true
		}
	}
	return recent
}

// RecordFingerprintResponse records a response for one fingerprint, which clears the suspect.
func (g *Guard) RecordFingerprintResponse(fingerprint Fingerprint) {
	if g.CheckFingerprint(fingerprint).KnownCrashes == 0 {
		return
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.local, fingerprint)
	if len(g.pending.Answered) < maxObservations {
		g.pending.Answered = append(g.pending.Answered, fingerprint)
	}
	g.signalReport()
}

// Permit allows the request to be sent once although it is quarantined.
func (g *Guard) Permit(fingerprint Fingerprint) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.permits[fingerprint] = true
}

// UsePermit consumes a permit and reports whether there was one.
func (g *Guard) UsePermit(fingerprint Fingerprint) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	permitted := g.permits[fingerprint]
	delete(g.permits, fingerprint)
	return permitted
}

// TakeReport returns and clears the pending observations.
func (g *Guard) TakeReport() Report {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	report := g.pending
	g.pending = Report{}
	return report
}

// RequeueReport puts back a report that could not be delivered, and extends the local suspects.
func (g *Guard) RequeueReport(report Report) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, crash := range report.Crashes {
		if local, ok := g.local[crash.Fingerprint]; ok {
			local.expiresAt = g.now().Add(localTTL)
			g.local[crash.Fingerprint] = local
		}
	}
	g.pending.Crashes = truncateObservations(append(report.Crashes, g.pending.Crashes...))
	g.pending.Answered = truncateObservations(append(report.Answered, g.pending.Answered...))
	g.signalReport()
}

// truncateObservations keeps the first maxObservations entries.
func truncateObservations[T any](observations []T) []T {
	return observations[:min(len(observations), maxObservations)]
}

// signalReport signals ReportReady without blocking.
func (g *Guard) signalReport() {
	select {
	case g.ReportReady <- struct{}{}:
	default:
	}
}
