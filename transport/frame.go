package transport

import (
	"encoding/binary"
	"io"

	"github.com/dillchute/dillchute/intake"
)

// lengthPrefixBytes is the size of the length that precedes a frame.
const lengthPrefixBytes = 4

// WriteFrame writes the data, preceded by its length.
func WriteFrame(writer io.Writer, data []byte) error {
	if _, err := writer.Write(binary.BigEndian.AppendUint32(nil, uint32(len(data)))); err != nil {
		return err
	}
	_, err := writer.Write(data)
	return err
}

// freeFrameBytes of each frame need no reservation, so that heartbeats arrive even while the budget is used up.
const freeFrameBytes = 32 << 10

// ReadFrame reads a frame written by WriteFrame, whose memory comes from the budget. It returns io.EOF if the stream ends or
// fails, an ErrMalformed error for a frame of more than maxBytes, and an intake.ErrBusy or intake.ErrTooLarge error if the
// budget has no room.
func ReadFrame(budget *intake.Budget, reader io.Reader, maxBytes uint32) (intake.Body, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return intake.Body{}, io.EOF
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > maxBytes {
		return intake.Body{}, ErrMalformed.New("message of %d bytes is too long", length)
	}
	frame, err := budget.Read(io.LimitReader(reader, int64(length)), int64(length), int64(maxBytes), freeFrameBytes)
	if intake.IsRefusal(err) {
		return intake.Body{}, err
	}
	if err != nil || len(frame.Bytes) < int(length) {
		frame.Release()
		return intake.Body{}, io.EOF
	}
	return frame, nil
}
