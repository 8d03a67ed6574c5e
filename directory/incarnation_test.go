package directory

import (
	"bytes"
	"maps"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/dillchute/dillchute/internal/fixedseed"
)

func newIncarnation(name string, startTime int64, address string) *Backend {
	backend := Backend{Service: "s", Address: address}.WithIncarnation(Incarnation{Name: name, StartTime: startTime})
	return &backend
}

func backendIDs(m *Machine) []string {
	var ids []string
	for _, backend := range m.Backends() {
		ids = append(ids, backend.ID)
	}
	return ids
}

// TestLaterIncarnationReplacesEarlier: a restarted backend replaces the earlier incarnation, and inherits
// none of its state.
func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	m := NewMachine()
	earlier := newIncarnation("i", 100, "a:1")
	earlier.Draining, earlier.Silent = true, true
	earlier.Models = []ModelVersion{{Model: "m", Version: 7}}
	apply(t, m, Command{PutBackend: earlier})
	before := m.Revision()
	apply(t, m, Command{PutBackend: newIncarnation("i", 200, "a:2")})
	require.Equal(t, []string{"i/200"}, backendIDs(m))
	registered, _ := m.BackendByName("i")
	require.False(t, registered.Draining || registered.Silent)
	require.Empty(t, registered.Models)
	delta := m.DeltaSince(before)
	require.Equal(t, []Removed{{Kind: KindBackend, Name: "i/100"}}, delta.Removed)
	require.Equal(t, "i", delta.Backends[0].NameOrID())
	_, isUsed := m.BackendByAddress("a:1")
	require.False(t, isUsed, "the address of the earlier incarnation is free")

	apply(t, m, Command{PutBackend: earlier})
	require.Equal(t, []string{"i/200"}, backendIDs(m), "a late registration of an earlier incarnation is ignored")
	apply(t, m, Command{PutBackend: newIncarnation("i", 0, "a:3")})
	require.Equal(t, []string{"i/200"}, backendIDs(m), "an incarnation without a start time replaces none that has one")
}

// TestRemovedIncarnations: a late heartbeat of a removed incarnation is ignored, but a restarted backend
// registers.
func TestRemovedIncarnations(t *testing.T) {
	m := NewMachine()
	apply(t, m, Command{PutBackend: newIncarnation("i", 100, "a:1")})
	apply(t, m, Command{RemoveBackend: &RemoveBackend{Name: "i", LatestBirth: 5000}})
	apply(t, m, Command{PutBackend: newIncarnation("i", 100, "a:1")})
	require.Empty(t, backendIDs(m))
	apply(t, m, Command{PutBackend: newIncarnation("i", 101, "a:1")})
	require.Equal(t, []string{"i/101"}, backendIDs(m))
	apply(t, m, Command{RemoveBackend: &RemoveBackend{Name: "i", Born: 100}})
	require.Equal(t, []string{"i/101"}, backendIDs(m), "an earlier incarnation left")
	apply(t, m, Command{RemoveBackend: &RemoveBackend{ID: "i/101"}})
	require.Empty(t, backendIDs(m))
	require.True(t, m.IsRemoved(Incarnation{Name: "i", StartTime: 101}))

	apply(t, m, Command{RemoveBackend: &RemoveBackend{Name: "unknown", LatestBirth: 5000}})
	apply(t, m, Command{PutBackend: newIncarnation("unknown", 4999, "a:2")})
	require.Empty(t, backendIDs(m), "the heartbeat arrived after the removal")
	apply(t, m, Command{PutBackend: newIncarnation("unknown", 5001, "a:2")})
	require.Equal(t, []string{"unknown/5001"}, backendIDs(m))
}

// TestDepartureCoversUnregisteredIncarnation guards against a departed backend that a late heartbeat registers:
// a departure without a start time ends every incarnation that had started, whichever was registered.
func TestDepartureCoversUnregisteredIncarnation(t *testing.T) {
	m := NewMachine()
	apply(t, m, Command{RaiseVersion: &RaiseVersion{Version: KnownVersion}})
	apply(t, m, Command{PutBackend: newIncarnation("i", 100, "a:1")})
	apply(t, m, Command{RemoveBackend: &RemoveBackend{Name: "i", LatestBirth: 5000}})
	apply(t, m, Command{PutBackend: newIncarnation("i", 4999, "a:1")})
	require.Empty(t, backendIDs(m), "it had started when the departure arrived")
	apply(t, m, Command{PutBackend: newIncarnation("i", 5001, "a:1")})
	require.Equal(t, []string{"i/5001"}, backendIDs(m))
}

