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

// dutySendTimeout limits one call. Together with duty.MaxStartDelay it is shorter than a lease, so that
// the next holder acts only after the call has ended.
const dutySendTimeout = 800 * time.Millisecond

// DutyOutcome is the outcome of a duty call, which only one process at a time may make.
type DutyOutcome uint8

// Outcomes of duty calls.
const (
	// DutyAccepted means that the call was accepted, now or earlier.
	DutyAccepted DutyOutcome = iota + 1
	// DutyBusy means that the call was not accepted and may be retried later.
	DutyBusy
	// DutyUnanswered means that the call may have been accepted.
	DutyUnanswered
	// DutyRefused means that the call will never be accepted.
	DutyRefused
	// DutyExhausted means that the requested capacity is currently unavailable.
	DutyExhausted
)

// String returns the outcome's label in metrics.
func (o DutyOutcome) String() string {
	return [...]string{"unknown", "taken", "busy", "unanswered", "refused", "exhausted"}[o]
}

// DutySend identifies the sender of a duty call and limits when it may be sent.
type DutySend struct {
	// Holder is the calling process. Fence increases with each change of the holder.
	Holder string
	Fence  uint64
	// SendBy is the latest time, by package clock, to write the request.
	SendBy time.Time
}

// DutyClient sends duty calls to external systems.
type DutyClient interface {
	SendUsage(ctx context.Context, send UsageSend) DutyOutcome
	SendScale(ctx context.Context, send ScaleSend) DutyOutcome
}

// dutyCoordinator ensures that at most one process at a time acts on a subject.
type dutyCoordinator struct {
	settings config.Directory
	replica  *replica.Replica
	machine  *directory.Machine
	actions  *duty.Tracker
	pacer    duty.Pacer
	// sleep is replaced in tests.
	sleep func(time.Duration)
}

// observeActions updates the tracker with the recorded actions. Every replica calls it.
func (d *dutyCoordinator) observeActions() {
	d.replica.Do(func() { d.actions.Observe(nowMillis(), d.machine.Actions()) })
}

// mayAct reports whether this replica is the leader and no other process may still act on the subject.
func (d *dutyCoordinator) mayAct(subject string) bool {
	if !d.replica.Status().Serving {
		return false
	}
	d.observeActions()
	return nowMillis() >= d.actions.FreeAt(subject, d.settings.Name, d.settings.DutyLease)
}

// maySend reports whether a call recorded in the term may still be sent after the elapsed time.
func maySend(status *replica.Status, term uint64, elapsed time.Duration) bool {
	return status.Serving && status.Term == term && elapsed <= duty.MaxStartDelay
}

// act records that this process is about to act on the subject, executes the commands and then calls send.
// Each command is a separate log entry because earlier builds do not support batches. If recording takes too
// long, nothing is sent, because another process may act by then.
func (d *dutyCoordinator) act(subject string, commands []directory.Command, send func(ctx context.Context, send DutySend) DutyOutcome) (DutyOutcome, error) {
	d.sleep(d.pacer.Reserve(nowMillis(), d.settings.MinDutyInterval()))
	term := d.replica.Status().Term
	if !d.mayAct(subject) {
		return DutyBusy, nil
	}
	start := clock.Now()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(duty.MaxStartDelay+dutySendTimeout))
	defer cancel()
	recordAction := directory.Command{Act: &duty.Action{Subject: subject, Holder: d.settings.Name, At: nowMillis()}}
	for _, command := range append([]directory.Command{recordAction}, commands...) {
		if _, err := d.replica.Execute(ctx, command.Encode()); err != nil {
			return DutyBusy, err
		}
	}
	if !maySend(d.replica.Status(), term, clock.Since(start)) {
		return DutyBusy, nil
	}
	return send(ctx, DutySend{Holder: d.settings.Name, Fence: term, SendBy: start.Add(duty.MaxStartDelay)}), nil
}
