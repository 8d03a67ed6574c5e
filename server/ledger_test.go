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

// TestNewStoreMayFormGroupAfterRestart checks that a store of a new cluster keeps its identity when it
// restarts before the group is formed, and that a store that lost its data may not form a group.
func TestNewStoreMayFormGroupAfterRestart(t *testing.T) {
	logger := zerolog.Nop()
	settings := config.DefaultLedger()
	settings.DataFolder = t.TempDir()
	newStore := func(firstStart bool, folder string) *Ledger {
		settings.FirstStart, settings.DataFolder = firstStart, folder
		seeds := NewSeeds(settings.Process, func() (config.Process, error) { return settings.Process, nil }, &logger)
		store := NewLedger(settings, seeds, nil, nil, NewIntake(settings.Process), &logger)
		require.NoError(t, store.initIdentity())
		return store
	}
	folder := t.TempDir()
	first := newStore(true, folder)
	require.True(t, first.fresh)
	restarted := newStore(false, folder)
	require.True(t, restarted.fresh)
	require.Equal(t, first.identity, restarted.identity)
	replaced := newStore(false, t.TempDir())
	require.False(t, replaced.fresh)
	require.NotEqual(t, first.identity, replaced.identity)
}

// TestGroupIsReportedOnceAllVotersExist checks that a group which a retiring store has left is not reported
// before another store has replaced it as a voter.
func TestGroupIsReportedOnceAllVotersExist(t *testing.T) {
	reported := membersAt("a:70", "b:70", "c:70")
	replaced := membersAt("a:70", "b:70", "d:70")
	require.False(t, shouldReportGroup(&replica.Status{Members: replaced, MembersCommitted: true, MissingVoters: 1}, reported, true))
	require.True(t, shouldReportGroup(&replica.Status{Members: replaced, MembersCommitted: true}, reported, true))
	require.True(t, shouldReportGroup(&replica.Status{Members: replaced, MembersCommitted: true}, replaced, true))
	require.True(t, shouldReportGroup(&replica.Status{Members: replaced, MembersCommitted: true, MissingVoters: 1}, reported, false))
	require.False(t, shouldReportGroup(&replica.Status{Members: replaced}, reported, true))
	require.False(t, shouldReportGroup(&replica.Status{Members: reported, MembersCommitted: true}, reported, false))
}

// TestContactsIncludeStoresOutsideGroup checks that a store can request admission from all stores that may
// have joined the group while the directory was unreachable. An empty catalog lists none.
func TestContactsIncludeStoresOutsideGroup(t *testing.T) {
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
	require.Equal(t, []string{"c:70"}, storesOutsideGroup(catalog))
	require.Empty(t, storesOutsideGroup(directory.NewCatalog()))
	logger := zerolog.Nop()
	settings := config.DefaultLedger()
	seeds := NewSeeds(settings.Process, func() (config.Process, error) { return settings.Process, nil }, &logger)
	store := NewLedger(settings, seeds, nil, nil, NewIntake(settings.Process), &logger)
	store.watcher.apply(store.watcher.Catalog(), machine.DeltaSince(0))
	require.Equal(t, []string{"a:70", "b:70"}, store.contacts())
	require.Equal(t, []string{"c:70"}, store.otherContacts())
}
