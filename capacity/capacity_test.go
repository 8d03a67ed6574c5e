package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAnswerString also covers a value written by a newer build.
func TestAnswerString(t *testing.T) {
	require.Equal(t, "open", Open.String())
	require.Equal(t, "refused", Refused.String())
	require.Equal(t, "unknown", (Refused + 1).String())
}
