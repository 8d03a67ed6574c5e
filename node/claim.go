package node

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"github.com/fxamacker/cbor/v2"
)

// recordedAnswer is what a claim keeps of an answer.
type recordedAnswer struct {
	Tokens   []uint32        `cbor:"1,keyasint"`
	Segments []state.Segment `cbor:"2,keyasint"`
}

// claim asks control for the right to run a request that must not repeat. No
// byte goes to an engine before it is granted.
func (c *Core) claim(request *request) {
	live := request.live
	request.phase = phaseClaiming
	// Until the answer is here the claim may be held.
	live.claim = &state.Claim{
		Key: live.request.Key, Digest: contentDigest(live.request),
		IssuedAt: live.request.IssuedAt, Window: live.request.WindowMillis, Attempt: live.request.Attempt,
		Node: c.config.ID, Epoch: c.epoch, Nonce: request.id,
	}
	c.propose(state.Command{Claim: live.claim}, func(result state.Result) { c.claimDecided(request, result.Claim) })
}

// contentDigest is a hash of what the request asks for.
func contentDigest(live protocol.LiveRequest) []byte {
	hash := sha256.New()
	for _, part := range []string{live.Pool, live.Prompt} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write([]byte(part))
	}
	hash.Write(binary.BigEndian.AppendUint32(nil, live.MaxTokens))
	return hash.Sum(nil)
}

func (c *Core) claimDecided(request *request, result *state.ClaimResult) {
	if c.requests[request.id] == nil || request.phase != phaseClaiming {
		return
	}
	if result.Outcome == state.ClaimGranted {
		request.live.granted = true
		c.enqueueLive(request)
		return
	}
	request.live.claim = nil
	switch {
	case result.Outcome == state.ClaimExpired:
		c.end(request, c.failureOutcome(request), protocol.ReasonWindowExpired)
	case result.Outcome == state.ClaimMismatch:
		c.end(request, protocol.OutcomeNotRun, protocol.ReasonIdentityReused)
	case result.Outcome == state.ClaimFenced:
		c.end(request, c.failureOutcome(request), protocol.ReasonNoLease)
	case result.State == state.ClaimNotRun:
		c.end(request, protocol.OutcomeNotRun, protocol.ReasonSuperseded)
	case result.State == state.ClaimAnswered:
		c.replayAnswer(request, result.Answer)
	case result.State == state.ClaimRunning:
		c.end(request, protocol.OutcomeUnknown, protocol.ReasonDuplicate)
	default:
		c.end(request, protocol.OutcomeUnknown, protocol.ReasonEarlierOutcomeUnknown)
	}
}

// replayAnswer gives a resend the answer that the first arrival recorded.
func (c *Core) replayAnswer(request *request, data []byte) {
	var answer recordedAnswer
	if err := cbor.Unmarshal(data, &answer); err != nil {
		c.end(request, protocol.OutcomeUnknown, protocol.ReasonEarlierOutcomeUnknown)
		return
	}
	for _, segment := range answer.Segments {
		tokens := answer.Tokens[segment.First : segment.First+segment.Count]
		c.callerEvents = append(c.callerEvents, CallerEvent{
			Request: request.id, Version: segment.Version, Tokens: tokens,
		})
	}
	c.end(request, protocol.OutcomeAnswered, protocol.ReasonNone)
}

// resolveClaim records how a claimed request ended.
func (c *Core) resolveClaim(request *request, outcome protocol.Outcome) {
	if request.live == nil || request.live.claim == nil {
		return
	}
	command := &state.ResolveClaim{
		Claim: *request.live.claim, NotRun: outcome == protocol.OutcomeNotRun,
	}
	if outcome == protocol.OutcomeAnswered {
		data, err := cbor.Marshal(recordedAnswer{Tokens: request.tokens, Segments: request.segments})
		if err != nil {
			panic("node: an answer must encode: " + err.Error())
		}
		command.Answer = data
	}
	c.propose(state.Command{ResolveClaim: command}, func(state.Result) {})
}
