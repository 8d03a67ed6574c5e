package replica

import (
	"context"
	"slices"
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

// askToJoin asks for admission while this replica is not a member or hears no leader for long: it
// may have been replaced while it was away. At first it asks all that may be members. One that
// stands by asks a single one at a time, which passes the question on: of many that stand by, the
// leader hears no more than one question a second each.
func (r *Replica) askToJoin(ctx context.Context) {
	insideAt := clock.Now()
	toldAt := insideAt
	for round := 0; ctx.Err() == nil; round++ {
		pause := joinInterval
		switch {
		case !r.outside():
			insideAt = clock.Now()
			toldAt = insideAt
		case clock.Since(insideAt) <= joinPatience:
			r.sendJoin(r.contacts())
			toldAt = r.tellOutside(insideAt, toldAt)
		default:
			pause = standbyInterval
			r.sendJoin(oneOf(r.contacts(), round))
			toldAt = r.tellOutside(insideAt, toldAt)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// oneOf returns the contact whose turn it is in the round, if there is any.
func oneOf(contacts []string, round int) []string {
	if len(contacts) == 0 {
		return nil
	}
	turn := round % len(contacts)
	return contacts[turn : turn+1]
}

// tellOutside says now and then that nobody lets this replica in, where the group takes all that
// ask, and returns when it did last.
func (r *Replica) tellOutside(insideAt, toldAt time.Time) time.Time {
	if r.settings.Standby > 0 || clock.Since(toldAt) <= outsideTold {
		return toldAt
	}
	event.StaysOutside.On(r.logger).Int("ms", clock.Since(insideAt).Milliseconds()).
		Str("asked", strings.Join(r.contacts(), " ")).Send()
	return clock.Now()
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

// sendJoin asks the processes at the addresses to be let in.
func (r *Replica) sendJoin(addresses []string) {
	message := protocol.Message{
		From: r.settings.Address,
		Join: &protocol.Join{ID: r.Status().ID, Address: r.settings.Address},
	}
	for _, address := range addresses {
		r.transport.Send(address, message)
	}
}

// contacts returns whom to ask to be let in: the addresses of the settings, and the members that a
// replica with data remembers, which may be others by now than the settings name.
func (r *Replica) contacts() []string {
	addresses := slices.Clone(r.settings.Contacts())
	for _, member := range r.Status().Members {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == r.settings.Address })
}
