package command

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/event"
)

const (
	// logLines bounds the lines that wait to be written.
	logLines = 4096
	// linesPerEvent bounds the lines of one event in a second, so that a frequent
	// one does not hide the others.
	linesPerEvent = 500
)

// NewProcessLogger returns a logger that never blocks: lines wait in a bounded
// buffer for a writer of their own. When it is full, lines are dropped and
// counted, and a line says how many. The function writes what waits.
func NewProcessLogger(level string, out io.Writer) (*zerolog.Logger, func()) {
	buffered := &lineWriter{out: out, lines: make(chan []byte, logLines), done: make(chan struct{}), budget: eventBudget{now: time.Now}}
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
	budget  eventBudget
}

// eventBudget counts the lines of each event in the current second.
type eventBudget struct {
	now    func() time.Time
	second int64
	lines  map[string]int
}

// take tells whether one more line of the event may be written.
func (b *eventBudget) take(event string) bool {
	if second := b.now().Unix(); second != b.second || b.lines == nil {
		b.second, b.lines = second, map[string]int{}
	}
	b.lines[event]++
	return b.lines[event] <= linesPerEvent
}

// eventField begins the field that holds a line's event number.
var eventField = []byte(`"event":`)

// eventOf returns the digits of a line's event number, or "" if it has none.
func eventOf(line []byte) string {
	_, rest, found := bytes.Cut(line, eventField)
	if !found {
		return ""
	}
	end := bytes.IndexAny(rest, ",}")
	if end < 0 {
		return ""
	}
	return string(rest[:end])
}

// reservedLines of the buffer are for warnings and errors.
const reservedLines = logLines / 4

// Write queues a line of no level.
func (w *lineWriter) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or counts it as dropped. Each event has a budget of
// lines a second, and routine lines leave the rest of the buffer to warnings and
// errors.
func (w *lineWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return len(line), nil
	}
	if number := eventOf(line); number != "" && !w.budget.take(number) {
		w.dropped++
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
			event.LogLinesDropped.On(w.logger).Uint("lines", dropped).Send()
		}
	}
}

// maxGathered is the size from which a write takes no more lines. Of a larger
// write than 8 KiB, collectors were seen to keep only that much.
const maxGathered = 7 << 10

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
