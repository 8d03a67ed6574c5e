package directory

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

var (
	raiseVersion  = Command{RaiseVersion: &RaiseVersion{Version: ReturnVersion}}
	removeSilent  = Command{RemoveBackend: &RemoveBackend{ID: "i/100"}}
	returnBackend = Command{ReturnBackend: newIncarnation("i", 100, "a:1")}
	register      = Command{PutBackend: newIncarnation("i", 100, "a:1")}
	registerOther = Command{PutBackend: newIncarnation("other", 150, "a:1")}
	registerLater = Command{PutBackend: newIncarnation("i", 200, "a:1")}
)

// TestReturnOfSilentBackends: a backend removed because it was silent may return, and one that left may
// not, in whichever order these happen.
func TestReturnOfSilentBackends(t *testing.T) {
	leave := Command{RemoveBackend: &RemoveBackend{Name: "i", Born: 100}}
	leaveWithoutStartTime := Command{RemoveBackend: &RemoveBackend{Name: "i", LatestBirth: 100}}
	drain := Command{PutBackend: newIncarnation("i", 100, "a:1")}
	drain.PutBackend.Draining = true
	for name, test := range map[string]struct {
		commands     []Command
		isRegistered bool
	}{
		"silent":                                 {[]Command{raiseVersion, register, removeSilent, returnBackend}, true},
		"silent twice":                           {[]Command{raiseVersion, register, removeSilent, returnBackend, removeSilent, returnBackend}, true},
		"registered before the raise":            {[]Command{register, raiseVersion, removeSilent, returnBackend}, true},
		"silent, and removed twice":              {[]Command{raiseVersion, register, removeSilent, removeSilent, returnBackend}, true},
		"silent, in a batch":                     {[]Command{raiseVersion, register, {Batch: []Command{removeSilent}}, {Batch: []Command{returnBackend}}}, true},
		"silent, and registers":                  {[]Command{raiseVersion, register, removeSilent, register}, false},
		"silent before the version was raised":   {[]Command{register, removeSilent, raiseVersion, returnBackend}, false},
		"silent before, as listed by the leader": {[]Command{register, removeSilent, {RaiseVersion: &RaiseVersion{Version: ReturnVersion, Silenced: []string{"i/100"}}}, returnBackend}, true},
		"left before, but the leader lists an earlier incarnation as silent": {[]Command{registerLater, {RemoveBackend: &RemoveBackend{Name: "i", Born: 200}},
			{RaiseVersion: &RaiseVersion{Version: ReturnVersion, Silenced: []string{"i/100"}}}, returnBackend}, false},
		"version never raised":                   {[]Command{register, removeSilent, returnBackend}, false},
		"left":                                   {[]Command{raiseVersion, register, leave, returnBackend}, false},
		"left without a start time":              {[]Command{raiseVersion, register, leaveWithoutStartTime, returnBackend}, false},
		"silent, then left":                      {[]Command{raiseVersion, register, removeSilent, leave, returnBackend}, false},
		"silent, then left without a start time": {[]Command{raiseVersion, register, removeSilent, leaveWithoutStartTime, returnBackend}, false},
		"left, then removed as silent":           {[]Command{raiseVersion, register, leave, removeSilent, returnBackend}, false},
		"draining":                               {[]Command{raiseVersion, register, drain, removeSilent, returnBackend}, false},
		"never registered":                       {[]Command{raiseVersion, removeSilent, returnBackend}, false},
		"a later incarnation is registered":      {[]Command{raiseVersion, register, removeSilent, registerLater, returnBackend}, false},
		"a later incarnation has left":           {[]Command{raiseVersion, register, removeSilent, registerLater, {RemoveBackend: &RemoveBackend{Name: "i", Born: 200}}, returnBackend}, false},
		"a later incarnation is silent":          {[]Command{raiseVersion, register, removeSilent, registerLater, {RemoveBackend: &RemoveBackend{ID: "i/200"}}, returnBackend}, false},
		"address reused":                         {[]Command{raiseVersion, register, registerOther, returnBackend}, true},
		"address reused, version never raised":   {[]Command{register, registerOther, returnBackend}, false},
		"address reused, then left":              {[]Command{raiseVersion, register, registerOther, leave, returnBackend}, false},
		"an earlier incarnation leaves late":     {[]Command{raiseVersion, register, removeSilent, {RemoveBackend: &RemoveBackend{Name: "i", Born: 50}}, returnBackend}, true},
	} {
		m := NewMachine()
		for _, command := range test.commands {
			apply(t, m, command)
		}
		_, registered := m.Backend("i/100")
		require.Equal(t, test.isRegistered, registered, name)
	}
}

// TestReturnReachesWatchers: watchers that missed the removal, the return or both list the backend again.
func TestReturnReachesWatchers(t *testing.T) {
	m := NewMachine()
	apply(t, m, raiseVersion)
	apply(t, m, register)
	before := NewCatalog().With(m.DeltaSince(0))
	apply(t, m, removeSilent)
	between := before.With(m.DeltaSince(before.Revision))
	_, isListed := between.Backend("i/100")
	require.False(t, isListed)
	apply(t, m, returnBackend)
	for _, catalog := range []*Catalog{NewCatalog(), before, between} {
		after := catalog.With(m.DeltaSince(catalog.Revision))
		_, isListed = after.Backend("i/100")
		require.True(t, isListed)
		require.Len(t, after.Backends("s"), 1)
	}
}