// TestSnapshotWithoutStartTimes: snapshots and commands of builds without start times are read. A name
// removed then can register only with a start time.
func TestSnapshotWithoutStartTimes(t *testing.T) {
	type earlier struct {
		Revision uint64                         `cbor:"1,keyasint"`
		Backends map[string]*versioned[Backend] `cbor:"7,keyasint"`
		Gone     map[string]uint64              `cbor:"13,keyasint"`
	}
	old := earlier{
		Revision: 9, Gone: map[string]uint64{"left": 3},
		Backends: map[string]*versioned[Backend]{"i": {Revision: 4, Object: Backend{ID: "i", Service: "s", Address: "a:1"}}},
	}
	data, err := cbor.Marshal(old)
	require.NoError(t, err)
	m := NewMachine()
	require.NoError(t, m.Restore(bytes.NewReader(data)))
	backend, ok := m.BackendByAddress("a:1")
	require.True(t, ok)
	require.Equal(t, Incarnation{Name: "i"}, backend.Incarnation())
	apply(t, m, Command{PutBackend: newIncarnation("left", 0, "a:2")})
	require.Equal(t, []string{"i"}, backendIDs(m))
	apply(t, m, Command{RemoveBackend: &RemoveBackend{ID: "i"}})
	apply(t, m, Command{PutBackend: newIncarnation("i", 0, "a:1")})
	require.Empty(t, backendIDs(m))
	apply(t, m, Command{PutBackend: newIncarnation("left", 50, "a:2")})
	require.Equal(t, []string{"left/50"}, backendIDs(m))
}

// TestIncarnationsMatchModel: after any commands and restores, the newest incarnation of each name that was
// not removed is registered, and no address belongs to two backends.
func TestIncarnationsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMachine()
		coversAllStarted := rapid.Bool().Draw(t, "departure version")
		if coversAllStarted {
			apply(t, m, Command{RaiseVersion: &RaiseVersion{Version: DepartureVersion}})
		}
		latest, removed, registered := map[string]int64{}, map[string]int64{}, map[string]*Backend{}
		remove := func(name string) {
			removed[name] = max(removed[name], registered[name].Born)
			delete(registered, name)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			startTime := rapid.Int64Range(1, 6).Draw(t, "born")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				backend := newIncarnation(name, startTime, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "address"))
				apply(t, m, Command{PutBackend: backend})
				if startTime <= removed[name] || registered[name] != nil && startTime < registered[name].Born {
					break
				}
				if registered[name] != nil && startTime > registered[name].Born {
					remove(name)
				}
				for _, other := range slices.Sorted(maps.Keys(registered)) {
					if other != name && registered[other].Address == backend.Address {
						remove(other)
					}
				}
				registered[name] = backend
				latest[name] = max(latest[name], startTime)
			case 2:
				apply(t, m, Command{RemoveBackend: &RemoveBackend{Name: name, LatestBirth: startTime}})
				wasRegistered := registered[name] != nil
				if wasRegistered {
					remove(name)
				}
				if !wasRegistered || coversAllStarted {
					removed[name] = max(removed[name], startTime)
				}
			case 3:
				var snapshot bytes.Buffer
				require.NoError(t, m.Snapshot()(&snapshot))
				m = NewMachine()
				require.NoError(t, m.Restore(&snapshot))
			}
			var expected []string
			for _, backend := range registered {
				expected = append(expected, backend.ID)
			}
			slices.Sort(expected)
			require.Equal(t, expected, backendIDs(m))
			for name, backend := range registered {
				require.Equal(t, latest[name], backend.Born)
				holder, ok := m.BackendByAddress(backend.Address)
				require.True(t, ok && holder.ID == backend.ID)
			}
		}
	})
}
