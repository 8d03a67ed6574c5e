// Package quarantine keeps requests that crash the backends which run them away from further
// backends.
//
// A request that crashes whatever runs it comes again, under another ID, at any process. No
// process sees enough of it alone, so what is known of it is shared: a Suspect is kept in a
// replicated log, counts over all processes, and outlives each of them. A Guard is one
// process's part: it tells what crashed, and judges what may be sent.
//
// Crashes count one after the other: a crash counts if whoever sent the request knew of all
// crashes that were counted before. Backends that fall together, by a loss of power or by
// requests sent side by side, count once. A backend that ends under several requests of a kind
// counts if one of those who sent them knew. An answer ends all suspicion, and a request that is
// held back is tried again now and then, so that a sound one which was near the crashes of
// others is served again.
//
// Requests of one kind, all that a tenant sends to the same target, are counted together as well:
// work that is asked for under an ID of its own each time has another content each time, whatever
// it does to backends. A kind is held back once different contents of it have crashed backends and
// none of it was answered in between, so that one deadly request among sound ones of its kind never
// holds these back. Many of a kind run side by side, so backends that ended at once count with it
// as soon as one more has ended after them.
//
// Callers bound how often a request is sent after the third backend has ended under it. What the
// bound leaves is spent on trials within seconds; after these a request is hardly ever tried.
//
// The package has no socket or disk, and no clock but the one that it is given.
package quarantine

import (
	"slices"
	"time"
)

const (
	// HeldFrom is the number of crashes from which on a request is held back, and of ended backends
	// from which on the users' bound counts its sends.
	HeldFrom = 3
	// boundSends is the users' bound: so many sends may follow once HeldFrom backends have ended.
	boundSends = 3
	// EarlyTime is how long after the third end sends use nothing of the bound up: they were decided
	// on before that end was known everywhere.
	EarlyTime = 2 * time.Second
	// raceSends of these are left to processes that hear of an end late, where a content comes at
	// any of them. Requests of a suspected kind go one at a time.
	raceSends = 1
	// kindContents is the number of contents that must have crashed backends before their kind
	// is held back: one alone is held back for itself.
	kindContents = 2
	// mostEnded is the number of backends that may end under a request before it is tried
	// again only rarely.
	mostEnded = HeldFrom + boundSends
	// firstTrial is how long a request is held back before it is tried again, and secondTrial
	// how long after that once more, and again: a sound request is wanted within seconds, and a
	// backend that a trial has ended is back by then.
	firstTrial  = 5 * time.Second
	secondTrial = 7500 * time.Millisecond
	// rareTrial is the least wait once the bound leaves no more, and lastTrial that after the
	// last of the trials that it leaves.
	rareTrial = 10 * time.Minute
	lastTrial = 24 * time.Hour
	// kindTrial is the same for a kind. More depends on it than on one content, and what crashes
	// backends today may be mended without a change of its target.
	kindTrial = rareTrial
	// trialSpread is the part by which the waits of requests differ at the most.
	trialSpread = 0.5
	// RetryAfter is what callers are told whose request is held back.
	RetryAfter = firstTrial
	// ForgetAfter is how long a suspect that is not held back is remembered after its last
	// crash.
	ForgetAfter = 10 * time.Minute
)

// doubtedFrom is the number of crashes from which on a kind is doubted; it is held back once HeldFrom
// backends have ended, too. It is more than one, since an answer to any of a mostly sound kind comes
// before a second crash and ends the doubt.
const doubtedFrom = HeldFrom - 1

// awayShare of a service's backends may be away at once since they ended under requests before a
// suspect is sent to one more: what is left must carry the service's sound work.
const awayShare = 1.0 / 3

// MostAway returns how many of so many backends of a service may be away at once since they ended
// under requests. One may, however few there are: else no suspect would ever be cleared.
func MostAway(backends int) int { return max(int(awayShare*float64(backends)), 1) }

// Crash says that a backend has ended while it ran a request.
type Crash struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Backend is the ID of the backend's incarnation.
	Backend string `cbor:"2,keyasint"`
	// Known is the number of counted crashes that the sender knew of as it sent the request.
	Known int `cbor:"3,keyasint"`
	// Of is the content that crashed the backend where Fingerprint is that of its kind, or "".
	Of Fingerprint `cbor:"4,keyasint,omitempty"`
	// Exact has an end that is told more than once count by whoever knew most. Without it, whoever
	// tells first decides.
	Exact bool `cbor:"5,keyasint,omitempty"`
}

