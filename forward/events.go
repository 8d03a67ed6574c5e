package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/dillchute/dillchute/intake"
)

// MaxEventBytes is the maximum size of one event of a stream.
const MaxEventBytes = 1 << 20

// ErrTruncated is returned for a stream that ended within an event or failed.
var ErrTruncated = errors.New("stream truncated")

// Event is a server-sent event. Raw holds its bytes as received, including the terminating blank line;
// Fields are in order.
type Event struct {
	Raw    []byte
	Fields []EventField
}

// EventField is one line of an event.
type EventField struct {
	Name, Value string
}

// ID returns the event's ID, which is a positive integer, and false if it has none or a damaged one.
func (e Event) ID() (id uint64, ok bool) {
	for _, field := range e.Fields {
		if field.Name == "id" {
			id, err := strconv.ParseUint(field.Value, 10, 64)
			return id, err == nil && id > 0
		}
	}
	return 0, false
}

// EventReader splits a stream into events. The memory for an event is reserved until the next one is read.
type EventReader struct {
	reader *bufio.Reader
	memory *intake.Reservation
}

const (
	eventBufferBytes = 4 << 10
	// eventByteFactor is how often the bytes of an event are held while it is read, and eventLineMemory the memory that each of
	// its lines takes besides.
	eventByteFactor = 4
	eventLineMemory = 128
	// freeEventBytes of the memory of each event need no reservation. They cover a usual event.
	freeEventBytes = 16 << 10
)

// NewEventReader returns an EventReader for the stream, which takes the memory for events from the budget.
func NewEventReader(stream io.Reader, budget *intake.Budget) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(stream, eventBufferBytes), memory: budget.NewReservation(freeEventBytes)}
}

// Release ends the reservation for the latest event.
func (r *EventReader) Release() { r.memory.Release() }

// reserve reserves the memory of an event of the size.
func (r *EventReader) reserve(bytes, lines int) error {
	return r.memory.Resize(int64(bytes)*eventByteFactor + int64(lines)*eventLineMemory)
}

// Next returns the next complete event. It returns io.EOF if the stream ended between events, and ErrTruncated if it ended
// anywhere else or the budget has no room for the event.
func (r *EventReader) Next() (Event, error) {
	var event Event
	r.memory.Release()
	for {
		line, err := r.readLine(event)
		if err == io.EOF && len(line) == 0 && len(event.Raw) == 0 {
			return event, io.EOF
		}
		if err != nil {
			return event, ErrTruncated
		}
		event.Raw = append(event.Raw, line...)
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && len(event.Fields) > 0 {
			return event, nil
		}
		if len(text) > 0 {
			name, value, _ := bytes.Cut(text, []byte(":"))
			event.Fields = append(event.Fields, EventField{
				Name: string(name), Value: string(bytes.TrimPrefix(value, []byte(" "))),
			})
		}
	}
}

// errLineTooLong is returned for a line over the limit.
var errLineTooLong = errors.New("line too long")

// readLine returns the next line of the event with its line feed. It reads no further than MaxEventBytes of an event: a faulty
// backend may send bytes without end and without a line feed.
func (r *EventReader) readLine(event Event) ([]byte, error) {
	var line []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		size := len(event.Raw) + len(line) + len(part)
		if size > MaxEventBytes {
			return nil, errLineTooLong
		}
		if refused := r.reserve(size, len(event.Fields)+1); refused != nil {
			return nil, refused
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
