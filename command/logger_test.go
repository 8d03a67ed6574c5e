package command

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/event"
)

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (w *stuckWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.written.Write(data)
}

var _ io.Writer = (*stuckWriter)(nil)

// routineEvents returns the events whose lines are the first to be dropped.
func routineEvents() []event.Event {
	var routine []event.Event
	for _, one := range event.All {
		if one.Level < zerolog.WarnLevel {
			routine = append(routine, one)
		}
	}
	return routine
}

// TestLogNeverBlocks: with a reader that has stopped reading, lines are dropped
// and counted; warnings still find room when routine lines do not.
func TestLogNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	logger, closeLog := NewProcessLogger("info", out)
	const lines = 3 * logLines
	routine := routineEvents()
	require.Less(t, lines/len(routine), linesPerEvent, "no event comes to its budget")
	for number := range lines {
		routine[number%len(routine)].On(logger).Send()
	}
	event.BackendSilent.On(logger).Str("backend", "b").Send()
	close(out.release)
	closeLog()
	text := out.written.String()
	require.Contains(t, text, event.BackendSilent.Message)
	require.Contains(t, text, event.LogLinesDropped.Message)
	written := strings.Count(text, `"level":"info"`)
	require.Less(t, written, lines)
	require.GreaterOrEqual(t, written, logLines-reservedLines)
}

// TestEventHasABudget: a frequent event uses up its lines of a second, which
// leaves those of others alone; the next second it has lines again.
func TestEventHasABudget(t *testing.T) {
	now := time.Unix(1000, 0)
	var written bytes.Buffer
	writer := &lineWriter{
		out: &written, lines: make(chan []byte, logLines), done: make(chan struct{}),
		budget: eventBudget{now: func() time.Time { return now }},
	}
	logger := newLogger("info", writer)
	writer.logger = newLogger("info", &written)
	for range 2 * linesPerEvent {
		event.RequestEnded.On(logger).Send()
	}
	event.StepSubmitted.On(logger).Send()
	require.Equal(t, uint64(linesPerEvent), writer.dropped)
	now = now.Add(time.Second)
	event.RequestEnded.On(logger).Send()
	require.Equal(t, uint64(linesPerEvent), writer.dropped)
	go writer.run()
	writer.close()
	require.Equal(t, linesPerEvent+1, strings.Count(written.String(), event.RequestEnded.Message))
	require.Equal(t, 1, strings.Count(written.String(), event.StepSubmitted.Message))
	require.Equal(t, 1, strings.Count(written.String(), event.LogLinesDropped.Message))
}

// largestWriter notes the size of its largest write.
type largestWriter struct {
	release chan struct{}
	largest int
}

func (w *largestWriter) Write(data []byte) (int, error) {
	<-w.release
	w.largest = max(w.largest, len(data))
	return len(data), nil
}

// TestWritesFitACollector: lines that wait are joined, but never into a write of
// more than 8 KiB, of which a collector may keep the beginning only.
func TestWritesFitACollector(t *testing.T) {
	out := &largestWriter{release: make(chan struct{})}
	logger, closeLog := NewProcessLogger("info", out)
	routine := routineEvents()
	for number := range logLines / 2 {
		routine[number%len(routine)].On(logger).Str("sample", strings.Repeat("x", 200)).Send()
	}
	close(out.release)
	closeLog()
	require.LessOrEqual(t, out.largest, 8<<10)
	require.Greater(t, out.largest, 4<<10, "lines are joined")
}
