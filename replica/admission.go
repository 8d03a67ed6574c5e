package replica

import (
	"context"
	"strings"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/event"
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

// outsideTold is the time between two lines of a replica that nobody lets in. With it the users'
// bound for making a lost machine good (4 s and more) shows in the logs before it is over.
const outsideTold = 3 * time.Second

// askToJoin asks whoever may be a member for admission, while this replica is
// not a member or hears no leader for long: it may have been replaced while it
// was away.
func (r *Replica) askToJoin(ctx context.Context) {
	insideAt := clock.Now()
	toldAt := insideAt
	for ctx.Err() == nil {
		pause := joinInterval
		if clock.Since(toldAt) > outsideTold {
			toldAt = clock.Now()
			event.StaysOutside.On(r.logger).Int("ms", clock.Since(insideAt).Milliseconds()).
				Str("asked", strings.Join(r.settings.Contacts(), " ")).Send()
		}
		switch {
		case !r.outside():
			insideAt = clock.Now()
			toldAt = insideAt
		case clock.Since(insideAt) > joinPatience:
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
