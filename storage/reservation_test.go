package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
)

// TestReservation: what was reserved is found again, by its cluster only, and a
// file that is torn counts for nothing.
func TestReservation(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	read := func(cluster string) consensus.ReplicaID {
		replica, err := Reserved(folder, cluster)
		require.NoError(t, err)
		return replica
	}
	require.Equal(t, consensus.None, read("c"))
	require.NoError(t, Reserve(folder, "c", 7))
	require.NoError(t, Reserve(folder, "c", 8))
	require.Equal(t, consensus.ReplicaID(8), read("c"))
	require.Equal(t, consensus.None, read("other"))
	require.False(t, Holds(folder), "a reservation is no replica")
	path := filepath.Join(folder, reservationName)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	for length := range data {
		require.NoError(t, os.WriteFile(path, data[:length], fileMode))
		require.Equal(t, consensus.None, read("c"))
	}
}
