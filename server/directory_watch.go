package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dillchute/dillchute/clock"
	"github.com/dillchute/dillchute/directory"
)

// confirmTimeout bounds the question which revision is the newest.
const confirmTimeout = 800 * time.Millisecond

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
	least := since + 1
	if since == 0 {
		newest, err := d.newestRevision(request.Context())
		if err != nil {
			http.Error(response, err.Error(), http.StatusServiceUnavailable)
			return
		}
		least = max(least, newest)
	}
	d.answerWatch(response, request, since, least)
}

// newestRevision returns the revision that a quorum has confirmed.
func (d *Directory) newestRevision(ctx context.Context) (uint64, error) {
	limited, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	return d.confirmedRevision(limited, directoryCall{Newest: true})
}

// answerWatch waits until the machine has reached the least revision, and
// answers with what changed since.
func (d *Directory) answerWatch(response http.ResponseWriter, request *http.Request, since, least uint64) {
	timeout := time.NewTimer(watchWait)
	defer timeout.Stop()
	lapsed := d.evidence.Lapsed()
	for {
		changed := d.replica.Changed()
		var delta directory.Delta
		var revision uint64
		if !d.replica.Status().Heard || !d.replica.Do(func() {
			if revision = d.machine.Revision(); revision >= least {
				delta = d.machine.DeltaSince(since)
			}
		}) {
			http.Error(response, "no leader is known", http.StatusServiceUnavailable)
			return
		}
		if revision >= least {
			delta.Replicas = d.replica.Status().Members
			writeCBOR(response, delta)
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-lapsed:
			http.Error(response, "this replica trails", http.StatusServiceUnavailable)
			return
		case <-timeout.C:
			d.answerUnchanged(response, since, revision == since && d.evidence.proves(clock.Now()))
			return
		}
	}
}

// answerUnchanged answers that nothing has changed, which only a replica can say that
// is certain to hold everything.
func (d *Directory) answerUnchanged(response http.ResponseWriter, since uint64, certain bool) {
	if !certain {
		http.Error(response, "this replica trails", http.StatusServiceUnavailable)
		return
	}
	writeCBOR(response, directory.Delta{
		Revision: since, Version: 0, Replicas: d.replica.Status().Members,
	})
}
