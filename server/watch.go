package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/replica"
)

const (
	// watchBackoff is the pause before the next replica is queried, and watchRoundBackoff that after all
	// replicas have failed, which limits the load of hundreds of watchers on a directory without a leader. A
	// change that the directory accepts after that is still in force within half a second.
	watchBackoff      = 50 * time.Millisecond
	watchRoundBackoff = 200 * time.Millisecond
)

// resettableTimer is the part of time.Timer that a Watcher uses.
type resettableTimer interface {
	Stop() bool
	Reset(wait time.Duration) bool
}

// Watcher keeps a copy of the directory up to date.
type Watcher struct {
	logger *zerolog.Logger
	client *http.Client
	seeds  *Seeds
	// zone is this process's zone, and rotation spreads processes over its replicas.
	zone     string
	rotation int
	// scope returns the current scope: the part of the backends that this process needs.
	scope func() directory.Scope
	// after calls the function after the wait. It is replaced in tests.
	after func(wait time.Duration, function func()) resettableTimer

	catalog  atomic.Pointer[directory.Catalog]
	syncedAt atomic.Int64
	mutex    sync.Mutex
	changed  chan struct{}
	// leader is the address of the last known leader, and unresponsive that of the last replica that did
	// not answer a call.
	leader, unresponsive string

	// age tracks whether the copy is fresh enough to act on. tracker updates it from the keepalives of the
	// current watch; it is used only by Run.
	age     copyAge
	tracker watchTracker
	// runningRefresh is the running refresh, or nil. refreshes counts the successful ones.
	runningRefresh             *copyRefresh
	refreshes, failedRefreshes atomic.Uint64
	// isDisconnected is set from the first failed refresh that leaves the copy stale, which is logged, until
	// the next successful one.
	isDisconnected atomic.Bool
}

// NewWatcher returns a watcher that asks the seeds until it knows the members of the directory. Then it asks
// those of its zone first.
func NewWatcher(seeds *Seeds, zone string, rotation int, logger *zerolog.Logger) *Watcher {
	w := &Watcher{
		logger: logger, client: replica.NewInternalClient(), seeds: seeds, zone: zone, rotation: rotation, changed: make(chan struct{}),
		scope: func() directory.Scope { return directory.ScopeAll },
		after: func(wait time.Duration, function func()) resettableTimer { return time.AfterFunc(wait, function) },
	}
	w.catalog.Store(directory.NewCatalog())
	return w
}

// Catalog returns the newest copy.
func (w *Watcher) Catalog() *directory.Catalog { return w.catalog.Load() }

// Changed returns a channel that is closed when there is a newer copy.
func (w *Watcher) Changed() <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.changed
}

// Run keeps the copy up to date until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	failures := 0
	lastSwitchAt := clock.Now()
	for position := 0; ctx.Err() == nil; {
		addresses := w.addresses()
		address := addresses[position%len(addresses)]
		err := w.poll(ctx, address, firstByteTimeout(failures/len(addresses)))
		if err == nil {
			if failures >= len(addresses) {
				event.DirectoryReachable.On(w.logger).Str("replica", address).Uint("revision", w.Catalog().Revision).Send()
			}
			failures = 0
			if position != 0 && clock.Since(lastSwitchAt) > preferredReplicaRetryInterval {
				position, lastSwitchAt = 0, clock.Now()
			}
			continue
		}
		w.tracker.reset()
		position++
		failures++
		lastSwitchAt = clock.Now()
		w.backOff(ctx, failures, len(addresses), err)
	}
}

// preferredReplicaRetryInterval is how long a watcher stays with another replica before it tries its
// preferred one again, to avoid traffic between zones and to balance the load.
const preferredReplicaRetryInterval = 15 * time.Second

// backOff pauses before the next replica is queried. After all have failed it reloads the seeds.
func (w *Watcher) backOff(ctx context.Context, failures, addresses int, err error) {
	if failures == addresses && ctx.Err() == nil {
		event.DirectoryUnreachable.On(w.logger).Uint("revision", w.Catalog().Revision).Err(err).Send()
	}
	backoff := watchBackoff
	if failures%addresses == 0 {
		w.seeds.Refresh()
		backoff = watchRoundBackoff
	}
	w.sleep(ctx, backoff)
}

// firstByteTimeout returns how long a replica's first byte may take after that many failed rounds.
func firstByteTimeout(rounds int) time.Duration {
	timeout := minFirstByteTimeout
	for range rounds {
		timeout = min(2*timeout, maxFirstByteTimeout)
	}
	return timeout
}

// sleep waits for the duration, or until the context ends.
func (w *Watcher) sleep(ctx context.Context, duration time.Duration) {
	elapsed := make(chan struct{})
	timer := w.after(duration, func() { close(elapsed) })
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-elapsed:
	}
}

