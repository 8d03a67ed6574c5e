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

// TestNobodyIsTakenForKnowing: a member that has not said what it knows, or said it long ago, or that
// has been started again from an earlier build, is missing; learners count.
func TestNobodyIsTakenForKnowing(t *testing.T) {
	now := time.UnixMilli(0)
	census := NewCensus()
	census.Note(now, "a", Statement{Knows: 2})
	census.Note(now, "b", Statement{Knows: 1})
	require.Equal(t, []string{"b", "c"}, census.Missing(now, members, 2))
	require.Equal(t, []string{"c"}, census.Missing(now, members, 1))
	require.Equal(t, []string{"b"}, census.TooEarly(now, members, 2), "one that says nothing is not known to be early")

	census.Note(now, "c", Statement{Knows: 1})
	require.Empty(t, census.Missing(now, members, 1))

	census.Note(now, "c", Statement{})
	require.Equal(t, []string{"c"}, census.Missing(now, members, 1), "an earlier build at the same address")

	census.Note(now, "c", Statement{Knows: 1})
	require.Empty(t, census.Missing(now.Add(StatementLife), members, 1))
	require.Equal(t, []string{"a", "b", "c"}, census.Missing(now.Add(StatementLife+1), members, 1))
}

// TestBuildsOfMembers: builds are named once, and only those of members that have spoken lately.
func TestBuildsOfMembers(t *testing.T) {
	now := time.UnixMilli(0)
	census := NewCensus()
	census.Note(now, "a", Statement{Build: "new"})
	census.Note(now, "b", Statement{Build: "new"})
	census.Note(now, "c", Statement{Build: "earlier"})
	census.Note(now, "elsewhere", Statement{Build: "other"})
	require.Equal(t, []string{"earlier", "new"}, census.Builds(now, members))
	census.Note(now.Add(StatementLife), "a", Statement{Build: "new"})
	require.Equal(t, []string{"new"}, census.Builds(now.Add(StatementLife+1), members))
}
