package responsecheck

import (
	"bytes"
	"net/http"
	"strconv"
)

// The functions of this file implement the grammar of RFC 9110 and RFC 9112 for single lines without their line breaks.

const (
	firstVisible = '!'
	lastVisible  = '~'
	del          = 0x7f
)

// nameSigns are the signs besides letters and digits that a field's name may hold.
const nameSigns = "!#$%&'*+-.^_`|~"

// isNameByte reports whether a field's name may hold the byte (RFC 9110, section 5.6.2).
func isNameByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', isDigit(b):
		return true
	}
	return bytes.IndexByte([]byte(nameSigns), b) >= 0
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isText reports whether the bytes may be a field's value or a reason phrase: no control bytes besides tabs (RFC 9110,
// section 5.5).
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == del {
			return false
		}
	}
	return true
}

// parseField returns the name and the value of a field's line, and false if it is none. A line that continues the one before
// it, which RFC 9112 calls obsolete, is none.
func parseField(line []byte) (name, value []byte, ok bool) {
	name, value, ok = bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || !isText(value) {
		return nil, nil, false
	}
	for _, b := range name {
		if !isNameByte(b) {
			return nil, nil, false
		}
	}
	return name, bytes.Trim(value, " \t"), true
}

const (
	versionPrefix   = "HTTP/1."
	statusDigits    = 3
	statusStart     = len(versionPrefix) + len("1 ")
	statusLineStart = statusStart + statusDigits + len(" ")
	// minStatus and maxStatus bound the statuses (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

// parseStatusLine returns the minor version of HTTP/1 and the status in a status line, and false if it is none.
func parseStatusLine(line []byte) (minor byte, status int, ok bool) {
	if len(line) < statusLineStart || !bytes.HasPrefix(line, []byte(versionPrefix)) || !isText(line[statusLineStart:]) {
		return 0, 0, false
	}
	minor = line[len(versionPrefix)]
	if minor != '0' && minor != '1' || line[statusStart-1] != ' ' || line[statusLineStart-1] != ' ' {
		return 0, 0, false
	}
	number, ok := parseDigits(line[statusStart : statusStart+statusDigits])
	status = int(number)
	return minor, status, ok && status >= minStatus && status <= maxStatus && status != http.StatusSwitchingProtocols
}

// parseDigits returns the number that the text states, and false unless it consists of decimal digits and fits 63 bits.
func parseDigits(text []byte) (int64, bool) {
	for _, b := range text {
		if !isDigit(b) {
			return 0, false
		}
	}
	number, err := strconv.ParseInt(string(text), 10, 64)
	return number, err == nil
}

// maxSizeDigits bounds the digits of a chunk's size, which fits 63 bits.
const maxSizeDigits = 15

// parseChunkSize returns the size in the first line of a chunk, and false if the line is none. Extensions may follow
// (RFC 9112, section 7.1), but no blank before them.
func parseChunkSize(line []byte) (int64, bool) {
	digits, extensions, _ := bytes.Cut(line, []byte(";"))
	if len(digits) == 0 || len(digits) > maxSizeDigits || !isText(extensions) {
		return 0, false
	}
	for _, b := range digits {
		if !isDigit(b) && (b|0x20 < 'a' || b|0x20 > 'f') {
			return 0, false
		}
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	return size, err == nil
}
