package plays

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Line is one event logged by a machine of the product.
type Line struct {
	// At is the second of the day; it is negative before traffic starts.
	At      float64
	Machine string
	Event   int
	fields  map[string]any
}

// number returns the value of a numeric field, or 0 if there is none.
func (l *Line) number(field string) float64 {
	value, _ := l.fields[field].(float64)
	return value
}

func (l *Line) text(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

func (l *Line) has(field string) bool { _, ok := l.fields[field]; return ok }

// class returns the class of the line's machine. Machine names consist of class, zone and number.
func (l *Line) class() string { return classOf(l.Machine) }

func classOf(machine string) string {
	class, _, _ := strings.Cut(machine, "-")
	return class
}

// Span is a time range of the day, in seconds.
type Span struct{ From, To float64 }

// Disruption is an entry of the bench's list of what happened.
type Disruption struct {
	Span
	Kind string
	// Machines are the affected machines that the bench names.
	Machines []string
	// Truncated: more machines were affected than are named.
	Truncated bool
}

// Log is the parsed output of a play.
type Log struct {
	// Lines are the product's events ordered by time.
	Lines []Line
	// Disruptions are the faults and the planned work of the bench.
	Disruptions []Disruption
	// Unstable are the spans in which the bench reports the core as unstable.
	Unstable []Span
	// Broken lists the rules that the bench reports as broken, with their counts.
	Broken string
	// Worth is the score of the day as the bench prints it; empty if there was no result.
	Worth string
}

var (
	eventLine     = regexp.MustCompile(`^\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$`)
	disruptionRow = regexp.MustCompile(`^\s*(-?\d+(?:\.\d+)?) s to\s+(-?\d+(?:\.\d+)?) s\s+(\S+)\s*(.*)$`)
	unstableRow   = regexp.MustCompile(`^the core was not stable: (.*)$`)
	brokenRow     = regexp.MustCompile(`^rules broken: (.*)$`)
	worthRow      = regexp.MustCompile(`^worth (-?\d+\.\d+) = `)
	unstableSpan  = regexp.MustCompile(`(-?\d+\.\d+) to (-?\d+\.\d+)`)
	machineName   = regexp.MustCompile(`\b[a-z]+-[a-z0-9-]*-\d+\b`)
	moreMachines  = regexp.MustCompile(`\band \d+ more\b`)
)

// maxLineBytes bounds a line of the bench's output.
const maxLineBytes = 4 << 20

// ReadLog parses the bench's output for a play run with the logs of all machines.
func ReadLog(output io.Reader) (*Log, error) {
	log := &Log{}
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if err := log.readLine(lines.Text()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, ErrInvalid.Wrap(err, "read play log")
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	return log, nil
}

func (l *Log) readLine(line string) error {
	if match := eventLine.FindStringSubmatch(line); match != nil {
		return l.readEvent(match)
	}
	if match := disruptionRow.FindStringSubmatch(line); match != nil {
		l.Disruptions = append(l.Disruptions, Disruption{
			Span: Span{seconds(match[1]), seconds(match[2])}, Kind: match[3],
			Machines: machineName.FindAllString(match[4], -1), Truncated: moreMachines.MatchString(match[4]),
		})
	}
	if match := unstableRow.FindStringSubmatch(line); match != nil {
		for _, match := range unstableSpan.FindAllStringSubmatch(match[1], -1) {
			l.Unstable = append(l.Unstable, Span{seconds(match[1]), seconds(match[2])})
		}
	}
	if match := brokenRow.FindStringSubmatch(line); match != nil {
		l.Broken = match[1]
	}
	if match := worthRow.FindStringSubmatch(line); match != nil {
		l.Worth = match[1]
	}
	return nil
}

func (l *Log) readEvent(match []string) error {
	var fields map[string]any
	if err := json.Unmarshal([]byte(match[3]), &fields); err != nil {
		return ErrInvalid.Wrap(err, "malformed event of %s at %s s", match[2], match[1])
	}
	number, _ := fields["event"].(float64)
	l.Lines = append(l.Lines, Line{At: seconds(match[1]), Machine: match[2], Event: int(number), fields: fields})
	return nil
}

// seconds parses a number matched by one of the expressions above.
func seconds(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("plays: matched text is not a number: " + err.Error())
	}
	return value
}

// end returns the time of the last line.
func (l *Log) end() float64 {
	if len(l.Lines) == 0 {
		return 0
	}
	return l.Lines[len(l.Lines)-1].At
}

// affects reports whether the disruption affected the machine. If the bench names only some of the
// machines, their whole classes count as affected; if it names none, the kind decides. The closing of a
// day may affect all machines although the bench names only one class.
func (d *Disruption) affects(machine string) bool {
	if d.Kind == closingKind || slices.Contains(d.Machines, machine) {
		return true
	}
	if d.Truncated {
		return slices.ContainsFunc(d.Machines, func(named string) bool { return classOf(named) == classOf(machine) })
	}
	return len(d.Machines) == 0 && affectsAll[d.Kind]
}

// closingKind is the kind of the fault at the end of a day.
const closingKind = "closing"

// affectsAll lists the kinds that affect all machines, or some that the bench does not name.
var affectsAll = map[string]bool{
	"herd_kill": true, "clock_step": true, "reset_conns": true, "hup": true, "seed_turnover": true, "lossy": true, "quiet_conns": true,
}

// exemptSpans returns the spans in which a machine is exempt from checks: those in which it was
// disrupted, each extended by the given time, and those in which the core was unstable.
func (l *Log) exemptSpans(machine string, after float64) []Span {
	spans := slices.Clone(l.Unstable)
	for position := range l.Disruptions {
		disruption := &l.Disruptions[position]
		if disruption.affects(machine) {
			spans = append(spans, Span{disruption.From, disruption.To + after})
		}
	}
	return spans
}

// longestUncovered returns the length of the longest part of the span outside the exempt spans.
func (s Span) longestUncovered(exemptions []Span) float64 {
	longest, from := 0.0, s.From
	sorted := slices.SortedFunc(slices.Values(exemptions), func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	for _, exempt := range sorted {
		if exempt.To <= from || exempt.From >= s.To {
			continue
		}
		longest = max(longest, exempt.From-from)
		from = exempt.To
	}
	return max(longest, s.To-from)
}
