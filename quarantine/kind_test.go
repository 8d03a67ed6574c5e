package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const crashingKind = Fingerprint("crashing kind")

// crashingSubject returns a crashing request of crashingKind; each number has its own content.
func crashingSubject(number int) Subject {
	return Subject{Content: Fingerprint(fmt.Sprint("content-", number)), Kind: crashingKind}
}

// crashBackend records a crash under the request and reports it to the shared record.
func crashBackend(guard *Guard, shared *fakeRecord, subject Subject, backend string) {
	guard.RecordCrash(subject, backend, guard.CheckSubject(subject))
	shared.apply(guard.TakeReport())
}

func TestKindFingerprintsDifferByTarget(t *testing.T) {
	contents := []Content{{}, {Tenant: "a"}, {Method: "a"}, {Host: "a"}, {Target: "a"}, {Tenant: "a", Method: "b"}, {Tenant: "ab"}}
	seen := map[Fingerprint]bool{}
	for _, content := range contents {
		require.False(t, seen[content.KindFingerprint()], "%v", content)
		seen[content.KindFingerprint()] = true
		require.NotEqual(t, content.Fingerprint(), content.KindFingerprint())
		other := content
		other.ID, other.Body = "x", []byte("y")
		require.Equal(t, content.KindFingerprint(), other.KindFingerprint())
	}
}

// TestKindIsQuarantinedAfterDifferentContents verifies that a request that was never sent is quarantined
// once CrashThreshold others of its kind have crashed backends in sequence.
func TestKindIsQuarantinedAfterDifferentContents(t *testing.T) {
	shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
	guardA, guardB := newTestGuard(shared, clock), newTestGuard(shared, clock)
	for number := range CrashThreshold {
		require.False(t, guardB.CheckSubject(crashingSubject(number)).Quarantined)
		crashBackend(guardA, shared, crashingSubject(number), fmt.Sprint("b", number))
	}
	verdict := guardB.CheckSubject(crashingSubject(100))
	require.True(t, verdict.Quarantined)
	require.Zero(t, verdict.KnownCrashes, "the content itself has no crashes")
	require.Equal(t, crashingKind, verdict.Fingerprint, "the trial is that of the kind")
	require.False(t, guardB.CheckSubject(Subject{Content: "content-100", Kind: "other"}).Quarantined)
}

// TestSingleContentDoesNotQuarantineKind verifies that a single crashing request does not quarantine others
// to the same target.
func TestSingleContentDoesNotQuarantineKind(t *testing.T) {
	shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
	guard := newTestGuard(shared, clock)
	for number := range maxCrashedBackends {
		crashBackend(guard, shared, crashingSubject(1), fmt.Sprint("b", number))
	}
	require.True(t, guard.CheckSubject(crashingSubject(1)).Quarantined)
	require.False(t, guard.CheckSubject(crashingSubject(2)).Quarantined)
}

// TestKindIsSuspectedAfterTwoContents verifies that all requests of a kind are suspects after two of
// its contents crashed backends, until one receives a response.
func TestKindIsSuspectedAfterTwoContents(t *testing.T) {
	shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
	guard := newTestGuard(shared, clock)
	crashBackend(guard, shared, crashingSubject(1), "b1")
	require.False(t, guard.CheckSubject(crashingSubject(100)).IsSuspect(), "one crash does not make the kind suspected")
	crashBackend(guard, shared, crashingSubject(1), "b2")
	require.False(t, guard.CheckSubject(crashingSubject(100)).IsSuspect(), "two crashes of the same content do not make the kind suspected")
	crashBackend(guard, shared, crashingSubject(2), "b2")
	verdict := guard.CheckSubject(crashingSubject(100))
	require.True(t, verdict.IsSuspect())
	require.False(t, verdict.Quarantined)
	guard.RecordResponse(crashingSubject(3))
	shared.apply(guard.TakeReport())
	require.False(t, guard.CheckSubject(crashingSubject(100)).IsSuspect())
	require.True(t, guard.CheckSubject(crashingSubject(1)).IsSuspect())
}

