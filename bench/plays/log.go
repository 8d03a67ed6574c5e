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

// Line is one event that a machine of the product has logged.
type Line struct {
	// At is the second of the day; before 0 there is no traffic yet.
	At      float64
	Machine string
	Event   int
	fields  map[string]any
}

// number returns a field's number, 0 if there is none.
func (l *Line) number(field string) float64 {
	value, _ := l.fields[field].(float64)
	return value
}

func (l *Line) text(field string) string {
	value, _ := l.fields[field].(string)
	return value
}

func (l *Line) has(field string) bool { _, ok := l.fields[field]; return ok }

// class returns the class of the line's machine. The platform names machines by
// their class, zone and number.
func (l *Line) class() string { return classOf(l.Machine) }

func classOf(machine string) string {
	class, _, _ := strings.Cut(machine, "-")
	return class
}

// Span is a stretch of the day, in seconds.
type Span struct{ From, To float64 }

// Disruption is a row of what the bench did.
type Disruption struct {
	Span
	Kind string
	// Machines are those struck, as far as the bench names them.
	Machines []string
	// Further: it struck more machines than it names.
	Further bool
}

// Log is what a play has left.
type Log struct {
	// Lines are the product's events in the order of their time.
	Lines []Line
	// Disruptions are what the bench did, planned work included.
	Disruptions []Disruption
	// Unstable are the spans in which the core was not stable, by the bench's words.
	Unstable []Span
	// Broken are the rules that the bench saw broken, with their numbers.
	Broken string
	// Worth is what the day was worth, as the bench prints it; empty if it gave no result.
	Worth string
}

var (
	loggedLine  = regexp.MustCompile(`^\s*(-?\d+\.\d+) (\S+) (\{.*\})\s*$`)
	happenedRow = regexp.MustCompile(`^\s*(-?\d+(?:\.\d+)?) s to\s+(-?\d+(?:\.\d+)?) s\s+(\S+)\s*(.*)$`)
	unstableRow = regexp.MustCompile(`^the core was not stable: (.*)$`)
	brokenRow   = regexp.MustCompile(`^rules broken: (.*)$`)
	worthRow    = regexp.MustCompile(`^worth (-?\d+\.\d+) = `)
	unstableOne = regexp.MustCompile(`(-?\d+\.\d+) to (-?\d+\.\d+)`)
	machineName = regexp.MustCompile(`\b[a-z]+-[a-z0-9-]*-\d+\b`)
	furtherMore = regexp.MustCompile(`\band \d+ more\b`)
)

// maxLine bounds a line of the bench's output.
const maxLine = 4 << 20

// ReadLog reads what the bench printed of a play with all machines' logs.
func ReadLog(output io.Reader) (*Log, error) {
	log := &Log{}
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if err := log.read(lines.Text()); err != nil {
			return nil, err
		}
	}
	if err := lines.Err(); err != nil {
		return nil, ErrInvalid.Wrap(err, "read the log of a play")
	}
	slices.SortStableFunc(log.Lines, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	return log, nil
}

func (l *Log) read(line string) error {
	if match := loggedLine.FindStringSubmatch(line); match != nil {
		return l.readEvent(match)
	}
	if match := happenedRow.FindStringSubmatch(line); match != nil {
		l.Disruptions = append(l.Disruptions, Disruption{
			Span: Span{seconds(match[1]), seconds(match[2])}, Kind: match[3],
			Machines: machineName.FindAllString(match[4], -1), Further: furtherMore.MatchString(match[4]),
		})
	}
	if match := unstableRow.FindStringSubmatch(line); match != nil {
		for _, one := range unstableOne.FindAllStringSubmatch(match[1], -1) {
			l.Unstable = append(l.Unstable, Span{seconds(one[1]), seconds(one[2])})
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
		return ErrInvalid.Wrap(err, "a line of %s at %s s is no event", match[2], match[1])
	}
	number, _ := fields["event"].(float64)
	l.Lines = append(l.Lines, Line{At: seconds(match[1]), Machine: match[2], Event: int(number), fields: fields})
	return nil
}

// seconds reads a number that one of the expressions above has matched.
func seconds(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic("plays: an expression matches what is no number: " + err.Error())
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

// strikes tells whether the disruption struck the machine. Where the bench names
// only some of the machines, all of their classes count as struck; where it names
// none, a loss of power or of processes counts for all. The end of a day may strike
// all machines, and the bench then names those of one class.
func (d *Disruption) strikes(machine string) bool {
	if d.Kind == closingKind || slices.Contains(d.Machines, machine) {
		return true
	}
	if d.Further {
		return slices.ContainsFunc(d.Machines, func(named string) bool { return classOf(named) == classOf(machine) })
	}
	return len(d.Machines) == 0 && strikesAll[d.Kind]
}

// closingKind is the bench's word for the fault at a day's end.
const closingKind = "closing"

// strikesAll are the kinds that strike all machines, or some that the bench does
// not name.
var strikesAll = map[string]bool{
	"herd_kill": true, "clock_step": true, "reset_conns": true, "hup": true, "seed_turnover": true, "lossy": true, "quiet_conns": true,
}

// excused returns the spans for which a machine is not judged: those in which it
// was struck, each until the given time after its end, and those in which the
// core was not stable.
func (l *Log) excused(machine string, after float64) []Span {
	spans := slices.Clone(l.Unstable)
	for position := range l.Disruptions {
		one := &l.Disruptions[position]
		if one.strikes(machine) {
			spans = append(spans, Span{one.From, one.To + after})
		}
	}
	return spans
}

// longest returns the longest stretch of the span that none of the excused ones
// covers.
func (s Span) longest(excused []Span) float64 {
	longest, from := 0.0, s.From
	sorted := slices.SortedFunc(slices.Values(excused), func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	for _, one := range sorted {
		if one.To <= from || one.From >= s.To {
			continue
		}
		longest = max(longest, one.From-from)
		from = one.To
	}
	return max(longest, s.To-from)
}
