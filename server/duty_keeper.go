package server

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/config"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/duty"
	"github.com/dillchute/dillchute/replica"
)

// dutySendTimeout bounds one call. It is shorter than a lease by more than duty.MaxStartDelay, so that
// a successor's wait covers it.
const dutySendTimeout = 800 * time.Millisecond

// DutyOutcome is what became of a call that one process at a time makes.
type DutyOutcome uint8

// The outcomes.
const (
	// DutyTaken: the call is taken, now or before.
	DutyTaken DutyOutcome = iota + 1
	// DutyBusy: it was not taken, and may be sent again later.
	DutyBusy
	// DutyUnanswered: it may have been taken.
	DutyUnanswered
	// DutyRefused: it will never be taken.
	DutyRefused
	// DutyExhausted: what it asks for is not to be had now.
	DutyExhausted
)

// String returns the outcome's name in metrics.
func (o DutyOutcome) String() string {
	return [...]string{"unknown", "taken", "busy", "unanswered", "refused", "exhausted"}[o]
}

// DutySend says who calls, and until when.
type DutySend struct {
	// Holder is the process that calls, and Fence rises with each change of it.
	Holder string
	Fence  uint64
	// SendBy is until when the call may be written, by package clock.
	SendBy time.Time
}

// DutyClient carries the calls out of the system that one process at a time makes.
type DutyClient interface {
	SendUsage(ctx context.Context, send UsageSend) DutyOutcome
	SendScale(ctx context.Context, send ScaleSend) DutyOutcome
}

// dutyKeeper lets the directory's leader act for subjects, one process at a time each.
type dutyKeeper struct {
	settings config.Directory
	replica  *replica.Replica
	machine  *directory.Machine
	acts     *duty.Tracker
	pace     duty.Pacer
	// wait sleeps; tests replace it.
	wait func(time.Duration)
}

// noteActs has every replica learn when others have acted.
func (k *dutyKeeper) noteActs() {
	k.replica.Do(func() { k.acts.Observe(nowMillis(), k.machine.Actions()) })
}

// mayAct tells whether this replica leads and nobody else may be acting for the subject.
func (k *dutyKeeper) mayAct(subject string) bool {
	if !k.replica.Status().Serving {
		return false
	}
	k.noteActs()
	return nowMillis() >= k.acts.FreeAt(subject, k.settings.Name, k.settings.DutyLease)
}

// maySend tells whether a call may be sent that was recorded in the term, that long after it was begun.
func maySend(status *replica.Status, term uint64, since time.Duration) bool {
	return status.Serving && status.Term == term && since <= duty.MaxStartDelay
}

// act records that this process is about to act for the subject, carries out the further commands, and
// then calls send. Each is an entry of its own, since earlier builds know no batches. What took too
// long is not sent: another process may act by then.
func (k *dutyKeeper) act(subject string, further []directory.Command, send func(ctx context.Context, send DutySend) DutyOutcome) (DutyOutcome, error) {
	k.wait(k.pace.Reserve(nowMillis(), k.settings.MinDutyInterval()))
	term := k.replica.Status().Term
	if !k.mayAct(subject) {
		return DutyBusy, nil
	}
	began := clock.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(duty.MaxStartDelay+dutySendTimeout))
	defer cancel()
	record := directory.Command{Act: &duty.Action{Subject: subject, Holder: k.settings.Name, At: nowMillis()}}
	for _, command := range append([]directory.Command{record}, further...) {
		if _, err := k.replica.Execute(ctx, command.Encode()); err != nil {
			return DutyBusy, err
		}
	}
	if !maySend(k.replica.Status(), term, clock.Since(began)) {
		return DutyBusy, nil
	}
	return send(ctx, DutySend{Holder: k.settings.Name, Fence: term, SendBy: began.Add(duty.MaxStartDelay)}), nil
}
