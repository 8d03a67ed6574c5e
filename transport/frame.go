package transport

import (
	"encoding/binary"
	"io"
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

// ReadFrame reads a frame written by WriteFrame. It returns io.EOF if the stream ends or fails, and an
// ErrMalformed error for a frame of more than maxBytes.
func ReadFrame(reader io.Reader, maxBytes uint32) ([]byte, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return nil, io.EOF
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > maxBytes {
		return nil, ErrMalformed.New("message of %d bytes is too long", length)
	}
	// The buffer grows with the received data, not with the claimed length.
	data, err := io.ReadAll(io.LimitReader(reader, int64(length)))
	if err != nil || len(data) < int(length) {
		return nil, io.EOF
	}
	return data, nil
}
