package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/dillchute/dillchute/directory"
	"github.com/joomcode/errorx"

	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/ledger"
)

const (
	ledgerCallPath = "/internal/ledger/call"
	// maxResultBytes limits the size of the texts in one answer, which always holds at least one result.
	maxResultBytes = 768 << 10
	// maxResultWait limits how long a call waits for results.
	maxResultWait = time.Second
)

// ledgerCall is a call to the leader of a ledger group. Exactly one pointer is set.
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
	// Near requests the results that this replica has applied, whether or not it leads.
	Near bool `cbor:"4,keyasint,omitempty"`
	// Tenant is the caller's tenant, empty in a deployment without tenants.
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

type ledgerAnswer struct {
	// NotLeader means that the call was not executed. Leader is the address of the leader, if known.
	NotLeader bool   `cbor:"1,keyasint,omitempty"`
	Leader    string `cbor:"2,keyasint,omitempty"`
	// Unknown means that the call may or may not have been executed.
	Unknown bool `cbor:"3,keyasint,omitempty"`
	Found   bool `cbor:"4,keyasint,omitempty"`
	// Total is the number of samples in the step.
	Total   int             `cbor:"5,keyasint,omitempty"`
	Results []ledger.Result `cbor:"6,keyasint,omitempty"`
	Body    []byte          `cbor:"7,keyasint,omitempty"`
	// Refused means that the call was not executed and that a retry would be refused as well.
	Refused bool `cbor:"8,keyasint,omitempty"`
	// Busy means that the call was not executed for lack of memory, and TooLarge that it never fits.
	Busy     bool `cbor:"9,keyasint,omitempty"`
	TooLarge bool `cbor:"10,keyasint,omitempty"`
}

// isRefused reports whether the call was not executed for lack of memory.
func (a ledgerAnswer) isRefused() bool { return a.Busy || a.TooLarge }

// refusedAnswer returns the answer to a call that was not executed because of an intake.ErrBusy or intake.ErrTooLarge error.
func refusedAnswer(err error) ledgerAnswer {
	// Unknown is what processes of earlier builds understand.
	return ledgerAnswer{Unknown: true, Busy: errorx.IsOfType(err, intake.ErrBusy), TooLarge: errorx.IsOfType(err, intake.ErrTooLarge)}
}

// Copies of a step or a body that are held at once, which are reserved in advance.
const (
	// submitCopies are the command, its packed form, the log's entry, and the messages to other replicas.
	submitCopies = 3
	// answerCopies are the encoded and the packed answer.
	answerCopies = 2
	// freeAnswerBytes of each answer need no reservation.
	freeAnswerBytes = 64 << 10
	// largeCallBytes is the size of a call above which it can only be one for the leader.
	largeCallBytes = 64 << 10
)

func (l *Ledger) serveCall(response http.ResponseWriter, request *http.Request) {
	if status := l.replica.Status(); !status.Serving && request.ContentLength > largeCallBytes {
		writeCBOR(response, ledgerAnswer{NotLeader: true, Leader: status.Leader})
		return
	}
	var call ledgerCall
	memory, err := readCBOR(l.intake, request, &call)
	if intake.IsRefusal(err) {
		l.intake.CountRefused()
		writeCBOR(response, refusedAnswer(err))
		return
	}
	if err != nil {
		refuseCall(response, request, err)
		return
	}
	defer memory.Release()
	scope := &intake.Scope{}
	defer scope.Release()
	writeCBOR(response, l.handle(intake.WithScope(request.Context(), scope), call))
}

