package server

import (
	"context"
	"sync"
	"time"

	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
)

const (
	// feedPause is the least time between two rounds in which a replica tells its watchers of
	// registrations, and feedPauseEach what each watcher adds to it: while thousands of backends
	// register, a replica answers some 200 watches a second, however many it serves, and each of
	// a thousand watchers spends a few round trips a second on them instead of dozens. What is
	// urgent does not wait, see directory.Machine.Urgent; a registration waits for half a pause
	// in the mean, and is missed by nobody meanwhile.
	feedPause     = 10 * time.Millisecond
	feedPauseEach = 5 * time.Millisecond
	// feedPauseMost bounds the pause where a replica serves very many: a quarter of the second
	// within which a change is to be known.
	feedPauseMost = 250 * time.Millisecond
)

// feed is what a replica tells its watchers: its state as of the newest round, and the answers made
// of it so far. Watchers of one replica know mostly the same, so one answer serves them all. It may
// be used concurrently.
type feed struct {
	mutex sync.Mutex
	round *feedRound
}

// feedRound is the state as of one round.
type feedRound struct {
	revision uint64
	// next is closed when there is another round.
	next chan struct{}

	mutex sync.Mutex
	// answers are encoded deltas, by what the watcher knows and wants to know.
	answers map[feedKey]*feedAnswer
}

// feedKey tells answers apart.
type feedKey struct {
	watch directory.Watch
	// members is the digest of the replicas that the answer names.
	members string
}

// feedAnswer is an encoded delta, once it is made.
type feedAnswer struct {
	once sync.Once
	// revision is what the watcher knows once it has taken it in, and empty is set where it
	// would learn nothing else.
	revision uint64
	empty    bool
	body     []byte
	ok       bool
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

// advance begins a round at the revision, if it is another one.
func (f *feed) advance(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.round.revision == revision {
		return
	}
	earlier := f.round
	f.round = newFeedRound(revision)
	close(earlier.next)
}

// answer returns the answer for the key, which the function makes if nobody has asked yet.
func (r *feedRound) answer(key feedKey, make func() (directory.Delta, bool)) *feedAnswer {
	r.mutex.Lock()
	answer := r.answers[key]
	if answer == nil {
		answer = &feedAnswer{}
		r.answers[key] = answer
	}
	r.mutex.Unlock()
	answer.once.Do(func() {
		var delta directory.Delta
		if delta, answer.ok = make(); answer.ok {
			answer.revision, answer.empty = delta.Revision, delta.IsEmpty()
			answer.body = encodeInternal(delta)
		}
	})
	return answer
}

// pauseFor returns the time between two rounds for that many watchers.
func pauseFor(watchers int) time.Duration {
	return min(feedPause+time.Duration(watchers)*feedPauseEach, feedPauseMost)
}

// feedWatchers begins rounds as the machine changes, no more often than the watchers can be told.
func (d *Directory) feedWatchers(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.replica.Changed()
		d.followMachine()
		d.feed.advance(d.view.Load().Revision)
		d.awaitRound(ctx, changed)
	}
}

// awaitRound waits for a change that is urgent, or for the pause and any change.
func (d *Directory) awaitRound(ctx context.Context, changed <-chan struct{}) {
	pause := time.NewTimer(pauseFor(d.evidence.watches()))
	defer pause.Stop()
	rested, dirty := false, false
	for !rested || !dirty {
		select {
		case <-ctx.Done():
			return
		case <-pause.C:
			rested = true
		case <-changed:
			dirty = true
			changed = d.replica.Changed()
			if d.hasUrgent() {
				return
			}
		}
	}
}

// hasUrgent tells whether the machine holds an urgent change that the view does not.
func (d *Directory) hasUrgent() bool {
	urgent := uint64(0)
	d.replica.Do(func() { urgent = d.machine.UrgentRevision() })
	return urgent > d.view.Load().Revision
}

// followMachine brings the view of the machine up to date, which needs no turn of the loop.
func (d *Directory) followMachine() {
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

// answerSince returns what a watcher is told, as of the round.
func (d *Directory) answerSince(round *feedRound, watch directory.Watch, members []consensus.Member) *feedAnswer {
	return round.answer(feedKey{watch: watch, members: membersDigest(members)}, func() (directory.Delta, bool) {
		var delta directory.Delta
		read := d.replica.Do(func() { delta = d.machine.DeltaFor(watch) })
		delta.Replicas = members
		return delta, read
	})
}
