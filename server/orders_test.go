package server

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/ledger"
)

// TestOrdersCountFromWhenTheyWereLearnt: the holder's clock does not matter, a
// repeated look does not start the lease anew, and a newer order does.
func TestOrdersCountFromWhenTheyWereLearnt(t *testing.T) {
	w := newOrderWatch()
	early := ledger.Order{Engine: "e", Holder: "other", At: -1000000}
	w.note(100, map[string]ledger.Order{"e": early, "own": {Engine: "own", Holder: "me"}})
	w.note(200, map[string]ledger.Order{"e": early, "own": {Engine: "own", Holder: "me"}})
	require.Equal(t, map[string]int64{"e": 100}, w.heldByOthers("me"))
	later := early
	later.At++
	w.note(300, map[string]ledger.Order{"e": later})
	require.Equal(t, map[string]int64{"e": 300}, w.heldByOthers("me"))
	w.note(400, nil)
	require.Empty(t, w.heldByOthers("me"))
}
