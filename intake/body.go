package intake

import (
	"errors"
	"io"
	"math"
	"net/http"
	"time"
)

const (
	// freeBodyBytes of each body, and of what it decodes to, need no reservation. They cover a usual heartbeat.
	freeBodyBytes = 16 << 10
	// firstReadBytes is the size of the buffer for the first part of a body.
	firstReadBytes = 4 << 10
)

// Body is the content of a request or a response, whose memory is reserved until it is released.
type Body struct {
	Bytes []byte
	// Memory is the reservation. Its holder may resize it to what else it derives from the bytes.
	Memory *Reservation
}

// Release ends the reservation. It may be called repeatedly, and on the zero value.
func (b Body) Release() { b.Memory.Release() }

// NoTimeout is the timeout of a body whose reading has no bound besides the limits of the client.
const NoTimeout time.Duration = math.MaxInt64

// ReadRequest reads the whole body of a request of at most maxBytes, which must arrive within the timeout. It fails with
// ErrTooLarge, ErrBusy or ErrTimeout, or with the error of the connection.
func (i *Intake) ReadRequest(request *http.Request, maxBytes int64, timeout time.Duration) (Body, error) {
	if timed, ok := request.Body.(*timedBody); ok && timeout != NoTimeout {
		timed.deadline = time.Now().Add(timeout)
	}
	if request.ContentLength > maxBytes {
		return Body{}, ErrTooLarge.New("a body of %d bytes exceeds the limit of %d bytes", request.ContentLength, maxBytes)
	}
	return i.Memory.Read(request.Body, request.ContentLength, maxBytes, freeBodyBytes)
}

// Read reads at most maxBytes to the end of the reader. The length is that which the sender states, or negative if it states
// none. The first free bytes need no reservation. Read fails with ErrTooLarge, ErrBusy, or the reader's error.
//
// The buffer grows with what has arrived, since the sender may state any length. What was reserved is its capacity, and
// while it grows that of both buffers: a body takes half as much again for a moment.
func (b *Budget) Read(reader io.Reader, length, maxBytes, free int64) (Body, error) {
	memory := b.NewReservation(free)
	data := make([]byte, 0, firstReadBytes)
	for {
		count, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		if int64(len(data)) > maxBytes {
			memory.Release()
			return Body{}, ErrTooLarge.New("a body exceeds the limit of %d bytes", maxBytes)
		}
		if errors.Is(err, io.EOF) {
			return Body{Bytes: data, Memory: memory}, nil
		}
		if err == nil && len(data) == cap(data) {
			data, err = grow(data, memory, length, maxBytes)
		}
		if err != nil {
			memory.Release()
			return Body{}, err
		}
	}
}

// grow returns the data in a larger buffer.
func grow(data []byte, memory *Reservation, length, maxBytes int64) ([]byte, error) {
	current := int64(cap(data))
	capacity := min(2*current, maxBytes+1)
	if length > current {
		// One byte more, so that the end is noticed without growing again.
		capacity = min(capacity, length+1)
	}
	if err := memory.Resize(current + capacity); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, capacity), data...)
	return grown, memory.Resize(capacity)
}
