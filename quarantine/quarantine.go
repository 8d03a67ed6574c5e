// Package quarantine stops requests that crash their backends from being sent to further backends. Such a
// request is retried under a new ID and may arrive at any process, so a replicated log counts the crashes
// of all processes in a Suspect. A Guard is the local part of a process: it reports crashes and decides
// which requests may be sent. A quarantined request is retried occasionally as a trial, and a response
// clears the suspect. The package uses no network or disk, and reads time only from the clock passed to it.
package quarantine

import (
	"slices"
	"time"
)

const (
	// CrashThreshold is the number of crashes after which a request is quarantined, and the number
	// of crashed backends after which sends use up the send budget.
	CrashThreshold = 3
	// sendBudget is the number of sends allowed once CrashThreshold backends have crashed. Trials use it
	// up at short intervals; afterwards the request is rarely tried.
	sendBudget = 3
	// CrashGracePeriod is the time after the crash that reaches CrashThreshold during which sends of
	// a kind are not charged to the budget: not every process knows of that crash yet.
	CrashGracePeriod = 2 * time.Second
	// reservedSends is the part of a content's budget kept for processes that learn of a crash late.
	// Kinds need none: requests of a suspected kind are sent one at a time.
	reservedSends = 1
	// kindContentThreshold is the number of different contents that must have crashed backends
	// before their kind is quarantined. A single content is quarantined by itself.
	kindContentThreshold = 2
	// maxCrashedBackends is the number of crashed backends after which a request is tried only rarely.
	maxCrashedBackends = CrashThreshold + sendBudget
	// firstTrialDelay precedes the first trial of a quarantined request, repeatTrialDelay each
	// further quick trial. They let a harmless request run within seconds, and leave a backend
	// crashed by a trial enough time to restart.
	firstTrialDelay  = 5 * time.Second
	repeatTrialDelay = 7500 * time.Millisecond
	// exhaustedTrialDelay is the minimum delay once the send budget is exhausted, and
	// finalTrialDelay the delay after a content's quick trials.
	exhaustedTrialDelay = 10 * time.Minute
	finalTrialDelay     = 24 * time.Hour
	// finalKindTrialDelay is the delay after a kind's quick trials. It is shorter because more
	// requests depend on a kind, and the fault may be fixed without a change of the target.
	finalKindTrialDelay = exhaustedTrialDelay
	// trialJitter is the largest fraction added to a trial delay.
	trialJitter = 0.5
	// RetryAfter is the retry delay returned to callers whose request is quarantined.
	RetryAfter = firstTrialDelay
	// ForgetAfter is how long a suspect that is not quarantined is kept after its last crash.
	ForgetAfter = 10 * time.Minute
)

// suspectedKindThreshold is the number of crashes after which a kind is suspected. It is more than
// one, since in a mostly harmless kind a response clears the suspect before a second crash.
const suspectedKindThreshold = CrashThreshold - 1

// maxUnavailableFraction limits the fraction of a service's backends that suspects may have crashed
// at a time, so that the others can carry the service's load.
const maxUnavailableFraction = 1.0 / 3

// MaxUnavailable returns how many of a service's backends may be down after crashes at a time. It is at
// least one, since otherwise no suspect could be cleared.
func MaxUnavailable(backends int) int { return max(int(maxUnavailableFraction*float64(backends)), 1) }

// Crash reports that a backend crashed while it ran a request.
type Crash struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Backend is the ID of the crashed backend process.
	Backend string `cbor:"2,keyasint"`
	// Known is the number of counted crashes that the sender knew of when it sent the request.
	Known int `cbor:"3,keyasint"`
	// Of is the content that crashed the backend if Fingerprint is that of its kind, "" otherwise.
	Of Fingerprint `cbor:"4,keyasint,omitempty"`
	// Exact selects the report with the highest Known if a crash is reported more than once.
	// Otherwise the first report decides.
	Exact bool `cbor:"5,keyasint,omitempty"`
}

// Suspect is the record of a request that ran on crashed backends. Values are immutable.
//
// A crash is counted only if the sender of the request knew of all crashes counted before it, so backends
// that crash together, because of a power loss or concurrent requests, count once. If several senders
// report the same backend, one that knew of the earlier crashes is enough.
//
// Requests of one kind are also counted together, because their contents may differ on every attempt. A
// kind is quarantined once different contents of it have crashed backends without a response in between,
// so that a single crashing request does not block its kind. Requests of a kind run concurrently, so
// backends that crashed together count in full for the kind once one more backend has crashed after them.
type Suspect struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Crashes counts the crashes whose senders knew of all crashes counted before.
	Crashes int `cbor:"2,keyasint"`
	// Ended lists the IDs of the crashed backends, at most maxCrashedBackends of them.
	Ended []string `cbor:"3,keyasint"`
	// Trials counts the trials offered, and Offered is set while one may be taken.
	Trials  int  `cbor:"4,keyasint,omitempty"`
	Offered bool `cbor:"5,keyasint,omitempty"`
	// Of lists the contents that crashed backends if this is a kind, at most kindContentThreshold
	// of them.
	Of []Fingerprint `cbor:"6,keyasint,omitempty"`
	// Uncounted lists the backends in Ended that Crashes does not include, because their reporters
	// did not know of all earlier crashes.
	Uncounted []string `cbor:"7,keyasint,omitempty"`
}

