package directory

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dillchute/dillchute/consensus"
	_ "github.com/dillchute/dillchute/internal/fixedseed"
	"github.com/dillchute/dillchute/routing"
)

func apply(t require.TestingT, m *Machine, command Command) Result {
	result, err := DecodeResult(m.Apply(command.Encode()))
	require.NoError(t, err)
	return result
}

func configuration(version uint64, prefixes ...string) *PutConfiguration {
	put := &PutConfiguration{
		Configuration: routing.Configuration{Version: version, Services: []routing.Service{{Name: "s"}}},
		Source:        []byte(fmt.Sprintf("%d %v", version, prefixes)),
	}
	for _, prefix := range prefixes {
		put.Configuration.Routes = append(put.Configuration.Routes, routing.Route{
			Name: prefix, Host: "h", Prefix: prefix, TimeoutMillis: 1, Shares: []routing.Share{{Service: "s", Weight: 1}},
		})
	}
	return put
}

// TestHighestConfigurationVersionWins: a configuration is ignored unless its version is higher than the
// current one, also if its content differs.
func TestHighestConfigurationVersionWins(t *testing.T) {
	m := NewMachine()
	require.Equal(t, uint64(5), apply(t, m, Command{PutConfiguration: configuration(5, "/a/")}).Version)
	revision := m.Revision()
	for _, version := range []uint64{5, 4} {
		require.Equal(t, uint64(5), apply(t, m, Command{PutConfiguration: configuration(version, "/b/")}).Version)
	}
	require.Equal(t, revision, m.Revision())
	require.Equal(t, "5 [/a/]", string(m.Source()))
}

// TestRemovedBackendStaysRemoved: a late heartbeat neither ends draining nor registers a removed backend
// again.
func TestRemovedBackendStaysRemoved(t *testing.T) {
	m := NewMachine()
	ready := Backend{ID: "i", Service: "s", Address: "a:1"}
	draining := ready
	draining.Draining = true
	apply(t, m, Command{PutBackend: &ready})
	apply(t, m, Command{PutBackend: &draining})
	apply(t, m, Command{PutBackend: &ready})
	backend, ok := m.Backend("i")
	require.True(t, ok && backend.Draining)
	apply(t, m, Command{RemoveBackend: &RemoveBackend{ID: "i"}})
	apply(t, m, Command{PutBackend: &ready})
	_, ok = m.Backend("i")
	require.False(t, ok)
}

// TestNewestBackendOwnsAddress: a backend that registers at the address of another one replaces it.
func TestNewestBackendOwnsAddress(t *testing.T) {
	m := NewMachine()
	apply(t, m, Command{PutBackend: &Backend{ID: "old", Service: "s", Address: "a:1"}})
	apply(t, m, Command{PutBackend: &Backend{ID: "new", Service: "other", Address: "a:1"}})
	_, ok := m.Backend("old")
	require.False(t, ok)
	require.True(t, m.IsRemoved(Incarnation{Name: "old"}))
}

// TestRetire: a store may retire only if enough others remain, and is retired once a report of the group
// no longer lists it.
func TestRetire(t *testing.T) {
	m := NewMachine()
	var members []consensus.Member
	for number := 1; number <= 4; number++ {
		id := consensus.ReplicaID(number)
		apply(t, m, Command{PutStore: &Store{Name: fmt.Sprintf("store-%d", number), Replica: id}})
		members = append(members, consensus.Member{ID: id, Voter: true})
	}
	apply(t, m, Command{FormGroup: &Group{Members: members[:3]}})
	retire := func(name string) RetireOutcome {
		return apply(t, m, Command{Retire: &Retire{Name: name, Replicas: 3}}).Retire
	}
	require.Equal(t, RetireUnknown, retire("nobody"))
	require.Equal(t, RetireTooFew, retire("store-1"))
	apply(t, m, Command{ReportGroup: &Group{Members: members, Number: 9}})
	require.Equal(t, RetireAccepted, retire("store-1"))
	require.Equal(t, RetireAccepted, retire("store-1"), "a repeated request")
	require.Equal(t, RetireTooFew, retire("store-2"))
	apply(t, m, Command{ReportGroup: &Group{Members: members[1:], Number: 8}})
	store, _ := m.Store("store-1")
	require.False(t, store.Retired, "a stale report")
	apply(t, m, Command{ReportGroup: &Group{Members: members[1:], Number: 10}})
	store, _ = m.Store("store-1")
	require.True(t, store.Retired)

	apply(t, m, Command{PutStore: &Store{Name: "store-5", Replica: 5}})
	require.Equal(t, RetireAccepted, retire("store-5"), "a store outside the group")
	apply(t, m, Command{ReportGroup: &Group{Members: members[1:], Number: 10}})
	store, _ = m.Store("store-5")
	require.True(t, store.Retired, "a repeated report")
}

// TestCatalogMatchesMachine: after any changes, a catalog updated by a delta equals one built from a full
// delta.
func TestCatalogMatchesMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, catalog, version := NewMachine(), NewCatalog(), uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			switch rapid.IntRange(0, 4).Draw(t, "command") {
			case 0:
				version += uint64(rapid.IntRange(0, 2).Draw(t, "rise"))
				prefixes := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"/a/", "/b/", "/c/", "/d/"}), 0, 4, rapid.ID).Draw(t, "prefixes")
				apply(t, m, Command{PutConfiguration: configuration(version, prefixes...)})
			case 1:
				id := rapid.SampledFrom([]string{"1", "2", "3", "4"}).Draw(t, "id")
				apply(t, m, Command{PutBackend: &Backend{ID: id, Service: "s", Address: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "address") + id, Slots: rapid.IntRange(1, 3).Draw(t, "slots")}})
			case 2:
				apply(t, m, Command{RemoveBackend: &RemoveBackend{ID: rapid.SampledFrom([]string{"1", "2", "9"}).Draw(t, "id")}})
			case 3:
				apply(t, m, Command{NameVersion: &ModelVersion{Model: "m", Version: uint64(rapid.IntRange(1, 9).Draw(t, "version"))}})
			case 4:
				restored := NewMachine()
				var snapshot bytes.Buffer
				require.NoError(t, m.Snapshot()(&snapshot))
				require.NoError(t, restored.Restore(&snapshot))
				m = restored
			}
			if rapid.Bool().Draw(t, "watch") {
				catalog = catalog.With(m.DeltaSince(catalog.Revision))
				requireSameCatalog(t, NewCatalog().With(m.DeltaSince(0)), catalog)
			}
		}
	})
}

func requireSameCatalog(t require.TestingT, expected, actual *Catalog) {
	require.Equal(t, expected.Version, actual.Version)
	require.Equal(t, expected.Models, actual.Models)
	require.Equal(t, slices.Sorted(maps.Keys(expected.routes)), slices.Sorted(maps.Keys(actual.routes)))
	require.Equal(t, slices.Sorted(maps.Keys(expected.Services)), slices.Sorted(maps.Keys(actual.Services)))
	require.Equal(t, expected.Backends("s"), actual.Backends("s"))
	for key := range expected.routes {
		route, ok := actual.Table.Match("h", expected.routes[key].Prefix)
		require.True(t, ok)
		require.Equal(t, expected.routes[key], route)
	}
}
