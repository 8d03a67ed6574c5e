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

// blockedWriter blocks writes until it is released.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (w *blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return w.written.Write(data)
}

var _ io.Writer = (*blockedWriter)(nil)

// routineEvents returns the events below the warning level.
func routineEvents() []event.Event {
	var routine []event.Event
	for _, candidate := range event.All {
		if candidate.Level < zerolog.WarnLevel {
			routine = append(routine, candidate)
		}
	}
	return routine
}

// TestLogNeverBlocks checks that lines are dropped and counted while the output
// blocks, and that warnings are still queued when routine lines are dropped.
func TestLogNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	logger, closeLog := NewProcessLogger("info", out)
	const lines = 3 * maxQueuedLines
	routine := routineEvents()
	require.Less(t, lines/len(routine), maxLinesPerEvent, "no event reaches its rate limit")
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
	require.GreaterOrEqual(t, written, maxQueuedLines-reservedLines)
}

// TestEventLinesAreRateLimited checks that each event has a limit of its own,
// which is renewed every second.
func TestEventLinesAreRateLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	var output bytes.Buffer
	writer := &lineWriter{
		out: &output, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		rateLimiter: eventRateLimiter{now: func() time.Time { return now }},
	}
	logger := newLogger("info", writer)
	writer.logger = newLogger("info", &output)
	for range 2 * maxLinesPerEvent {
		event.RequestEnded.On(logger).Send()
	}
	event.StepSubmitted.On(logger).Send()
	require.Equal(t, uint64(maxLinesPerEvent), writer.dropped)
	now = now.Add(time.Second)
	event.RequestEnded.On(logger).Send()
	require.Equal(t, uint64(maxLinesPerEvent), writer.dropped)
	go writer.run()
	writer.close()
	require.Equal(t, maxLinesPerEvent+1, strings.Count(output.String(), event.RequestEnded.Message))
	require.Equal(t, 1, strings.Count(output.String(), event.StepSubmitted.Message))
	require.Equal(t, 1, strings.Count(output.String(), event.LogLinesDropped.Message))
}

// sizeRecorder records the size of the largest write.
type sizeRecorder struct {
	release chan struct{}
	largest int
}

func (w *sizeRecorder) Write(data []byte) (int, error) {
	<-w.release
	w.largest = max(w.largest, len(data))
	return len(data), nil
}

// TestWritesFitCollectorLimit checks that queued lines are batched into writes of
// at most 8 KiB, because log collectors may truncate larger ones.
func TestWritesFitCollectorLimit(t *testing.T) {
	out := &sizeRecorder{release: make(chan struct{})}
	logger, closeLog := NewProcessLogger("info", out)
	routine := routineEvents()
	for number := range maxQueuedLines / 2 {
		routine[number%len(routine)].On(logger).Str("sample", strings.Repeat("x", 200)).Send()
	}
	close(out.release)
	closeLog()
	require.LessOrEqual(t, out.largest, 8<<10)
	require.Greater(t, out.largest, 4<<10, "lines are batched")
}
