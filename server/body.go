package server

import (
	"bytes"
	"io"

	"github.com/joomcode/errorx"
)

const (
	// bodyMemoryFraction is the fraction of the memory limit for the bodies of requests in flight.
	bodyMemoryFraction = 0.3
	// defaultBodyLimit bounds the total size of the bodies if there is no memory limit.
	defaultBodyLimit = 256 << 20
	bodyChunkBytes   = 4 << 10
)

// ErrOverloaded is the error for a body that exceeds the memory limit for bodies.
var ErrOverloaded = errorx.NewNamespace("gateway").NewType("overloaded")

// ReadBody reads a request body into memory. It fails with ErrOverloaded if all bodies together
// would exceed the memory limit for bodies. The returned function releases the reserved memory.
func (g *Gateway) ReadBody(reader io.Reader) ([]byte, func(), error) {
	var body bytes.Buffer
	reserved := int64(0)
	release := func() { g.bodyBytes.Add(-reserved) }
	chunk := make([]byte, bodyChunkBytes)
	for {
		count, err := reader.Read(chunk)
		reserved += int64(count)
		if g.bodyBytes.Add(int64(count)) > g.bodyLimit() {
			release()
			return nil, func() {}, ErrOverloaded.New("not enough memory for the request body: %d bytes are used by other bodies", g.bodyBytes.Load())
		}
		body.Write(chunk[:count])
		if err == io.EOF {
			return body.Bytes(), release, nil
		}
		if err != nil {
			release()
			return nil, func() {}, err
		}
	}
}

func (g *Gateway) bodyLimit() int64 {
	if g.settings.MemoryLimit == 0 {
		return defaultBodyLimit
	}
	return int64(bodyMemoryFraction * float64(g.settings.MemoryLimit) * mebibyte)
}
