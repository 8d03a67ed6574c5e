package plays

import (
	"fmt"

	"github.com/dillchute/dillchute/event"
)

// findLateConfigurations looks at each acknowledged version and each run of a
// gateway for a time at which the gateway was in touch, the bound was over, and
// the version was not in force there. It reports one gateway of each version.
func findLateConfigurations(log *Log, bounds Bounds) []Finding {
	var found []Finding
	gateways := log.lives(gatewayClass, event.GatewayStarted)
	for _, line := range log.Lines {
		if line.Event != event.ConfigurationSubmitted.Number || line.has("error") || line.number("offered") != line.number("held") {
			continue
		}
		version := line.number("held")
		late := 0
		var first *life
		for _, gateway := range gateways {
			if gateway.late(log, bounds, version, line.At) {
				late++
				if first == nil {
					first = gateway
				}
			}
		}
		if first != nil {
			found = append(found, Finding{At: line.At + bounds.ConfigApply, Machine: first.machine, Detail: fmt.Sprintf(
				"version %.0f, acknowledged at %.3f s by %s, is not in force %.1f s later at %d gateways in touch",
				version, line.At, line.Machine, bounds.ConfigApply, late)})
		}
	}
	return found
}

// late tells whether the gateway was in touch without the version after its bound.
func (l *life) late(log *Log, bounds Bounds, version, acknowledged float64) bool {
	without := Span{max(acknowledged+bounds.ConfigApply, l.From+bounds.Contact), l.stopAt}
	for _, line := range l.lines {
		if line.Event == event.ConfigurationApplied.Number && line.number("version") >= version {
			without.To = min(without.To, line.At)
			break
		}
	}
	without.To = min(without.To, bounds.Length)
	return without.longest(log.excused(l.machine, bounds.Contact)) > slack
}

func findEarlierConfigurations(log *Log, _ Bounds) []Finding {
	var found []Finding
	for _, gateway := range log.lives(gatewayClass, event.GatewayStarted) {
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

// findLateStops looks for stops that have no end within the grace, and for those
// that end with requests in flight though the grace was not over.
func findLateStops(log *Log, bounds Bounds) []Finding {
	// exitMargin is what a gateway keeps of its grace for its own end.
	const exitMargin = 0.7
	var found []Finding
	for _, gateway := range log.lives(gatewayClass, event.GatewayStarted) {
		end := gateway.stopAt + bounds.Grace
		if !gateway.stopped || end > log.end() || log.struckBesidesStop(gateway.machine, Span{gateway.stopAt, end}) {
			continue
		}
		position := gateway.index(event.GatewayStopped)
		switch {
		case position < 0:
			found = append(found, Finding{At: end, Machine: gateway.machine, Detail: fmt.Sprintf("the stop of %.3f s has no end", gateway.stopAt)})
		case gateway.lines[position].At > end+slack:
			found = append(found, Finding{At: end, Machine: gateway.machine,
				Detail: fmt.Sprintf("the stop of %.3f s ended at %.3f s", gateway.stopAt, gateway.lines[position].At)})
		case gateway.lines[position].number("in_flight") > 0 && gateway.lines[position].At < end-exitMargin-slack:
			found = append(found, Finding{At: gateway.lines[position].At, Machine: gateway.machine,
				Detail: fmt.Sprintf("the stop of %.3f s cut %.0f requests before its grace was over", gateway.stopAt, gateway.lines[position].number("in_flight"))})
		}
	}
	return found
}

// struckBesidesStop tells whether something else than planned stops struck the
// machine in the span.
func (l *Log) struckBesidesStop(machine string, span Span) bool {
	for position := range l.Disruptions {
		one := &l.Disruptions[position]
		if one.Kind != "roll_term" && one.strikes(machine) && one.From < span.To && one.To > span.From {
			return true
		}
	}
	return false
}

// findRequestsAfterStop looks for requests that ended after the gateway said that
// it has stopped, and that were not among those in flight then.
func findRequestsAfterStop(log *Log, _ Bounds) []Finding {
	var found []Finding
	for _, gateway := range log.lives(gatewayClass, event.GatewayStarted) {
		position := gateway.index(event.GatewayStopped)
		if position < 0 {
			continue
		}
		left := gateway.lines[position].number("in_flight")
		for _, line := range gateway.lines[position:] {
			if line.Event != event.RequestEnded.Number {
				continue
			}
			if left--; left < 0 {
				found = append(found, Finding{At: line.At, Machine: line.Machine,
					Detail: fmt.Sprintf("request %s ended after the stop's end at %.3f s", line.text("request"), gateway.lines[position].At)})
			}
		}
	}
	return found
}

// findGatewaysAlone looks for gateways in touch that cannot reach the directory
// for longer than what brings a machine back into touch.
func findGatewaysAlone(log *Log, bounds Bounds) []Finding {
	var found []Finding
	for _, gateway := range log.lives(gatewayClass, event.GatewayStarted) {
		since := -1.0
		report := func(until float64) {
			if since < 0 {
				return
			}
			alone := Span{since, min(until, bounds.Length)}
			if alone.longest(log.excused(gateway.machine, bounds.Contact)) > bounds.Contact {
				found = append(found, Finding{At: since, Machine: gateway.machine, Detail: fmt.Sprintf("without the directory until %.3f s", alone.To)})
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
		report(gateway.stopAt)
	}
	return found
}

// findLongWaits looks for requests that took longer than the longest time that
// any kind of request has. The bench allows half a second more.
func findLongWaits(log *Log, bounds Bounds) []Finding {
	const answerTime = 0.5
	var found []Finding
	for _, line := range log.Lines {
		took := line.number("ms") / 1000
		if line.Event == event.RequestEnded.Number && took > bounds.LongestWait+answerTime {
			found = append(found, Finding{At: line.At, Machine: line.Machine,
				Detail: fmt.Sprintf("request %s took %.3f s, and no kind has more than %.1f s", line.text("request"), took, bounds.LongestWait)})
		}
	}
	return found
}
