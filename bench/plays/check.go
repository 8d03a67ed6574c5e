package plays

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/dillchute/dillchute/event"
)

// Finding is what a check has found.
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

// Check reads a play's log for one thing that must hold.
type Check struct {
	Name string
	// Holds says what must hold.
	Holds string
	find  func(log *Log, bounds Bounds) []Finding
}

// Checks are all checks.
var Checks = []Check{
	{"configuration-late", "each configuration that was acknowledged is in force at every gateway in touch within its bound", findLateConfigurations},
	{"configuration-back", "no gateway goes back to an earlier configuration in one life", findEarlierConfigurations},
	{"stop-late", "each planned stop of a gateway ends within its grace, and cuts nothing before that", findLateStops},
	{"taken-after-stop", "a gateway ends no request that it took after its last one", findRequestsAfterStop},
	{"two-leaders", "no two replicas of a group lead in one term", findTwoLeaders},
	{"replica-outside", "each replica of the directory that starts is a member within the time to catch up", findReplicasOutside},
	{"voters-missing", "no group lacks voters for longer than the time to catch up after the last loss", findMissingVoters},
	{"gateway-alone", "no gateway in touch is without the directory", findGatewaysAlone},
	{"wait-over", "no request takes longer than the longest time of any kind", findLongWaits},
}

// Find runs all checks and returns what they found, by time.
func Find(log *Log, bounds Bounds) []Finding {
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

// The classes of machines on which deploy/system.toml runs the roles.
const (
	gatewayClass   = "front"
	directoryClass = "core"
	ledgerClass    = "store"
)

// slack is by how much a bound may be missed before a check fires: logs are
// written a little later than what they tell happens, on machines with a small
// share of a core. The bench allows a fifth of a second at its narrowest.
const slack = 0.25

// life is one run of a machine's process.
type life struct {
	Span
	machine string
	// stopAt is when a planned stop began, the end of the span if there was none.
	stopAt float64
	// stopped: a planned stop was asked for.
	stopped bool
	lines   []Line
}

// lives returns the runs of the processes of the class that begin with the event.
func (l *Log) lives(class string, start event.Event) []*life {
	var all []*life
	current := map[string]*life{}
	end := l.end()
	for _, line := range l.Lines {
		if line.class() != class {
			continue
		}
		if line.Event == start.Number {
			if before := current[line.Machine]; before != nil {
				before.To = line.At
			}
			current[line.Machine] = &life{Span: Span{line.At, end}, machine: line.Machine}
			all = append(all, current[line.Machine])
		}
		if now := current[line.Machine]; now != nil {
			now.lines = append(now.lines, line)
		}
	}
	for _, one := range all {
		one.findStop()
	}
	return all
}

func (l *life) findStop() {
	l.stopAt = l.To
	if position := l.index(event.GatewayStopping); position >= 0 {
		l.stopAt, l.stopped = l.lines[position].At, true
	}
}

// index returns the position of the life's first such event, -1 if there is none.
func (l *life) index(wanted event.Event) int {
	return slices.IndexFunc(l.lines, func(line Line) bool { return line.Event == wanted.Number })
}
