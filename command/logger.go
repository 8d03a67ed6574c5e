package command

import (
	"io"
	"sync"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/event"
)

// logLines bounds the lines that wait to be written.
const logLines = 4096

// NewProcessLogger returns a logger that never blocks: lines wait in a bounded
// buffer for a writer of their own. When it is full, lines are dropped and
// counted, and a line says how many. The function writes what waits.
func NewProcessLogger(level string, out io.Writer) (*zerolog.Logger, func()) {
	buffered := &lineWriter{out: out, lines: make(chan []byte, logLines), done: make(chan struct{})}
	logger := newLogger(level, buffered)
	buffered.logger = newLogger(level, out)
	go buffered.run()
	return logger, buffered.close
}

// lineWriter writes lines in the background.
type lineWriter struct {
	out    io.Writer
	logger *zerolog.Logger
	lines  chan []byte
	done   chan struct{}

	mutex   sync.Mutex
	dropped uint64
	closed  bool
}

// reservedLines of the buffer are for warnings and errors.
const reservedLines = logLines / 4

// Write queues a line of no level.
func (w *lineWriter) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or counts it as dropped. Routine lines leave the
// rest of the buffer to warnings and errors.
func (w *lineWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return len(line), nil
	}
	if level < zerolog.WarnLevel && len(w.lines) >= logLines-reservedLines {
		w.dropped++
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped++
	}
	return len(line), nil
}

func (w *lineWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		w.out.Write(w.gather(line))
		if dropped := w.takeDropped(); dropped > 0 {
			event.LinesDropped.On(w.logger).Uint("lines", dropped).Send()
		}
	}
}

// maxGathered bounds the bytes of one write.
const maxGathered = 32 << 10

// gather joins the lines that wait, so that they cost one write.
func (w *lineWriter) gather(line []byte) []byte {
	for len(line) < maxGathered {
		select {
		case next, ok := <-w.lines:
			if !ok {
				return line
			}
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}

func (w *lineWriter) takeDropped() uint64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	dropped := w.dropped
	w.dropped = 0
	return dropped
}

func (w *lineWriter) close() {
	w.mutex.Lock()
	w.closed = true
	close(w.lines)
	w.mutex.Unlock()
	<-w.done
}
