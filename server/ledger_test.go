package server

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/replica"
)

// TestStoreMayFoundAfterARestart: a store that was started as the first of all,
// and is restarted before the group is formed, offers itself again under the same
// identity; one that comes with an empty disk later does not.
func TestStoreMayFoundAfterARestart(t *testing.T) {
	logger := zerolog.Nop()
	settings := config.DefaultLedger()
	settings.DataFolder = t.TempDir()
	start := func(first bool, folder string) *Ledger {
		settings.FirstStart, settings.DataFolder = first, folder
		seeds := NewSeeds(settings.Process, func() (config.Process, error) { return settings.Process, nil }, &logger)
		store := NewLedger(settings, seeds, nil, nil, &logger)
		require.NoError(t, store.identify())
		return store
	}
	folder := t.TempDir()
	first := start(true, folder)
	require.True(t, first.fresh)
	again := start(false, folder)
	require.True(t, again.fresh)
	require.Equal(t, first.identity, again.identity)
	replaced := start(false, t.TempDir())
	require.False(t, replaced.fresh)
	require.NotEqual(t, first.identity, replaced.identity)
}

// TestEmptiedIsToldOnceAllVotersAreThere: a retiring store that has left the group counts as
// empty only when another one has its vote.
func TestEmptiedIsToldOnceAllVotersAreThere(t *testing.T) {
	known := membersAt("a:70", "b:70", "c:70")
	left := membersAt("a:70", "b:70", "d:70")
	require.False(t, mayReport(&replica.Status{Members: left, MembersCommitted: true, MissingVoters: 1}, known, true))
	require.True(t, mayReport(&replica.Status{Members: left, MembersCommitted: true}, known, true))
	require.True(t, mayReport(&replica.Status{Members: left, MembersCommitted: true}, left, true))
	require.True(t, mayReport(&replica.Status{Members: left, MembersCommitted: true, MissingVoters: 1}, known, false))
	require.False(t, mayReport(&replica.Status{Members: left}, known, true))
	require.False(t, mayReport(&replica.Status{Members: known, MembersCommitted: true}, known, false))
}

// TestContactsOutliveTheGroup: a store that is not in the group asks to be let in wherever the
// group may have moved while the directory was out of reach, also where it has not been told of
// the directory's state at all.
func TestContactsOutliveTheGroup(t *testing.T) {
	machine := directory.NewMachine()
	for number, name := range []string{"a", "b", "c", "d"} {
		machine.Apply(directory.Command{PutStore: &directory.Store{
			Name: name, Address: name + ":70", Replica: consensus.ReplicaID(number + 1),
		}}.Encode())
	}
	machine.Apply(directory.Command{FormGroup: &directory.Group{Members: membersAt("a:70", "b:70"), Number: 1}}.Encode())
	machine.Apply(directory.Command{Retire: &directory.Retire{Name: "d", Replicas: 1}}.Encode())
	machine.Apply(directory.Command{ReportGroup: &directory.Group{Members: membersAt("a:70", "b:70"), Number: 2}}.Encode())
	catalog := directory.NewCatalog().With(machine.DeltaSince(0))
	require.True(t, catalog.Stores["d"].Retired)
	require.Equal(t, []string{"c:70"}, storesOutside(catalog))
	require.Empty(t, storesOutside(directory.NewCatalog()))
	logger := zerolog.Nop()
	settings := config.DefaultLedger()
	seeds := NewSeeds(settings.Process, func() (config.Process, error) { return settings.Process, nil }, &logger)
	store := NewLedger(settings, seeds, nil, nil, &logger)
	store.watcher.apply(store.watcher.Catalog(), machine.DeltaSince(0))
	require.Equal(t, []string{"a:70", "b:70"}, store.contacts())
	require.Equal(t, []string{"c:70"}, store.others())
}
