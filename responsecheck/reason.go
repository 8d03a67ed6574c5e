package responsecheck

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("responsecheck")
	// ErrInvalid is the type of errors for bytes that are no valid response. Nothing in them counts.
	ErrInvalid = namespace.NewType("invalid")
	// reasonProperty holds the Reason of an ErrInvalid error.
	reasonProperty = errorx.RegisterPrintableProperty("reason")
)

// Reason is why bytes are no valid response.
type Reason string

// The reasons. The sections in parentheses are those of RFC 9112.
const (
	// ReasonStatusLine: the first line is no status line (4).
	ReasonStatusLine Reason = "status_line"
	// ReasonField: a line of a head or of a trailer is no field (5).
	ReasonField Reason = "field"
	// ReasonLineBreak: a line does not end with CR LF, or holds another CR (2.2).
	ReasonLineBreak Reason = "line_break"
	// ReasonFraming: the fields that state where the response ends are invalid or contradict each other (6.3).
	ReasonFraming Reason = "framing"
	// ReasonChunk: a chunk of the body is invalid (7.1).
	ReasonChunk Reason = "chunk"
	// ReasonSurplus: bytes follow the end of the response, or come where none is due (9.2).
	ReasonSurplus Reason = "surplus"
	// ReasonTooLarge: a head, or a line, exceeds its limit, or the budget of memory has no room for it.
	ReasonTooLarge Reason = "too_large"
)

// invalid returns an ErrInvalid error with the reason.
func invalid(reason Reason) *errorx.Error {
	return ErrInvalid.New("the response is invalid").WithProperty(reasonProperty, reason)
}

// ReasonOf returns the reason of an ErrInvalid error, and false for any other error. Errors of package net/http that wrap
// one have its reason.
func ReasonOf(err error) (Reason, bool) {
	for err != nil {
		if typed := errorx.Cast(err); typed != nil {
			reason, ok := typed.Property(reasonProperty)
			if !ok {
				return "", false
			}
			return reason.(Reason), true
		}
		wrapping, ok := err.(interface{ Unwrap() error })
		if !ok {
			return "", false
		}
		err = wrapping.Unwrap()
	}
	return "", false
}
