package storage

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
)

// TestReservation: a reserved identity is found for its cluster only, and a truncated file is ignored.
func TestReservation(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	read := func(cluster string) consensus.ReplicaID {
		replica, err := ReservedIdentity(folder, cluster)
		require.NoError(t, err)
		return replica
	}
	require.Equal(t, consensus.None, read("c"))
	require.NoError(t, ReserveIdentity(folder, "c", 7))
	require.NoError(t, ReserveIdentity(folder, "c", 8))
	require.Equal(t, consensus.ReplicaID(8), read("c"))
	require.Equal(t, consensus.None, read("other"))
	require.False(t, HasReplica(folder), "a reservation is not a replica")
	path := filepath.Join(folder, reservationFileName)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	for length := range data {
		require.NoError(t, os.WriteFile(path, data[:length], fileMode))
		require.Equal(t, consensus.None, read("c"))
	}
}
