package intake

import (
	"bytes"
	"encoding/binary"
)

// Upper bounds for the memory that one part of an encoded message takes once it is decoded into typed values.
const (
	// cborStructMemory is that of a data item in CBOR that may decode to a struct: an array, a map or null.
	// cborValueMemory is that of any other item.
	cborStructMemory = 256
	cborValueMemory  = 32
	// jsonObjectMemory is that of an object, an array or null in JSON, jsonElementMemory that of an element, and jsonFieldMemory that
	// of a field.
	jsonObjectMemory  = 512
	jsonElementMemory = 64
	jsonFieldMemory   = 96
	// jsonTextFactor is how often the texts are held while they are decoded.
	jsonTextFactor = 2
)

// headLineMemory is the memory that a line of the head of a request or a response may take when it is decoded and copied, and
// headByteFactor that of each of its bytes.
const (
	headLineMemory = 256
	headByteFactor = 4
)

// HeadMemory returns an upper bound for the memory that the head of a request or a response of the size takes.
func HeadMemory(bytes, lines int) int64 {
	return int64(bytes)*headByteFactor + int64(lines)*headLineMemory
}

// CBORMemory returns an upper bound for the memory that a message in CBOR takes when it is decoded. The message may be
// malformed.
func CBORMemory(data []byte) int64 {
	memory := int64(len(data))
	for position := 0; position < len(data); {
		major, argument, size := readCBORHead(data[position:])
		position += size
		switch major {
		case cborArray, cborMap, cborSimple:
			memory += cborStructMemory
		case cborBytes, cborText:
			memory += cborValueMemory
			position += int(min(argument, uint64(len(data)-position)))
		default:
			memory += cborValueMemory
		}
	}
	return memory
}

// Major types of data items in CBOR (RFC 8949, section 3.1).
const (
	cborBytes  = 2
	cborText   = 3
	cborArray  = 4
	cborMap    = 5
	cborSimple = 7
)

// readCBORHead returns the major type, the argument and the size of the head of a data item (RFC 8949, section 3). The
// argument of an item without one is 0.
func readCBORHead(data []byte) (major byte, argument uint64, size int) {
	const (
		majorShift  = 5
		shortMask   = 1<<majorShift - 1
		oneByte     = 24
		eightBytes  = 27
		longestHead = 9
	)
	major, short := data[0]>>majorShift, data[0]&shortMask
	if short < oneByte {
		return major, uint64(short), 1
	}
	if short > eightBytes {
		return major, 0, 1
	}
	length := 1 << (short - oneByte)
	if len(data) < 1+length {
		return major, 0, len(data)
	}
	var padded [longestHead - 1]byte
	copy(padded[len(padded)-length:], data[1:1+length])
	return major, binary.BigEndian.Uint64(padded[:]), 1 + length
}

// JSONMemory returns an upper bound for the memory that a message in JSON takes when it is decoded. The message may be
// malformed. Signs in texts count as well.
func JSONMemory(data []byte) int64 {
	count := func(sign string) int64 { return int64(bytes.Count(data, []byte(sign))) }
	return jsonTextFactor*int64(len(data)) + (count("{")+count("[")+count("null"))*jsonObjectMemory + count(",")*jsonElementMemory + count(":")*jsonFieldMemory
}
