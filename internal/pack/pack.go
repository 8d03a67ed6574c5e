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
