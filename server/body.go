package server

import (
	"bytes"
	"io"

	"github.com/joomcode/errorx"
)

const (
	// bodyShare of the memory limit may hold bodies that are being passed on.
	bodyShare = 0.3
	// defaultBodyBytes is that bound where there is no memory limit.
	defaultBodyBytes = 256 << 20
	bodyChunkBytes   = 4 << 10
)

// ErrOverloaded: the process holds as much as it may.
var ErrOverloaded = errorx.NewNamespace("gateway").NewType("overloaded")

// ReadBody reads a caller's body into memory. It fails with an ErrOverloaded error
// where all bodies together would take more than their part of the memory limit.
// The function gives the memory back.
func (g *Gateway) ReadBody(reader io.Reader) ([]byte, func(), error) {
	var body bytes.Buffer
	held := int64(0)
	release := func() { g.bodyBytes.Add(-held) }
	chunk := make([]byte, bodyChunkBytes)
	for {
		count, err := reader.Read(chunk)
		held += int64(count)
		if g.bodyBytes.Add(int64(count)) > g.bodyLimit() {
			release()
			return nil, func() {}, ErrOverloaded.New("bodies in memory: %d bytes", g.bodyBytes.Load())
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
		return defaultBodyBytes
	}
	return int64(bodyShare * float64(g.settings.MemoryLimit) * mebibyte)
}
