package server

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/config"
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
