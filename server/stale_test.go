package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNothingBeginsOnAStaleState: a change that waits for its turn holds back what would be
// begun, until it is taken in.
func TestNothingBeginsOnAStaleState(t *testing.T) {
	held := &tenure{}
	require.False(t, held.isStale(5000))
	held.staleSince.CompareAndSwap(0, 1000)
	held.staleSince.CompareAndSwap(0, 4000)
	require.False(t, held.isStale(1000+staleLimit.Milliseconds()))
	require.True(t, held.isStale(1001+staleLimit.Milliseconds()), "counted from the oldest change")
	held.staleSince.Store(0)
	require.False(t, held.isStale(9000))
}
