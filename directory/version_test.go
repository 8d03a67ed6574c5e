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
	raised    = Command{RaiseVersion: &RaiseVersion{Version: ReturnVersion}}
	silenced  = Command{RemoveBackend: &RemoveBackend{ID: "i/100"}}
	comesBack = Command{ReturnBackend: life("i", 100, "a:1")}
	born      = Command{PutBackend: life("i", 100, "a:1")}
	other     = Command{PutBackend: life("other", 150, "a:1")}
	bornLater = Command{PutBackend: life("i", 200, "a:1")}
)

// TestWhoMayReturn: who was only not heard comes back, and whoever has left does not, in whichever
// order it leaves and falls silent.
func TestWhoMayReturn(t *testing.T) {
	leaves := Command{RemoveBackend: &RemoveBackend{Name: "i", Born: 100}}
	leavesNameless := Command{RemoveBackend: &RemoveBackend{Name: "i", LatestBirth: 100}}
	drains := Command{PutBackend: life("i", 100, "a:1")}
	drains.PutBackend.Draining = true
	for name, test := range map[string]struct {
		commands []Command
		returns  bool
	}{
		"silent":                            {[]Command{raised, born, silenced, comesBack}, true},
		"silent twice":                      {[]Command{raised, born, silenced, comesBack, silenced, comesBack}, true},
		"registered before the raise":       {[]Command{born, raised, silenced, comesBack}, true},
		"silent, and taken out twice":       {[]Command{raised, born, silenced, silenced, comesBack}, true},
		"silent, in a batch":                {[]Command{raised, born, {Batch: []Command{silenced}}, {Batch: []Command{comesBack}}}, true},
		"silent, and registers":             {[]Command{raised, born, silenced, born}, false},
		"silent before the raise":           {[]Command{born, silenced, raised, comesBack}, false},
		"silent before, as the leader says": {[]Command{born, silenced, {RaiseVersion: &RaiseVersion{Version: ReturnVersion, Silenced: []string{"i/100"}}}, comesBack}, true},
		"left before, though the leader says silent of an earlier life": {[]Command{bornLater, {RemoveBackend: &RemoveBackend{Name: "i", Born: 200}},
			{RaiseVersion: &RaiseVersion{Version: ReturnVersion, Silenced: []string{"i/100"}}}, comesBack}, false},
		"never raised":                         {[]Command{born, silenced, comesBack}, false},
		"left":                                 {[]Command{raised, born, leaves, comesBack}, false},
		"left without a birth":                 {[]Command{raised, born, leavesNameless, comesBack}, false},
		"silent, then left":                    {[]Command{raised, born, silenced, leaves, comesBack}, false},
		"silent, then left without a birth":    {[]Command{raised, born, silenced, leavesNameless, comesBack}, false},
		"left, then taken for silent":          {[]Command{raised, born, leaves, silenced, comesBack}, false},
		"draining":                             {[]Command{raised, born, drains, silenced, comesBack}, false},
		"never known":                          {[]Command{raised, silenced, comesBack}, false},
		"a later life is registered":           {[]Command{raised, born, silenced, bornLater, comesBack}, false},
		"a later life has left":                {[]Command{raised, born, silenced, bornLater, {RemoveBackend: &RemoveBackend{Name: "i", Born: 200}}, comesBack}, false},
		"a later life is silent":               {[]Command{raised, born, silenced, bornLater, {RemoveBackend: &RemoveBackend{ID: "i/200"}}, comesBack}, false},
		"its address is taken":                 {[]Command{raised, born, other, comesBack}, true},
		"its address is taken, never raised":   {[]Command{born, other, comesBack}, false},
		"its address is taken, then left":      {[]Command{raised, born, other, leaves, comesBack}, false},
		"an earlier life's leaving comes late": {[]Command{raised, born, silenced, {RemoveBackend: &RemoveBackend{Name: "i", Born: 50}}, comesBack}, true},
	} {
		m := NewMachine()
		for _, command := range test.commands {
			apply(t, m, command)
		}
		_, registered := m.Backend("i/100")
		require.Equal(t, test.returns, registered, name)
	}
}

// TestReturnIsTold: watchers that missed both or one of them learn that the backend is back.
func TestReturnIsTold(t *testing.T) {
	m := NewMachine()
	apply(t, m, raised)
	apply(t, m, born)
	before := NewCatalog().With(m.DeltaSince(0))
	apply(t, m, silenced)
	between := before.With(m.DeltaSince(before.Revision))
	_, known := between.Backend("i/100")
	require.False(t, known)
	apply(t, m, comesBack)
	for _, catalog := range []*Catalog{NewCatalog(), before, between} {
		after := catalog.With(m.DeltaSince(catalog.Revision))
		_, known = after.Backend("i/100")
		require.True(t, known)
		require.Len(t, after.Backends("s"), 1)
	}
}

