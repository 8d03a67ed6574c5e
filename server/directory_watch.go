package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/replica"
)

// initialReadTimeout bounds the read of the newest revision, during which no keepalives are sent.
const initialReadTimeout = 600 * time.Millisecond

// serveWatch answers with the changes after a revision as soon as there are any. A replica that knows no
// leader, or whose read confirmation is too old, rejects the watch, so that the watcher asks another replica.
//
// The answer to a watcher without a copy includes at least the revision that a quorum confirms after the
// request, so that a restarted process never acts on an outdated state.
func (d *Directory) serveWatch(response http.ResponseWriter, request *http.Request) {
	since, err := strconv.ParseUint(request.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(response, "since: must be a number", http.StatusBadRequest)
		return
	}
	d.confirmations.beginWatch(clock.Now())
	defer func() { d.confirmations.endWatch(clock.Now()) }()
	query := request.URL.Query()
	answer := &watchAnswer{response: response, members: query.Get(watchMembersParameter)}
	answer.isFresh = func() bool { return d.confirmations.isFresh(clock.Now()) }
	minRevision := since + 1
	if since == 0 {
		newest, err := d.initialRevision(request.Context(), answer)
		if err != nil {
			answer.reject(err.Error())
			return
		}
		minRevision = max(minRevision, newest)
	}
	watch := directory.Watch{Since: since, Scope: directory.Scope(query.Get(watchScopeParameter)), Held: query.Get(watchHeldParameter)}
	if since > 0 && !d.isScopeCurrent(watch) {
		minRevision = since
	}
	d.answerWatch(request.Context(), answer, watch, minRevision)
}

// isScopeCurrent reports whether the watcher's copy has the backends of its current scope. If not, the watch
// is answered at once, even if the revision is the same.
func (d *Directory) isScopeCurrent(watch directory.Watch) bool {
	isCurrent := false
	d.replica.Do(func() { isCurrent = d.machine.IsScopeCurrent(watch) })
	return isCurrent
}

// initialRevision returns the minimum revision of an answer to a watcher without a copy.
func (d *Directory) initialRevision(ctx context.Context, answer *watchAnswer) (uint64, error) {
	if !d.replica.Status().LeaderKnown {
		return 0, replica.ErrUnavailable.New("no leader is known")
	}
	if !answer.sendKeepalive() {
		return 0, replica.ErrUnavailable.New("the watcher has disconnected")
	}
	return d.newestRevision(ctx)
}

// newestRevision returns a revision that a quorum confirms after the call.
func (d *Directory) newestRevision(ctx context.Context) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, initialReadTimeout)
	defer cancel()
	return d.confirmedRevision(limited, directoryCall{Newest: true})
}

// answerWatch waits until the machine has reached minRevision and has changes for the watcher, and sends
// them.
func (d *Directory) answerWatch(ctx context.Context, answer *watchAnswer, watch directory.Watch, minRevision uint64) {
	wait := plainWatchTimeout
	if answer.members != "" {
		wait = keepaliveWatchTimeout
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	suspended := d.confirmations.Suspended()
	for {
		status := d.replica.Status()
		round := d.feed.current()
		if !status.LeaderKnown {
			answer.reject("no leader is known")
			return
		}
		if round.revision >= minRevision {
			response := d.answerSince(round, watch, status.Members)
			switch {
			case !response.isValid:
				answer.reject("the replica has stopped")
				return
			case response.isEmpty:
				// The watcher lacks no changes up to this revision.
				watch.Since, minRevision = response.revision, response.revision+1
			case response.revision >= minRevision:
				answer.sendEncoded(response.body)
				return
			}
		}
		if !answer.started && !answer.sendKeepalive() {
			return
		}
		switch d.awaitChange(ctx, answer, watchSignals{changed: round.next, suspended: suspended, timeout: timeout.C, keepalive: keepalive.C}) {
		case watchChanged:
		case watchCanceled:
			return
		case watchSuspended:
			answer.reject("this replica may be stale")
			return
		case watchTimedOut:
			d.answerTimedOut(answer, watch)
			return
		}
	}
}

// watchSignals are the channels that a watch waits on.
type watchSignals struct {
	changed, suspended <-chan struct{}
	timeout, keepalive <-chan time.Time
}

// watchOutcome is the reason why a watch stops waiting.
type watchOutcome uint8

const (
	// watchChanged: there may be changes for the watcher.
	watchChanged watchOutcome = iota
	// watchCanceled: the watcher has disconnected.
	watchCanceled
	// watchSuspended: this replica may be stale.
	watchSuspended
	// watchTimedOut: the watch has reached its timeout, or the watcher's members are outdated.
	watchTimedOut
)

// awaitChange waits for the machine's next change, and sends keepalives meanwhile.
func (d *Directory) awaitChange(ctx context.Context, answer *watchAnswer, signals watchSignals) watchOutcome {
	for {
		select {
		case <-signals.changed:
			return watchChanged
		case <-ctx.Done():
			return watchCanceled
		case <-signals.suspended:
			return watchSuspended
		case <-signals.timeout:
			return watchTimedOut
		case <-signals.keepalive:
			switch {
			case d.membersDiffer(answer):
				return watchTimedOut
			case !answer.sendKeepalive():
				return watchCanceled
			}
		}
	}
}

// membersDiffer reports whether the watcher's members differ from this replica's. It returns false unless
// this replica is known to be up to date.
func (d *Directory) membersDiffer(answer *watchAnswer) bool {
	return answer.members != "" && answer.members != membersDigest(d.replica.Status().Members) && d.confirmations.isFresh(clock.Now())
}

// answerTimedOut answers a watch at its timeout with the changes for the watcher, if any. Only a replica
// that is known to be up to date may do so.
func (d *Directory) answerTimedOut(answer *watchAnswer, watch directory.Watch) {
	var delta directory.Delta
	read := d.replica.Do(func() { delta = d.machine.DeltaFor(watch) })
	isStale := delta.Revision < watch.Since || watch.Since == 0 && delta.Revision > 0
	if !read || isStale || !d.confirmations.isFresh(clock.Now()) {
		answer.reject("this replica may be stale")
		return
	}
	delta.Replicas = d.replica.Status().Members
	answer.send(delta)
}

// revision returns the machine's revision.
func (d *Directory) revision() uint64 {
	revision := uint64(0)
	d.replica.Do(func() { revision = d.machine.Revision() })
	return revision
}
