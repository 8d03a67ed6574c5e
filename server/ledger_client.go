package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/replica"
)

const (
	// ledgerAttemptTimeout is how long one replica is waited for, beyond the
	// time for which a call may be held.
	ledgerAttemptTimeout = 900 * time.Millisecond
	ledgerPause          = 60 * time.Millisecond
	// ledgerCallTimeout is how long the group's leader is looked for, after which
	// the caller gets its final answer.
	ledgerCallTimeout = 2500 * time.Millisecond
	// nearTimeout is how long the replica in the own zone is waited for, and
	// nearPause how long it is not asked after it has not answered.
	nearTimeout = 300 * time.Millisecond
	nearPause   = 3 * time.Second
)

// ledgerClient calls the ledger's group for a gateway.
type ledgerClient struct {
	watcher *Watcher
	client  *http.Client
	zone    string
	logger  *zerolog.Logger

	mutex sync.Mutex
	// leader is the address of the member that led last.
	leader string
	// nearAfter is the time before which the replica in the own zone is not asked.
	nearAfter time.Time
}

func newLedgerClient(watcher *Watcher, zone string, logger *zerolog.Logger) *ledgerClient {
	return &ledgerClient{watcher: watcher, client: replica.NewInternalClient(), zone: zone, logger: logger}
}

// results asks for results. What is there already may come from the replica in
// the own zone: a result that it has applied is committed, and keeps its position
// and content for good. All else only the leader knows.
func (c *ledgerClient) results(ctx context.Context, call resultsCall) (ledgerAnswer, bool, error) {
	if call.Wait == 0 {
		if answer, ok := c.nearResults(ctx, call); ok {
			return answer, true, nil
		}
	}
	return c.call(ctx, ledgerCall{Results: &call}, call.Wait)
}

// nearResults asks the replica in the own zone, and tells whether it has any of
// the results.
func (c *ledgerClient) nearResults(ctx context.Context, call resultsCall) (ledgerAnswer, bool) {
	address := c.nearMember()
	if address == "" {
		return ledgerAnswer{}, false
	}
	call.Near = true
	limited, cancel := context.WithTimeout(ctx, nearTimeout)
	defer cancel()
	answer, err := c.ask(limited, address, encodeInternal(ledgerCall{Results: &call}))
	if err != nil && ctx.Err() == nil {
		c.mutex.Lock()
		c.nearAfter = time.Now().Add(nearPause)
		c.mutex.Unlock()
		event.LocalReplicaUnavailable.On(c.logger).Str("replica", address).Err(err).Send()
	}
	return answer, err == nil && len(answer.Results) > 0
}

// nearMember returns the address of a member of the group in the own zone that
// is not known to lead, or "" if there is none to be asked.
func (c *ledgerClient) nearMember() string {
	c.mutex.Lock()
	leader, after := c.leader, c.nearAfter
	c.mutex.Unlock()
	if time.Now().Before(after) {
		return ""
	}
	catalog := c.watcher.Catalog()
	for _, member := range catalog.Group.Members {
		if member.Address != leader && zoneOfStore(catalog, member.Address) == c.zone {
			return member.Address
		}
	}
	return ""
}

func zoneOfStore(catalog *directory.Catalog, address string) string {
	for _, store := range catalog.Stores {
		if store.Address == address {
			return store.Zone
		}
	}
	return ""
}

// call asks the members of the group until the leader has answered. It tells
// whether a leader may have carried the call out, also when it fails.
func (c *ledgerClient) call(ctx context.Context, call ledgerCall, wait time.Duration) (answer ledgerAnswer, reached bool, err error) {
	body := encodeInternal(call)
	ctx, cancel := context.WithTimeout(ctx, ledgerCallTimeout+wait)
	defer cancel()
	err = replica.ErrUnavailable.New("no member of the ledger's group is known")
	for ctx.Err() == nil {
		for _, address := range c.addresses() {
			answer, err = c.askWithin(ctx, address, body, wait+ledgerAttemptTimeout)
			if err == nil && !answer.NotLeader {
				reached = true
			}
			if err != nil && !isDialError(err) {
				reached = true
			}
			if err == nil && !answer.NotLeader && !answer.Unknown {
				c.setLeader(address)
				return answer, true, nil
			}
			if err == nil && answer.NotLeader && answer.Leader != "" && answer.Leader != address {
				c.setLeader(answer.Leader)
				break
			}
			if ctx.Err() != nil {
				break
			}
		}
		sleep(ctx, ledgerPause)
	}
	if err == nil {
		err = replica.ErrUnavailable.New("the ledger has no leader")
	}
	return answer, reached, err
}

func (c *ledgerClient) setLeader(address string) {
	c.mutex.Lock()
	c.leader = address
	c.mutex.Unlock()
}

// addresses returns the group's members, the one that led last first.
func (c *ledgerClient) addresses() []string {
	c.mutex.Lock()
	leader := c.leader
	c.mutex.Unlock()
	var addresses []string
	if leader != "" {
		addresses = append(addresses, leader)
	}
	for _, member := range c.watcher.Catalog().Group.Members {
		if member.Address != leader {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

func (c *ledgerClient) askWithin(ctx context.Context, address string, body []byte, timeout time.Duration) (ledgerAnswer, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.ask(limited, address, body)
}

// ask sends an encoded call to the replica at the address.
func (c *ledgerClient) ask(ctx context.Context, address string, body []byte) (ledgerAnswer, error) {
	var answer ledgerAnswer
	data, err := replica.PostInternal(ctx, c.client, "http://"+address+ledgerCallPath, body)
	if err != nil {
		return answer, err
	}
	return answer, decodeInternal(data, &answer)
}
