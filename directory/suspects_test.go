package directory

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/quarantine"
)

const deadly = quarantine.Fingerprint("deadly")

// crashTimes has a request end backends one after the other.
func crashTimes(m *Machine, fingerprint quarantine.Fingerprint, times int) {
	for number := range times {
		m.Apply(Command{Crashes: []quarantine.Crash{{Fingerprint: fingerprint, Backend: fmt.Sprint(number), Known: number}}}.Encode())
	}
}

// TestSuspectsOutliveTheirProcesses: what is known of a request is in snapshots, and reaches
// watchers that trail as well as those that start; so does its end.
func TestSuspectsOutliveTheirProcesses(t *testing.T) {
	m := NewMachine()
	trailing := NewCatalog().With(m.DeltaSince(0))
	crashTimes(m, deadly, quarantine.CrashThreshold)
	var written bytes.Buffer
	require.NoError(t, m.Snapshot()(&written))
	restored := NewMachine()
	require.NoError(t, restored.Restore(&written))
	trailing = trailing.With(restored.DeltaSince(trailing.Revision))
	started := NewCatalog().With(restored.DeltaSince(0))
	require.True(t, trailing.Suspects[deadly].IsQuarantined())
	require.True(t, started.Suspects[deadly].IsQuarantined())
	restored.Apply(Command{Answered: []quarantine.Fingerprint{deadly}}.Encode())
	trailing = trailing.With(restored.DeltaSince(trailing.Revision))
	require.Empty(t, trailing.Suspects)
}

// TestTrialIsTakenOnce: of those who ask for a trial one gets it, and an offer that was decided
// by a state that has passed has no effect.
func TestTrialIsTakenOnce(t *testing.T) {
	m := NewMachine()
	crashTimes(m, deadly, quarantine.CrashThreshold)
	_, revision, _ := m.Suspect(deadly)
	take := func() bool {
		result, err := DecodeResult(m.Apply(Command{TakeTrial: deadly}.Encode()))
		require.NoError(t, err)
		return result.Granted
	}
	require.False(t, take(), "none is offered")
	m.Apply(Command{OfferTrial: &SuspectRevision{Fingerprint: deadly, Revision: revision}}.Encode())
	require.True(t, take())
	require.False(t, take())
	m.Apply(Command{OfferTrial: &SuspectRevision{Fingerprint: deadly, Revision: revision}}.Encode())
	require.False(t, take(), "a resent offer of an earlier state")
	m.Apply(Command{ForgetSuspect: &SuspectRevision{Fingerprint: deadly, Revision: revision}}.Encode())
	_, _, known := m.Suspect(deadly)
	require.True(t, known, "it has changed since")
}

// TestSuspectsAreBounded: beyond the bound those that are not held back go first.
func TestSuspectsAreBounded(t *testing.T) {
	m := NewMachine()
	crashTimes(m, deadly, quarantine.CrashThreshold)
	for number := range maxSuspects + 10 {
		crashTimes(m, quarantine.Fingerprint(fmt.Sprint("other-", number)), 1)
	}
	require.Len(t, m.state.Suspects, maxSuspects)
	known, _, ok := m.Suspect(deadly)
	require.True(t, ok)
	require.True(t, known.IsQuarantined())
	_, _, ok = m.Suspect("other-0")
	require.False(t, ok)
}

// TestKindsOutliveTheirProcesses: what is known of a kind is in snapshots and reaches watchers.
func TestKindsOutliveTheirProcesses(t *testing.T) {
	m := NewMachine()
	for number := range quarantine.CrashThreshold {
		m.Apply(Command{Crashes: []quarantine.Crash{{
			Fingerprint: "kind", Backend: fmt.Sprint(number), Known: number, Of: quarantine.Fingerprint(fmt.Sprint("content-", number)),
		}}}.Encode())
	}
	var written bytes.Buffer
	require.NoError(t, m.Snapshot()(&written))
	restored := NewMachine()
	require.NoError(t, restored.Restore(&written))
	started := NewCatalog().With(restored.DeltaSince(0))
	require.True(t, started.Suspects["kind"].IsQuarantined())
}
