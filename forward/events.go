package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxEventBytes bounds one event of a stream.
const MaxEventBytes = 1 << 20

// ErrCut: a stream ended in the middle of an event, or broke off.
var ErrCut = errors.New("the stream was cut")

// Event is one server-sent event: its bytes as they came, with the blank line
// that ends it, and its fields in order.
type Event struct {
	Raw    []byte
	Fields []EventField
}

// EventField is one line of an event.
type EventField struct {
	Name, Value string
}

// ID returns the event's id, or "".
func (e Event) ID() string {
	for _, field := range e.Fields {
		if field.Name == "id" {
			return field.Value
		}
	}
	return ""
}

// EventReader reads a stream event by event.
type EventReader struct {
	reader *bufio.Reader
}

const eventBufferBytes = 4 << 10

// NewEventReader returns a reader of the stream.
func NewEventReader(stream io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(stream, eventBufferBytes)}
}

// Next returns the next whole event. It returns io.EOF if the stream ended
// between events, and ErrCut if it ended anywhere else.
func (r *EventReader) Next() (Event, error) {
	var event Event
	for {
		line, err := r.reader.ReadBytes('\n')
		if err == io.EOF && len(line) == 0 && len(event.Raw) == 0 {
			return event, io.EOF
		}
		if err != nil || len(event.Raw)+len(line) > MaxEventBytes {
			return event, ErrCut
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
