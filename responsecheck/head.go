package responsecheck

import (
	"bytes"
	"net/http"
)

// head is what the head of a response states about where the response ends.
type head struct {
	minorVersion byte
	status       int
	// lengths and codings count the fields Content-Length and Transfer-Encoding. length and isChunked are what they state.
	lengths, codings int
	length           int64
	isChunked        bool
}

// addField adds what a field states, and returns false if that is invalid.
func (h *head) addField(name, value []byte) bool {
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.lengths++
		length, ok := parseDigits(value)
		h.length = length
		return ok && h.lengths == 1
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.codings++
		// No request asks for another coding, and HTTP/1.0 has none.
		h.isChunked = bytes.EqualFold(value, []byte("chunked")) && h.minorVersion != '0'
		return h.isChunked && h.codings == 1
	}
	return true
}

// isInterim reports whether another response to the same request follows.
func (h *head) isInterim() bool { return h.status < http.StatusOK }

// extent is how the end of a response's body is found.
type extent int

const (
	// extentNone: there is no body.
	extentNone extent = iota
	// extentLength: the body has the stated length.
	extentLength
	// extentChunked: the body ends with its last chunk.
	extentChunked
	// extentConnection: the body ends with the connection.
	extentConnection
)

// extent returns how the end of the body is found in the response to a request with the method, and false if the fields
// contradict the status or each other (RFC 9112, section 6.3).
func (h *head) extent(method string) (extent, bool) {
	if h.lengths > 0 && h.codings > 0 {
		return extentNone, false
	}
	switch {
	case h.isInterim():
		return extentNone, h.lengths+h.codings == 0
	case h.status == http.StatusNoContent:
		return extentNone, h.codings == 0 && h.length == 0
	case h.status == http.StatusNotModified || method == http.MethodHead:
		return extentNone, true
	case h.isChunked:
		return extentChunked, true
	case h.lengths == 0:
		return extentConnection, true
	case h.length == 0:
		return extentNone, true
	}
	return extentLength, true
}