// Suspect is a request under which backends have ended. It is never changed.
type Suspect struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	// Crashes counts the crashes that came one after the other.
	Crashes int `cbor:"2,keyasint"`
	// Ended are the IDs of the backends that have ended, mostEnded of them at the most.
	Ended []string `cbor:"3,keyasint"`
	// Trials counts the trials that were offered, and Offered is set while one may be taken.
	Trials  int  `cbor:"4,keyasint,omitempty"`
	Offered bool `cbor:"5,keyasint,omitempty"`
	// Of are the contents that have crashed backends where this is a kind, kindContents of them
	// at the most.
	Of []Fingerprint `cbor:"6,keyasint,omitempty"`
	// Uncounted are those of Ended that are not among the crashes so far: whoever has told of them
	// knew of too few.
	Uncounted []string `cbor:"7,keyasint,omitempty"`
}

// isKind tells whether this is a kind of requests.
func (s Suspect) isKind() bool { return len(s.Of) > 0 }

// IsHeld tells whether the request is held back.
func (s Suspect) IsHeld() bool {
	if s.isKind() {
		return s.isDoubted() && len(s.Ended) >= HeldFrom
	}
	return s.Crashes >= HeldFrom
}

// ended returns how many backends have ended as the users' bound counts them. Of those that fell
// together no more than HeldFrom count: the others were sent to before the third had ended.
func (s Suspect) ended() int { return min(len(s.Ended), s.Crashes+HeldFrom-1) }

// isDoubted tells whether this is a kind of which different contents have crashed backends, so
// that all of it is suspected.
func (s Suspect) isDoubted() bool { return s.Crashes >= doubtedFrom && len(s.Of) >= kindContents }

// With returns the suspect after the crash, and whether that is news.
func (s Suspect) With(crash Crash) (Suspect, bool) {
	next := s.withOf(crash.Of)
	counts := crash.Known >= s.Crashes
	if slices.Contains(s.Ended, crash.Backend) {
		if counts && slices.Contains(s.Uncounted, crash.Backend) {
			next.Crashes++
			next.Uncounted = without(s.Uncounted, crash.Backend)
		}
		return next, next.Crashes != s.Crashes || len(next.Of) != len(s.Of)
	}
	next.Fingerprint = crash.Fingerprint
	if counts {
		next.Crashes++
	}
	if len(s.Ended) < mostEnded {
		next.Ended = append(slices.Clone(s.Ended), crash.Backend)
		if crash.Exact && !counts {
			next.Uncounted = append(slices.Clone(s.Uncounted), crash.Backend)
		}
	}
	return next, next.Crashes != s.Crashes || len(next.Ended) != len(s.Ended) || len(next.Of) != len(s.Of)
}

// without returns the list without the name, nil if nothing is left.
func without(list []string, name string) []string {
	var rest []string
	for _, one := range list {
		if one != name {
			rest = append(rest, one)
		}
	}
	return rest
}

// withOf returns the suspect after the content has crashed a backend, if it is a kind.
func (s Suspect) withOf(content Fingerprint) Suspect {
	if content != "" && len(s.Of) < kindContents && !slices.Contains(s.Of, content) {
		s.Of = append(slices.Clone(s.Of), content)
	}
	return s
}

// WithOffer returns the suspect with a trial that may be taken.
func (s Suspect) WithOffer() Suspect {
	s.Offered = true
	s.Trials++
	return s
}

// WithoutOffer returns the suspect after its trial was taken.
func (s Suspect) WithoutOffer() Suspect {
	s.Offered = false
	return s
}

// soonTrials returns how many trials may follow one another within seconds.
func (s Suspect) soonTrials() int {
	if s.isKind() {
		return boundSends
	}
	return boundSends - raceSends
}

// isSpent tells whether the users' bound leaves no further trial for now, where it does not count
// so many of the ends.
func (s Suspect) isSpent(early int) bool {
	if s.Trials == 0 {
		return !s.isKind() && s.ended() >= mostEnded
	}
	return s.ended()-early >= HeldFrom+s.soonTrials()
}

// EndsAfterThird returns how many backends have ended after the third, and whether the third has.
func (s Suspect) EndsAfterThird() (ends int, third bool) {
	return max(s.ended()-HeldFrom, 0), len(s.Ended) >= HeldFrom
}

// TrialWait returns how long after the last change the request is to be tried again. Of a kind's
// ends, the bound does not count early ones, which came right after the third; a negative number
// stands for ends to come, of trials that are under way. Requests that fell together wait for
// different times, so that a sound one does not meet the other again.
func (s Suspect) TrialWait(early int) time.Duration {
	if !s.isKind() {
		early = 0
	}
	wait := lastTrial
	switch {
	case s.Trials == 0:
		wait = firstTrial
	case s.Trials < s.soonTrials():
		wait = secondTrial
	case s.isKind():
		wait = kindTrial
	}
	if s.isSpent(early) {
		wait = max(wait, rareTrial)
	}
	return wait + time.Duration(float64(wait)*trialSpread*s.Fingerprint.fraction())
}
