package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/intake"
	"github.com/dillchute/dillchute/internal/pack"
	"github.com/dillchute/dillchute/replica"
)

const (
	// ledgerAttemptTimeout limits a call to one replica, in addition to the time that the call may wait.
	ledgerAttemptTimeout = 900 * time.Millisecond
	ledgerRetryInterval  = 60 * time.Millisecond
	// ledgerCallTimeout limits the search for the group's leader, after which the call fails.
	ledgerCallTimeout = 2500 * time.Millisecond
	// localReplicaTimeout limits a call to the replica in the local zone. After a failure it is not called
	// for localReplicaBackoff.
	localReplicaTimeout = 300 * time.Millisecond
	localReplicaBackoff = 3 * time.Second
)

// ledgerClient calls the ledger group for a gateway.
type ledgerClient struct {
	watcher *Watcher
	client  *http.Client
	// memory is the budget for answers.
	memory *intake.Budget
	zone   string
	logger *zerolog.Logger

	mutex sync.Mutex
	// leader is the address of the last known leader.
	leader string
	// localRetryAt is when the replica in the local zone may be called again after a failure.
	localRetryAt time.Time
}

// newLedgerClient returns a client that takes the memory for answers from the budget.
func newLedgerClient(watcher *Watcher, zone string, memory *intake.Budget, logger *zerolog.Logger) *ledgerClient {
	return &ledgerClient{memory: memory, watcher: watcher, client: replica.NewInternalClient(), zone: zone, logger: logger}
}

// results returns a step's results. A call that does not wait reads them from the replica in the local zone
// if it has any, since applied results are committed and never change. All other calls go to the leader.
func (c *ledgerClient) results(ctx context.Context, call resultsCall) (ledgerAnswer, bool, error) {
	if call.Wait == 0 {
		if answer, ok := c.localResults(ctx, call); ok {
			return answer, true, nil
		}
	}
	return c.call(ctx, ledgerCall{Results: &call}, call.Wait)
}

// localResults calls the replica in the local zone and reports whether it returned any results.
func (c *ledgerClient) localResults(ctx context.Context, call resultsCall) (ledgerAnswer, bool) {
	address := c.localMember()
	if address == "" {
		return ledgerAnswer{}, false
	}
	call.Near = true
	limited, cancel := context.WithTimeout(ctx, localReplicaTimeout)
	defer cancel()
	answer, err := c.send(limited, address, encodeInternal(ledgerCall{Results: &call}))
	if err != nil && ctx.Err() == nil {
		c.mutex.Lock()
		c.localRetryAt = time.Now().Add(localReplicaBackoff)
		c.mutex.Unlock()
		event.LocalReplicaUnavailable.On(c.logger).Str("replica", address).Err(err).Send()
	}
	return answer, err == nil && len(answer.Results) > 0
}

// localMember returns the address of a member in the local zone that is not known to lead, or "" if there
// is none or calls to it are in a backoff.
func (c *ledgerClient) localMember() string {
	c.mutex.Lock()
	leader, retryAt := c.leader, c.localRetryAt
	c.mutex.Unlock()
	if time.Now().Before(retryAt) {
		return ""
	}
	catalog := c.watcher.Catalog()
	for _, member := range catalog.Group.Members {
		if member.Address != leader && storeZone(catalog, member.Address) == c.zone {
			return member.Address
		}
	}
	return ""
}

func storeZone(catalog *directory.Catalog, address string) string {
	for _, store := range catalog.Stores {
		if store.Address == address {
			return store.Zone
		}
	}
	return ""
}

// call sends the call to the group's members until the leader has answered. mayHaveExecuted reports whether
// a leader may have executed the call, even if it failed.
func (c *ledgerClient) call(ctx context.Context, call ledgerCall, wait time.Duration) (answer ledgerAnswer, mayHaveExecuted bool, err error) {
	body := encodeInternal(call)
	ctx, cancel := context.WithTimeout(ctx, ledgerCallTimeout+wait)
	defer cancel()
	err = replica.ErrUnavailable.New("no member of the ledger's group is known")
	for ctx.Err() == nil {
		for _, address := range c.addresses() {
			answer, err = c.sendWithTimeout(ctx, address, body, wait+ledgerAttemptTimeout)
			if err == nil && !answer.NotLeader && !answer.isRefused() {
				mayHaveExecuted = true
			}
			if err != nil && !isDialError(err) {
				mayHaveExecuted = true
			}
			if intake.IsRefusal(err) || err == nil && answer.isRefused() && call.Submit == nil {
				return ledgerAnswer{}, mayHaveExecuted, replica.ErrUnavailable.New("no memory for the call or its answer")
			}
			if err == nil && !answer.NotLeader && (!answer.Unknown || answer.isRefused()) {
				c.setLeader(address)
				return answer, mayHaveExecuted, nil
			}
			if err == nil && answer.NotLeader && answer.Leader != "" && answer.Leader != address {
				c.setLeader(answer.Leader)
				break
			}
			if ctx.Err() != nil {
				break
			}
		}
		sleep(ctx, ledgerRetryInterval)
	}
	if err == nil {
		err = replica.ErrUnavailable.New("the ledger has no leader")
	}
	return answer, mayHaveExecuted, err
}

func (c *ledgerClient) setLeader(address string) {
	c.mutex.Lock()
	c.leader = address
	c.mutex.Unlock()
}

// addresses returns the addresses of the group's members, the last known leader first.
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

func (c *ledgerClient) sendWithTimeout(ctx context.Context, address string, body []byte, timeout time.Duration) (ledgerAnswer, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.send(limited, address, body)
}

// send sends an encoded call to the replica at the address.
func (c *ledgerClient) send(ctx context.Context, address string, body []byte) (ledgerAnswer, error) {
	var answer ledgerAnswer
	read, err := replica.PostInternalWithin(ctx, c.client, "http://"+address+ledgerCallPath, body, c.memory)
	if err != nil {
		return answer, err
	}
	defer read.Release()
	memory, err := pack.DecodeWithin(c.memory, read.Bytes, maxInternalBytes, &answer)
	if err != nil {
		return answer, err
	}
	// Without a scope, the reservation ends here.
	intake.ScopeOf(ctx).Add(memory)
	return answer, nil
}
