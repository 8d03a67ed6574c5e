package server

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSubmitAnswer checks that a step which another leader has committed is not refused, unlike another
// tenant's step.
func TestSubmitAnswer(t *testing.T) {
	require.Equal(t, ledgerAnswer{Unknown: true}, submitAnswer(false, false))
	require.Equal(t, ledgerAnswer{Refused: true}, submitAnswer(true, false))
	require.Equal(t, ledgerAnswer{Found: true}, submitAnswer(true, true))
}