func (l *Ledger) handle(ctx context.Context, call ledgerCall) ledgerAnswer {
	if call.Results != nil && call.Results.Near {
		return l.currentResults(*call.Results)
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

// submit commits a new step. It converts the step's times, which are relative to the submission, to times
// of the leader's clock.
func (l *Ledger) submit(ctx context.Context, step *ledger.Step) ledgerAnswer {
	now := nowMillis()
	step.SubmittedAt = now
	step.DueAt += now
	if step.GiveUpAt > 0 {
		step.GiveUpAt += now
	}
	step.EventTokens = eventTokens(l.watcher.Catalog(), step)
	exists, allowed := l.stepAccess(step.ID, step.Tenant)
	if exists && !allowed {
		return ledgerAnswer{Refused: true}
	}
	if exists {
		event.StepResubmitted.On(l.logger).Str("step", step.ID).Send()
		return ledgerAnswer{Found: true}
	}
	admitted, err := l.admitStep(ctx, step)
	if err != nil {
		l.intake.CountRefused()
		return refusedAnswer(err)
	}
	defer admitted()
	_, err = l.replica.Execute(ctx, ledger.Command{Submit: step}.Encode())
	line := event.StepSubmitted.On(l.logger).Str("step", step.ID).Uint("number", uint64(step.Number)).
		Uint("samples", uint64(len(step.Samples))).Uint("oldest_version", step.OldestVersion)
	if err != nil {
		line.Err(err).Send()
		return ledgerAnswer{Unknown: true}
	}
	line.Send()
	return submitAnswer(l.stepAccess(step.ID, step.Tenant))
}

// admitStep reserves the memory to keep the step, and that to commit it. The returned function must be called once the step
// is committed.
func (l *Ledger) admitStep(ctx context.Context, step *ledger.Step) (func(), error) {
	size, state := step.Size(), int64(0)
	l.replica.Do(func() { state = l.machine.Size() })
	admitted, err := l.steps.admit(size, state)
	if err != nil {
		return nil, err
	}
	if err := reserve(ctx, l.intake.Memory, submitCopies*size); err != nil {
		admitted()
		return nil, err
	}
	return admitted, nil
}

// reserve reserves memory until the end of the context's scope.
func reserve(ctx context.Context, budget *intake.Budget, size int64) error {
	memory := budget.NewReservation(freeAnswerBytes)
	if err := memory.Resize(size); err != nil {
		return err
	}
	intake.ScopeOf(ctx).Add(memory)
	return nil
}

// submitAnswer returns the answer to a committed submission, given the result of stepAccess.
func submitAnswer(exists, allowed bool) ledgerAnswer {
	switch {
	case !exists:
		return ledgerAnswer{Unknown: true}
	case !allowed:
		return ledgerAnswer{Refused: true}
	}
	return ledgerAnswer{Found: true}
}

// stepAccess reports whether the step exists and whether the tenant may access it. If two tenants submit
// steps with the same ID, the step belongs to the first, and the second is refused.
func (l *Ledger) stepAccess(id, tenant string) (exists, allowed bool) {
	l.replica.Do(func() {
		if entry := l.machine.Step(id); entry != nil {
			exists, allowed = true, entry.AllowsTenant(tenant)
		}
	})
	return exists, allowed
}

// eventTokens returns the number of tokens per event, by the service that the first sample is routed to, or
// 0 if unknown.
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

// results returns the results after a position, and waits for them if there are none.
func (l *Ledger) results(ctx context.Context, call resultsCall) ledgerAnswer {
	timeout := time.NewTimer(min(call.Wait, maxResultWait))
	defer timeout.Stop()
	for {
		changed := l.replica.Changed()
		answer := l.currentResults(call)
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

func (l *Ledger) currentResults(call resultsCall) ledgerAnswer {
	var answer ledgerAnswer
	l.replica.Do(func() {
		entry := l.machine.Step(call.Step)
		if entry == nil || !entry.AllowsTenant(call.Tenant) {
			return
		}
		answer.Found, answer.Total = true, len(entry.Step.Samples)
		size := 0
		for position := max(call.After, 0); position < len(entry.Results) && size < maxResultBytes; position++ {
			answer.Results = append(answer.Results, entry.Results[position])
			size += len(entry.Results[position].Text)
		}
	})
	return answer
}

// notFound returns the answer for an unknown step or sample. Only a leader confirmed by a quorum can know
// that it does not exist.
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
	if err := reserve(ctx, l.intake.Memory, int64(answerCopies*len(answer.Body))); err != nil {
		l.intake.CountRefused()
		return refusedAnswer(err)
	}
	return answer
}

func (l *Ledger) end(ctx context.Context, end *endCall) ledgerAnswer {
	found, ended := false, false
	l.replica.Do(func() {
		if entry := l.machine.Step(end.Step); entry != nil && entry.AllowsTenant(end.Tenant) {
			found, ended = true, entry.Ended
		}
	})
	if !found {
		return l.notFound(ctx)
	}
	if ended {
		return ledgerAnswer{Found: true}
	}
	_, err := l.replica.Execute(ctx, ledger.Command{End: &ledger.End{Step: end.Step}}.Encode())
	event.StepEnded.On(l.logger).Str("step", end.Step).Uint("failed", boolToUint(err != nil)).Send()
	return ledgerAnswer{Found: err == nil, Unknown: err != nil}
}
