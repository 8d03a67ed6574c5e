package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPendingChangeOrLostLeadershipIsStale checks that a state is stale while a change waits to be
// applied, or if no quorum has confirmed the leader lately.
func TestPendingChangeOrLostLeadershipIsStale(t *testing.T) {
	var fresh freshness
	require.True(t, fresh.isStale(1000), "the leader is not confirmed yet")
	fresh.confirmedAt.Store(1000)
	require.False(t, fresh.isStale(1000+maxLeaderConfirmAge.Milliseconds()))
	require.True(t, fresh.isStale(1001+maxLeaderConfirmAge.Milliseconds()))

	fresh.confirmedAt.Store(2000)
	fresh.recordChange(1500)
	fresh.recordChange(2000)
	require.False(t, fresh.isStale(1500+maxChangeDelay.Milliseconds()))
	require.True(t, fresh.isStale(1501+maxChangeDelay.Milliseconds()), "counted from the oldest change")
	fresh.recordApplied()
	require.False(t, fresh.isStale(2100))
}
