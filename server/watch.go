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
	// watchBackoff is the pause before the next replica is asked, and watchRest that after all
	// of them have failed: hundreds of watchers must not keep a directory busy that has no
	// leader, and a change that it then takes is still in force within half a second.
	watchBackoff = 50 * time.Millisecond
	watchRest    = 200 * time.Millisecond
)

// alarm is a timer that can be put off. A time.Timer is one.
type alarm interface {
	Stop() bool
	Reset(wait time.Duration) bool
}

// Watcher keeps a copy of the directory up to date.
type Watcher struct {
	logger *zerolog.Logger
	client *http.Client
	seeds  *Seeds
	// zone is this process's, and start spreads processes over the replicas of it.
	zone  string
	start int
	// scope returns the part of the backends that this process follows now.
	scope func() directory.Scope
	// after calls the function once the time has passed.
	after func(wait time.Duration, function func()) alarm

	catalog  atomic.Pointer[directory.Catalog]
	syncedAt atomic.Int64
	mutex    sync.Mutex
	changed  chan struct{}
	// leader is the address of the replica that led last, and unanswered that of the last one
	// that did not answer a call.
	leader, unanswered string

	// age tells whether the copy may be acted on, and followed what the lines of its watch prove;
	// followed belongs to Run.
	age      copyAge
	followed watchTracker
	// asked is the question that is under way, or nil. The counters are of those that have ended.
	asked                      *copyRefresh
	questions, questionsInVain atomic.Uint64
	// outOfTouch is set once it was logged that no replica answers, until one does.
	outOfTouch atomic.Bool
}

// NewWatcher returns a watcher that asks the seeds first, and later the members
// that it has learnt of, those of its own zone first.
func NewWatcher(seeds *Seeds, zone string, start int, logger *zerolog.Logger) *Watcher {
	w := &Watcher{
		logger: logger, client: replica.NewInternalClient(), seeds: seeds, zone: zone, start: start, changed: make(chan struct{}),
		scope: func() directory.Scope { return directory.ScopeAll },
		after: func(wait time.Duration, function func()) alarm { return time.AfterFunc(wait, function) },
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

// Run follows the directory until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	failures := 0
	awayFrom := clock.Now()
	for position := 0; ctx.Err() == nil; {
		addresses := w.addresses()
		address := addresses[position%len(addresses)]
		err := w.poll(ctx, address, firstLinePatience(failures/len(addresses)))
		if err == nil {
			if failures >= len(addresses) {
				event.DirectoryReachable.On(w.logger).Str("replica", address).Uint("revision", w.Catalog().Revision).Send()
			}
			failures = 0
			if position != 0 && clock.Since(awayFrom) > watchHomeward {
				position, awayFrom = 0, clock.Now()
			}
			continue
		}
		w.followed.reset()
		position++
		failures++
		awayFrom = clock.Now()
		w.noteFailure(ctx, failures, len(addresses), err)
	}
}

// watchHomeward is how long a watcher stays with a replica that is not its first choice, before it
// tries that again: one of its own zone costs no bytes between zones, and the load of a replica
// that was away comes back to it.
const watchHomeward = 15 * time.Second

// noteFailure pauses before the next replica is asked. When all have failed,
// the settings may name others by now.
func (w *Watcher) noteFailure(ctx context.Context, failures, addresses int, err error) {
	if failures == addresses && ctx.Err() == nil {
		event.DirectoryUnreachable.On(w.logger).Uint("revision", w.Catalog().Revision).Err(err).Send()
	}
	pause := watchBackoff
	if failures%addresses == 0 {
		w.seeds.Refresh()
		pause = watchRest
	}
	w.sleep(ctx, pause)
}

// firstLinePatience returns how long a replica's first line may take after so many rounds in
// vain.
func firstLinePatience(rounds int) time.Duration {
	patience := watchFirstLine
	for range rounds {
		patience = min(2*patience, watchPatience)
	}
	return patience
}

// sleep waits for the time, or until the context ends.
func (w *Watcher) sleep(ctx context.Context, pause time.Duration) {
	over := make(chan struct{})
	timer := w.after(pause, func() { close(over) })
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-over:
	}
}

// addresses returns the replicas known, the members of the own zone first, then the other members
// and the seeds. Each process begins at another place of each part.
func (w *Watcher) addresses() []string {
	catalog := w.Catalog()
	var near, far []string
	for _, member := range catalog.Replicas {
		if catalog.Zones[member.Address].Zone == w.zone {
			near = append(near, member.Address)
		} else {
			far = append(far, member.Address)
		}
	}
	addresses := append(rotated(near, w.start), rotated(far, w.start)...)
	for _, seed := range rotated(w.seeds.Addresses(), w.start) {
		if !slices.Contains(addresses, seed) {
			addresses = append(addresses, seed)
		}
	}
	return addresses
}

// rotated returns the list as it is from a place on, and then its beginning.
func rotated(list []string, start int) []string {
	if len(list) == 0 {
		return nil
	}
	place := start % len(list)
	return append(slices.Clone(list[place:]), list[:place]...)
}

