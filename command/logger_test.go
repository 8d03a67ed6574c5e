package command

import (
	"bytes"
	"io"
	"strings"
	"testing"

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

// TestLogNeverBlocks: with a reader that has stopped reading, lines are dropped
// and counted; warnings still find room when routine lines do not.
func TestLogNeverBlocks(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	logger, closeLog := NewProcessLogger("info", out)
	const lines = 3 * logLines
	for range lines {
		event.RequestEnded.On(logger).Send()
	}
	event.BackendSilent.On(logger).Str("backend", "b").Send()
	close(out.release)
	closeLog()
	text := out.written.String()
	require.Contains(t, text, event.BackendSilent.Text)
	require.Contains(t, text, event.LinesDropped.Text)
	require.Less(t, strings.Count(text, event.RequestEnded.Text), lines)
	require.GreaterOrEqual(t, strings.Count(text, event.RequestEnded.Text), logLines-reservedLines)
}
