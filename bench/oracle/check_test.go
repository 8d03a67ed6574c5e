package oracle

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dillchute/dillchute/bench/model"
	"github.com/dillchute/dillchute/protocol"
)

const (
	testPrompt    = "prompt"
	testMaxTokens = 100
)

// history holds the events of a run.
type history struct{ events []Event }

func (h *history) add(at int64, event Event) *Event {
	event.At = at
	h.events = append(h.events, event)
	return &h.events[len(h.events)-1]
}

func testAnswer() []uint32 { return model.Answer(testPrompt, testMaxTokens) }

// validHistory returns a history that keeps every promise. It has a sample generated under two
// versions, a request that is resent, two changes to one revision, and an engine that leaves.
func validHistory() *history {
	h := &history{}
	count := uint32(len(testAnswer()))
	h.add(0, Event{Pool: &Pool{Name: "p", Model: "m", MaxStalenessVersions: 1}})
	h.add(10, Event{Published: &Published{Model: "m", Version: 1}})
	h.add(20, Event{Submitted: &Submitted{Pool: "p", Step: 1, Prompts: []Prompt{{Index: 0, Prompt: testPrompt, MaxTokens: testMaxTokens}}}})
	h.add(30, Event{Began: &Began{Engine: "e", Attempt: "a", Request: "p/1/0"}})
	h.add(40, Event{Generated: &Generated{Engine: "e", Request: "p/1/0", Segment: Segment{Version: 1, First: 0, Count: 2}}})
	h.add(50, Event{Published: &Published{Model: "m", Version: 2}})
	h.add(60, Event{Generated: &Generated{Engine: "e", Request: "p/1/0", Segment: Segment{Version: 2, First: 2, Count: count - 2}}})
	h.add(70, Event{Delivered: &Delivered{Pool: "p", Number: 1, Step: 1, FetchedAt: 65, Tokens: testAnswer(),
		Segments: []Segment{{Version: 1, First: 0, Count: 2}, {Version: 2, First: 2, Count: count - 2}}}})
	h.add(80, Event{Sent: &Sent{Key: "k", Attempt: 1, Prompt: testPrompt, MaxTokens: testMaxTokens, NotRepeatable: true}})
	h.add(90, Event{Ended: &Ended{Key: "k", Attempt: 1, Outcome: protocol.OutcomeNotRun, Reason: protocol.ReasonQueueFull}})
	h.add(100, Event{Sent: &Sent{Key: "k", Attempt: 2, Prompt: testPrompt, MaxTokens: testMaxTokens, NotRepeatable: true}})
	h.add(110, Event{Began: &Began{Engine: "e", Attempt: "b", Request: "k"}})
	h.add(120, Event{Ended: &Ended{Key: "k", Attempt: 2, Outcome: protocol.OutcomeAnswered, Tokens: testAnswer()}})
	h.add(130, Event{Applied: &Applied{ChangeID: "c1", Base: 5, Accepted: true, Revision: 6}})
	h.add(140, Event{Applied: &Applied{ChangeID: "c2", Base: 5, Accepted: false}})
	h.add(150, Event{Acting: &Acting{Node: "n", Revision: 6}})
	h.add(160, Event{Leaving: &Leaving{Engine: "e", Leaving: true}})
	return h
}

func (h *history) find(matches func(Event) bool) *Event {
	for position := range h.events {
		if matches(h.events[position]) {
			return &h.events[position]
		}
	}
	panic("oracle: event not found in the history")
}

func (h *history) delivered() *Delivered {
	event := h.find(func(event Event) bool { return event.Delivered != nil })
	copied := *event.Delivered
	copied.Segments = append([]Segment(nil), copied.Segments...)
	event.Delivered = &copied
	return &copied
}

func (h *history) ended(attempt uint32) *Ended {
	return h.find(func(event Event) bool { return event.Ended != nil && event.Ended.Attempt == attempt }).Ended
}

