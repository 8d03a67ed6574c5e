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
	require.Contains(t, text, event.BackendSilent.Text)
	require.Contains(t, text, event.LinesDropped.Text)
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
	event.StepTaken.On(logger).Send()
	require.Equal(t, uint64(linesPerEvent), writer.dropped)
	now = now.Add(time.Second)
	event.RequestEnded.On(logger).Send()
	require.Equal(t, uint64(linesPerEvent), writer.dropped)
	go writer.run()
	writer.close()
	require.Equal(t, linesPerEvent+1, strings.Count(written.String(), event.RequestEnded.Text))
	require.Equal(t, 1, strings.Count(written.String(), event.StepTaken.Text))
	require.Equal(t, 1, strings.Count(written.String(), event.LinesDropped.Text))
}
