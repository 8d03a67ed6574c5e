package server

import (
	"sync/atomic"
	"time"
)

const (
	// questionTimeout bounds the question what a copy misses: some round trips to the
	// directory's leader.
	questionTimeout = 250 * time.Millisecond
	// sendMargin is kept of the limit for the way to the backend, with a new connection.
	sendMargin = 300 * time.Millisecond
	// askAhead is how long before its limit a copy is asked for, so that nobody waits for the
	// answer as a rule, and lookInterval the time between two looks at its age.
	askAhead     = questionTimeout + lookInterval
	lookInterval = 200 * time.Millisecond
	// unansweredLife is how long it counts that nobody has answered. The directory is asked again
	// after unansweredPause, and nobody waits for it: hundreds of processes must not keep a
	// directory busy that has no leader.
	unansweredLife  = 1200 * time.Millisecond
	unansweredPause = 600 * time.Millisecond
)

// copyState tells whether a copy of the directory may be acted on.
type copyState uint8

const (
	// copyFresh: it held everything a short time ago.
	copyFresh copyState = iota
	// copyAging: it may be acted on, and should be asked for.
	copyAging
	// copyTooOld: it has to be asked for first.
	copyTooOld
	// copyOutOfTouch: it is too old, and no replica has answered just now.
	copyOutOfTouch
)

// String returns the state's name in logs.
func (s copyState) String() string {
	return [...]string{"fresh", "aging", "too_old", "out_of_touch"}[s]
}

// copyAge decides whether a copy may be acted on. Times are in milliseconds, see nowMillis. Its
// methods may be called concurrently.
type copyAge struct {
	// limit is the age beyond which the directory is asked first; 0 for none.
	limit time.Duration
	// provenAt is the newest time at which the copy is known to have held everything, and
	// unansweredAt when nobody last answered a question.
	provenAt, unansweredAt atomic.Int64
}

// state tells whether the copy may be acted on.
func (a *copyAge) state(now int64) copyState {
	if a.limit == 0 {
		return copyFresh
	}
	age, most := now-a.provenAt.Load(), (a.limit - sendMargin).Milliseconds()
	switch {
	case age <= most-askAhead.Milliseconds():
		return copyFresh
	case age <= most:
		return copyAging
	case a.isUnanswered(now, unansweredLife):
		return copyOutOfTouch
	}
	return copyTooOld
}

// mayAsk tells whether a question that nobody waits for may begin.
func (a *copyAge) mayAsk(now int64) bool { return !a.isUnanswered(now, unansweredPause) }

// isUnanswered tells whether nobody has answered within the time until now.
func (a *copyAge) isUnanswered(now int64, within time.Duration) bool {
	at := a.unansweredAt.Load()
	return at > 0 && now-at <= within.Milliseconds()
}

// noteProven notes that the copy held everything at the time.
func (a *copyAge) noteProven(at int64) {
	for {
		known := a.provenAt.Load()
		if at <= known || a.provenAt.CompareAndSwap(known, at) {
			return
		}
	}
}

// noteQuestionUnanswered notes that nobody has answered.
func (a *copyAge) noteQuestionUnanswered(now int64) { a.unansweredAt.Store(now) }

// noteQuestionAnswered notes that a question which began at the time has been answered.
func (a *copyAge) noteQuestionAnswered(began int64) {
	a.unansweredAt.Store(0)
	a.noteProven(began)
}

// lineProof is how old a replica's proof may be when it sends a line: see maxConfirmationAge.
const lineProof = maxConfirmationAge + confirmationCheckInterval

// watchProof tells what the lines of a replica's watches prove. A line may be read long after
// it was sent, by a process that stood still; but a replica sends the line of a number no earlier
// than that many intervals after it was asked. Times are in milliseconds.
type watchProof struct {
	address string
	// from is when the replica had begun to prove what it says: it holds watches for a short
	// time without a proof. 0 until it has said anything.
	from int64
	// askedAt is when the watch was asked for, lines counts its lines, and sentAt is a time at
	// which the newest line of any watch was not sent yet.
	askedAt, lines, sentAt int64
}

// begin notes that a watch is asked for.
func (f *watchProof) begin(now int64, address string) {
	if f.address != address {
		*f = watchProof{address: address}
	}
	f.askedAt, f.lines = now, 0
}

// end forgets a replica that is left.
func (f *watchProof) end() { *f = watchProof{} }

// noteLine takes in a line that was read, and returns the time at which the replica is known to
// have held everything that it has told of, if the line proves that.
func (f *watchProof) noteLine(now int64) (provenAt int64, proves bool) {
	f.noteHeard(now)
	f.sentAt = f.askedAt + f.lines*keepaliveInterval.Milliseconds()
	f.lines++
	if f.lines == 1 {
		// The first line says only that the watch has come.
		return 0, false
	}
	return f.sentAt - lineProof.Milliseconds(), f.sentAt-f.from >= lineProof.Milliseconds()
}

// noteHeard takes in that the replica has said anything. One that nobody watched for a while
// begins anew to prove what it says.
func (f *watchProof) noteHeard(now int64) {
	if f.lines == 0 && (f.from == 0 || now-f.sentAt > readConfirmLinger.Milliseconds()) {
		f.from = now
	}
}
