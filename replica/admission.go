package replica

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/eventloop"
	"github.com/dillchute/dillchute/protocol"
)

// handOver gives leadership to another voter before a planned stop.
func (r *Replica) handOver() {
	deadline := time.Now().Add(transferWait)
	for time.Now().Before(deadline) {
		led, ok := eventloop.Call(r.loop, func() bool { return r.core.Leading() && r.core.TransferLeadership() })
		if !ok || !led {
			return
		}
		time.Sleep(TickInterval)
	}
}

// outsideTold is the time between two lines of a replica that nobody lets in. With it the users'
// bound for making a lost machine good (4 s and more) shows in the logs before it is over.
const outsideTold = 3 * time.Second

// othersEach is the number of rounds of a replica that stands by after which it also asks one that
// is no likely member.
const othersEach = 10

// askToJoin asks for admission while this replica is not a member or hears no leader for long: it
// may have been replaced while it was away.
func (r *Replica) askToJoin(ctx context.Context) {
	insideAt := clock.Now()
	toldAt := insideAt
	for round := 0; ctx.Err() == nil; round++ {
		pause := joinInterval
		if r.outside() {
			late := clock.Since(insideAt) > joinPatience
			if late {
				pause = standbyInterval
			}
			r.sendJoins(r.questions(r.contacts(), round, late))
			toldAt = r.tellOutside(insideAt, toldAt)
		} else {
			insideAt = clock.Now()
			toldAt = insideAt
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// question asks the process at the address to be let in, and to pass that on if it does not lead.
type question struct {
	address string
	passOn  bool
}

// questions returns what is asked in a round. A group that takes in all who ask is asked at all
// contacts. Of a bounded one many may stand by: the leader, which is among the contacts as a rule,
// hears no more than two questions of each in a round, and after the patience one a second.
func (r *Replica) questions(contacts []string, round int, late bool) []question {
	turn := oneOf(contacts, round)
	bounded := r.settings.Standby > 0
	if bounded && late {
		if r.settings.Others != nil && round%othersEach == 0 {
			turn = append(turn, oneOf(r.settings.Others(), round/othersEach)...)
		}
		contacts = turn
	}
	questions := make([]question, 0, len(contacts))
	for _, address := range contacts {
		questions = append(questions, question{address: address, passOn: !bounded || slices.Contains(turn, address)})
	}
	return questions
}

// oneOf returns the address whose turn it is in the round, if there is any.
func oneOf(addresses []string, round int) []string {
	if len(addresses) == 0 {
		return nil
	}
	return []string{addresses[round%len(addresses)]}
}

// tellOutside says now and then that nobody lets this replica in, where the group takes all that
// ask, and returns when it did last.
func (r *Replica) tellOutside(insideAt, toldAt time.Time) time.Time {
	if r.settings.Standby > 0 || clock.Since(toldAt) <= outsideTold {
		return toldAt
	}
	event.AdmissionPending.On(r.logger).Int("ms", clock.Since(insideAt).Milliseconds()).
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

func (r *Replica) sendJoins(questions []question) {
	id := r.Status().ID
	for _, one := range questions {
		r.transport.Send(one.address, protocol.Message{
			From: r.settings.Address,
			Join: &protocol.Join{ID: id, Address: r.settings.Address, PassedOn: !one.passOn, Knows: r.settings.Knows},
		})
	}
}

// contacts returns whom to ask to be let in: the addresses of the settings; the members that a
// replica with data remembers, which may be others by now than the settings name; and whoever
// still sends to the identity that this machine had before it lost its disk.
func (r *Replica) contacts() []string {
	senders, _ := eventloop.Call(r.loop, r.core.Senders)
	return joinContacts(r.settings, r.Status().Members, senders)
}

func joinContacts(settings Settings, members []consensus.Member, senders []string) []string {
	addresses := append(slices.Clone(settings.Contacts()), senders...)
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == settings.Address })
}
