package ledger

import (
	"hash/crc32"
	"strings"
)

// eventSeparator separates the data of events in a text.
const eventSeparator = "\n"

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

// JoinEvents joins the data of events to a text.
func JoinEvents(events []string) string { return strings.Join(events, eventSeparator) }

// ShortenText removes the first kept events from the result's text, since checkpoints hold them.
// At least one event must remain.
func (r *Result) ShortenText(events []string, kept uint64) {
	r.Checksum = crc32.Checksum([]byte(r.Text), crc32cTable)
	r.Kept, r.Text = kept, JoinEvents(events[kept:])
}

// restoreText returns the result with its complete text, which begins with events of the checkpoint.
// It returns false if the checkpoint is too short or the checksum does not match.
func (r Result) restoreText(partial Partial) (Result, bool) {
	if r.Kept == 0 {
		return r, true
	}
	if uint64(len(partial.Events)) < r.Kept {
		return r, false
	}
	r.Text = JoinEvents(partial.Events[:r.Kept]) + eventSeparator + r.Text
	matches := crc32.Checksum([]byte(r.Text), crc32cTable) == r.Checksum
	r.Kept, r.Checksum = 0, 0
	return r, matches
}
