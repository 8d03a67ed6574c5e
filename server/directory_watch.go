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

// confirmTimeout bounds the question which revision is the newest, for which no lines are sent.
const confirmTimeout = 600 * time.Millisecond

// serveWatch answers with what changed after a revision, as soon as there is
// something. A replica that hears no leader answers nothing: it may be cut off. One
// without a proof that it holds everything lets its watchers go, so that they ask
// another one.
// A watcher that knows nothing is told nothing older than what a quorum has
// confirmed after its question, so that a restarted process never acts on a
// state that has passed; later answers cannot go back.
func (d *Directory) serveWatch(response http.ResponseWriter, request *http.Request) {
	since, err := strconv.ParseUint(request.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(response, "since: must be a number", http.StatusBadRequest)
		return
	}
	d.evidence.beginWatch(clock.Now())
	defer func() { d.evidence.endWatch(clock.Now()) }()
	query := request.URL.Query()
	answer := &watchAnswer{response: response, members: query.Get(watchMembersParameter)}
	answer.isProved = func() bool { return d.evidence.proves(clock.Now()) }
	least := since + 1
	if since == 0 {
		newest, err := d.firstRevision(request.Context(), answer)
		if err != nil {
			answer.refuse(err.Error())
			return
		}
		least = max(least, newest)
	}
	watch := directory.Watch{Since: since, Scope: directory.Scope(query.Get(watchScopeParameter)), Held: query.Get(watchHeldParameter)}
	if since > 0 && !d.holdsScope(watch) {
		least = since
	}
	d.answerWatch(request.Context(), answer, watch, least)
}

// holdsScope tells whether the watcher holds the backends that are in its scope now. One that does
// not is told of them at once, though there is no other revision.
func (d *Directory) holdsScope(watch directory.Watch) bool {
	holds := false
	d.replica.Do(func() { holds = d.machine.IsScopeCurrent(watch) })
	return holds
}

// firstRevision returns the revision that a watcher is to be told that knows nothing.
func (d *Directory) firstRevision(ctx context.Context, answer *watchAnswer) (uint64, error) {
	if !d.replica.Status().LeaderKnown {
		return 0, replica.ErrUnavailable.New("no leader is known")
	}
	if !answer.hold() {
		return 0, replica.ErrUnavailable.New("the watcher is gone")
	}
	return d.newestRevision(ctx)
}

// newestRevision returns the revision that a quorum has confirmed.
func (d *Directory) newestRevision(ctx context.Context) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return d.confirmedRevision(limited, directoryCall{Newest: true})
}

// answerWatch waits until the machine has reached the least revision and holds something new for
// the watcher, and answers with it.
func (d *Directory) answerWatch(ctx context.Context, answer *watchAnswer, watch directory.Watch, least uint64) {
	hold := watchWait
	if answer.members != "" {
		hold = watchHold
	}
	timeout := time.NewTimer(hold)
	defer timeout.Stop()
	line := time.NewTicker(watchLineInterval)
	defer line.Stop()
	lapsed := d.evidence.Lapsed()
	for {
		status := d.replica.Status()
		round := d.feed.current()
		if !status.LeaderKnown {
			answer.refuse("no leader is known")
			return
		}
		if round.revision >= least {
			news := d.answerSince(round, watch, status.Members)
			switch {
			case !news.ok:
				answer.refuse("the replica has stopped")
				return
			case news.empty:
				// The watcher misses nothing up to there.
				watch.Since, least = news.revision, news.revision+1
			case news.revision >= least:
				answer.giveEncoded(news.body)
				return
			}
		}
		if !answer.begun && !answer.hold() {
			return
		}
		switch d.awaitChange(ctx, answer, watchSignals{changed: round.next, lapsed: lapsed, timeout: timeout.C, line: line.C}) {
		case watchGoesOn:
		case watchEnds:
			return
		case watchRefused:
			answer.refuse("this replica trails")
			return
		case watchTimesOut:
			d.answerHeld(answer, watch)
			return
		}
	}
}

// watchSignals are what a watch waits for.
type watchSignals struct {
	changed, lapsed <-chan struct{}
	timeout, line   <-chan time.Time
}

// watchStep tells how a watch goes on.
type watchStep uint8

const (
	// watchGoesOn: there may be news.
	watchGoesOn watchStep = iota
	// watchEnds: nobody waits any more.
	watchEnds
	// watchRefused: this replica may trail.
	watchRefused
	// watchTimesOut: the watch has been held for long enough, or the watcher knows other members.
	watchTimesOut
)

// awaitChange waits for the machine's next change.
func (d *Directory) awaitChange(ctx context.Context, answer *watchAnswer, signals watchSignals) watchStep {
	for {
		select {
		case <-signals.changed:
			return watchGoesOn
		case <-ctx.Done():
			return watchEnds
		case <-signals.lapsed:
			return watchRefused
		case <-signals.timeout:
			return watchTimesOut
		case <-signals.line:
			switch {
			case d.hasOtherMembers(answer):
				return watchTimesOut
			case !answer.hold():
				return watchEnds
			}
		}
	}
}

// hasOtherMembers tells whether the watcher knows other members than this replica, which is
// certain of its own.
func (d *Directory) hasOtherMembers(answer *watchAnswer) bool {
	return answer.members != "" && answer.members != membersDigest(d.replica.Status().Members) && d.evidence.proves(clock.Now())
}

// answerHeld answers a watch that has been held for long enough, with what is new for the watcher by
// now, if anything. Only a replica that is certain to hold everything can say so.
func (d *Directory) answerHeld(answer *watchAnswer, watch directory.Watch) {
	var delta directory.Delta
	read := d.replica.Do(func() { delta = d.machine.DeltaFor(watch) })
	trails := delta.Revision < watch.Since || watch.Since == 0 && delta.Revision > 0
	if !read || trails || !d.evidence.proves(clock.Now()) {
		answer.refuse("this replica trails")
		return
	}
	delta.Replicas = d.replica.Status().Members
	answer.give(delta)
}

// revision returns the machine's revision.
func (d *Directory) revision() uint64 {
	revision := uint64(0)
	d.replica.Do(func() { revision = d.machine.Revision() })
	return revision
}