// TestResponseClearsKind verifies that responses prevent and end the quarantine of a kind.
func TestResponseClearsKind(t *testing.T) {
	shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
	guard := newTestGuard(shared, clock)
	recordResponse := func() {
		guard.RecordResponse(crashingSubject(1000))
		shared.apply(guard.TakeReport())
	}
	for number := range 5 * CrashThreshold {
		crashBackend(guard, shared, crashingSubject(number), fmt.Sprint("b", number))
		if number%(CrashThreshold-1) == 0 {
			recordResponse()
		}
		require.False(t, guard.CheckSubject(crashingSubject(2000)).Quarantined, "after %d", number)
	}
	for number := range CrashThreshold {
		crashBackend(guard, shared, crashingSubject(100+number), fmt.Sprint("c", number))
	}
	require.True(t, guard.CheckSubject(crashingSubject(2000)).Quarantined)
	recordResponse()
	require.False(t, guard.CheckSubject(crashingSubject(2000)).Quarantined)
}

// TestOnlyPermittedContentOfQuarantinedKindIsSent verifies that a permit for one content of a kind does not
// apply to others.
func TestOnlyPermittedContentOfQuarantinedKindIsSent(t *testing.T) {
	shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
	guard := newTestGuard(shared, clock)
	for number := range CrashThreshold {
		crashBackend(guard, shared, crashingSubject(number), fmt.Sprint("b", number))
	}
	guard.Permit(crashingSubject(1).Content)
	require.False(t, guard.CheckSubject(crashingSubject(1)).Quarantined)
	require.True(t, guard.CheckSubject(crashingSubject(2)).Quarantined)
	require.True(t, guard.UsePermit(crashingSubject(1).Content))
	require.True(t, guard.CheckSubject(crashingSubject(1)).Quarantined)
}

// TestKindTrialDelays verifies that a kind is still tried regularly after many crashes.
func TestKindTrialDelays(t *testing.T) {
	kind := Suspect{}
	for number := range 2 * maxCrashedBackends {
		kind, _ = kind.WithCrash(Crash{Fingerprint: crashingKind, Backend: fmt.Sprint(number), Known: number, Of: crashingSubject(number).Content})
	}
	require.Len(t, kind.Of, kindContentThreshold)
	require.Len(t, kind.Ended, maxCrashedBackends)
	for _, minDelay := range []time.Duration{firstTrialDelay, finalKindTrialDelay, finalKindTrialDelay} {
		require.GreaterOrEqual(t, kind.TrialDelay(0), minDelay)
		require.LessOrEqual(t, kind.TrialDelay(0), minDelay+time.Duration(trialJitter*float64(minDelay)))
		kind = kind.WithTrialOffered().WithTrialTaken()
	}
}

// TestCrashingKindIsQuarantinedInAnyOrder verifies that a process with a stale view sends no request of
// a kind after it has learned of CrashThreshold crashes of different contents.
func TestCrashingKindIsQuarantinedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
		views := make([]*fakeRecord, 3)
		guards := make([]*Guard, len(views))
		for position := range views {
			views[position] = newFakeRecord()
			guards[position] = newTestGuard(views[position], clock)
		}
		crashes := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			process := rapid.IntRange(0, len(views)-1).Draw(t, "process")
			guard, known := guards[process], views[process].suspects[crashingKind]
			switch rapid.SampledFrom([]string{"send", "tell", "learn"}).Draw(t, "action") {
			case "send":
				subject := crashingSubject(rapid.IntRange(0, 5).Draw(t, "content"))
				verdict := guard.CheckSubject(subject)
				require.False(t, known.Crashes >= CrashThreshold && len(known.Of) >= kindContentThreshold && !verdict.Quarantined)
				if !verdict.Quarantined {
					crashes++
					guard.RecordCrash(subject, fmt.Sprint(crashes), verdict)
				}
			case "tell":
				shared.apply(guard.TakeReport())
			case "learn":
				views[process].suspects = map[Fingerprint]Suspect{}
				for fingerprint, suspect := range shared.suspects {
					views[process].suspects[fingerprint] = suspect
				}
			}
			require.LessOrEqual(t, shared.suspects[crashingKind].Crashes, crashes)
		}
	})
}
