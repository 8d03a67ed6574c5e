package plays

import (
	"fmt"
	"slices"

	"github.com/dillchute/dillchute/event"
)

// findConflictingLeaders finds terms led by two machines of one class, or by one machine in two incarnations.
func findConflictingLeaders(log *Log, _ Bounds) []Finding {
	type leadership struct {
		class string
		term  float64
	}
	type leader struct {
		machine string
		at      float64
	}
	var found []Finding
	led := map[leadership]leader{}
	for _, line := range log.Lines {
		if line.Event != event.LeadershipGained.Number {
			continue
		}
		key := leadership{line.class(), line.number("term")}
		if previous, ok := led[key]; ok {
			found = append(found, Finding{At: line.At, Machine: line.Machine,
				Detail: fmt.Sprintf("leads in term %.0f, which %s has led since %.3f s", key.term, previous.machine, previous.at)})
			continue
		}
		led[key] = leader{line.Machine, line.At}
	}
	return found
}

// findNonMemberReplicas finds directory replicas that are in no group after the catch-up time although
// nothing disrupts them or the core, and replicas that report this themselves. Every directory replica
// belongs to the group; the ledger's group may leave replicas as standbys.
func findNonMemberReplicas(log *Log, bounds Bounds) []Finding {
	var found []Finding
	for _, replica := range log.incarnations(directoryClass, event.ReplicaStarted) {
		notMember := Span{replica.From + bounds.CatchUp, min(replica.To, bounds.Length)}
		for _, line := range replica.lines {
			if line.Event == event.MembershipChanged.Number || line.Event == event.LeadershipGained.Number {
				notMember.To = min(notMember.To, line.At)
				break
			}
		}
		exemptions := log.exemptSpans(replica.machine, 0)
		if notMember.longestUncovered(exemptions) > tolerance {
			found = append(found, Finding{At: notMember.From, Machine: replica.machine,
				Detail: fmt.Sprintf("started at %.3f s and is in no group %.1f s later", replica.From, bounds.CatchUp)})
			continue
		}
		if line, ok := replica.pendingAdmission(bounds, exemptions); ok {
			found = append(found, Finding{At: line.At, Machine: line.Machine,
				Detail: fmt.Sprintf("has waited %.1f s for admission to the group by %s", line.number("ms")/1000, line.text("asked"))})
		}
	}
	return found
}

// pendingAdmission returns the first line in which the replica reports that it has waited for admission
// for longer than the catch-up time without a disruption.
func (l *incarnation) pendingAdmission(bounds Bounds, exemptions []Span) (Line, bool) {
	for _, line := range l.lines {
		since := line.At - line.number("ms")/1000
		overdue := Span{max(since, 0), line.At}.longestUncovered(exemptions) > bounds.CatchUp
		if line.Event == event.AdmissionPending.Number && overdue && line.At < bounds.Length {
			return line, true
		}
	}
	return Line{}, false
}

// voterTracker tracks the voters of one group as its leaders report them.
type voterTracker struct {
	// wanted is the target number of voters.
	wanted float64
	leader string
	// tooFewMembers: the leader has fewer members than wanted voters.
	tooFewMembers bool
	// votersMissing: the leader reports missing voters.
	votersMissing bool
}

// apply updates the tracker with the line and reports whether the group lacks voters after it.
func (t *voterTracker) apply(line Line) bool {
	if line.Event == event.LeadershipGained.Number {
		// A new leader reports missing voters anew.
		t.leader, t.votersMissing = line.Machine, false
	}
	if line.Machine == t.leader {
		switch line.Event {
		case event.MembershipChanged.Number:
			t.tooFewMembers = line.number("members") < t.wanted
		case event.VotersMissing.Number:
			t.votersMissing = true
		case event.VotersComplete.Number:
			t.votersMissing = false
		}
	}
	return t.tooFewMembers || t.votersMissing
}

// findMissingVoters finds times at which either group lacks voters, except while machines of its class
// are lost and for the catch-up time after that.
func findMissingVoters(log *Log, bounds Bounds) []Finding {
	var found []Finding
	for _, class := range []string{directoryClass, ledgerClass} {
		tracker := voterTracker{wanted: float64(2*bounds.Tolerated + 1)}
		allowed := log.voterLossSpans(class, bounds)
		lacking, since := false, 0.0
		report := func(until float64) {
			span := Span{max(since, 0), min(until, bounds.Length)}
			if lacking && span.longestUncovered(allowed) > tolerance {
				found = append(found, Finding{At: since, Machine: tracker.leader,
					Detail: fmt.Sprintf("its group has fewer than %.0f voters until %.3f s", tracker.wanted, until)})
			}
		}
		for _, line := range log.Lines {
			if line.class() != class {
				continue
			}
			if lacks := tracker.apply(line); lacks != lacking {
				report(line.At)
				lacking, since = lacks, line.At
			}
		}
		report(log.end())
	}
	return found
}

// voterLossSpans returns the spans in which a group may lack voters: while machines of the class are
// disrupted and until the catch-up time after that.
func (l *Log) voterLossSpans(class string, bounds Bounds) []Span {
	spans := append([]Span(nil), l.Unstable...)
	for position := range l.Disruptions {
		disruption := &l.Disruptions[position]
		affected := slices.ContainsFunc(disruption.Machines, func(machine string) bool { return classOf(machine) == class })
		if affected || disruption.Kind == closingKind || len(disruption.Machines) == 0 && affectsAll[disruption.Kind] {
			spans = append(spans, Span{disruption.From, disruption.To + bounds.CatchUp})
		}
	}
	return spans
}
