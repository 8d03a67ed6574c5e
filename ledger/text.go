package ledger

import (
	"hash/crc32"
	"strings"
)

// eventSeparator stands between the data of two events of a text.
const eventSeparator = "\n"

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// JoinEvents returns the text that the events make.
func JoinEvents(events []string) string { return strings.Join(events, eventSeparator) }

// ShortenText replaces the result's text by the events after those that
// checkpoints have kept, of which there must be fewer than all.
func (r *Result) ShortenText(events []string, kept uint64) {
	r.Checksum = crc32.Checksum([]byte(r.Text), checksumTable)
	r.Kept, r.Text = kept, JoinEvents(events[kept:])
}

// wholeText returns the result with its whole text. It tells whether what is
// kept is the beginning that the result was made with.
func (r Result) wholeText(kept Partial) (Result, bool) {
	if r.Kept == 0 {
		return r, true
	}
	if uint64(len(kept.Events)) < r.Kept {
		return r, false
	}
	r.Text = JoinEvents(kept.Events[:r.Kept]) + eventSeparator + r.Text
	matches := crc32.Checksum([]byte(r.Text), checksumTable) == r.Checksum
	r.Kept, r.Checksum = 0, 0
	return r, matches
}
