package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEndToldAgainCountsByWhoKnewMost: a backend's end is told by several who knew more or less as they
// sent their requests. In any order it counts once, if one of them knew of all crashes before.
func TestEndToldAgainCountsByWhoKnewMost(t *testing.T) {
	before := Suspect{Fingerprint: "kind", Crashes: 1, Ended: []string{"a"}, Of: []Fingerprint{"x", "y"}}
	telling := func(known int) Crash {
		return Crash{Fingerprint: "kind", Backend: "b", Known: known, Of: "y", Exact: true}
	}
	for _, order := range [][]int{{0, 0, 1}, {0, 1, 0}, {1, 0, 0}, {0, 1, 1}, {1, 1, 0}, {1, 1, 1}} {
		suspect := before
		for _, known := range order {
			suspect, _ = suspect.With(telling(known))
		}
		require.Equal(t, 2, suspect.Crashes, order)
		require.Equal(t, []string{"a", "b"}, suspect.Ended)
		require.Empty(t, suspect.Uncounted)
	}
	unknowing, isNews := before.With(telling(0))
	require.True(t, isNews)
	require.Equal(t, 1, unknowing.Crashes)
	require.Equal(t, []string{"b"}, unknowing.Uncounted)
	_, isNews = unknowing.With(telling(0))
	require.False(t, isNews)
	_, isNews = unknowing.With(telling(1))
	require.True(t, isNews, "or it would not be told")
	require.Equal(t, []string{"b"}, unknowing.Uncounted, "a suspect is never changed")
}

// TestEndToldAsByEarlierBuilds: a telling that is not exact means what it has always meant.
func TestEndToldAsByEarlierBuilds(t *testing.T) {
	before := Suspect{Fingerprint: "kind", Crashes: 1, Ended: []string{"a"}}
	first, _ := before.With(Crash{Fingerprint: "kind", Backend: "b", Known: 0})
	require.Equal(t, Suspect{Fingerprint: "kind", Crashes: 1, Ended: []string{"a", "b"}}, first)
	again, isNews := first.With(Crash{Fingerprint: "kind", Backend: "b", Known: 1})
	require.False(t, isNews)
	require.Equal(t, first, again)
	exact, isNews := first.With(Crash{Fingerprint: "kind", Backend: "b", Known: 1, Exact: true})
	require.False(t, isNews, "how it was counted is not known")
	require.Equal(t, first, exact)
}