// poll asks one replica for what is newer than the copy. A replica that says nothing for too
// long is left: it, or the way to it, has gone dark.
func (w *Watcher) poll(ctx context.Context, address string, patience time.Duration) error {
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := w.after(patience, func() { cancel(replica.ErrUnavailable.New("%s is silent", address)) })
	defer silence.Stop()
	scope := w.scope()
	err := w.pollWithin(limited, address, scope, func() {
		silence.Reset(watchSilence)
		if w.scope() != scope {
			cancel(errOtherScope)
		}
	})
	if errors.Is(context.Cause(limited), errOtherScope) {
		return nil
	}
	if err != nil && limited.Err() != nil && ctx.Err() == nil {
		// Others of the connections that are kept may be as silent.
		w.client.CloseIdleConnections()
		return context.Cause(limited)
	}
	return err
}

// errOtherScope ends a watch of which this process wants another part by now: it asks again.
var errOtherScope = errors.New("the watcher follows another part")

// pollWithin calls the function with whatever comes.
func (w *Watcher) pollWithin(ctx context.Context, address string, scope directory.Scope, noteHeard func()) error {
	catalog := w.Catalog()
	url := fmt.Sprintf("http://%s%s?since=%d&%s=%s&%s=%s&%s=%s", address, directoryWatchPath, catalog.Revision,
		watchMembersParameter, membersDigest(catalog.Replicas), watchScopeParameter, scope, watchHeldParameter, catalog.Held)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	asked := nowMillis()
	w.followed.start(asked, address)
	response, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return replica.ErrUnavailable.New("%s answered %d", address, response.StatusCode)
	}
	noteHeard()
	w.followed.recordReceived(nowMillis())
	body, err := readWatch(response.Body, func() {
		noteHeard()
		w.syncedAt.Store(nowMillis())
	}, w.noteLine)
	if errors.Is(err, io.EOF) {
		return replica.ErrUnavailable.New("%s holds no watch", address)
	}
	if err != nil {
		return err
	}
	var delta directory.Delta
	if err := decodeInternal(body, &delta); err != nil {
		return err
	}
	if w.take(catalog, delta) {
		w.noteAnswer(catalog, asked, saysProved(response))
	}
	return nil
}

// noteAnswer notes what the answer to a watch proves that was asked for then.
func (w *Watcher) noteAnswer(before *directory.Catalog, asked int64, proved bool) {
	switch {
	case before.Revision == 0:
		// A process that knows nothing is told all that was acknowledged when it asked.
		w.age.recordConfirmed(asked)
	case proved:
		w.age.recordConfirmed(asked - maxLineAge.Milliseconds())
	}
}

// noteLine takes in a line of the watch.
func (w *Watcher) noteLine() {
	if at, proves := w.followed.recordLine(nowMillis()); proves {
		w.age.recordConfirmed(at)
	}
}

// take makes the delta from a copy the newest copy. It tells whether that was the newest until
// then: another answer may have come meanwhile, and the directory is asked again.
func (w *Watcher) take(catalog *directory.Catalog, delta directory.Delta) bool {
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

// callTimeout bounds the call of one replica.
const callTimeout = time.Second

// call has the directory's leader carry out the call, trying each replica: one that does not lead
// passes it on. An attempt takes at most half of the time that is left, so that a replica that
// has gone dark leaves some for the next.
func (w *Watcher) call(ctx context.Context, call directoryCall) (directoryAnswer, error) {
	var answer directoryAnswer
	err := error(replica.ErrUnavailable.New("no replica of the directory is known"))
	for _, address := range w.callAddresses() {
		answer, err = w.callWithin(ctx, attemptTimeout(ctx), address, call)
		if err == nil {
			w.noteAnswered(answer.Leader)
			return answer, nil
		}
		w.noteUnanswered(address)
	}
	return answer, err
}

// attemptTimeout returns how long one replica is waited for.
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

// callAddresses returns the replicas in the order in which they are called: the last leader first,
// and last the one that has failed most recently.
func (w *Watcher) callAddresses() []string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	addresses := w.addresses()
	if position := slices.Index(addresses, w.unanswered); position >= 0 {
		addresses = append(slices.Delete(addresses, position, position+1), w.unanswered)
	}
	if position := slices.Index(addresses, w.leader); position > 0 {
		addresses[0], addresses[position] = addresses[position], addresses[0]
	}
	return addresses
}

func (w *Watcher) noteAnswered(leader string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leader = leader
	if w.unanswered == leader {
		w.unanswered = ""
	}
}

func (w *Watcher) noteUnanswered(address string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.unanswered = address
	if w.leader == address {
		w.leader = ""
	}
}

// ageSeconds returns the time since the directory last answered.
func (w *Watcher) ageSeconds() float64 {
	return float64(nowMillis()-w.syncedAt.Load()) / millisPerSecond
}
