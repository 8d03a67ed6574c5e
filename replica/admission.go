package replica

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/protocol"
)

// handOver gives leadership to another voter before a planned stop.
func (r *Replica) handOver() {
	deadline := time.Now().Add(transferWait)
	for time.Now().Before(deadline) {
		led, ok := eventloop.Ask(r.loop, func() bool { return r.core.Leading() && r.core.TransferLeadership() })
		if !ok || !led {
			return
		}
		time.Sleep(TickInterval)
	}
}

// askToJoin asks whoever may be a member for admission, while this replica is
// not a member or hears no leader for long: it may have been replaced while it
// was away.
func (r *Replica) askToJoin(ctx context.Context) {
	insideAt := time.Now()
	for ctx.Err() == nil {
		pause := joinInterval
		switch {
		case !r.outside():
			insideAt = time.Now()
		case time.Since(insideAt) > joinPatience:
			pause = standbyInterval
			fallthrough
		default:
			r.sendJoin()
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (r *Replica) outside() bool {
	status := r.Status()
	if !status.Heard {
		return true
	}
	for _, member := range status.Members {
		if member.ID == status.ID {
			return false
		}
	}
	return true
}

func (r *Replica) sendJoin() {
	message := protocol.Message{
		From: r.settings.Address,
		Join: &protocol.Join{ID: r.Status().ID, Address: r.settings.Address},
	}
	for _, address := range r.settings.Contacts() {
		if address != r.settings.Address {
			r.transport.Send(address, message)
		}
	}
}
