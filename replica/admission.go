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

// transferLeadership hands leadership to another voter before a graceful shutdown.
func (r *Replica) transferLeadership() {
	deadline := time.Now().Add(leadershipTransferTimeout)
	for time.Now().Before(deadline) {
		led, ok := eventloop.Call(r.loop, func() bool { return r.core.Leading() && r.core.TransferLeadership() })
		if !ok || !led {
			return
		}
		time.Sleep(TickInterval)
	}
}

// admissionLogInterval is the time between two log lines of a replica that waits for admission. It is
// shorter than the time in which a lost machine must be replaced, so the wait is logged before that ends.
const admissionLogInterval = 3 * time.Second

// otherContactRounds is the number of rounds after which a standby replica also asks one of the other
// contacts.
const otherContactRounds = 10

// requestAdmission sends join requests while this replica is not a member or knows no leader: it may
// have been removed from the group while it was down.
func (r *Replica) requestAdmission(ctx context.Context) {
	lastMemberAt := clock.Now()
	loggedAt := lastMemberAt
	for round := 0; ctx.Err() == nil; round++ {
		interval := joinInterval
		if r.needsAdmission() {
			standingBy := clock.Since(lastMemberAt) > standbyDelay
			if standingBy {
				interval = standbyJoinInterval
			}
			r.sendJoins(r.joinRequests(r.contacts(), round, standingBy))
			loggedAt = r.logAdmissionPending(lastMemberAt, loggedAt)
		} else {
			lastMemberAt = clock.Now()
			loggedAt = lastMemberAt
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// joinRequest is a join request to an address; forward allows a follower to forward it to the leader.
type joinRequest struct {
	address string
	forward bool
}

// joinRequests returns the requests of one round. If the number of learners is unlimited, all contacts
// are asked. Otherwise many replicas may stand by, and the leader, which usually is one of the contacts,
// must receive at most two requests a round from each, and one a second after standbyDelay.
func (r *Replica) joinRequests(contacts []string, round int, standingBy bool) []joinRequest {
	inTurn := addressInTurn(contacts, round)
	isLimited := r.settings.StandbyLearners > 0
	if isLimited && standingBy {
		if r.settings.OtherContacts != nil && round%otherContactRounds == 0 {
			inTurn = append(inTurn, addressInTurn(r.settings.OtherContacts(), round/otherContactRounds)...)
		}
		contacts = inTurn
	}
	requests := make([]joinRequest, 0, len(contacts))
	for _, address := range contacts {
		requests = append(requests, joinRequest{address: address, forward: !isLimited || slices.Contains(inTurn, address)})
	}
	return requests
}

// addressInTurn returns the address to ask in the round, or none if the list is empty.
func addressInTurn(addresses []string, round int) []string {
	if len(addresses) == 0 {
		return nil
	}
	return []string{addresses[round%len(addresses)]}
}

// logAdmissionPending logs at most once per admissionLogInterval that this replica is waiting for
// admission, unless the number of learners is limited. It returns the time of the last log line.
func (r *Replica) logAdmissionPending(lastMemberAt, loggedAt time.Time) time.Time {
	if r.settings.StandbyLearners > 0 || clock.Since(loggedAt) <= admissionLogInterval {
		return loggedAt
	}
	event.AdmissionPending.On(r.logger).Int("ms", clock.Since(lastMemberAt).Milliseconds()).
		Str("asked", strings.Join(r.contacts(), " ")).Send()
	return clock.Now()
}

func (r *Replica) needsAdmission() bool {
	status := r.Status()
	if !status.LeaderKnown {
		return true
	}
	for _, member := range status.Members {
		if member.ID == status.ID {
			return false
		}
	}
	return true
}

func (r *Replica) sendJoins(requests []joinRequest) {
	id := r.Status().ID
	for _, request := range requests {
		r.transport.Send(request.address, protocol.Message{
			From: r.settings.Address,
			Join: &protocol.Join{ID: id, Address: r.settings.Address, PassedOn: !request.forward, Knows: r.settings.KnownVersion},
		})
	}
}

// contacts returns the addresses to ask for admission: those from the settings, the members in this
// replica's own data, which may be newer than the settings, and all replicas that still send to the
// identity that this machine had before it lost its disk.
func (r *Replica) contacts() []string {
	senders, _ := eventloop.Call(r.loop, r.core.SenderAddresses)
	return admissionContacts(r.settings, r.Status().Members, senders)
}

func admissionContacts(settings Settings, members []consensus.Member, senders []string) []string {
	addresses := append(slices.Clone(settings.Contacts()), senders...)
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == settings.Address })
}
