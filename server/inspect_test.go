package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/duty"
)

// TestRecentlyOrdered checks that engines without an order, or with one long before the newest, are
// omitted, independently of the wall clock.
func TestRecentlyOrdered(t *testing.T) {
	require.Empty(t, recentlyOrdered(nil))
	orders := map[string]duty.Action{
		"old": {Subject: "old", At: 1000}, "recent": {Subject: "recent", At: 4000}, "newest": {Subject: "newest", At: 15000},
	}
	require.Equal(t, map[string]bool{"recent": true, "newest": true}, recentlyOrdered(orders))
}
