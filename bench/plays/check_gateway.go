package plays

import (
	"fmt"

	"github.com/dillchute/dillchute/event"
)

// findLateConfigurations reports each acknowledged version that a connected gateway had not applied
// within the bound. It reports one gateway per version.
func findLateConfigurations(log *Log, bounds Bounds) []Finding {
	var found []Finding
	gateways := log.incarnations(gatewayClass, event.GatewayStarted)
	for _, line := range log.Lines {
		if line.Event != event.ConfigurationSubmitted.Number || line.has("error") || line.number("offered") != line.number("held") {
			continue
		}
		version := line.number("held")
		lacking := 0
		var first *incarnation
		for _, gateway := range gateways {
			if gateway.lacksVersion(log, bounds, version, line.At) {
				lacking++
				if first == nil {
					first = gateway
				}
			}
		}
		if first != nil {
			found = append(found, Finding{At: line.At + bounds.ConfigApply, Machine: first.machine, Detail: fmt.Sprintf(
				"version %.0f, acknowledged at %.3f s by %s, is not applied %.1f s later by %d connected gateways",
				version, line.At, line.Machine, bounds.ConfigApply, lacking)})
		}
	}
	return found
}

// lacksVersion reports whether the gateway was connected without the version after the bound.
func (l *incarnation) lacksVersion(log *Log, bounds Bounds, version, acknowledged float64) bool {
	lacking := Span{max(acknowledged+bounds.ConfigApply, l.From+bounds.Contact), l.shutdownAt}
	for _, line := range l.lines {
		if line.Event == event.ConfigurationApplied.Number && line.number("version") >= version {
			lacking.To = min(lacking.To, line.At)
			break
		}
	}
	lacking.To = min(lacking.To, bounds.Length)
	return lacking.longestUncovered(log.exemptSpans(l.machine, bounds.Contact)) > tolerance
}

func findConfigurationRollbacks(log *Log, _ Bounds) []Finding {
	var found []Finding
	for _, gateway := range log.incarnations(gatewayClass, event.GatewayStarted) {
		newest := 0.0
		for _, line := range gateway.lines {
			if line.Event != event.ConfigurationApplied.Number {
				continue
			}
			if version := line.number("version"); version < newest {
				found = append(found, Finding{At: line.At, Machine: line.Machine, Detail: fmt.Sprintf("from version %.0f to %.0f", newest, version)})
			}
			newest = max(newest, line.number("version"))
		}
	}
	return found
}

// findLateShutdowns finds shutdowns that do not end within the grace period and shutdowns that cut
// requests before the grace period is over.
func findLateShutdowns(log *Log, bounds Bounds) []Finding {
	// exitMargin is the part of its grace period that a gateway reserves for its exit.
	const exitMargin = 0.7
	var found []Finding
	for _, gateway := range log.incarnations(gatewayClass, event.GatewayStarted) {
		end := gateway.shutdownAt + bounds.Grace
		if !gateway.shutdownRequested || end > log.end() || log.disruptedBesidesShutdown(gateway.machine, Span{gateway.shutdownAt, end}) {
			continue
		}
		position := gateway.index(event.GatewayStopped)
		switch {
		case position < 0:
			found = append(found, Finding{At: end, Machine: gateway.machine, Detail: fmt.Sprintf("the shutdown that began at %.3f s did not end", gateway.shutdownAt)})
		case gateway.lines[position].At > end+tolerance:
			found = append(found, Finding{At: end, Machine: gateway.machine,
				Detail: fmt.Sprintf("the shutdown that began at %.3f s ended at %.3f s", gateway.shutdownAt, gateway.lines[position].At)})
		case gateway.lines[position].number("in_flight") > 0 && gateway.lines[position].At < end-exitMargin-tolerance:
			found = append(found, Finding{At: gateway.lines[position].At, Machine: gateway.machine,
				Detail: fmt.Sprintf("the shutdown that began at %.3f s cut %.0f requests before the end of its grace period", gateway.shutdownAt, gateway.lines[position].number("in_flight"))})
		}
	}
	return found
}

// disruptedBesidesShutdown reports whether anything but graceful shutdowns affected the machine in the span.
func (l *Log) disruptedBesidesShutdown(machine string, span Span) bool {
	for position := range l.Disruptions {
		disruption := &l.Disruptions[position]
		if disruption.Kind != "roll_term" && disruption.affects(machine) && disruption.From < span.To && disruption.To > span.From {
			return true
		}
	}
	return false
}

// findRequestsAfterShutdown finds requests that ended after the gateway reported the end of its
// shutdown and were not in flight at that time.
func findRequestsAfterShutdown(log *Log, _ Bounds) []Finding {
	var found []Finding
	for _, gateway := range log.incarnations(gatewayClass, event.GatewayStarted) {
		position := gateway.index(event.GatewayStopped)
		if position < 0 {
			continue
		}
		inFlight := gateway.lines[position].number("in_flight")
		for _, line := range gateway.lines[position:] {
			if line.Event != event.RequestEnded.Number {
				continue
			}
			if inFlight--; inFlight < 0 {
				found = append(found, Finding{At: line.At, Machine: line.Machine,
					Detail: fmt.Sprintf("request %s ended after the shutdown had ended at %.3f s", line.text("request"), gateway.lines[position].At)})
			}
		}
	}
	return found
}

// findIsolatedGateways finds connected gateways that cannot reach the directory for longer than the
// contact bound.
func findIsolatedGateways(log *Log, bounds Bounds) []Finding {
	var found []Finding
	for _, gateway := range log.incarnations(gatewayClass, event.GatewayStarted) {
		since := -1.0
		report := func(until float64) {
			if since < 0 {
				return
			}
			isolated := Span{since, min(until, bounds.Length)}
			if isolated.longestUncovered(log.exemptSpans(gateway.machine, bounds.Contact)) > bounds.Contact {
				found = append(found, Finding{At: since, Machine: gateway.machine, Detail: fmt.Sprintf("could not reach the directory until %.3f s", isolated.To)})
			}
			since = -1
		}
		for _, line := range gateway.lines {
			switch {
			case line.Event == event.DirectoryUnreachable.Number && since < 0:
				since = max(line.At, 0)
			case line.Event == event.DirectoryReachable.Number:
				report(line.At)
			}
		}
		report(gateway.shutdownAt)
	}
	return found
}

// findOverdueRequests finds requests that took longer than the longest deadline of any class, plus a
// margin for the response.
func findOverdueRequests(log *Log, bounds Bounds) []Finding {
	const responseMargin = 0.5
	var found []Finding
	for _, line := range log.Lines {
		latency := line.number("ms") / 1000
		if line.Event == event.RequestEnded.Number && latency > bounds.LongestWait+responseMargin {
			found = append(found, Finding{At: line.At, Machine: line.Machine,
				Detail: fmt.Sprintf("request %s took %.3f s, longer than any deadline (%.1f s)", line.text("request"), latency, bounds.LongestWait)})
		}
	}
	return found
}
