package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNothingBeginsOnAStaleState: a change that waits for its turn holds back what would be
// begun until it is taken in, and so does a leader whom no quorum has confirmed lately.
func TestNothingBeginsOnAStaleState(t *testing.T) {
	var fresh freshness
	require.True(t, fresh.isStale(1000), "nobody has confirmed the leader yet")
	fresh.confirmedAt.Store(1000)
	require.False(t, fresh.isStale(1000+confirmLimit.Milliseconds()))
	require.True(t, fresh.isStale(1001+confirmLimit.Milliseconds()))

	fresh.confirmedAt.Store(2000)
	fresh.noteChange(1500)
	fresh.noteChange(2000)
	require.False(t, fresh.isStale(1500+staleLimit.Milliseconds()))
	require.True(t, fresh.isStale(1501+staleLimit.Milliseconds()), "counted from the oldest change")
	fresh.noteTaken()
	require.False(t, fresh.isStale(2100))
}
