package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/ledger"
)

const (
	ledgerCallPath = "/internal/ledger/call"
	// resultBytes bounds the texts in one answer, though one result is always there.
	resultBytes = 768 << 10
	// maxResultWait bounds how long a call for results is held.
	maxResultWait = time.Second
)

// ledgerCall is a call to the leader of a group of the ledger. Exactly one
// pointer is set.
type ledgerCall struct {
	Submit  *ledger.Step `cbor:"1,keyasint,omitempty"`
	Results *resultsCall `cbor:"2,keyasint,omitempty"`
	Sample  *sampleCall  `cbor:"3,keyasint,omitempty"`
	End     *endCall     `cbor:"4,keyasint,omitempty"`
}

type resultsCall struct {
	Step  string        `cbor:"1,keyasint"`
	After int           `cbor:"2,keyasint"`
	Wait  time.Duration `cbor:"3,keyasint"`
	// Near asks for what the replica has applied itself, whoever leads.
	Near bool `cbor:"4,keyasint,omitempty"`
	// Tenant is the caller's, "" where there are none; so in the calls below.
	Tenant string `cbor:"5,keyasint,omitempty"`
}

type sampleCall struct {
	Step   string `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"`
	Tenant string `cbor:"3,keyasint,omitempty"`
}

type endCall struct {
	Step   string `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint,omitempty"`
}

// ledgerAnswer is the answer to a ledgerCall.
type ledgerAnswer struct {
	// NotLeader: nothing was done; Leader is where to ask, if that is known.
	NotLeader bool   `cbor:"1,keyasint,omitempty"`
	Leader    string `cbor:"2,keyasint,omitempty"`
	// Unknown: the call may or may not have been carried out.
	Unknown bool `cbor:"3,keyasint,omitempty"`
	Found   bool `cbor:"4,keyasint,omitempty"`
	// Total is the number of samples of the step.
	Total   int             `cbor:"5,keyasint,omitempty"`
	Results []ledger.Result `cbor:"6,keyasint,omitempty"`
	Body    []byte          `cbor:"7,keyasint,omitempty"`
	// Refused: nothing was done, and it would not be if the call were repeated.
	Refused bool `cbor:"8,keyasint,omitempty"`
}

func (l *Ledger) serveCall(response http.ResponseWriter, request *http.Request) {
	var call ledgerCall
	if readCBOR(response, request, &call) {
		writeCBOR(response, l.handle(request.Context(), call))
	}
}

func (l *Ledger) handle(ctx context.Context, call ledgerCall) ledgerAnswer {
	if call.Results != nil && call.Results.Near {
		return l.resultsNow(*call.Results)
	}
	status := l.replica.Status()
	if !status.Serving {
		return ledgerAnswer{NotLeader: true, Leader: status.Leader}
	}
	switch {
	case call.Submit != nil:
		return l.submit(ctx, call.Submit)
	case call.Results != nil:
		return l.results(ctx, *call.Results)
	case call.Sample != nil:
		return l.sample(ctx, *call.Sample)
	case call.End != nil:
		return l.end(ctx, call.End)
	}
	return ledgerAnswer{}
}

// submit takes a step in. Its times are counted from the first send, by the
// leader's clock.
func (l *Ledger) submit(ctx context.Context, step *ledger.Step) ledgerAnswer {
	now := nowMillis()
	step.SubmittedAt = now
	step.DueAt += now
	if step.GiveUpAt > 0 {
		step.GiveUpAt += now
	}
	step.EventTokens = eventTokens(l.watcher.Catalog(), step)
	known, open := l.stepFor(step.ID, step.Tenant)
	if known && !open {
		return ledgerAnswer{Refused: true}
	}
	if known {
		event.StepResubmitted.On(l.logger).Str("step", step.ID).Send()
		return ledgerAnswer{Found: true}
	}
	_, err := l.replica.Execute(ctx, ledger.Command{Submit: step}.Encode())
	line := event.StepSubmitted.On(l.logger).Str("step", step.ID).Uint("number", uint64(step.Number)).
		Uint("samples", uint64(len(step.Samples))).Uint("oldest_version", step.OldestVersion)
	if err != nil {
		line.Err(err).Send()
		return ledgerAnswer{Unknown: true}
	}
	line.Send()
	return submitted(l.stepFor(step.ID, step.Tenant))
}

