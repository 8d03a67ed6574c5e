// Package pack compresses messages between dillchute's own processes and entries of
// their logs, to reduce traffic between zones.
package pack

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/dillchute/dillchute/intake"
)

const (
	// compressedMarker is the first byte of a compressed message. An uncompressed
	// message is a CBOR map, which never starts with this byte.
	compressedMarker = 0x01
	// minCompressBytes is the size from which messages are compressed.
	minCompressBytes = 512
)

// ErrCorrupt is the type of errors for messages that cannot be decompressed.
var ErrCorrupt = errorx.NewNamespace("pack").NewType("damaged")

// writers is a pool, because each writer allocates several hundred KiB of tables.
var writers = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic("pack: create writer: " + err.Error())
	}
	return writer
}}

// Pack compresses the message, which must be a CBOR map. It returns the message
// unchanged if it is short or does not get smaller.
func Pack(message []byte) []byte {
	if len(message) < minCompressBytes {
		return message
	}
	var packed bytes.Buffer
	packed.WriteByte(compressedMarker)
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

// Unpack reverses Pack. It returns an ErrCorrupt error if the data cannot be
// decompressed or decompresses to more than maxBytes.
func Unpack(packed []byte, maxBytes int) ([]byte, error) {
	if len(packed) == 0 || packed[0] != compressedMarker {
		return packed, nil
	}
	reader := flate.NewReader(bytes.NewReader(packed[1:]))
	defer reader.Close()
	message, err := io.ReadAll(io.LimitReader(reader, int64(maxBytes)+1))
	if err != nil {
		return nil, ErrCorrupt.Wrap(err, "decompress message")
	}
	if len(message) > maxBytes {
		return nil, ErrCorrupt.New("decompressed message exceeds %d bytes", maxBytes)
	}
	return message, nil
}

// Encode returns the packed CBOR encoding of the value, which must encode to a map.
func Encode(value any) []byte {
	data, err := cbor.Marshal(value)
	if err != nil {
		panic("pack: encode message: " + err.Error())
	}
	return Pack(data)
}

// Decode reverses Encode. It fails if the data unpacks to more than maxBytes, or if a text is not valid UTF-8.
func Decode(data []byte, maxBytes int, into any) error {
	unpacked, err := Unpack(data, maxBytes)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(unpacked, into)
}

// DecodeWithin is like Decode. It reserves the memory for the unpacked message and for what it decodes to before it takes
// it, and returns the reservation for the latter, which the caller must release. It fails with an intake.ErrBusy or
// intake.ErrTooLarge error if the budget has no room.
func DecodeWithin(budget *intake.Budget, data []byte, maxBytes int, into any) (*intake.Reservation, error) {
	return decodeWithin(budget, data, maxBytes, into, cbor.Unmarshal)
}

// DecodeUncheckedTextWithin is like DecodeWithin, but accepts texts that are not valid UTF-8; see DecodeUncheckedText.
func DecodeUncheckedTextWithin(budget *intake.Budget, data []byte, maxBytes int, into any) (*intake.Reservation, error) {
	return decodeWithin(budget, data, maxBytes, into, uncheckedText.Unmarshal)
}

func decodeWithin(budget *intake.Budget, data []byte, maxBytes int, into any, unmarshal func([]byte, any) error) (*intake.Reservation, error) {
	unpacked, err := unpackWithin(budget, data, maxBytes)
	if err != nil {
		return nil, err
	}
	defer unpacked.Release()
	memory := budget.NewReservation(freeMessageBytes)
	err = memory.Resize(intake.CBORMemory(unpacked.Bytes))
	if err == nil {
		err = unmarshal(unpacked.Bytes, into)
	}
	if err != nil {
		memory.Release()
		return nil, err
	}
	return memory, nil
}

// freeMessageBytes of the memory for each message need no reservation.
const freeMessageBytes = 16 << 10

// unpackWithin reverses Pack. The memory of an unpacked message is reserved; that of an uncompressed one is the caller's.
func unpackWithin(budget *intake.Budget, packed []byte, maxBytes int) (intake.Body, error) {
	if len(packed) == 0 || packed[0] != compressedMarker {
		return intake.Body{Bytes: packed}, nil
	}
	reader := flate.NewReader(bytes.NewReader(packed[1:]))
	defer reader.Close()
	unpacked, err := budget.Read(reader, -1, int64(maxBytes), freeMessageBytes)
	if err != nil && !intake.IsRefusal(err) {
		return intake.Body{}, ErrCorrupt.Wrap(err, "decompress message")
	}
	return unpacked, err
}

// uncheckedText accepts texts that are not valid UTF-8.
var uncheckedText = func() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic("pack: invalid decoder options: " + err.Error())
	}
	return mode
}()

// DecodeUncheckedText is like Decode, but accepts texts that are not valid UTF-8. The caller checks them one by one, so
// that one invalid text does not make the whole message unreadable.
func DecodeUncheckedText(data []byte, maxBytes int, into any) error {
	unpacked, err := Unpack(data, maxBytes)
	if err != nil {
		return err
	}
	return uncheckedText.Unmarshal(unpacked, into)
}
