package plays

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/dillchute/dillchute/event"
)

// Finding is one violation that a check has found.
type Finding struct {
	Check   string
	At      float64
	Machine string
	Detail  string
}

// String returns the finding as one line.
func (f *Finding) String() string {
	return fmt.Sprintf("%s at %.3f s, %s: %s", f.Check, f.At, f.Machine, f.Detail)
}

// Check verifies one invariant against a play's log.
type Check struct {
	Name string
	// Invariant describes what must hold.
	Invariant string
	find      func(log *Log, bounds Bounds) []Finding
}

// Checks lists all checks.
var Checks = []Check{
	{"configuration-late", "each acknowledged configuration is applied by every connected gateway within the bound", findLateConfigurations},
	{"configuration-back", "no gateway applies an earlier configuration within one incarnation", findConfigurationRollbacks},
	{"stop-late", "each graceful shutdown of a gateway ends within its grace period and cuts no requests before that", findLateShutdowns},
	{"taken-after-stop", "a gateway ends no request after its shutdown that was not in flight then", findRequestsAfterShutdown},
	{"two-leaders", "no two replicas of a group lead in one term", findConflictingLeaders},
	{"replica-outside", "each directory replica is a member within the catch-up time after its start", findNonMemberReplicas},
	{"voters-missing", "no group lacks voters for longer than the catch-up time after the last loss", findMissingVoters},
	{"gateway-alone", "no connected gateway stays unable to reach the directory", findIsolatedGateways},
	{"wait-over", "no request takes longer than the longest deadline of any class", findOverdueRequests},
}

// RunChecks runs all checks and returns their findings ordered by time.
func RunChecks(log *Log, bounds Bounds) []Finding {
	var found []Finding
	for _, check := range Checks {
		for _, finding := range check.find(log, bounds) {
			finding.Check = check.Name
			found = append(found, finding)
		}
	}
	slices.SortStableFunc(found, func(a, b Finding) int { return cmp.Compare(a.At, b.At) })
	return found
}

// The machine classes on which deploy/system.toml runs the roles.
const (
	gatewayClass   = "front"
	directoryClass = "core"
	ledgerClass    = "store"
)

// tolerance, in seconds, is how far a bound may be exceeded before a check reports it: log lines
// are written slightly after what they report.
const tolerance = 0.25

// incarnation is one run of a machine's process.
type incarnation struct {
	Span
	machine string
	// shutdownAt is when a graceful shutdown began, or the end of the span if there was none.
	shutdownAt        float64
	shutdownRequested bool
	lines             []Line
}

// incarnations returns the runs of the processes of the class; each begins with the start event.
func (l *Log) incarnations(class string, start event.Event) []*incarnation {
	var runs []*incarnation
	current := map[string]*incarnation{}
	end := l.end()
	for _, line := range l.Lines {
		if line.class() != class {
			continue
		}
		if line.Event == start.Number {
			if previous := current[line.Machine]; previous != nil {
				previous.To = line.At
			}
			current[line.Machine] = &incarnation{Span: Span{line.At, end}, machine: line.Machine}
			runs = append(runs, current[line.Machine])
		}
		if run := current[line.Machine]; run != nil {
			run.lines = append(run.lines, line)
		}
	}
	for _, run := range runs {
		run.findShutdown()
	}
	return runs
}

func (l *incarnation) findShutdown() {
	l.shutdownAt = l.To
	if position := l.index(event.GatewayStopping); position >= 0 {
		l.shutdownAt, l.shutdownRequested = l.lines[position].At, true
	}
}

// index returns the position of the first such event, or -1 if there is none.
func (l *incarnation) index(wanted event.Event) int {
	return slices.IndexFunc(l.lines, func(line Line) bool { return line.Event == wanted.Number })
}
