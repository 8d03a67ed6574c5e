package server

import (
	"context"
	"sync"
	"time"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
)

const (
	// minFeedInterval is the minimum time between two rounds of answers to watchers, and
	// feedIntervalPerWatcher is added for each watcher. This limits a replica to about 200 answers a second
	// while thousands of backends register, and each of a thousand watchers to a few round trips a second
	// instead of dozens. Urgent changes do not wait; see directory.Machine.UrgentRevision. A registration
	// waits for half an interval on average, and nobody misses the new backend meanwhile.
	minFeedInterval        = 10 * time.Millisecond
	feedIntervalPerWatcher = 5 * time.Millisecond
	// maxFeedInterval limits the interval on a replica with many watchers, so that changes reach them within
	// a second.
	maxFeedInterval = 250 * time.Millisecond
)

// feed holds the newest round of the state that watchers receive, with its encoded answers. Watchers at the
// same revision share one answer. It is safe for concurrent use.
type feed struct {
	mutex sync.Mutex
	round *feedRound
}

// feedRound is the state as of one round.
type feedRound struct {
	revision uint64
	// next is closed when the next round begins.
	next chan struct{}

	mutex sync.Mutex
	// answers are encoded deltas, by the watcher's revision, scope and members.
	answers map[feedKey]*feedAnswer
}

// feedKey identifies an answer.
type feedKey struct {
	watch directory.Watch
	// members is the digest of the members in the answer.
	members string
}

// feedAnswer is an encoded delta, built once.
type feedAnswer struct {
	once sync.Once
	// revision is the watcher's revision after the delta, and isEmpty is set if the delta changes nothing
	// else. isValid is false if the replica has stopped.
	revision uint64
	isEmpty  bool
	body     []byte
	isValid  bool
}

func newFeedRound(revision uint64) *feedRound {
	return &feedRound{revision: revision, next: make(chan struct{}), answers: map[feedKey]*feedAnswer{}}
}

func newFeed() *feed { return &feed{round: newFeedRound(0)} }

// current returns the newest round.
func (f *feed) current() *feedRound {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.round
}

// advance begins a round if the revision has changed.
func (f *feed) advance(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.round.revision == revision {
		return
	}
	previous := f.round
	f.round = newFeedRound(revision)
	close(previous.next)
}

// answer returns the answer for the key, which the function builds on first use.
func (r *feedRound) answer(key feedKey, build func() (directory.Delta, bool)) *feedAnswer {
	r.mutex.Lock()
	answer := r.answers[key]
	if answer == nil {
		answer = &feedAnswer{}
		r.answers[key] = answer
	}
	r.mutex.Unlock()
	answer.once.Do(func() {
		var delta directory.Delta
		if delta, answer.isValid = build(); answer.isValid {
			answer.revision, answer.isEmpty = delta.Revision, delta.IsEmpty()
			answer.body = encodeInternal(delta)
		}
	})
	return answer
}

// feedInterval returns the minimum time between two rounds for the number of watchers.
func feedInterval(watchers int) time.Duration {
	return min(minFeedInterval+time.Duration(watchers)*feedIntervalPerWatcher, maxFeedInterval)
}

// feedWatchers begins rounds as the machine changes, at most once per feed interval unless a change is
// urgent.
func (d *Directory) feedWatchers(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.replica.Changed()
		d.updateView()
		d.feed.advance(d.view.Load().Revision)
		d.awaitRound(ctx, changed)
	}
}

// awaitRound waits until the next round is due: after an urgent change, or after any change once the interval
// has passed.
func (d *Directory) awaitRound(ctx context.Context, changed <-chan struct{}) {
	interval := time.NewTimer(feedInterval(d.confirmations.activeWatches()))
	defer interval.Stop()
	intervalElapsed, hasChanged := false, false
	for !intervalElapsed || !hasChanged {
		select {
		case <-ctx.Done():
			return
		case <-interval.C:
			intervalElapsed = true
		case <-changed:
			hasChanged = true
			changed = d.replica.Changed()
			if d.hasUrgentChange() {
				return
			}
		}
	}
}

// hasUrgentChange reports whether the machine has an urgent change that the view lacks.
func (d *Directory) hasUrgentChange() bool {
	urgentRevision := uint64(0)
	d.replica.Do(func() { urgentRevision = d.machine.UrgentRevision() })
	return urgentRevision > d.view.Load().Revision
}

// updateView brings the view up to date with the machine.
func (d *Directory) updateView() {
	view := d.view.Load()
	var delta directory.Delta
	read := d.replica.Do(func() {
		if d.machine.Revision() != view.Revision {
			delta = d.machine.DeltaSince(view.Revision)
		}
	})
	if read && delta.Revision != 0 {
		d.view.Store(view.With(delta))
	}
}

// answerSince returns the round's answer to a watch.
func (d *Directory) answerSince(round *feedRound, watch directory.Watch, members []consensus.Member) *feedAnswer {
	return round.answer(feedKey{watch: watch, members: membersDigest(members)}, func() (directory.Delta, bool) {
		var delta directory.Delta
		read := d.replica.Do(func() { delta = d.machine.DeltaFor(watch) })
		delta.Replicas = members
		return delta, read
	})
}
