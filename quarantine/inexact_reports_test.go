package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRepeatedCrashReportUsesHighestKnownCount verifies that a crash reported several times counts once
// in any order, if one reporter knew of all earlier crashes.
func TestRepeatedCrashReportUsesHighestKnownCount(t *testing.T) {
	before := Suspect{Fingerprint: "kind", Crashes: 1, Ended: []string{"a"}, Of: []Fingerprint{"x", "y"}}
	crashKnowing := func(known int) Crash {
		return Crash{Fingerprint: "kind", Backend: "b", Known: known, Of: "y", Exact: true}
	}
	for _, order := range [][]int{{0, 0, 1}, {0, 1, 0}, {1, 0, 0}, {0, 1, 1}, {1, 1, 0}, {1, 1, 1}} {
		suspect := before
		for _, known := range order {
			suspect, _ = suspect.WithCrash(crashKnowing(known))
		}
		require.Equal(t, 2, suspect.Crashes, order)
		require.Equal(t, []string{"a", "b"}, suspect.Ended)
		require.Empty(t, suspect.Uncounted)
	}
	uncounted, changed := before.WithCrash(crashKnowing(0))
	require.True(t, changed)
	require.Equal(t, 1, uncounted.Crashes)
	require.Equal(t, []string{"b"}, uncounted.Uncounted)
	_, changed = uncounted.WithCrash(crashKnowing(0))
	require.False(t, changed)
	_, changed = uncounted.WithCrash(crashKnowing(1))
	require.True(t, changed, "an unchanged suspect would not be reported")
	require.Equal(t, []string{"b"}, uncounted.Uncounted, "suspects are immutable")
}

// TestInexactCrashReports verifies the handling of reports from older versions, which lack Exact.
func TestInexactCrashReports(t *testing.T) {
	before := Suspect{Fingerprint: "kind", Crashes: 1, Ended: []string{"a"}}
	first, _ := before.WithCrash(Crash{Fingerprint: "kind", Backend: "b", Known: 0})
	require.Equal(t, Suspect{Fingerprint: "kind", Crashes: 1, Ended: []string{"a", "b"}}, first)
	again, changed := first.WithCrash(Crash{Fingerprint: "kind", Backend: "b", Known: 1})
	require.False(t, changed)
	require.Equal(t, first, again)
	exact, changed := first.WithCrash(Crash{Fingerprint: "kind", Backend: "b", Known: 1, Exact: true})
	require.False(t, changed, "the first report does not show whether it was counted")
	require.Equal(t, first, exact)
}
