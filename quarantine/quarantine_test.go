package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fakeRecord is an in-memory shared record.
type fakeRecord struct {
	suspects map[Fingerprint]Suspect
}

func (r *fakeRecord) apply(report Report) {
	for _, crash := range report.Crashes {
		if next, changed := r.suspects[crash.Fingerprint].WithCrash(crash); changed {
			r.suspects[crash.Fingerprint] = next
		}
	}
	for _, fingerprint := range report.Answered {
		delete(r.suspects, fingerprint)
	}
}

func (r *fakeRecord) list() map[Fingerprint]Suspect { return r.suspects }

func newFakeRecord() *fakeRecord { return &fakeRecord{suspects: map[Fingerprint]Suspect{}} }

// fakeClock is set by the tests.
type fakeClock struct{ current time.Time }

func (c *fakeClock) now() time.Time { return c.current }

func newTestGuard(shared *fakeRecord, clock *fakeClock) *Guard {
	return NewGuard(SharedRecord{Suspects: shared.list}, clock.now)
}

const crashingRequest = Fingerprint("crashing")

func TestFingerprintsDifferByContent(t *testing.T) {
	contents := []Content{
		{}, {ID: "a"}, {Tenant: "a"}, {Method: "a"}, {Host: "a"}, {Target: "a"}, {Body: []byte("a")},
		{Tenant: "a", Method: "b"}, {Tenant: "ab"}, {Host: "a", Target: "b"}, {Target: "ab"},
	}
	seen := map[Fingerprint]bool{}
	for _, content := range contents {
		require.Equal(t, content.Fingerprint(), content.Fingerprint())
		require.False(t, seen[content.Fingerprint()], "%v", content)
		seen[content.Fingerprint()] = true
	}
}

// TestOnlySequentialCrashesCount verifies that crashes count across processes if each sender knew of the
// earlier ones, and that concurrent crashes and repeated reports count once.
func TestOnlySequentialCrashesCount(t *testing.T) {
	shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
	guardA, guardB := newTestGuard(shared, clock), newTestGuard(shared, clock)
	recordCrash := func(guard *Guard, backend string, known int) {
		guard.RecordFingerprintCrash(crashingRequest, backend, known)
		report := guard.TakeReport()
		shared.apply(report)
		shared.apply(report)
	}
	for number := range 8 {
		recordCrash(guardA, fmt.Sprintf("together-%d", number), 0)
	}
	require.Equal(t, 1, guardA.CheckFingerprint(crashingRequest).KnownCrashes, "concurrent crashes count once")
	require.False(t, guardB.CheckFingerprint(crashingRequest).Quarantined)
	recordCrash(guardB, "second", guardB.CheckFingerprint(crashingRequest).KnownCrashes)
	require.Equal(t, 2, guardA.CheckFingerprint(crashingRequest).KnownCrashes)
	recordCrash(guardA, "third", guardA.CheckFingerprint(crashingRequest).KnownCrashes)
	require.True(t, guardA.CheckFingerprint(crashingRequest).Quarantined)
	require.True(t, guardB.CheckFingerprint(crashingRequest).Quarantined)
	newGuard := newTestGuard(shared, clock)
	require.True(t, newGuard.CheckFingerprint(crashingRequest).Quarantined, "a new process uses the shared record")
}

// TestLocalCrashesApplyBeforeReporting verifies that a process applies crashes that it observed until
// they expire, and longer while it cannot report them.
func TestLocalCrashesApplyBeforeReporting(t *testing.T) {
	shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
	guard := newTestGuard(shared, clock)
	for number := range CrashThreshold {
		guard.RecordFingerprintCrash(crashingRequest, fmt.Sprint(number), guard.CheckFingerprint(crashingRequest).KnownCrashes)
	}
	require.True(t, guard.CheckFingerprint(crashingRequest).Quarantined)
	for range 3 {
		clock.current = clock.current.Add(localTTL)
		guard.RequeueReport(guard.TakeReport())
	}
	require.True(t, guard.CheckFingerprint(crashingRequest).Quarantined, "unreported crashes do not expire")
	clock.current = clock.current.Add(2 * localTTL)
	require.False(t, guard.CheckFingerprint(crashingRequest).Quarantined, "local crashes have expired")
	require.True(t, guard.IsIdle())
}

func TestResponseClearsSuspect(t *testing.T) {
	shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
	guard := newTestGuard(shared, clock)
	guard.RecordFingerprintResponse(crashingRequest)
	require.True(t, guard.TakeReport().IsEmpty(), "responses to requests that are not suspects are not reported")
	guard.RecordFingerprintCrash(crashingRequest, "a", 0)
	guard.RecordFingerprintCrash(crashingRequest, "b", 1)
	shared.apply(guard.TakeReport())
	guard.RecordFingerprintResponse(crashingRequest)
	shared.apply(guard.TakeReport())
	require.Zero(t, guard.CheckFingerprint(crashingRequest).KnownCrashes)
}

