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
	// maxQueuedLines bounds the lines that wait to be written.
	maxQueuedLines = 4096
	// maxLinesPerEvent bounds the lines of one event per second, so that a frequent
	// event does not displace others.
	maxLinesPerEvent = 500
)

// NewProcessLogger returns a logger that never blocks. Lines are queued in a
// bounded buffer and written in the background. If the buffer is full, lines are
// dropped, and their number is logged. The returned function writes the queued
// lines and closes the logger.
func NewProcessLogger(level string, out io.Writer) (*zerolog.Logger, func()) {
	writer := &lineWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), rateLimiter: eventRateLimiter{now: time.Now}}
	logger := newLogger(level, writer)
	writer.logger = newLogger(level, out)
	go writer.run()
	return logger, writer.close
}

// lineWriter queues lines and writes them in the background.
type lineWriter struct {
	out    io.Writer
	logger *zerolog.Logger
	lines  chan []byte
	done   chan struct{}

	mutex       sync.Mutex
	dropped     uint64
	closed      bool
	rateLimiter eventRateLimiter
}

// eventRateLimiter limits the lines of each event per second.
type eventRateLimiter struct {
	now    func() time.Time
	second int64
	counts map[string]int
}

// allow counts a line of the event and reports whether it may be written.
func (r *eventRateLimiter) allow(event string) bool {
	if second := r.now().Unix(); second != r.second || r.counts == nil {
		r.second, r.counts = second, map[string]int{}
	}
	r.counts[event]++
	return r.counts[event] <= maxLinesPerEvent
}

// eventField is the JSON key of a line's event number.
var eventField = []byte(`"event":`)

// eventNumber returns the digits of a line's event number, or "" if it has none.
func eventNumber(line []byte) string {
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

// reservedLines is the part of the buffer that is reserved for warnings and errors.
const reservedLines = maxQueuedLines / 4

// Write queues a line without a level.
func (w *lineWriter) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or drops and counts it if its event is over its rate
// limit or the buffer is full. Lines below the warning level cannot use the
// reserved part of the buffer.
func (w *lineWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.closed {
		return len(line), nil
	}
	if number := eventNumber(line); number != "" && !w.rateLimiter.allow(number) {
		w.dropped++
		return len(line), nil
	}
	if level < zerolog.WarnLevel && len(w.lines) >= maxQueuedLines-reservedLines {
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
		w.out.Write(w.batch(line))
		if dropped := w.resetDropped(); dropped > 0 {
			event.LogLinesDropped.On(w.logger).Uint("lines", dropped).Send()
		}
	}
}

// maxBatchBytes is the size from which no more lines are added to a write. Log
// collectors may truncate writes larger than 8 KiB.
const maxBatchBytes = 7 << 10

// batch appends queued lines to the line, so that they take one write.
func (w *lineWriter) batch(line []byte) []byte {
	for len(line) < maxBatchBytes {
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

func (w *lineWriter) resetDropped() uint64 {
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