// addresses returns the known replicas: the members of this zone, the other members and the seeds. Each
// part is rotated.
func (w *Watcher) addresses() []string {
	catalog := w.Catalog()
	var sameZone, otherZones []string
	for _, member := range catalog.Replicas {
		if catalog.Zones[member.Address].Zone == w.zone {
			sameZone = append(sameZone, member.Address)
		} else {
			otherZones = append(otherZones, member.Address)
		}
	}
	addresses := append(rotated(sameZone, w.rotation), rotated(otherZones, w.rotation)...)
	for _, seed := range rotated(w.seeds.Addresses(), w.rotation) {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// rotated returns the list, rotated to begin at the offset.
func rotated(list []string, offset int) []string {
	if len(list) == 0 {
		return nil
	}
	position := offset % len(list)
	return append(slices.Clone(list[position:]), list[:position]...)
}

// poll asks one replica for changes. It gives up on a replica that sends nothing for too long.
func (w *Watcher) poll(ctx context.Context, address string, timeout time.Duration) error {
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := w.after(timeout, func() { cancel(replica.ErrUnavailable.New("%s sent nothing in time", address)) })
	defer idleTimer.Stop()
	scope := w.scope()
	err := w.pollOnce(limited, address, scope, func() {
		idleTimer.Reset(watchIdleTimeout)
		if w.scope() != scope {
			cancel(errScopeChanged)
		}
	})
	if errors.Is(context.Cause(limited), errScopeChanged) {
		return nil
	}
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		// Other idle connections may be dead too.
		w.client.CloseIdleConnections()
		return context.Cause(limited)
	}
	return err
}

// errScopeChanged ends a watch whose scope has changed; the watcher queries again.
var errScopeChanged = errors.New("the scope of the watcher has changed")

// pollOnce sends one watch request, and calls onData whenever data arrives.
func (w *Watcher) pollOnce(ctx context.Context, address string, scope directory.Scope, onData func()) error {
	catalog := w.Catalog()
	url := fmt.Sprintf("http://%s%s?since=%d&%s=%s&%s=%s&%s=%s", address, directoryWatchPath, catalog.Revision,
		watchMembersParameter, membersDigest(catalog.Replicas), watchScopeParameter, scope, watchHeldParameter, catalog.Held)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	requestedAt := nowMillis()
	w.tracker.start(requestedAt, address)
	response, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return replica.ErrUnavailable.New("%s responded with status %d", address, response.StatusCode)
	}
	onData()
	w.tracker.recordReceived(nowMillis())
	body, err := readWatch(response.Body, func() {
		onData()
		w.syncedAt.Store(nowMillis())
	}, w.recordKeepalive)
	if errors.Is(err, io.EOF) {
		return replica.ErrUnavailable.New("%s rejected the watch", address)
	}
	if err != nil {
		return err
	}
	var delta directory.Delta
	if err := decodeInternal(body, &delta); err != nil {
		return err
	}
	if w.apply(catalog, delta) {
		w.recordWatchAnswer(catalog, requestedAt, isMarkedFresh(response))
	}
	return nil
}

// recordWatchAnswer records what the answer to a watch confirms about the age of the copy.
func (w *Watcher) recordWatchAnswer(before *directory.Catalog, requestedAt int64, isFresh bool) {
	switch {
	case before.Revision == 0:
		// The first answer holds everything that was acknowledged before the request.
		w.age.recordConfirmed(requestedAt)
	case isFresh:
		w.age.recordConfirmed(requestedAt - maxKeepaliveAge.Milliseconds())
	}
}

// recordKeepalive records a keepalive of the watch.
func (w *Watcher) recordKeepalive() {
	if confirmedAt, ok := w.tracker.recordKeepalive(nowMillis()); ok {
		w.age.recordConfirmed(confirmedAt)
	}
}

// apply applies a delta to the copy that it is based on. It returns false if the copy has been replaced
// since.
func (w *Watcher) apply(catalog *directory.Catalog, delta directory.Delta) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.syncedAt.Store(nowMillis())
	if w.catalog.Load() != catalog {
		return false
	}
	unchanged := delta.Revision == catalog.Revision && !delta.Full
	if unchanged && slices.Equal(delta.Replicas, catalog.Replicas) {
		return true
	}
	if unchanged {
		delta.Version, delta.Held = catalog.Version, catalog.Held
	}
	next := catalog.With(delta)
	w.catalog.Store(next)
	if next.Version != catalog.Version {
		event.ConfigurationApplied.On(w.logger).Uint("version", next.Version).Uint("revision", next.Revision).Send()
	}
	close(w.changed)
	w.changed = make(chan struct{})
	return true
}

// callTimeout bounds the call to one replica.
const callTimeout = time.Second

// call executes the call on the directory's leader, through any replica. An attempt takes at most half of the
// remaining time, which leaves time for the next replica if one is unresponsive.
func (w *Watcher) call(ctx context.Context, call directoryCall) (directoryAnswer, error) {
	var answer directoryAnswer
	err := error(replica.ErrUnavailable.New("no replica of the directory is known"))
	for _, address := range w.callAddresses() {
		answer, err = w.callWithin(ctx, attemptTimeout(ctx), address, call)
		if err == nil {
			w.recordResponse(answer.Leader)
			return answer, nil
		}
		w.recordNoResponse(address)
	}
	return answer, err
}

// attemptTimeout returns the timeout of a call to one replica.
func attemptTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return callTimeout
	}
	return min(callTimeout, time.Until(deadline)/2)
}

func (w *Watcher) callWithin(ctx context.Context, timeout time.Duration, address string, call directoryCall) (directoryAnswer, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return callDirectory(limited, w.client, address, call)
}

// callAddresses returns the replicas in the order in which they are called: the last known leader first,
// and the last unresponsive one last.
func (w *Watcher) callAddresses() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	addresses := w.addresses()
	if position := slices.Index(addresses, w.unresponsive); position >= 0 {
		addresses = append(slices.Delete(addresses, position, position+1), w.unresponsive)
	}
	if position := slices.Index(addresses, w.leader); position > 0 {
		addresses[0], addresses[position] = addresses[position], addresses[0]
	}
	return addresses
}

func (w *Watcher) recordResponse(leader string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leader = leader
	if w.unresponsive == leader {
		w.unresponsive = ""
	}
}

func (w *Watcher) recordNoResponse(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.unresponsive = address
	if w.leader == address {
		w.leader = ""
	}
}

// syncAgeSeconds returns the time since the directory last answered.
func (w *Watcher) syncAgeSeconds() float64 {
	return float64(nowMillis()-w.syncedAt.Load()) / millisPerSecond
}
