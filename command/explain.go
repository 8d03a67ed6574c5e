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

// maxLineBytes bounds a log line that is read.
const maxLineBytes = 1 << 20

// explainCommand prints what the logs of several processes say of one request.
type explainCommand struct {
	ID    string   `arg:"" help:"ID of a request, a step, a sample, a backend or a store."`
	Files []string `arg:"" help:"Log files, each of one process." type:"existingfile"`
}

// logLine is one line of a process's log.
type logLine struct {
	process string
	at      int64
	message string
	level   string
	number  int64
	fields  map[string]any
}

// Run prints the lines that name the ID, of all files in the order of their time.
func (c explainCommand) Run(streams Streams) error {
	var lines []logLine
	for _, path := range c.Files {
		file, err := os.Open(path)
		if err != nil {
			return ErrFailed.Wrap(err, "open a log")
		}
		found, err := linesOf(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), c.ID)
		file.Close()
		if err != nil {
			return ErrFailed.Wrap(err, "read %s", path)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return ErrFailed.New("no line of %d files names %q", len(c.Files), c.ID)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return int(a.at - b.at) })
	for _, line := range lines {
		line.print(streams.Out, lines[0].at)
	}
	return nil
}

// linesOf returns the lines that name the ID. Whatever is not a line of this
// program's log is passed over.
func linesOf(reader io.Reader, process, id string) ([]logLine, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	var lines []logLine
	for scanner.Scan() {
		if !strings.Contains(scanner.Text(), id) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes(), &fields) != nil || !names(fields, id) {
			continue
		}
		lines = append(lines, newLogLine(process, fields))
	}
	return lines, scanner.Err()
}

// names tells whether a field's value is the ID.
func names(fields map[string]any, id string) bool {
	for _, value := range fields {
		if value == id {
			return true
		}
	}
	return false
}

func newLogLine(process string, fields map[string]any) logLine {
	line := logLine{process: process, fields: fields}
	at, _ := fields["time"].(float64)
	number, _ := fields["event"].(float64)
	line.at, line.number = int64(at), int64(number)
	line.message, _ = fields["message"].(string)
	line.level, _ = fields["level"].(string)
	for _, shown := range []string{"time", "event", "message", "level"} {
		delete(fields, shown)
	}
	return line
}

// print writes the line with its time and the time since the first one.
func (l logLine) print(out io.Writer, first int64) {
	fmt.Fprintf(out, "%s  +%d ms  %s  %s %d  %s", time.UnixMilli(l.at).UTC().Format("15:04:05.000"), l.at-first,
		l.process, l.level, l.number, l.message)
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		fmt.Fprintf(out, "  %s=%v", name, l.fields[name])
	}
	fmt.Fprintln(out)
}
