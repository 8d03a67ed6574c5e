package server

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/ledger"
)

// readTestCall decodes the body of an internal call that a stand-in has received. If it cannot, it refuses the call.
func readTestCall(response http.ResponseWriter, request *http.Request, call any) bool {
	_, err := readCBOR(NewIntake(config.Process{}), request, call)
	if err != nil {
		refuseCall(response, request, err)
	}
	return err == nil
}

// TestStateIsAdmittedWithinTheLimit checks that proposed additions count like accepted ones, and which refusals are final.
func TestStateIsAdmittedWithinTheLimit(t *testing.T) {
	const memory = 6
	admission := newStateAdmission(memory, stepsDivisor)
	require.Equal(t, int64(mebibyte), admission.limit)
	_, err := admission.admit(mebibyte+1, 0)
	require.True(t, errorx.IsOfType(err, intake.ErrTooLarge))
	admitted, err := admission.admit(mebibyte/2, mebibyte/4)
	require.NoError(t, err)
	_, err = admission.admit(mebibyte/2, mebibyte/4)
	require.True(t, errorx.IsOfType(err, intake.ErrBusy))
	admitted()
	admitted, err = admission.admit(mebibyte/2, mebibyte/4)
	require.NoError(t, err)
	admitted()
}

// TestRefusedCallsAreUnknownToEarlierBuilds guards against an earlier build that takes a call refused for lack of memory for
// one about an unknown step.
func TestRefusedCallsAreUnknownToEarlierBuilds(t *testing.T) {
	for _, err := range []error{intake.ErrBusy.New("busy"), intake.ErrTooLarge.New("too large")} {
		answer := refusedAnswer(err)
		require.True(t, answer.Unknown)
		require.True(t, answer.isRefused())
	}
	require.False(t, ledgerAnswer{Unknown: true}.isRefused())
	require.False(t, refusedAnswer(nil).isRefused())
}

// TestStateSizeFollowsTheSteps checks that the size of the state is that of its steps, also after a restore.
func TestStateSizeFollowsTheSteps(t *testing.T) {
	machine := ledger.NewMachine()
	step := &ledger.Step{ID: "a", Samples: []ledger.Sample{{ID: "x", Body: make([]byte, 1000)}, {ID: "y"}}}
	machine.Apply(ledger.Command{Submit: step}.Encode())
	machine.Apply(ledger.Command{Submit: step}.Encode())
	require.Equal(t, step.Size(), machine.Size(), "a repeated step counts once")
	require.Greater(t, machine.Size(), int64(1000))
	record := &ledger.Record{Step: "a", Results: []ledger.Result{{Sample: "x", State: ledger.FailedPermanently}}}
	machine.Apply(ledger.Command{Record: record}.Encode())
	withResult := machine.Size()
	require.Greater(t, withResult, step.Size())
	restored := ledger.NewMachine()
	require.NoError(t, restored.Restore(snapshotOf(t, machine)))
	require.Equal(t, withResult, restored.Size())
	machine.Apply(ledger.Command{Prune: &ledger.Prune{Steps: []string{"a", "a", "b"}}}.Encode())
	require.Zero(t, machine.Size())
}

// snapshotOf returns a reader of the machine's snapshot.
func snapshotOf(t *testing.T, machine *ledger.Machine) *bytes.Buffer {
	var snapshot bytes.Buffer
	require.NoError(t, machine.Snapshot()(&snapshot))
	return &snapshot
}

// TestRegistrationsAreAdmittedWithinTheLimit checks that new and larger registrations count, and that a heartbeat that
// changes nothing needs no room.
func TestRegistrationsAreAdmittedWithinTheLimit(t *testing.T) {
	admission := newRegistrationAdmission(1)
	small := directory.Backend{ID: "a", Service: "s"}
	large := directory.Backend{ID: "a", Service: strings.Repeat("s", 1<<20)}
	view := directory.NewCatalog()
	admitted, err := admission.admit(view, directory.Backend{}, small)
	require.NoError(t, err)
	admitted()
	_, err = admission.admit(view, small, large)
	require.True(t, errorx.IsOfType(err, intake.ErrTooLarge))
	_, err = admission.admit(view, large, large)
	require.NoError(t, err, "what is registered stays")
	_, err = admission.admit(view, large, small)
	require.NoError(t, err)
	_, err = admission.admitModel(view, strings.Repeat("m", 1<<20))
	require.True(t, errorx.IsOfType(err, intake.ErrTooLarge))
	known := directory.NewCatalog()
	known.Models = map[string]uint64{large.Service: 2}
	_, err = admission.admitModel(known, large.Service)
	require.NoError(t, err, "the next version of a known model")
}
