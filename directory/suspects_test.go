package directory

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/quarantine"
)

const crashingRequest = quarantine.Fingerprint("crashing")

// reportCrashes reports that the request crashed count backends one after the other.
func reportCrashes(m *Machine, fingerprint quarantine.Fingerprint, count int) {
	for number := range count {
		m.Apply(Command{Crashes: []quarantine.Crash{{Fingerprint: fingerprint, Backend: fmt.Sprint(number), Known: number}}}.Encode())
	}
}

// TestSuspectsInSnapshotsAndDeltas: suspects and their removal are in snapshots, full deltas and
// incremental deltas.
func TestSuspectsInSnapshotsAndDeltas(t *testing.T) {
	m := NewMachine()
	trailing := NewCatalog().With(m.DeltaSince(0))
	reportCrashes(m, crashingRequest, quarantine.CrashThreshold)
	var snapshot bytes.Buffer
	require.NoError(t, m.Snapshot()(&snapshot))
	restored := NewMachine()
	require.NoError(t, restored.Restore(&snapshot))
	trailing = trailing.With(restored.DeltaSince(trailing.Revision))
	fresh := NewCatalog().With(restored.DeltaSince(0))
	require.True(t, trailing.Suspects[crashingRequest].IsQuarantined())
	require.True(t, fresh.Suspects[crashingRequest].IsQuarantined())
	restored.Apply(Command{Answered: []quarantine.Fingerprint{crashingRequest}}.Encode())
	trailing = trailing.With(restored.DeltaSince(trailing.Revision))
	require.Empty(t, trailing.Suspects)
}

// TestTrialIsTakenOnce: an offered trial is granted once, and offers for an earlier revision are ignored.
func TestTrialIsTakenOnce(t *testing.T) {
	m := NewMachine()
	reportCrashes(m, crashingRequest, quarantine.CrashThreshold)
	_, revision, _ := m.Suspect(crashingRequest)
	take := func() bool {
		result, err := DecodeResult(m.Apply(Command{TakeTrial: crashingRequest}.Encode()))
		require.NoError(t, err)
		return result.Granted
	}
	require.False(t, take(), "no trial is offered")
	m.Apply(Command{OfferTrial: &SuspectRevision{Fingerprint: crashingRequest, Revision: revision}}.Encode())
	require.True(t, take())
	require.False(t, take())
	m.Apply(Command{OfferTrial: &SuspectRevision{Fingerprint: crashingRequest, Revision: revision}}.Encode())
	require.False(t, take(), "an offer for an earlier revision")
	m.Apply(Command{ForgetSuspect: &SuspectRevision{Fingerprint: crashingRequest, Revision: revision}}.Encode())
	_, _, exists := m.Suspect(crashingRequest)
	require.True(t, exists, "the suspect has changed since")
}

// TestSuspectsAreBounded: above the limit, suspects that are not quarantined are evicted first.
func TestSuspectsAreBounded(t *testing.T) {
	m := NewMachine()
	reportCrashes(m, crashingRequest, quarantine.CrashThreshold)
	for number := range maxSuspects + 10 {
		reportCrashes(m, quarantine.Fingerprint(fmt.Sprint("other-", number)), 1)
	}
	require.Len(t, m.state.Suspects, maxSuspects)
	suspect, _, ok := m.Suspect(crashingRequest)
	require.True(t, ok)
	require.True(t, suspect.IsQuarantined())
	_, _, ok = m.Suspect("other-0")
	require.False(t, ok)
}

// TestKindsInSnapshotsAndDeltas: suspected kinds are in snapshots and deltas.
func TestKindsInSnapshotsAndDeltas(t *testing.T) {
	m := NewMachine()
	for number := range quarantine.CrashThreshold {
		m.Apply(Command{Crashes: []quarantine.Crash{{
			Fingerprint: "kind", Backend: fmt.Sprint(number), Known: number, Of: quarantine.Fingerprint(fmt.Sprint("content-", number)),
		}}}.Encode())
	}
	var snapshot bytes.Buffer
	require.NoError(t, m.Snapshot()(&snapshot))
	restored := NewMachine()
	require.NoError(t, restored.Restore(&snapshot))
	fresh := NewCatalog().With(restored.DeltaSince(0))
	require.True(t, fresh.Suspects["kind"].IsQuarantined())
}
