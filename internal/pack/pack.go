// Package pack makes messages between dillchute's own processes, and entries of
// their logs, smaller: the texts of samples are a third shorter deflated, and
// bytes between zones are dear.
package pack

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"
)

const (
	// deflated is the first byte of a packed message. A message that is not packed
	// is a CBOR map, which begins with another byte.
	deflated = 0x01
	// leastBytes is the size from which a message is packed.
	leastBytes = 512
)

// ErrDamaged: a packed message cannot be read.
var ErrDamaged = errorx.NewNamespace("pack").NewType("damaged")

// writers are kept, since each has tables of several hundred KiB.
var writers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("pack: the level must be known: " + err.Error())
	}
	return writer
}}

// Pack returns the message packed, or as it is where that is no larger. The
// message must be a CBOR map.
func Pack(message []byte) []byte {
	if len(message) < leastBytes {
		return message
	}
	var packed bytes.Buffer
	packed.WriteByte(deflated)
	writer := writers.Get().(*flate.Writer)
	defer writers.Put(writer)
	writer.Reset(&packed)
	// Writes to a buffer do not fail.
	writer.Write(message)
	writer.Close()
	if packed.Len() >= len(message) {
		return message
	}
	return packed.Bytes()
}

// Unpack returns the message that Pack was given. It fails with ErrDamaged if
// there is none, or if it has more than the most bytes.
func Unpack(packed []byte, most int) ([]byte, error) {
	if len(packed) == 0 || packed[0] != deflated {
		return packed, nil
	}
	reader := flate.NewReader(bytes.NewReader(packed[1:]))
	defer reader.Close()
	message, err := io.ReadAll(io.LimitReader(reader, int64(most)+1))
	if err != nil {
		return nil, ErrDamaged.Wrap(err, "inflate a message")
	}
	if len(message) > most {
		return nil, ErrDamaged.New("a message has more than %d bytes", most)
	}
	return message, nil
}

// Encode returns the value in CBOR, packed. The value must encode to a map.
func Encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic("pack: an internal message must encode: " + err.Error())
	}
	return Pack(data)
}

// Decode reads what Encode returned, of the most bytes unpacked.
func Decode(data []byte, most int, into any) error {
	unpacked, err := Unpack(data, most)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(unpacked, into)
}
