package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKindTurnsAreTakenOneAtATime(t *testing.T) {
	turns := newKindTurns()
	require.True(t, turns.take("kind"))
	require.False(t, turns.take("kind"))
	require.True(t, turns.take("other"))
	turns.leave("kind")
	require.True(t, turns.take("kind"))
	turns.leave("kind")
	turns.leave("other")
	require.Empty(t, turns.taken, "what is not under way takes no memory")
}