// isKind reports whether the suspect is a kind rather than a content.
func (s Suspect) isKind() bool { return len(s.Of) > 0 }

// IsQuarantined reports whether the request must not be sent except as a trial.
func (s Suspect) IsQuarantined() bool {
	if s.isKind() {
		return s.isSuspectedKind() && len(s.Ended) >= CrashThreshold
	}
	return s.Crashes >= CrashThreshold
}

// budgetedCrashes returns the number of crashed backends that the send budget takes into account. Of
// backends that crashed together at most CrashThreshold count: the request was sent to the others
// before the threshold was reached.
func (s Suspect) budgetedCrashes() int { return min(len(s.Ended), s.Crashes+CrashThreshold-1) }

// isSuspectedKind reports whether different contents of a kind have crashed backends, so that all
// requests of the kind are suspects.
func (s Suspect) isSuspectedKind() bool {
	return s.Crashes >= suspectedKindThreshold && len(s.Of) >= kindContentThreshold
}

// WithCrash returns the suspect with the crash added, and whether this changed it.
func (s Suspect) WithCrash(crash Crash) (Suspect, bool) {
	next := s.withContent(crash.Of)
	isCounted := crash.Known >= s.Crashes
	if slices.Contains(s.Ended, crash.Backend) {
		if isCounted && slices.Contains(s.Uncounted, crash.Backend) {
			next.Crashes++
			next.Uncounted = without(s.Uncounted, crash.Backend)
		}
		return next, next.Crashes != s.Crashes || len(next.Of) != len(s.Of)
	}
	next.Fingerprint = crash.Fingerprint
	if isCounted {
		next.Crashes++
	}
	if len(s.Ended) < maxCrashedBackends {
		next.Ended = append(slices.Clone(s.Ended), crash.Backend)
		if crash.Exact && !isCounted {
			next.Uncounted = append(slices.Clone(s.Uncounted), crash.Backend)
		}
	}
	return next, next.Crashes != s.Crashes || len(next.Ended) != len(s.Ended) || len(next.Of) != len(s.Of)
}

// without returns the list without the name, or nil if nothing is left.
func without(list []string, name string) []string {
	var remaining []string
	for _, item := range list {
		if item != name {
			remaining = append(remaining, item)
		}
	}
	return remaining
}

// withContent returns the suspect with the content added to Of. An empty content is ignored.
func (s Suspect) withContent(content Fingerprint) Suspect {
	if content != "" && len(s.Of) < kindContentThreshold && !slices.Contains(s.Of, content) {
		s.Of = append(slices.Clone(s.Of), content)
	}
	return s
}

// WithTrialOffered returns the suspect with a trial that may be taken.
func (s Suspect) WithTrialOffered() Suspect {
	s.Offered = true
	s.Trials++
	return s
}

// WithTrialTaken returns the suspect after its trial was taken.
func (s Suspect) WithTrialTaken() Suspect {
	s.Offered = false
	return s
}

// quickTrials returns the number of trials made at short intervals.
func (s Suspect) quickTrials() int {
	if s.isKind() {
		return sendBudget
	}
	return sendBudget - reservedSends
}

// isBudgetExhausted reports whether the send budget leaves no quick trial, not counting exempt crashes.
func (s Suspect) isBudgetExhausted(exempt int) bool {
	if s.Trials == 0 {
		return !s.isKind() && s.budgetedCrashes() >= maxCrashedBackends
	}
	return s.budgetedCrashes()-exempt >= CrashThreshold+s.quickTrials()
}

// CrashesAfterThreshold returns the number of backends that crashed after CrashThreshold was
// reached, and whether it was reached.
func (s Suspect) CrashesAfterThreshold() (crashes int, reached bool) {
	return max(s.budgetedCrashes()-CrashThreshold, 0), len(s.Ended) >= CrashThreshold
}

// TrialDelay returns the time from the suspect's last change to its next trial. The send budget of a
// kind does not count exempt crashes, which happened within CrashGracePeriod; a negative number adds
// the crashes expected of running trials. The jitter separates requests that crashed the same backends,
// so that a harmless one does not run alongside the crashing one again.
func (s Suspect) TrialDelay(exempt int) time.Duration {
	if !s.isKind() {
		exempt = 0
	}
	delay := finalTrialDelay
	switch {
	case s.Trials == 0:
		delay = firstTrialDelay
	case s.Trials < s.quickTrials():
		delay = repeatTrialDelay
	case s.isKind():
		delay = finalKindTrialDelay
	}
	if s.isBudgetExhausted(exempt) {
		delay = max(delay, exhaustedTrialDelay)
	}
	return delay + time.Duration(float64(delay)*trialJitter*s.Fingerprint.fraction())
}