// TestVersionIsNeverLowered: a version that is not higher than the one in use is ignored, with its list.
func TestVersionIsNeverLowered(t *testing.T) {
	m := NewMachine()
	apply(t, m, register)
	apply(t, m, removeSilent)
	apply(t, m, raiseVersion)
	apply(t, m, Command{RaiseVersion: &RaiseVersion{Version: 0}})
	apply(t, m, Command{RaiseVersion: &RaiseVersion{Version: ReturnVersion, Silenced: []string{"i/100"}}})
	require.Equal(t, ReturnVersion, m.VersionInUse())
	require.False(t, m.MayReturn(Incarnation{Name: "i", StartTime: 100}))
}

// TestUnknownVersionIsRejected: a build that does not support the version in use applies no further
// commands and restores no such snapshot.
func TestUnknownVersionIsRejected(t *testing.T) {
	m := NewMachine()
	apply(t, m, register)
	require.NoError(t, m.Err())
	apply(t, m, Command{RaiseVersion: &RaiseVersion{Version: KnownVersion + 1}})
	require.ErrorContains(t, m.Err(), "version")
	revision := m.Revision()
	apply(t, m, registerLater)
	require.Equal(t, revision, m.Revision())
	var snapshot bytes.Buffer
	require.NoError(t, m.Snapshot()(&snapshot))
	require.ErrorContains(t, NewMachine().Restore(&snapshot), "version")
}

// TestReturnsMatchModel: after any commands, a replica that restarts from snapshots has the same state as
// one that does not, and the registered backends match the model.
func TestReturnsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		continuous, restarted := NewMachine(), NewMachine()
		isRaised := false
		registered, removed, silent := map[string]bool{}, map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			backend := newIncarnation(name, 0, name+":1")
			var command Command
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				command.PutBackend = backend
				registered[name] = registered[name] || !removed[name] && !silent[name]
			case 1:
				command.RemoveBackend = &RemoveBackend{ID: name}
				if registered[name] && isRaised {
					silent[name] = true
				} else if !isRaised {
					removed[name] = true
				}
				delete(registered, name)
			case 2:
				command.RemoveBackend = &RemoveBackend{Name: name}
				removed[name] = true
				delete(silent, name)
				delete(registered, name)
			case 3:
				command.ReturnBackend = backend
				registered[name] = registered[name] || silent[name]
				delete(silent, name)
			case 4:
				command.RaiseVersion = &RaiseVersion{Version: ReturnVersion}
				isRaised = true
			case 5:
				var snapshot bytes.Buffer
				require.NoError(t, restarted.Snapshot()(&snapshot))
				restarted = NewMachine()
				require.NoError(t, restarted.Restore(&snapshot))
				continue
			}
			apply(t, continuous, command)
			apply(t, restarted, command)
			var expected []string
			for name, isRegistered := range registered {
				if isRegistered {
					expected = append(expected, name)
				}
			}
			slices.Sort(expected)
			require.Equal(t, expected, backendIDs(continuous))
			require.Equal(t, digest(t, continuous), digest(t, restarted))
		}
	})
}

func digest(t require.TestingT, m *Machine) [sha256.Size]byte {
	var snapshot bytes.Buffer
	require.NoError(t, m.Snapshot()(&snapshot))
	return sha256.Sum256(snapshot.Bytes())
}

// TestSnapshotWithoutVersion: a snapshot of a build without versions is read, and a state whose version
// was not raised is written in that form.
func TestSnapshotWithoutVersion(t *testing.T) {
	m := NewMachine()
	apply(t, m, register)
	apply(t, m, removeSilent)
	var snapshot bytes.Buffer
	require.NoError(t, m.Snapshot()(&snapshot))
	var fields map[int]cbor.RawMessage
	require.NoError(t, cbor.Unmarshal(snapshot.Bytes(), &fields))
	require.NotContains(t, fields, 21)
	require.NotContains(t, fields, 22)
	restored := NewMachine()
	require.NoError(t, restored.Restore(&snapshot))
	apply(t, restored, raiseVersion)
	apply(t, restored, registerLater)
	apply(t, restored, Command{RemoveBackend: &RemoveBackend{ID: "i/200"}})
	apply(t, restored, Command{ReturnBackend: newIncarnation("i", 200, "a:1")})
	require.Equal(t, []string{"i/200"}, backendIDs(restored))
}

// TestLaterIncarnationPreventsReturn: a backend may not return after a later incarnation has registered.
func TestLaterIncarnationPreventsReturn(t *testing.T) {
	m := NewMachine()
	for _, command := range []Command{raiseVersion, register, removeSilent} {
		apply(t, m, command)
	}
	require.True(t, m.MayReturn(Incarnation{Name: "i", StartTime: 100}))
	apply(t, m, registerLater)
	require.False(t, m.MayReturn(Incarnation{Name: "i", StartTime: 100}))
}

// TestSnapshotIsPointInTime: commands applied after Snapshot returns are not in the snapshot.
func TestSnapshotIsPointInTime(t *testing.T) {
	m := NewMachine()
	apply(t, m, raiseVersion)
	apply(t, m, register)
	write := m.Snapshot()
	before := digest(t, m)
	apply(t, m, removeSilent)
	var snapshot bytes.Buffer
	require.NoError(t, write(&snapshot))
	require.Equal(t, before, sha256.Sum256(snapshot.Bytes()))
}
