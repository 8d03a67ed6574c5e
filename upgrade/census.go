// Package upgrade tells what the members of a replicated group know, so that a meaning of its
// commands which came later is used only once all of them know it. It has no clock or socket.
package upgrade

import (
	"slices"
	"time"

	"github.com/dillchute/dillchute/consensus"
)

// StatementLife is how long a statement of a member holds. Members say what they know once a second,
// and one that is started again from an earlier build does so within this time.
const StatementLife = 3 * time.Second

// Statement is what a member says of itself. An earlier build that says nothing knows version 0.
type Statement struct {
	// Knows is the newest version of the group's commands that the member knows.
	Knows uint64 `cbor:"1,keyasint"`
	// Build names the commit that the member was built from, empty where that is not known.
	Build string `cbor:"2,keyasint,omitempty"`
}

// heard is a statement with when it was heard.
type heard struct {
	statement Statement
	at        time.Time
}

// Census is what the members of a group have said, by their addresses. It must not be used
// concurrently.
type Census struct{ members map[string]heard }

// NewCensus returns a census in which nobody has said anything.
func NewCensus() *Census { return &Census{members: map[string]heard{}} }

// Note takes in what the member at the address says.
func (c *Census) Note(now time.Time, address string, statement Statement) {
	c.members[address] = heard{statement: statement, at: now}
}

// Missing returns the addresses of the members that have not said lately that they know the version.
func (c *Census) Missing(now time.Time, members []consensus.Member, version uint64) []string {
	var missing []string
	for _, member := range members {
		if said, ok := c.said(now, member.Address); !ok || said.Knows < version {
			missing = append(missing, member.Address)
		}
	}
	return missing
}

// TooEarly returns the addresses of the members that have said lately that they know only earlier
// versions.
func (c *Census) TooEarly(now time.Time, members []consensus.Member, version uint64) []string {
	var early []string
	for _, member := range members {
		if said, ok := c.said(now, member.Address); ok && said.Knows < version {
			early = append(early, member.Address)
		}
	}
	return early
}

// Builds returns the builds that the members have named lately, each once, in the order of their names.
func (c *Census) Builds(now time.Time, members []consensus.Member) []string {
	var builds []string
	for _, member := range members {
		if said, ok := c.said(now, member.Address); ok {
			builds = append(builds, said.Build)
		}
	}
	slices.Sort(builds)
	return slices.Compact(builds)
}

func (c *Census) said(now time.Time, address string) (Statement, bool) {
	said, ok := c.members[address]
	return said.statement, ok && now.Sub(said.at) <= StatementLife
}
