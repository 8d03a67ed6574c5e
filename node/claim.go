package node

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/dillchute/dillchute/protocol"
	"github.com/dillchute/dillchute/state"
	"github.com/fxamacker/cbor/v2"
)

// recordedAnswer is the answer that is stored with a claim.
type recordedAnswer struct {
	Tokens   []uint32        `cbor:"1,keyasint"`
	Segments []state.Segment `cbor:"2,keyasint"`
}

// requestClaim asks control for the right to run a non-repeatable request. Nothing is
// sent to an engine before the claim is granted.
func (c *Core) requestClaim(request *request) {
	live := request.live
	request.phase = phaseClaiming
	// The claim may be granted before the reply arrives.
	live.claim = &state.Claim{
		Key: live.request.Key, Digest: contentDigest(live.request),
		IssuedAt: live.request.IssuedAt, Window: live.request.WindowMillis, Attempt: live.request.Attempt,
		Node: c.config.ID, Epoch: c.epoch, Nonce: request.id,
	}
	c.propose(state.Command{Claim: live.claim}, func(result state.Result) { c.receiveClaimResult(request, result.Claim) })
}

// contentDigest returns a hash of the request's pool, prompt and token limit.
func contentDigest(live protocol.LiveRequest) []byte {
	hash := sha256.New()
	for _, part := range []string{live.Pool, live.Prompt} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write([]byte(part))
	}
	hash.Write(binary.BigEndian.AppendUint32(nil, live.MaxTokens))
	return hash.Sum(nil)
}

func (c *Core) receiveClaimResult(request *request, result *state.ClaimResult) {
	if c.requests[request.id] == nil || request.phase != phaseClaiming {
		return
	}
	if result.Outcome == state.ClaimGranted {
		request.live.claimGranted = true
		c.enqueueLive(request)
		return
	}
	request.live.claim = nil
	switch {
	case result.Outcome == state.ClaimExpired:
		c.endRequest(request, c.failureOutcome(request), protocol.ReasonWindowExpired)
	case result.Outcome == state.ClaimMismatch:
		c.endRequest(request, protocol.OutcomeNotRun, protocol.ReasonIdentityReused)
	case result.Outcome == state.ClaimFenced:
		c.endRequest(request, c.failureOutcome(request), protocol.ReasonNoLease)
	case result.State == state.ClaimNotRun:
		c.endRequest(request, protocol.OutcomeNotRun, protocol.ReasonSuperseded)
	case result.State == state.ClaimAnswered:
		c.replayAnswer(request, result.Answer)
	case result.State == state.ClaimRunning:
		c.endRequest(request, protocol.OutcomeUnknown, protocol.ReasonDuplicate)
	default:
		c.endRequest(request, protocol.OutcomeUnknown, protocol.ReasonEarlierOutcomeUnknown)
	}
}

// replayAnswer answers a resend with the recorded answer.
func (c *Core) replayAnswer(request *request, data []byte) {
	var answer recordedAnswer
	if err := cbor.Unmarshal(data, &answer); err != nil {
		c.endRequest(request, protocol.OutcomeUnknown, protocol.ReasonEarlierOutcomeUnknown)
		return
	}
	for _, segment := range answer.Segments {
		tokens := answer.Tokens[segment.First : segment.First+segment.Count]
		c.callerEvents = append(c.callerEvents, CallerEvent{
			Request: request.id, Version: segment.Version, Tokens: tokens,
		})
	}
	c.endRequest(request, protocol.OutcomeAnswered, protocol.ReasonNone)
}

// resolveClaim records the outcome of a claimed request.
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
			panic("node: encode answer: " + err.Error())
		}
		command.Answer = data
	}
	c.propose(state.Command{ResolveClaim: command}, func(state.Result) {})
}
