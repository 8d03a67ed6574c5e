// Package upgrade tracks which command version each member of a replicated group supports, so that a
// newer version is used only once all members support it. It does no I/O and reads no clock.
package upgrade

import (
	"slices"
	"time"

	"github.com/dillchute/dillchute/consensus"
)

// ReportTTL is how long a member's report is valid. Members report once a second, and a member that
// was downgraded reports its earlier version within this time.
const ReportTTL = 3 * time.Second

// VersionReport is what a member reports about itself. Builds without reports support version 0.
type VersionReport struct {
	// Knows is the newest command version that the member supports.
	Knows uint64 `cbor:"1,keyasint"`
	// Build is the commit the member was built from, or "" if it is unknown.
	Build string `cbor:"2,keyasint,omitempty"`
}

// receivedReport is a report with the time of its receipt.
type receivedReport struct {
	report     VersionReport
	receivedAt time.Time
}

// VersionTracker holds the latest report of each member by address. It is not safe for concurrent use.
type VersionTracker struct{ reports map[string]receivedReport }

// NewVersionTracker returns a tracker without reports.
func NewVersionTracker() *VersionTracker {
	return &VersionTracker{reports: map[string]receivedReport{}}
}

// Record stores the report of the member at the address.
func (t *VersionTracker) Record(now time.Time, address string, report VersionReport) {
	t.reports[address] = receivedReport{report: report, receivedAt: now}
}

// Unconfirmed returns the addresses of the members without a recent report that they support the
// version.
func (t *VersionTracker) Unconfirmed(now time.Time, members []consensus.Member, version uint64) []string {
	var unconfirmed []string
	for _, member := range members {
		if report, ok := t.recentReport(now, member.Address); !ok || report.Knows < version {
			unconfirmed = append(unconfirmed, member.Address)
		}
	}
	return unconfirmed
}

// Outdated returns the addresses of the members that recently reported that they do not support the
// version.
func (t *VersionTracker) Outdated(now time.Time, members []consensus.Member, version uint64) []string {
	var outdated []string
	for _, member := range members {
		if report, ok := t.recentReport(now, member.Address); ok && report.Knows < version {
			outdated = append(outdated, member.Address)
		}
	}
	return outdated
}

// Builds returns the distinct builds in recent reports of the members, sorted.
func (t *VersionTracker) Builds(now time.Time, members []consensus.Member) []string {
	var builds []string
	for _, member := range members {
		if report, ok := t.recentReport(now, member.Address); ok {
			builds = append(builds, report.Build)
		}
	}
	slices.Sort(builds)
	return slices.Compact(builds)
}

func (t *VersionTracker) recentReport(now time.Time, address string) (VersionReport, bool) {
	received, ok := t.reports[address]
	return received.report, ok && now.Sub(received.receivedAt) <= ReportTTL
}
