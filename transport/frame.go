package transport

import (
	"encoding/binary"
	"io"
)

// lengthSize is the number of bytes of a frame's length, which stands before it.
const lengthSize = 4

// WriteFrame writes the bytes with their length before them.
func WriteFrame(writer io.Writer, data []byte) error {
	if _, err := writer.Write(binary.BigEndian.AppendUint32(nil, uint32(len(data)))); err != nil {
		return err
	}
	_, err := writer.Write(data)
	return err
}

// ReadFrame reads what WriteFrame wrote. It returns io.EOF where the stream ends or
// breaks off, and an ErrMalformed error for a frame of more than the most bytes.
func ReadFrame(reader io.Reader, most uint32) ([]byte, error) {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return nil, io.EOF
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length > most {
		return nil, ErrMalformed.New("a message of %d bytes", length)
	}
	// The buffer grows with what arrives, not with what the prefix claims.
	data, err := io.ReadAll(io.LimitReader(reader, int64(length)))
	if err != nil || len(data) < int(length) {
		return nil, io.EOF
	}
	return data, nil
}