// TestPendingReportIsBounded guards against unbounded growth while reports cannot be delivered.
func TestPendingReportIsBounded(t *testing.T) {
	guard := newTestGuard(newFakeRecord(), &fakeClock{current: time.Now()})
	for range 3 {
		for number := range maxObservations + 10 {
			guard.RecordFingerprintCrash(Fingerprint(fmt.Sprint(number)), fmt.Sprint("b", number), 0)
		}
		guard.RequeueReport(guard.TakeReport())
	}
	require.Len(t, guard.TakeReport().Crashes, maxObservations)
}

// TestPermitAllowsOneSend verifies that a permit is valid until it is used.
func TestPermitAllowsOneSend(t *testing.T) {
	shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
	shared.suspects[crashingRequest] = Suspect{Fingerprint: crashingRequest, Crashes: CrashThreshold, Offered: true}
	guard := newTestGuard(shared, clock)
	require.True(t, guard.CheckFingerprint(crashingRequest).TrialOffered)
	require.False(t, guard.TakeTrial(context.Background(), crashingRequest), "the shared record has no TakeTrial")
	guard.Permit(crashingRequest)
	require.False(t, guard.CheckFingerprint(crashingRequest).Quarantined)
	require.True(t, guard.UsePermit(crashingRequest))
	require.True(t, guard.CheckFingerprint(crashingRequest).Quarantined)
	require.False(t, guard.UsePermit(crashingRequest))
}

// TestTrialDelaysGrow verifies that trial delays grow with the trials and the crashed backends.
func TestTrialDelaysGrow(t *testing.T) {
	suspect := Suspect{}
	for number := range CrashThreshold {
		suspect, _ = suspect.WithCrash(Crash{Fingerprint: crashingRequest, Backend: fmt.Sprint(number), Known: number})
	}
	requireDelay := func(minDelay time.Duration) {
		require.GreaterOrEqual(t, suspect.TrialDelay(0), minDelay)
		require.LessOrEqual(t, suspect.TrialDelay(0), minDelay+time.Duration(trialJitter*float64(minDelay)))
	}
	requireDelay(firstTrialDelay)
	suspect = suspect.WithTrialOffered().WithTrialTaken()
	requireDelay(repeatTrialDelay)
	for number := CrashThreshold; number < maxCrashedBackends; number++ {
		suspect, _ = suspect.WithCrash(Crash{Fingerprint: crashingRequest, Backend: fmt.Sprint(number), Known: number})
	}
	requireDelay(exhaustedTrialDelay)
	suspect = suspect.WithTrialOffered().WithTrialTaken()
	requireDelay(finalTrialDelay)
	require.Len(t, suspect.Ended, maxCrashedBackends)
	again, changed := suspect.WithCrash(Crash{Fingerprint: crashingRequest, Backend: "0", Known: 9})
	require.False(t, changed)
	require.Equal(t, suspect, again)
}

// TestCrashingRequestIsQuarantinedInAnyOrder verifies that no process that knows of CrashThreshold crashes
// sends the request, however stale the views, and that the shared count neither falls nor counts twice.
func TestCrashingRequestIsQuarantinedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared, clock := newFakeRecord(), &fakeClock{current: time.Now()}
		views := make([]*fakeRecord, 4)
		guards := make([]*Guard, len(views))
		reports := make([]Report, len(views))
		for position := range views {
			views[position] = newFakeRecord()
			guards[position] = newTestGuard(views[position], clock)
		}
		crashes, highest := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			process := rapid.IntRange(0, len(views)-1).Draw(t, "process")
			guard := guards[process]
			switch rapid.SampledFrom([]string{"send", "tell", "lose", "learn"}).Draw(t, "action") {
			case "send":
				verdict := guard.CheckFingerprint(crashingRequest)
				require.Equal(t, verdict.KnownCrashes >= CrashThreshold, verdict.Quarantined)
				if !verdict.Quarantined {
					crashes++
					guard.RecordFingerprintCrash(crashingRequest, fmt.Sprint(crashes), verdict.KnownCrashes)
				}
			case "tell":
				shared.apply(reports[process])
				reports[process] = guard.TakeReport()
				shared.apply(reports[process])
			case "lose":
				guard.RequeueReport(guard.TakeReport())
			case "learn":
				views[process].suspects = map[Fingerprint]Suspect{}
				for fingerprint, suspect := range shared.suspects {
					views[process].suspects[fingerprint] = suspect
				}
			}
			counted := shared.suspects[crashingRequest].Crashes
			require.GreaterOrEqual(t, counted, highest)
			require.LessOrEqual(t, counted, crashes)
			highest = counted
		}
	})
}
