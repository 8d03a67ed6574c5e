package server

import (
	"context"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/event"
	"github.com/dillchute/dillchute/replica"
)

const (
	// refreshStagger is the delay before a request to each further replica, and maxRefreshReplicas
	// limits the replicas queried.
	refreshStagger     = 40 * time.Millisecond
	maxRefreshReplicas = 4
	// maxCopyWait is how long after its start a refresh may delay a request that is served in any
	// case. Two replicas have been queried by then.
	maxCopyWait = 80 * time.Millisecond
)

// copyRefresh is a running refresh of the copy. All callers that need one wait for the same refresh.
type copyRefresh struct {
	// startedAt is a reading of package clock.
	startedAt time.Time
	// done is closed when the refresh has ended.
	done chan struct{}
}

// awaitFreshCopy returns once the copy may be used or the directory does not answer. It waits only if the
// copy is stale, and until maxWait after the refresh started, so that repeated calls for a request do not
// add up.
func (w *Watcher) awaitFreshCopy(ctx context.Context, maxWait time.Duration) copyState {
	state := w.age.state(nowMillis())
	if state == copyFresh || w.Catalog().Revision == 0 {
		return copyFresh
	}
	if state != copyStale {
		w.refreshInBackground()
		return state
	}
	refresh := w.startRefresh()
	timer := time.NewTimer(maxWait - clock.Since(refresh.startedAt))
	defer timer.Stop()
	select {
	case <-refresh.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	if state = w.age.state(nowMillis()); state == copyStale {
		state = copyUnreachable
	}
	return state
}

// keepFresh checks the copy's age periodically until the context ends, and refreshes the copy before requests
// have to wait for a refresh.
func (w *Watcher) keepFresh(ctx context.Context) {
	every(ctx, ageCheckInterval, func() {
		if w.Catalog().Revision > 0 && w.age.state(nowMillis()) != copyFresh {
			w.refreshInBackground()
		}
	})
}

// refreshInBackground starts a refresh without waiting for it, except shortly after a failed one.
func (w *Watcher) refreshInBackground() {
	if w.age.mayRefresh(nowMillis()) {
		w.startRefresh()
	}
}

// startRefresh returns the running refresh, or starts one.
func (w *Watcher) startRefresh() *copyRefresh {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.runningRefresh == nil {
		w.runningRefresh = &copyRefresh{startedAt: clock.Now(), done: make(chan struct{})}
		go w.runRefresh(w.runningRefresh)
	}
	return w.runningRefresh
}

// runRefresh updates the copy to everything that the directory had acknowledged when the refresh started. It
// takes at most refreshTimeout.
func (w *Watcher) runRefresh(refresh *copyRefresh) {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	if err := w.refreshCopy(ctx); err != nil {
		w.recordRefreshFailure(err)
	}
	w.mutex.Lock()
	w.runningRefresh = nil
	w.mutex.Unlock()
	close(refresh.done)
}

// recordRefreshFailure counts a failed refresh, and logs the first one that leaves the copy stale.
func (w *Watcher) recordRefreshFailure(err error) {
	now := nowMillis()
	w.failedRefreshes.Add(1)
	if w.age.state(now) > copyAging && w.isDisconnected.CompareAndSwap(false, true) {
		event.CopyStale.On(w.logger).Uint("revision", w.Catalog().Revision).Int("age_ms", now-w.age.confirmedAt.Load()).Err(err).Send()
	}
	w.age.recordFailure(now)
	// Idle connections may be broken as well.
	w.client.CloseIdleConnections()
}

// refreshCopy requests and applies the changes that the copy lacks.
func (w *Watcher) refreshCopy(ctx context.Context) error {
	for ctx.Err() == nil {
		startedAt, confirmedAt, base := nowMillis(), w.age.confirmedAt.Load(), w.Catalog()
		delta, err := w.requestDelta(ctx, base)
		if err != nil {
			return err
		}
		if !w.apply(base, delta) && w.Catalog().Revision < delta.Revision {
			// The watch has updated the copy in the meantime.
			continue
		}
		w.age.recordSuccess(startedAt)
		w.refreshes.Add(1)
		w.isDisconnected.Store(false)
		event.CopyRefreshed.On(w.logger).Int("age_ms", startedAt-confirmedAt).Uint("from", base.Revision).Uint("revision", w.Catalog().Revision).Send()
		return nil
	}
	return ctx.Err()
}

// requestDelta requests the changes since base from the replicas, starting one request per refreshStagger.
func (w *Watcher) requestDelta(ctx context.Context, base *directory.Catalog) (directory.Delta, error) {
	call := directoryCall{Newest: true, Missed: &missedCall{Since: base.Revision, Scope: w.scope(), Held: base.Held}}
	addresses := w.callAddresses()
	addresses = addresses[:min(len(addresses), maxRefreshReplicas)]
	type reply struct {
		answer directoryAnswer
		err    error
	}
	replies := make(chan reply, len(addresses))
	requestContext, cancel := context.WithCancel(ctx)
	defer cancel()
	err := error(replica.ErrUnavailable.New("no replica of the directory is known"))
	stagger := time.NewTimer(0)
	defer stagger.Stop()
	for sent, pending := 0, 0; sent < len(addresses) || pending > 0; {
		select {
		case <-stagger.C:
			if sent < len(addresses) {
				address := addresses[sent]
				go func() {
					answer, err := callDirectory(requestContext, w.client, address, call)
					replies <- reply{answer, err}
				}()
				sent, pending = sent+1, pending+1
				stagger.Reset(refreshStagger)
			}
		case received := <-replies:
			pending--
			if received.err == nil && received.answer.Missed != nil {
				w.recordResponse(received.answer.Leader)
				return *received.answer.Missed, nil
			}
			if received.err == nil && confirmsCopy(received.answer, base) {
				return directory.Delta{Revision: base.Revision, Replicas: base.Replicas}, nil
			}
			if err = received.err; err == nil {
				err = replica.ErrUnavailable.New("%s does not return missed changes", received.answer.Leader)
			}
			stagger.Reset(0)
		case <-ctx.Done():
			return directory.Delta{}, ctx.Err()
		}
	}
	return directory.Delta{}, err
}

// confirmsCopy reports whether the answer shows that the copy is complete. It handles answers of leaders of
// an earlier build, which contain only the confirmed revision.
func confirmsCopy(answer directoryAnswer, base *directory.Catalog) bool {
	return answer.Revision > 0 && answer.Revision <= base.Revision
}

// copyAgeSeconds returns the time since the copy was last confirmed to be complete.
func (w *Watcher) copyAgeSeconds() float64 {
	return float64(nowMillis()-w.age.confirmedAt.Load()) / millisPerSecond
}