// TestCheck verifies that Check reports exactly the promise that a change to a valid history
// breaks, and that it accepts similar changes that break none.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(h *history)
		want   Promise
	}{
		"valid": {func(*history) {}, ""},
		"version that no engine used": {func(h *history) {
			h.delivered().Segments[0].Version = 2
		}, ExactVersions},
		"version omitted": {func(h *history) {
			delivered := h.delivered()
			delivered.Segments = []Segment{{Version: 2, First: 0, Count: uint32(len(delivered.Tokens))}}
		}, ExactVersions},
		"gap between segments": {func(h *history) { h.delivered().Segments[1].First++ }, ExactVersions},
		"staleness bound exceeded by one": {func(h *history) {
			h.add(55, Event{Published: &Published{Model: "m", Version: 3}})
		}, StalenessBound},
		"published after the fetch was sent": {func(h *history) {
			h.add(66, Event{Published: &Published{Model: "m", Version: 3}})
		}, ""},
		"delivered twice": {func(h *history) {
			second := *h.delivered()
			second.Number = 2
			h.add(75, Event{Delivered: &second})
		}, ExactlyOnce},
		"number reused": {func(h *history) {
			h.add(21, Event{Submitted: &Submitted{Pool: "p", Step: 2, Prompts: []Prompt{{Prompt: testPrompt, MaxTokens: testMaxTokens}}}})
			h.add(22, Event{Generated: &Generated{Engine: "e", Request: "p/2/0", Segment: Segment{Version: 1, Count: uint32(len(testAnswer()))}}})
			h.add(76, Event{Delivered: &Delivered{Pool: "p", Number: 1, Step: 2, FetchedAt: 70, Tokens: testAnswer(),
				Segments: []Segment{{Version: 1, Count: uint32(len(testAnswer()))}}}})
		}, ExactlyOnce},
		"never delivered": {func(h *history) {
			h.find(func(event Event) bool { return event.Delivered != nil }).Delivered = nil
		}, ExactlyOnce},
		"never submitted": {func(h *history) {
			h.add(77, Event{Delivered: &Delivered{Pool: "p", Number: 2, Step: 9, Tokens: testAnswer()}})
		}, ExactlyOnce},
		"incomplete answer":              {func(h *history) { h.ended(2).Tokens = testAnswer()[1:] }, CompleteAnswers},
		"another request's answer":       {func(h *history) { h.ended(2).Tokens = model.Answer("other", testMaxTokens) }, CompleteAnswers},
		"answer to a request never sent": {func(h *history) { h.ended(2).Key = "other" }, CompleteAnswers},
		"not run but began before": {func(h *history) {
			h.find(func(event Event) bool { return event.Began != nil && event.Began.Request == "k" }).At = 85
		}, NotRun},
		"not run but began later":      {func(h *history) { h.ended(2).Outcome = protocol.OutcomeNotRun }, NotRun},
		"unknown but began":            {func(h *history) { h.ended(2).Outcome = protocol.OutcomeUnknown }, ""},
		"unrepeatable ran twice":       {func(h *history) { h.add(115, Event{Began: &Began{Engine: "f", Request: "k"}}) }, AtMostOnce},
		"work for a leaving engine":    {func(h *history) { h.add(5161, Event{Began: &Began{Engine: "e", Request: "x"}}) }, NoWorkWhileLeaving},
		"work within the grace period": {func(h *history) { h.add(5160, Event{Began: &Began{Engine: "e", Request: "x"}}) }, ""},
		"engine back in service": {func(h *history) {
			h.add(5000, Event{Leaving: &Leaving{Engine: "e", Leaving: false}})
			h.add(9000, Event{Began: &Began{Engine: "e", Request: "x"}})
		}, ""},
		"both changes to a revision accepted": {func(h *history) {
			h.find(func(event Event) bool { return event.Applied != nil && event.Applied.ChangeID == "c2" }).Applied.Accepted = true
		}, ConfigurationInForce},
		"answer to a resent change": {func(h *history) {
			h.add(145, Event{Applied: &Applied{ChangeID: "c1", Base: 5, Accepted: true, Revision: 6}})
		}, ""},
		"node reverts to an earlier revision": {func(h *history) { h.add(151, Event{Acting: &Acting{Node: "n", Revision: 5}}) }, ConfigurationInForce},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			test.change(h)
			violations, _ := Check(h.events, Expectations{AllDelivered: true, LeavingGraceMillis: 5000})
			if test.want == "" {
				require.Empty(t, violations)
				return
			}
			require.NotEmpty(t, violations)
			for _, violation := range violations {
				require.Equal(t, test.want, violation.Promise, violation.Detail)
			}
		})
	}
}

func TestGracefulStopMustNotInterruptRequests(t *testing.T) {
	h := validHistory()
	end := h.ended(2)
	end.Outcome, end.Reason = protocol.OutcomeUnknown, protocol.ReasonPeerLost
	violations, _ := Check(h.events, Expectations{NoUnknown: true})
	require.Len(t, violations, 1)
	require.Equal(t, GracefulStop, violations[0].Promise)
	end.Reason = protocol.ReasonDeadline
	violations, _ = Check(h.events, Expectations{NoUnknown: true})
	require.Empty(t, violations, "a request may end at its own deadline")
}
