package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/duty"
)

// TestNewLeaderAsksWhoWasOrderedLately: engines without an order, or with one that must have
// ended long before the newest, are not asked, whatever the clock shows.
func TestNewLeaderAsksWhoWasOrderedLately(t *testing.T) {
	require.Empty(t, orderedLately(nil))
	orders := map[string]duty.Action{
		"old": {Subject: "old", At: 1000}, "lately": {Subject: "lately", At: 4000}, "newest": {Subject: "newest", At: 15000},
	}
	require.Equal(t, map[string]bool{"lately": true, "newest": true}, orderedLately(orders))
}