// TestVersionIsNeverLowered: nor is one raised twice, which would take in another list.
func TestVersionIsNeverLowered(t *testing.T) {
	m := NewMachine()
	apply(t, m, born)
	apply(t, m, silenced)
	apply(t, m, raised)
	apply(t, m, Command{RaiseVersion: &RaiseVersion{Version: 0}})
	apply(t, m, Command{RaiseVersion: &RaiseVersion{Version: ReturnVersion, Silenced: []string{"i/100"}}})
	require.Equal(t, ReturnVersion, m.VersionInUse())
	require.False(t, m.MayReturn(Incarnation{Name: "i", StartTime: 100}))
}

// TestLaterVersionIsRefused: a build that does not know the version in use applies nothing more, and
// does not take in such a state.
func TestLaterVersionIsRefused(t *testing.T) {
	m := NewMachine()
	apply(t, m, born)
	require.NoError(t, m.Err())
	apply(t, m, Command{RaiseVersion: &RaiseVersion{Version: KnownVersion + 1}})
	require.ErrorContains(t, m.Err(), "version")
	revision := m.Revision()
	apply(t, m, bornLater)
	require.Equal(t, revision, m.Revision())
	var written bytes.Buffer
	require.NoError(t, m.Snapshot()(&written))
	require.ErrorContains(t, NewMachine().Restore(&written), "version")
}

// TestReturnsFollowTheModel draws starts, silences, leaves, returns and the raise in any order,
// through snapshots, on two replicas of which one restarts: they hold the same, and who is registered
// is what a record of reasons says.
func TestReturnsFollowTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		steady, restarted := NewMachine(), NewMachine()
		isRaised := false
		registered, left, silent := map[string]bool{}, map[string]bool{}, map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			backend := life(name, 0, name+":1")
			var command Command
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				command.PutBackend = backend
				registered[name] = registered[name] || !left[name] && !silent[name]
			case 1:
				command.RemoveBackend = &RemoveBackend{ID: name}
				if registered[name] && isRaised {
					silent[name] = true
				} else if !isRaised {
					left[name] = true
				}
				delete(registered, name)
			case 2:
				command.RemoveBackend = &RemoveBackend{Name: name}
				left[name] = true
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
				var written bytes.Buffer
				require.NoError(t, restarted.Snapshot()(&written))
				restarted = NewMachine()
				require.NoError(t, restarted.Restore(&written))
				continue
			}
			apply(t, steady, command)
			apply(t, restarted, command)
			var wanted []string
			for name, isThere := range registered {
				if isThere {
					wanted = append(wanted, name)
				}
			}
			slices.Sort(wanted)
			require.Equal(t, wanted, ids(steady))
			require.Equal(t, digest(t, steady), digest(t, restarted))
		}
	})
}

func digest(t require.TestingT, m *Machine) [sha256.Size]byte {
	var written bytes.Buffer
	require.NoError(t, m.Snapshot()(&written))
	return sha256.Sum256(written.Bytes())
}

// TestStateBeforeVersions: a snapshot of a build that knows of no version is read, and one in which
// none was raised is written as by that build.
func TestStateBeforeVersions(t *testing.T) {
	m := NewMachine()
	apply(t, m, born)
	apply(t, m, silenced)
	var written bytes.Buffer
	require.NoError(t, m.Snapshot()(&written))
	var fields map[int]cbor.RawMessage
	require.NoError(t, cbor.Unmarshal(written.Bytes(), &fields))
	require.NotContains(t, fields, 21)
	require.NotContains(t, fields, 22)
	restored := NewMachine()
	require.NoError(t, restored.Restore(&written))
	apply(t, restored, raised)
	apply(t, restored, bornLater)
	apply(t, restored, Command{RemoveBackend: &RemoveBackend{ID: "i/200"}})
	apply(t, restored, Command{ReturnBackend: life("i", 200, "a:1")})
	require.Equal(t, []string{"i/200"}, ids(restored))
}

// TestLaterLifeEndsTheReturnOfTheEarlier: nobody waits for the earlier one any more.
func TestLaterLifeEndsTheReturnOfTheEarlier(t *testing.T) {
	m := NewMachine()
	for _, command := range []Command{raised, born, silenced} {
		apply(t, m, command)
	}
	require.True(t, m.MayReturn(Incarnation{Name: "i", StartTime: 100}))
	apply(t, m, bornLater)
	require.False(t, m.MayReturn(Incarnation{Name: "i", StartTime: 100}))
}

// TestSnapshotIsOfItsMoment: what is applied while it is written is not in it.
func TestSnapshotIsOfItsMoment(t *testing.T) {
	m := NewMachine()
	apply(t, m, raised)
	apply(t, m, born)
	write := m.Snapshot()
	before := digest(t, m)
	apply(t, m, silenced)
	var written bytes.Buffer
	require.NoError(t, write(&written))
	require.Equal(t, before, sha256.Sum256(written.Bytes()))
}
