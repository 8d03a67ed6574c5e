package server

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dillchute/dillchute/directory"
)

// watchCounter counts the watches that are held.
type watchCounter struct {
	mutex sync.Mutex
	held  int
}

func (w *watchCounter) add(change int) {
	w.mutex.Lock()
	w.held += change
	w.mutex.Unlock()
}

// confirmTimeout bounds the question which revision is the newest.
const confirmTimeout = 800 * time.Millisecond

// serveWatch answers with what changed after a revision, as soon as there is
// something. A replica that hears no leader answers nothing: it may be cut off.
// A watcher that knows nothing is told nothing older than what a quorum has
// confirmed after its question, so that a restarted process never acts on a
// state that has passed; later answers cannot go back.
func (d *Directory) serveWatch(response http.ResponseWriter, request *http.Request) {
	since, err := strconv.ParseUint(request.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(response, "since: must be a number", http.StatusBadRequest)
		return
	}
	d.watches.add(1)
	defer d.watches.add(-1)
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
	answer, err := d.call(limited, directoryCall{Newest: true})
	return answer.Revision, err
}

// answerWatch waits until the machine has reached the least revision, and
// answers with what changed since.
func (d *Directory) answerWatch(response http.ResponseWriter, request *http.Request, since, least uint64) {
	timeout := time.NewTimer(watchWait)
	defer timeout.Stop()
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
		case <-timeout.C:
			d.answerUnchanged(response, since, revision == since)
			return
		}
	}
}

// answerUnchanged answers that nothing has changed, which a replica that trails
// cannot say.
func (d *Directory) answerUnchanged(response http.ResponseWriter, since uint64, certain bool) {
	if !certain {
		http.Error(response, "this replica trails", http.StatusServiceUnavailable)
		return
	}
	writeCBOR(response, directory.Delta{
		Revision: since, Version: 0, Replicas: d.replica.Status().Members,
	})
}
