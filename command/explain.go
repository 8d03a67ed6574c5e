package command

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// explainCommand prints the log lines of several processes about one ID.
type explainCommand struct {
	ID    string   `arg:"" help:"ID of a request, a step, a sample, a backend or a store."`
	Files []string `arg:"" help:"Log files, each of one process." type:"existingfile"`
}

// logLine is a parsed line of a process's log.
type logLine struct {
	process    string
	unixMillis int64
	message    string
	level      string
	event      int64
	fields     map[string]any
}

// Run prints the lines of all files that contain the ID, sorted by time.
func (c explainCommand) Run(streams Streams) error {
	var lines []logLine
	for _, path := range c.Files {
		file, err := os.Open(path)
		if err != nil {
			return ErrFailed.Wrap(err, "open log file")
		}
		matches, err := matchingLines(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), c.ID)
		file.Close()
		if err != nil {
			return ErrFailed.Wrap(err, "read %s", path)
		}
		lines = append(lines, matches...)
	}
	if len(lines) == 0 {
		return ErrFailed.New("no log line in %d files contains the ID %q", len(c.Files), c.ID)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return int(a.unixMillis - b.unixMillis) })
	for _, line := range lines {
		line.print(streams.Out, lines[0].unixMillis)
	}
	return nil
}

// matchingLines returns the log lines with a field that equals the ID. Lines
// that are not JSON objects are skipped.
func matchingLines(reader io.Reader, process, id string) ([]logLine, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	var lines []logLine
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), id) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes(), &fields) != nil || !hasValue(fields, id) {
			continue
		}
		lines = append(lines, newLogLine(process, fields))
	}
	return lines, scanner.Err()
}

// hasValue reports whether a field's value equals the ID.
func hasValue(fields map[string]any, id string) bool {
	for _, value := range fields {
		if value == id {
			return true
		}
	}
	return false
}

func newLogLine(process string, fields map[string]any) logLine {
	line := logLine{process: process, fields: fields}
	timestamp, _ := fields["time"].(float64)
	event, _ := fields["event"].(float64)
	line.unixMillis, line.event = int64(timestamp), int64(event)
	line.message, _ = fields["message"].(string)
	line.level, _ = fields["level"].(string)
	for _, key := range []string{"time", "event", "message", "level"} {
		delete(fields, key)
	}
	return line
}

// print writes the line with its time and the time since the first line.
func (l logLine) print(out io.Writer, firstMillis int64) {
	fmt.Fprintf(out, "%s  +%d ms  %s  %s %d  %s", time.UnixMilli(l.unixMillis).UTC().Format("15:04:05.000"), l.unixMillis-firstMillis,
		l.process, l.level, l.event, l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		fmt.Fprintf(out, "  %s=%v", name, l.fields[name])
	}
	fmt.Fprintln(out)
}
