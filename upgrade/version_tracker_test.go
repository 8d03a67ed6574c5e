package upgrade

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/consensus"
)

var members = []consensus.Member{
	{ID: 1, Address: "a", Voter: true}, {ID: 2, Address: "b", Voter: true}, {ID: 3, Address: "c"},
}

// TestUnconfirmedMembers checks that members, learners included, are unconfirmed without a report,
// after it expires and after a downgrade.
func TestUnconfirmedMembers(t *testing.T) {
	now := time.UnixMilli(0)
	tracker := NewVersionTracker()
	tracker.Record(now, "a", VersionReport{Knows: 2})
	tracker.Record(now, "b", VersionReport{Knows: 1})
	require.Equal(t, []string{"b", "c"}, tracker.Unconfirmed(now, members, 2))
	require.Equal(t, []string{"c"}, tracker.Unconfirmed(now, members, 1))
	require.Equal(t, []string{"b"}, tracker.Outdated(now, members, 2), "a member without a report is not outdated")

	tracker.Record(now, "c", VersionReport{Knows: 1})
	require.Empty(t, tracker.Unconfirmed(now, members, 1))

	tracker.Record(now, "c", VersionReport{})
	require.Equal(t, []string{"c"}, tracker.Unconfirmed(now, members, 1), "a member that was downgraded")

	tracker.Record(now, "c", VersionReport{Knows: 1})
	require.Empty(t, tracker.Unconfirmed(now.Add(ReportTTL), members, 1))
	require.Equal(t, []string{"a", "b", "c"}, tracker.Unconfirmed(now.Add(ReportTTL+1), members, 1))
}

// TestBuildsOfMembers checks that each build is listed once, and only from recent reports of members.
func TestBuildsOfMembers(t *testing.T) {
	now := time.UnixMilli(0)
	tracker := NewVersionTracker()
	tracker.Record(now, "a", VersionReport{Build: "new"})
	tracker.Record(now, "b", VersionReport{Build: "new"})
	tracker.Record(now, "c", VersionReport{Build: "earlier"})
	tracker.Record(now, "elsewhere", VersionReport{Build: "other"})
	require.Equal(t, []string{"earlier", "new"}, tracker.Builds(now, members))
	tracker.Record(now.Add(ReportTTL), "a", VersionReport{Build: "new"})
	require.Equal(t, []string{"new"}, tracker.Builds(now.Add(ReportTTL+1), members))
}