// submitted answers for a step whose entry is committed, by what this replica holds of it. It may
// not hold it yet: another replica that leads by now has carried the command out.
func submitted(known, open bool) ledgerAnswer {
	switch {
	case !known:
		return ledgerAnswer{Unknown: true}
	case !open:
		return ledgerAnswer{Refused: true}
	}
	return ledgerAnswer{Found: true}
}

// stepFor tells whether there is a step of the ID, and whether it is open to the tenant. Of
// two tenants that hand in steps of one ID, the first has it, and nothing of the other runs.
func (l *Ledger) stepFor(id, tenant string) (known, open bool) {
	l.replica.Do(func() {
		if entry := l.machine.Step(id); entry != nil {
			known, open = true, entry.AllowsTenant(tenant)
		}
	})
	return known, open
}

// eventTokens returns the number of tokens that an event of the step's texts
// holds, by the service that its first sample's route leads to; 0 if unknown.
func eventTokens(catalog *directory.Catalog, step *ledger.Step) int {
	if len(step.Samples) == 0 {
		return 0
	}
	path, _, _ := strings.Cut(step.Samples[0].Path, "?")
	route, ok := catalog.Table.Match(step.Host, path)
	if !ok {
		return 0
	}
	return catalog.Services[route.Shares[0].Service].EventTokens
}

// results answers with the results after a position, as soon as there are some.
func (l *Ledger) results(ctx context.Context, call resultsCall) ledgerAnswer {
	timeout := time.NewTimer(min(call.Wait, maxResultWait))
	defer timeout.Stop()
	for {
		changed := l.replica.Changed()
		answer := l.resultsNow(call)
		if !answer.Found {
			return l.notFound(ctx)
		}
		if len(answer.Results) > 0 || call.Wait <= 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timeout.C:
			return answer
		case <-ctx.Done():
			return answer
		}
		if !l.replica.Status().Serving {
			return ledgerAnswer{NotLeader: true, Leader: l.replica.Status().Leader}
		}
	}
}

func (l *Ledger) resultsNow(call resultsCall) ledgerAnswer {
	var answer ledgerAnswer
	l.replica.Do(func() {
		entry := l.machine.Step(call.Step)
		if entry == nil || !entry.AllowsTenant(call.Tenant) {
			return
		}
		answer.Found, answer.Total = true, len(entry.Step.Samples)
		bytes := 0
		for position := max(call.After, 0); position < len(entry.Results) && bytes < resultBytes; position++ {
			answer.Results = append(answer.Results, entry.Results[position])
			bytes += len(entry.Results[position].Text)
		}
	})
	return answer
}

// notFound says that something does not exist, which only a leader that a
// quorum has confirmed can know.
func (l *Ledger) notFound(ctx context.Context) ledgerAnswer {
	if l.replica.Confirm(ctx) != nil {
		return ledgerAnswer{Unknown: true}
	}
	return ledgerAnswer{}
}

func (l *Ledger) sample(ctx context.Context, call sampleCall) ledgerAnswer {
	var answer ledgerAnswer
	l.replica.Do(func() {
		entry := l.machine.Step(call.Step)
		if entry == nil || !entry.AllowsTenant(call.Tenant) {
			return
		}
		if sample := entry.Sample(call.ID); sample != nil {
			answer.Found, answer.Body = true, sample.Body
		}
	})
	if !answer.Found {
		return l.notFound(ctx)
	}
	return answer
}

func (l *Ledger) end(ctx context.Context, end *endCall) ledgerAnswer {
	known, ended := false, false
	l.replica.Do(func() {
		if entry := l.machine.Step(end.Step); entry != nil && entry.AllowsTenant(end.Tenant) {
			known, ended = true, entry.Ended
		}
	})
	if !known {
		return l.notFound(ctx)
	}
	if ended {
		return ledgerAnswer{Found: true}
	}
	_, err := l.replica.Execute(ctx, ledger.Command{End: &ledger.End{Step: end.Step}}.Encode())
	event.StepEnded.On(l.logger).Str("step", end.Step).Uint("failed", boolToUint(err != nil)).Send()
	return ledgerAnswer{Found: err == nil, Unknown: err != nil}
}
