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
	// questionStagger is the time after which the next replica is asked as well, and
	// questionReplicas the most that are asked.
	questionStagger  = 40 * time.Millisecond
	questionReplicas = 4
	// copyPatience is how long after its beginning a question is waited for by a request that is
	// served in any case: two replicas have been asked by then, and the request is still in time.
	copyPatience = 80 * time.Millisecond
)

// question is a question what the copy misses, shared by all who wait for it.
type question struct {
	// began is by package clock.
	began time.Time
	// done is closed once it has ended.
	done chan struct{}
}

// awaitCurrent returns once the copy may be acted on, or the directory does not answer. It waits
// for a copy that is too old only, and until the question is as old as the patience, so that a
// request which looks several times waits no longer.
func (w *Watcher) awaitCurrent(ctx context.Context, patience time.Duration) copyState {
	state := w.age.state(nowMillis())
	if state == copyFresh || w.Catalog().Revision == 0 {
		return copyFresh
	}
	if state != copyTooOld {
		w.askAside()
		return state
	}
	asked := w.ask()
	limit := time.NewTimer(patience - clock.Since(asked.began))
	defer limit.Stop()
	select {
	case <-asked.done:
	case <-limit.C:
	case <-ctx.Done():
	}
	if state = w.age.state(nowMillis()); state == copyTooOld {
		state = copyOutOfTouch
	}
	return state
}

// keepCurrent looks at the copy's age again and again until the context ends, so that the directory
// is asked before work comes that would wait for it.
func (w *Watcher) keepCurrent(ctx context.Context) {
	every(ctx, lookInterval, func() {
		if w.Catalog().Revision > 0 && w.age.state(nowMillis()) != copyFresh {
			w.askAside()
		}
	})
}

// askAside has the directory asked without waiting.
func (w *Watcher) askAside() {
	if w.age.mayAsk(nowMillis()) {
		w.ask()
	}
}

// ask returns the question that is under way, or begins one.
func (w *Watcher) ask() *question {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.inFlight == nil {
		w.inFlight = &question{began: clock.Now(), done: make(chan struct{})}
		go w.carryOut(w.inFlight)
	}
	return w.inFlight
}

// carryOut asks until the copy holds all that the directory has acknowledged by the beginning of
// the question, or its time is over.
func (w *Watcher) carryOut(asked *question) {
	ctx, cancel := context.WithTimeout(context.Background(), questionTimeout)
	defer cancel()
	if err := w.renew(ctx); err != nil {
		w.noteUnrenewed(err)
	}
	w.mutex.Lock()
	w.inFlight = nil
	w.mutex.Unlock()
	close(asked.done)
}

// noteUnrenewed notes that a question was in vain.
func (w *Watcher) noteUnrenewed(err error) {
	now := nowMillis()
	w.failedQueries.Add(1)
	if w.age.state(now) > copyAging && w.isDisconnected.CompareAndSwap(false, true) {
		event.CopyStale.On(w.logger).Uint("revision", w.Catalog().Revision).Int("age_ms", now-w.age.provenAt.Load()).Err(err).Send()
	}
	w.age.noteQuestionUnanswered(now)
	// Connections that are kept may be silent as well.
	w.client.CloseIdleConnections()
}

// renew takes in what the copy misses.
func (w *Watcher) renew(ctx context.Context) error {
	for ctx.Err() == nil {
		began, age, base := nowMillis(), w.age.provenAt.Load(), w.Catalog()
		delta, err := w.askMissed(ctx, base)
		if err != nil {
			return err
		}
		if !w.apply(base, delta) && w.Catalog().Revision < delta.Revision {
			// The watch has brought something else meanwhile.
			continue
		}
		w.age.noteQuestionAnswered(began)
		w.queries.Add(1)
		w.isDisconnected.Store(false)
		event.CopyRefreshed.On(w.logger).Int("age_ms", began-age).Uint("from", base.Revision).Uint("revision", w.Catalog().Revision).Send()
		return nil
	}
	return ctx.Err()
}

// askMissed asks the replicas, each one some time after the one before, for what the copy misses.
func (w *Watcher) askMissed(ctx context.Context, base *directory.Catalog) (directory.Delta, error) {
	call := directoryCall{Newest: true, Missed: &missedCall{Since: base.Revision, Scope: w.scope(), Held: base.Held}}
	addresses := w.callAddresses()
	addresses = addresses[:min(len(addresses), questionReplicas)]
	type reply struct {
		answer directoryAnswer
		err    error
	}
	replies := make(chan reply, len(addresses))
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	err := error(replica.ErrUnavailable.New("no replica of the directory is known"))
	next := time.NewTimer(0)
	defer next.Stop()
	for asked, open := 0, 0; asked < len(addresses) || open > 0; {
		select {
		case <-next.C:
			if asked < len(addresses) {
				address := addresses[asked]
				go func() {
					answer, err := callDirectory(limited, w.client, address, call)
					replies <- reply{answer, err}
				}()
				asked, open = asked+1, open+1
				next.Reset(questionStagger)
			}
		case got := <-replies:
			open--
			if got.err == nil && got.answer.Missed != nil {
				w.recordResponse(got.answer.Leader)
				return *got.answer.Missed, nil
			}
			if got.err == nil && tellsNothingNewer(got.answer, base) {
				return directory.Delta{Revision: base.Revision, Replicas: base.Replicas}, nil
			}
			if err = got.err; err == nil {
				err = replica.ErrUnavailable.New("%s does not tell what is missed", got.answer.Leader)
			}
			next.Reset(0)
		case <-ctx.Done():
			return directory.Delta{}, ctx.Err()
		}
	}
	return directory.Delta{}, err
}

// tellsNothingNewer tells whether a leader of an earlier build, which answers with the confirmed
// revision alone, has acknowledged nothing that the copy misses.
func tellsNothingNewer(answer directoryAnswer, base *directory.Catalog) bool {
	return answer.Revision > 0 && answer.Revision <= base.Revision
}

// copyAgeSeconds returns the time since the copy is known to have held everything.
func (w *Watcher) copyAgeSeconds() float64 {
	return float64(nowMillis()-w.age.provenAt.Load()) / millisPerSecond
}
