package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKindLocks(t *testing.T) {
	locks := newKindLocks()
	require.True(t, locks.tryLock("kind"))
	require.False(t, locks.tryLock("kind"))
	require.True(t, locks.tryLock("other"))
	locks.unlock("kind")
	require.True(t, locks.tryLock("kind"))
	locks.unlock("kind")
	locks.unlock("other")
	require.Empty(t, locks.locked, "unlocked kinds are removed")
}
